package config

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/google/uuid"

	"jacinthfork.example/jacinthfork/services"
	"jacinthfork.example/jacinthfork/wire"
)

// outcomeWait is how long a publisher reads the stream for its nonce before it appends the record again.
const outcomeWait = 2 * time.Second

// ErrIncomplete means that the publisher does not know the revision of the object because older records have
// expired. It must first import the state of a node.
var ErrIncomplete = errors.New("revision of the object is unknown because older records have expired")

// Change is a change of one object by an operator.
type Change struct {
	Key
	// Base is the revision that the change replaces, 0 for an object that never existed.
	Base   uint64
	Delete bool
	Body   []byte
	Author string
	// Nonce identifies the change in all copies of its record. If it is empty a random one is used.
	Nonce string
}

// PublishOutcome is the outcome of a published change.
type PublishOutcome uint8

// Outcomes of a published change.
const (
	// PublishUnknown means that the record may have been stored, or may still be stored later.
	PublishUnknown PublishOutcome = iota
	// PublishAccepted means that the change was accepted. A later change may have replaced it.
	PublishAccepted
	// PublishConflict means that the change was not accepted and never will be.
	PublishConflict
)

// PublishResult is the result of Publish.
type PublishResult struct {
	Outcome PublishOutcome
	// Revision is the revision of the change if it was accepted, and the current revision of the object on a
	// conflict.
	Revision uint64
	Nonce    string
}

// Publisher appends changes to the stream and reads the stream to learn their outcome.
type Publisher struct {
	logService services.Log

	mu    sync.Mutex
	state *state
	// accepted maps the nonces of accepted changes to their revisions. The retention of the log bounds its
	// size.
	accepted map[string]uint64
}

// NewPublisher returns a publisher with an empty state.
func NewPublisher(logService services.Log) *Publisher {
	p := &Publisher{logService: logService, state: newState(), accepted: make(map[string]uint64)}
	p.state.onDecision = func(d Decision) {
		if d.Outcome == Accepted && d.Nonce != "" {
			p.accepted[d.Nonce] = d.Offset
		}
	}
	return p
}

// Import replaces the state by that of a node, so that the publisher need not read the stream from its start.
func (p *Publisher) Import(parts []*wire.ConfigPart) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.importParts(parts)
}

// Revision reads the stream to its end and returns the revision of the object, 0 for none.
func (p *Publisher) Revision(ctx context.Context, key Key) (uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.currentRevision(ctx, key)
}

// Publish appends the change and waits for its outcome until ctx is cancelled. An error means that this call
// published nothing: the change is invalid, the log cannot be read or refused the record, or older records are
// missing (ErrIncomplete).
func (p *Publisher) Publish(ctx context.Context, change Change) (PublishResult, error) {
	if err := change.check(); err != nil {
		return PublishResult{}, err
	}
	if change.Nonce == "" {
		change.Nonce = uuid.NewString()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.ensureStarted(ctx); err != nil {
		return PublishResult{}, err
	}
	// A base that is not the current revision is refused here. If the record were appended, its base could
	// become the current revision later, and a late copy would be accepted after a conflict was reported.
	if _, err := p.currentRevision(ctx, change.Key); err != nil {
		return PublishResult{}, err
	}
	if result := p.outcome(change); result.Outcome != PublishUnknown {
		return result, nil
	}
	return p.publishUntilSettled(ctx, change)
}

// publishUntilSettled appends copies of the change until the stream shows its outcome.
func (p *Publisher) publishUntilSettled(ctx context.Context, change Change) (PublishResult, error) {
	payload := marshalRecord(change.record())
	mayBeStored := false
	for {
		offset, err := p.logService.Append(ctx, Stream, payload)
		mayBeStored = mayBeStored || services.MayBeStored(err)
		switch {
		case err == nil:
			mayBeStored = true
			p.readPast(ctx, offset)
		default:
			p.readUntilSettled(ctx, change, outcomeWait)
		}
		if result := p.outcome(change); result.Outcome != PublishUnknown {
			return result, nil
		}
		if ctx.Err() != nil && !mayBeStored {
			return PublishResult{}, fmt.Errorf("nothing was published: %w", err)
		}
		if ctx.Err() != nil {
			return PublishResult{Nonce: change.Nonce}, nil
		}
	}
}

// outcome returns the outcome of the change according to the records read so far. A change whose base is not
// the current revision can no longer be accepted, because revisions only increase.
func (p *Publisher) outcome(change Change) PublishResult {
	result := PublishResult{Nonce: change.Nonce}
	revision, known := p.state.revision(change.Key)
	accepted, ok := p.accepted[change.Nonce]
	if object := p.state.objects[change.Key]; !ok && known && object != nil && object.nonce == change.Nonce {
		accepted, ok = revision, true
	}
	switch {
	case ok:
		result.Outcome, result.Revision = PublishAccepted, accepted
	case known && revision != change.Base:
		result.Outcome, result.Revision = PublishConflict, revision
	}
	return result
}

// ensureStarted appends an empty record to an empty stream, because offset 0 is not a valid revision.
func (p *Publisher) ensureStarted(ctx context.Context) error {
	if err := p.catchUp(ctx); err != nil {
		return err
	}
	if p.state.asOf > 0 {
		return nil
	}
	_, err := p.logService.Append(ctx, Stream, marshalRecord(&wire.ConfigRecord{}))
	if err != nil && !services.MayBeStored(err) {
		return err
	}
	return nil
}

// currentRevision reads the stream to its end and returns the revision of the object, 0 for none.
func (p *Publisher) currentRevision(ctx context.Context, key Key) (uint64, error) {
	if err := p.catchUp(ctx); err != nil {
		return 0, err
	}
	revision, known := p.state.revision(key)
	if !known {
		return 0, ErrIncomplete
	}
	return revision, nil
}

// catchUp reads the stream to its end.
func (p *Publisher) catchUp(ctx context.Context) error {
	for {
		from := p.state.asOf
		next, err := p.read(ctx, 0)
		if err != nil || p.state.asOf >= next {
			return err
		}
		if p.state.asOf == from {
			return fmt.Errorf("log returned no records from offset %d although the next offset is %d", from, next)
		}
	}
}

// readPast reads until the record at offset has been read or ctx is cancelled.
func (p *Publisher) readPast(ctx context.Context, offset uint64) {
	for p.state.asOf <= offset && ctx.Err() == nil {
		if _, err := p.read(ctx, outcomeWait); err != nil {
			sleep(ctx, minBackoff)
		}
	}
}

// readUntilSettled reads until the outcome of the change is known, for at most the given time.
func (p *Publisher) readUntilSettled(ctx context.Context, change Change, wait time.Duration) {
	end := time.Now().Add(wait)
	for p.outcome(change).Outcome == PublishUnknown && ctx.Err() == nil {
		left := time.Until(end)
		if left <= 0 {
			return
		}
		if _, err := p.read(ctx, left); err != nil {
			sleep(ctx, min(minBackoff, left))
		}
	}
}

// read reads once, applies the records and returns the next offset of the stream.
func (p *Publisher) read(ctx context.Context, wait time.Duration) (uint64, error) {
	page, err := p.logService.Read(ctx, Stream, p.state.asOf, readLimit, wait)
	if err != nil {
		return 0, err
	}
	p.state.applyPage(page)
	return page.Next, nil
}

// sleep waits for d or until ctx is cancelled.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// record returns the change as a record for the stream.
func (c *Change) record() *wire.ConfigRecord {
	operation := wire.ConfigOperation_CONFIG_SET
	if c.Delete {
		operation = wire.ConfigOperation_CONFIG_DELETE
	}
	return &wire.ConfigRecord{
		Operation: operation, Kind: string(c.Kind), Name: c.Name, Schema: c.Schema,
		Base: c.Base, Nonce: c.Nonce, Author: c.Author, Body: c.Body,
	}
}

// check rejects changes that no node would put in force.
func (c *Change) check() error {
	for _, text := range []string{c.Name, c.Author, c.Nonce} {
		if !utf8.ValidString(text) || len(text) > maxName {
			return fmt.Errorf("%q is not valid UTF-8 of at most %d bytes", text, maxName)
		}
	}
	if c.Author == "" {
		return errors.New("author is missing")
	}
	if c.Delete {
		return nil
	}
	return Check(c.Key, c.Body)
}
