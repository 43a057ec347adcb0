package sidecar

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"
	"jacinthfork.example/jacinthfork/dialect"
	"jacinthfork.example/jacinthfork/verdict"
	"jacinthfork.example/jacinthfork/wire"
)

// recording holds the response of one run. The run appends to it and any number of readers follow
// it, so that a caller that lost its router can read the rest through another one.
type recording struct {
	mu      sync.Mutex
	changed chan struct{}
	// limit bounds the bytes that are held; beyond it the writer waits for the readers and chunks
	// that were read are dropped from the front.
	limit int

	head     *wire.Head
	data     []*wire.Data
	dropped  uint64
	held     int
	consumed uint64

	digest  *xxhash.Digest
	chunks  uint64
	bytes   uint64
	end     *wire.End
	failure error
}

func newRecording(limit int) *recording {
	return &recording{changed: make(chan struct{}), limit: limit, digest: xxhash.New()}
}

// signal wakes all waiters; the caller holds mu.
func (r *recording) signal() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *recording) setHead(head *wire.Head) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.head = head
	r.signal()
}

// append adds one data chunk. It waits while the recording is full and ends with ctx.
func (r *recording) append(ctx context.Context, body []byte) error {
	for {
		changed, ok := r.tryAppend(body)
		if ok {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return verdict.Wrap(verdict.Unknown, verdict.ReasonCancelled, ctx.Err())
		}
	}
}

func (r *recording) tryAppend(body []byte) (<-chan struct{}, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropConsumed(len(body))
	if r.held > 0 && r.held+len(body) > r.limit {
		return r.changed, false
	}
	r.chunks++
	r.bytes += uint64(len(body))
	_, _ = r.digest.Write(body)
	r.data = append(r.data, &wire.Data{Body: body, Event: r.chunks})
	r.held += len(body)
	r.signal()
	return nil, true
}

// dropConsumed frees chunks that a reader has taken until need bytes fit.
func (r *recording) dropConsumed(need int) {
	for len(r.data) > 0 && r.held+need > r.limit && r.dropped < r.consumed {
		r.held -= len(r.data[0].Body)
		r.data = r.data[1:]
		r.dropped++
	}
}

// finish ends the recording, with err or whole.
func (r *recording) finish(usage dialect.Usage, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.failure = err
	} else {
		r.end = &wire.End{
			Chunks: r.chunks, Bytes: r.bytes, Checksum: r.digest.Sum64(),
			CachedTokens: uint32(usage.CachedTokens), CompletionTokens: uint32(usage.CompletionTokens),
		}
	}
	r.signal()
}

func (r *recording) size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held
}

// position is what a reader has taken so far.
type position struct {
	head bool
	data uint64
}

// step is what a reader gets next: exactly one field is set.
type step struct {
	head *wire.Head
	data *wire.Data
	end  *wire.End
	err  error
}

// next waits for the chunk at the given position and moves the position past it. It returns an
// error of its own only when ctx ends.
func (r *recording) next(ctx context.Context, at *position) (step, error) {
	for {
		s, changed := r.tryNext(at)
		if changed == nil {
			return s, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return step{}, ctx.Err()
		}
	}
}

func (r *recording) tryNext(at *position) (step, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.head != nil && !at.head {
		at.head = true
		return step{head: r.head}, nil
	}
	if at.data < r.dropped {
		return step{err: verdict.New(verdict.Ran, verdict.ReasonKeyAnswerGone, "the start of the response is no longer kept")}, nil
	}
	if at.data < r.dropped+uint64(len(r.data)) {
		data := r.data[at.data-r.dropped]
		at.data++
		r.consumed = max(r.consumed, at.data)
		r.signal()
		return step{data: data}, nil
	}
	if r.failure != nil {
		return step{err: r.failure}, nil
	}
	if r.end != nil {
		return step{end: r.end}, nil
	}
	return step{}, r.changed
}
