package router

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
	"jacinthfork.example/jacinthfork/verdict"
	"jacinthfork.example/jacinthfork/wire"
)

// cancelTimeout bounds the call that asks a sidecar whether an attempt has started.
const cancelTimeout = 2 * time.Second

// attempt sends the call to one sidecar and passes its response on. A nil error means that the
// whole response was passed on; any other error is a *verdict.Error.
func (r *Router) attempt(ctx context.Context, c *call, p *peer) error {
	if err := p.connect(ctx); err != nil {
		return verdict.Wrap(verdict.NotRun, verdict.ReasonUnreachable, err)
	}
	if !c.repeatable {
		if err := r.learnIncarnation(ctx, p); err != nil {
			return err
		}
	}
	id := &wire.AttemptID{Router: r.settings.Instance, RouterIncarnation: r.incarnation, Sequence: r.sequence.Add(1)}
	incarnation := p.incarnation.Load()
	stream, cancel := context.WithCancel(ctx)
	defer cancel()
	request := c.request(ctx, id, incarnation)
	request.Loads = r.relay.Loads(c.pool, p.instance, c.attempts)
	r.piggyback.Add(int64(proto.Size(request.Loads)))
	chunks, err := p.client.Execute(stream, request)
	if err == nil {
		reader := &attemptReader{router: r, call: c, peer: p, id: id, digest: xxhash.New()}
		err = reader.read(chunks)
	} else {
		err = verdict.Wrap(verdict.Unknown, verdict.ReasonBroken, err)
	}
	if err == nil {
		return nil
	}
	return r.settle(ctx, c, p, id, incarnation, verdict.As(err))
}

// learnIncarnation asks the sidecar for its incarnation. Without it a later proof of not-run could
// come from a successor of the sidecar that ran the action.
func (r *Router) learnIncarnation(ctx context.Context, p *peer) error {
	if p.incarnation.Load() != 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	load, err := p.client.Hello(ctx, &wire.HelloRequest{Router: r.settings.Instance})
	if err != nil {
		return verdict.Wrap(verdict.NotRun, verdict.ReasonUnreachable, err)
	}
	r.news("", p, load)
	return nil
}

// settle asks the sidecar to cancel an attempt that broke. The answer can prove that it did not
// run; otherwise the verdict stays.
func (r *Router) settle(ctx context.Context, c *call, p *peer, id *wire.AttemptID, incarnation uint64, err *verdict.Error) *verdict.Error {
	callerGone := ctx.Err() != nil
	if err.Verdict != verdict.Unknown || (!callerGone && !r.ambiguous(err)) {
		return err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	reply, cancelErr := p.client.Cancel(ctx, &wire.CancelRequest{
		Attempt: id, SidecarIncarnation: incarnation,
		Abandon: callerGone && !c.named && c.repeatable, Organisation: c.organisation, RequestId: c.id,
	})
	if cancelErr != nil || incarnation == 0 || reply.GetIncarnation() != incarnation || reply.GetVerdict() != wire.Verdict_NOT_RUN {
		return err
	}
	r.count.Map("verdicts_settled").Add("not-run", 1)
	proved := verdict.Wrap(verdict.NotRun, err.Reason, err)
	return proved
}

// ambiguous reports whether an error came from the connection and not from the sidecar.
func (r *Router) ambiguous(err *verdict.Error) bool {
	return err.Reason == verdict.ReasonBroken || err.Reason == verdict.ReasonDeadline || err.Reason == verdict.ReasonCancelled
}

// news takes what a sidecar says about itself.
func (r *Router) news(pool string, p *peer, load *wire.Load) {
	if load == nil {
		return
	}
	r.piggyback.Add(int64(proto.Size(load)))
	r.relay.Heard(pool, p.instance, load)
	p.incarnation.Store(load.GetIncarnation())
	r.view.Heard(p.instance, load)
}

// attemptReader checks the chunks of one attempt and passes them on.
type attemptReader struct {
	router  *Router
	call    *call
	peer    *peer
	id      *wire.AttemptID
	next    uint64
	event   uint64
	chunks  uint64
	bytes   uint64
	digest  *xxhash.Digest
	hasHead bool
}

// errEnd marks the checked end of a response.
var errEnd = errors.New("end of response")

func (a *attemptReader) read(stream interface{ Recv() (*wire.Chunk, error) }) error {
	a.event = a.call.answer.delivered()
	resumed := a.event > 0
	for {
		chunk, err := stream.Recv()
		if err != nil {
			return verdict.Wrap(verdict.Unknown, verdict.ReasonBroken, fmt.Errorf("attempt broke off: %w", err))
		}
		err = a.chunk(chunk, resumed)
		if errors.Is(err, errEnd) {
			return a.finish()
		}
		if err != nil {
			return err
		}
	}
}

func (a *attemptReader) finish() error {
	if err := a.call.answer.end(); err != nil {
		return callerError(err)
	}
	return nil
}

// callerError is an error of writing to the caller after the request ran.
func callerError(err error) error {
	return verdict.Wrap(verdict.Ran, verdict.ReasonCancelled, err)
}

// chunk handles one chunk. Anything out of place fails the attempt before it reaches the caller.
func (a *attemptReader) chunk(chunk *wire.Chunk, resumed bool) error {
	if !chunk.GetAttempt().Equal(a.id) || chunk.GetSequence() != a.next {
		return a.foreign("chunk of another attempt or out of order")
	}
	a.next++
	switch kind := chunk.GetKind().(type) {
	case *wire.Chunk_Admitted:
		a.router.news(a.call.pool, a.peer, kind.Admitted.GetLoad())
		return nil
	case *wire.Chunk_Head:
		return a.head(kind.Head)
	case *wire.Chunk_Data:
		return a.data(kind.Data)
	case *wire.Chunk_End:
		return a.end(kind.End, resumed)
	case *wire.Chunk_Failure:
		a.router.news(a.call.pool, a.peer, kind.Failure.GetLoad())
		a.call.askNext = kind.Failure.GetAskInstance()
		return kind.Failure.Err()
	}
	return a.foreign("chunk of an unknown kind")
}

func (a *attemptReader) head(head *wire.Head) error {
	if a.hasHead {
		return a.foreign("second head")
	}
	a.hasHead = true
	a.call.served = a.peer.instance
	if a.call.answer.begun() {
		return nil
	}
	return a.call.answer.head(head, a.router.headers(a.call, a.peer))
}

func (a *attemptReader) data(data *wire.Data) error {
	if !a.hasHead {
		return a.foreign("data before the head")
	}
	if data.GetEvent() != a.event+1 {
		return a.foreign("event out of order")
	}
	a.event++
	a.chunks++
	a.bytes += uint64(len(data.GetBody()))
	_, _ = a.digest.Write(data.GetBody())
	if err := a.call.answer.data(data); err != nil {
		return callerError(err)
	}
	return nil
}

// end checks the totals. After a resume only the count of chunks can be checked, because the start
// of the response went through another attempt.
func (a *attemptReader) end(end *wire.End, resumed bool) error {
	a.router.news(a.call.pool, a.peer, end.GetLoad())
	if !a.hasHead || end.GetChunks() != a.event {
		return a.truncated()
	}
	if !resumed && (end.GetBytes() != a.bytes || end.GetChecksum() != a.digest.Sum64()) {
		return a.truncated()
	}
	a.router.finished(a.call, end)
	return errEnd
}

func (a *attemptReader) truncated() error {
	a.router.count.Map("chunks_rejected").Add("truncated", 1)
	return verdict.New(verdict.Unknown, verdict.ReasonTruncated, "the response does not match its end")
}

func (a *attemptReader) foreign(detail string) error {
	a.router.count.Map("chunks_rejected").Add("foreign", 1)
	return verdict.New(verdict.Unknown, verdict.ReasonForeignChunk, detail)
}

// headers are the fields that a router adds to a response.
func (r *Router) headers(c *call, p *peer) http.Header {
	h := make(http.Header)
	h.Set(headerRequestID, c.id)
	h.Set(headerVerdict, verdict.Ran.String())
	if c.message.GetStream() {
		// The verdict of a stream is known only at its end.
		h.Set(headerVerdict, verdict.Unknown.String())
	}
	if token := r.token(c, p); token != "" {
		h.Set(headerPlacement, token)
	}
	h.Set(headerRoute, c.route(p.instance))
	return h
}
