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

// settleWait is how long a publisher reads for its nonce before it appends the record again.
const settleWait = 2 * time.Second

// ErrIncomplete means that older records have expired, so that the publisher does not know the
// object's revision. It needs the state of a node, through Import.
var ErrIncomplete = errors.New("revision is not known because older records have expired")

// Change is one change by an operator.
type Change struct {
	Key
	// Base is the revision that the operator saw, 0 for an object that never was.
	Base   uint64
	Delete bool
	Body   []byte
	Author string
	// Nonce is the same for all copies of one change. Empty draws one.
	Nonce string
}

// Settlement is what became of a published change.
type Settlement uint8

// Settlements.
const (
	// SettledUnknown means that the record may have been stored or may still be.
	SettledUnknown Settlement = iota
	// SettledAccepted means that the change is the object's newest version or was replaced later.
	SettledAccepted
	// SettledConflict means that the change is not accepted and never will be.
	SettledConflict
)

// Published is the result of a publication.
type Published struct {
	Settlement Settlement
	// Revision is the revision of the change when accepted, and the object's revision on conflict.
	Revision uint64
	Nonce    string
}

// Publisher appends changes to the stream. It reads the stream itself to learn their outcome.
type Publisher struct {
	platform services.Log

	mu    sync.Mutex
	state *state
	// accepted holds the accepted changes by nonce. The log's retention bounds it.
	accepted map[string]uint64
}

// NewPublisher returns a publisher with an empty state.
func NewPublisher(pl services.Log) *Publisher {
	p := &Publisher{platform: pl, state: newState(), accepted: make(map[string]uint64)}
	p.state.decided = func(d Decision) {
		if d.Outcome == Accepted && d.Nonce != "" {
			p.accepted[d.Nonce] = d.Offset
		}
	}
	return p
}

// Import takes the state of a node, which saves reading the stream from its start.
func (p *Publisher) Import(parts []*wire.ConfigPart) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.importParts(parts)
}

// Revision reads the stream up to its end and returns the object's revision, 0 for none.
func (p *Publisher) Revision(ctx context.Context, key Key) (uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current(ctx, key)
}

// Publish appends the change and settles what became of it, until ctx ends. An error means that
// nothing was published: the change is invalid, the log refused it, or it is ErrIncomplete.
func (p *Publisher) Publish(ctx context.Context, change Change) (Published, error) {
	if err := change.check(); err != nil {
		return Published{}, err
	}
	if change.Nonce == "" {
		change.Nonce = uuid.NewString()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.open(ctx); err != nil {
		return Published{}, err
	}
	// A base that is not the revision now is refused here. In the log it could become the revision
	// later, and a late copy would be accepted after a conflict was reported.
	if _, err := p.current(ctx, change.Key); err != nil {
		return Published{}, err
	}
	if result := p.settled(change); result.Settlement != SettledUnknown {
		return result, nil
	}
	return p.settle(ctx, change)
}

// settle appends copies of the change until the stream says what became of it.
func (p *Publisher) settle(ctx context.Context, change Change) (Published, error) {
	payload := encode(change.record())
	mayBeStored := false
	for {
		offset, err := p.platform.Append(ctx, Stream, payload)
		mayBeStored = mayBeStored || services.MayBeStored(err)
		switch {
		case err == nil:
			mayBeStored = true
			p.readPast(ctx, offset)
		default:
			p.readFor(ctx, change, settleWait)
		}
		if result := p.settled(change); result.Settlement != SettledUnknown {
			return result, nil
		}
		if ctx.Err() != nil && !mayBeStored {
			return Published{}, fmt.Errorf("nothing was published: %w", err)
		}
		if ctx.Err() != nil {
			return Published{Nonce: change.Nonce}, nil
		}
	}
}

// settled returns the outcome that follows from what was read so far. A change whose base is no
// longer the object's revision can't be accepted any more, because revisions only grow.
func (p *Publisher) settled(change Change) Published {
	result := Published{Nonce: change.Nonce}
	revision, known := p.state.revision(change.Key)
	accepted, ok := p.accepted[change.Nonce]
	if object := p.state.objects[change.Key]; !ok && known && object != nil && object.nonce == change.Nonce {
		accepted, ok = revision, true
	}
	switch {
	case ok:
		result.Settlement, result.Revision = SettledAccepted, accepted
	case known && revision != change.Base:
		result.Settlement, result.Revision = SettledConflict, revision
	}
	return result
}

// open appends an empty record to an empty stream, because offset 0 can't be a revision.
func (p *Publisher) open(ctx context.Context) error {
	if err := p.catchUp(ctx); err != nil {
		return err
	}
	if p.state.asOf > 0 {
		return nil
	}
	_, err := p.platform.Append(ctx, Stream, encode(&wire.ConfigRecord{}))
	if err != nil && !services.MayBeStored(err) {
		return err
	}
	return nil
}

func (p *Publisher) current(ctx context.Context, key Key) (uint64, error) {
	if err := p.catchUp(ctx); err != nil {
		return 0, err
	}
	revision, known := p.state.revision(key)
	if !known {
		return 0, ErrIncomplete
	}
	return revision, nil
}

// catchUp reads to the end of the stream.
func (p *Publisher) catchUp(ctx context.Context) error {
	for {
		from := p.state.asOf
		next, err := p.read(ctx, 0)
		if err != nil || p.state.asOf >= next {
			return err
		}
		if p.state.asOf == from {
			return fmt.Errorf("log returned no records from %d although it ends at %d", from, next)
		}
	}
}

// readPast reads until the record at offset was read or ctx ends.
func (p *Publisher) readPast(ctx context.Context, offset uint64) {
	for p.state.asOf <= offset && ctx.Err() == nil {
		if _, err := p.read(ctx, settleWait); err != nil {
			sleep(ctx, minBackoff)
		}
	}
}

// readFor reads for the given time or until the change is settled.
func (p *Publisher) readFor(ctx context.Context, change Change, wait time.Duration) {
	end := time.Now().Add(wait)
	for p.settled(change).Settlement == SettledUnknown && ctx.Err() == nil {
		left := time.Until(end)
		if left <= 0 {
			return
		}
		if _, err := p.read(ctx, left); err != nil {
			sleep(ctx, min(minBackoff, left))
		}
	}
}

func (p *Publisher) read(ctx context.Context, wait time.Duration) (uint64, error) {
	page, err := p.platform.Read(ctx, Stream, p.state.asOf, readLimit, wait)
	if err != nil {
		return 0, err
	}
	p.state.applyPage(page)
	return page.Next, nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

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

// check refuses what no node would put in force.
func (c *Change) check() error {
	for _, text := range []string{c.Name, c.Author, c.Nonce} {
		if !utf8.ValidString(text) || len(text) > maxName {
			return fmt.Errorf("%q is not UTF-8 of at most %d bytes", text, maxName)
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
