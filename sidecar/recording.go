package sidecar

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"
	"jacinthfork.example/jacinthfork/dialect"
	"jacinthfork.example/jacinthfork/verdict"
	"jacinthfork.example/jacinthfork/wire"
)

// recording holds the response of one run. The run appends to it and any number of readers follow it, so that
// a caller whose router failed can read the rest through another router.
type recording struct {
	mu sync.Mutex
	// changed is closed and replaced at every change.
	changed chan struct{}
	// maxBytes bounds heldBytes, except for a single larger chunk. At the limit the oldest chunks that a reader
	// has received are dropped; when that is not enough, the writer blocks.
	maxBytes int

	head *wire.Head
	// chunks are the chunks in memory, the first of which has the index droppedChunks in the response.
	chunks        []*wire.Data
	droppedChunks uint64
	// heldBytes is the total size of chunks.
	heldBytes int
	// consumedChunks is the number of chunks that the most advanced reader has received.
	consumedChunks uint64

	// digest, chunkCount and byteCount cover the whole response, including dropped chunks.
	digest     *xxhash.Digest
	chunkCount uint64
	byteCount  uint64
	end        *wire.End
	failure    error
}

func newRecording(maxBytes int) *recording {
	return &recording{changed: make(chan struct{}), maxBytes: maxBytes, digest: xxhash.New()}
}

// signal wakes all waiters. The caller holds mu.
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

// append adds one data chunk. It blocks while the recording is full and fails when ctx ends.
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
	if r.heldBytes > 0 && r.heldBytes+len(body) > r.maxBytes {
		return r.changed, false
	}
	r.chunkCount++
	r.byteCount += uint64(len(body))
	_, _ = r.digest.Write(body)
	r.chunks = append(r.chunks, &wire.Data{Body: body, Event: r.chunkCount})
	r.heldBytes += len(body)
	r.signal()
	return nil, true
}

// dropConsumed drops chunks that a reader has received, oldest first, until need more bytes fit.
func (r *recording) dropConsumed(need int) {
	for len(r.chunks) > 0 && r.heldBytes+need > r.maxBytes && r.droppedChunks < r.consumedChunks {
		r.heldBytes -= len(r.chunks[0].Body)
		r.chunks = r.chunks[1:]
		r.droppedChunks++
	}
}

// finish ends the recording, as failed with err or, when err is nil, as complete.
func (r *recording) finish(usage dialect.Usage, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.failure = err
	} else {
		r.end = &wire.End{
			Chunks: r.chunkCount, Bytes: r.byteCount, Checksum: r.digest.Sum64(),
			CachedTokens: uint32(usage.CachedTokens), CompletionTokens: uint32(usage.CompletionTokens),
		}
	}
	r.signal()
}

func (r *recording) size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.heldBytes
}

// position is how far a reader has read.
type position struct {
	headRead   bool
	chunksRead uint64
}

// responsePart is one part of a recorded response. Exactly one field is set.
type responsePart struct {
	head *wire.Head
	data *wire.Data
	end  *wire.End
	err  error
}

// next waits for the part at the given position and advances the position past it. Its error is non-nil only
// when ctx ends; a failure of the run is part of the response.
func (r *recording) next(ctx context.Context, at *position) (responsePart, error) {
	for {
		part, changed := r.tryNext(at)
		if changed == nil {
			return part, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return responsePart{}, ctx.Err()
		}
	}
}

func (r *recording) tryNext(at *position) (responsePart, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.head != nil && !at.headRead {
		at.headRead = true
		return responsePart{head: r.head}, nil
	}
	if at.chunksRead < r.droppedChunks {
		return responsePart{err: verdict.New(verdict.Ran, verdict.ReasonKeyAnswerNotKept, "the start of the response is no longer kept")}, nil
	}
	if at.chunksRead < r.droppedChunks+uint64(len(r.chunks)) {
		data := r.chunks[at.chunksRead-r.droppedChunks]
		at.chunksRead++
		r.consumedChunks = max(r.consumedChunks, at.chunksRead)
		r.signal()
		return responsePart{data: data}, nil
	}
	if r.failure != nil {
		return responsePart{err: r.failure}, nil
	}
	if r.end != nil {
		return responsePart{end: r.end}, nil
	}
	return responsePart{}, r.changed
}
