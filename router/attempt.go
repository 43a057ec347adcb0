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

// controlCallTimeout bounds the Hello and Cancel calls to a sidecar.
const controlCallTimeout = 2 * time.Second

// attempt sends the call to one sidecar and passes its response on. A nil error means that the complete
// response was passed on; any other error is a *verdict.Error.
func (r *Router) attempt(ctx context.Context, c *call, sidecar *sidecarConn) error {
	if err := sidecar.connect(ctx); err != nil {
		return verdict.Wrap(verdict.NotRun, verdict.ReasonUnreachable, err)
	}
	if !c.repeatable {
		if err := r.fetchIncarnation(ctx, sidecar); err != nil {
			return err
		}
	}
	id := &wire.AttemptID{Router: r.settings.Instance, RouterIncarnation: r.incarnation, Sequence: r.sequence.Add(1)}
	incarnation := sidecar.incarnation.Load()
	streamCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	request := c.executeRequest(ctx, id, incarnation)
	request.Loads = r.loadRelay.Loads(c.pool, sidecar.instance, c.attempts)
	r.piggybackedBytes.Add(int64(proto.Size(request.Loads)))
	chunks, err := sidecar.client.Execute(streamCtx, request)
	if err == nil {
		reader := &attemptReader{router: r, call: c, sidecar: sidecar, id: id, digest: xxhash.New()}
		err = reader.read(chunks)
	} else {
		err = verdict.Wrap(verdict.Unknown, verdict.ReasonConnectionBroken, err)
	}
	if err == nil {
		return nil
	}
	return r.cancelAttempt(ctx, c, sidecar, id, incarnation, verdict.As(err))
}

// fetchIncarnation asks the sidecar for its incarnation if it is unknown. Without it, a later NOT_RUN
// reply could come from a restarted sidecar, after its predecessor ran the request.
func (r *Router) fetchIncarnation(ctx context.Context, sidecar *sidecarConn) error {
	if sidecar.incarnation.Load() != 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, controlCallTimeout)
	defer cancel()
	load, err := sidecar.client.Hello(ctx, &wire.HelloRequest{Router: r.settings.Instance})
	if err != nil {
		return verdict.Wrap(verdict.NotRun, verdict.ReasonUnreachable, err)
	}
	// The reply to Hello belongs to no pool.
	r.applyLoadUpdate("", sidecar, load)
	return nil
}

// cancelAttempt asks the sidecar to cancel an attempt whose outcome is unknown, if ctx has ended or the error
// is ambiguous. The reply can prove that the attempt did not run; otherwise err is returned unchanged.
func (r *Router) cancelAttempt(ctx context.Context, c *call, sidecar *sidecarConn, id *wire.AttemptID, incarnation uint64, err *verdict.Error) *verdict.Error {
	ctxEnded := ctx.Err() != nil
	if err.Verdict != verdict.Unknown || (!ctxEnded && !r.ambiguous(err)) {
		return err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), controlCallTimeout)
	defer cancel()
	reply, cancelErr := sidecar.client.Cancel(ctx, &wire.CancelRequest{
		Attempt: id, SidecarIncarnation: incarnation,
		Abandon: ctxEnded && !c.callerSuppliedID && c.repeatable, Organisation: c.organisation, RequestId: c.id,
	})
	if cancelErr != nil || incarnation == 0 || reply.GetIncarnation() != incarnation || reply.GetVerdict() != wire.Verdict_NOT_RUN {
		return err
	}
	r.counters.Map("verdicts_settled").Add("not-run", 1)
	notRun := verdict.Wrap(verdict.NotRun, err.Reason, err)
	return notRun
}

// ambiguous reports whether the reason of an error leaves open if the attempt ran: a broken connection, the
// deadline or a cancellation. The error can come from the connection or from a failure that the sidecar
// reports with such a reason.
func (r *Router) ambiguous(err *verdict.Error) bool {
	return err.Reason == verdict.ReasonConnectionBroken || err.Reason == verdict.ReasonDeadline || err.Reason == verdict.ReasonCancelled
}

// applyLoadUpdate applies the load and the incarnation that a sidecar reports.
func (r *Router) applyLoadUpdate(pool string, sidecar *sidecarConn, load *wire.Load) {
	if load == nil {
		return
	}
	r.piggybackedBytes.Add(int64(proto.Size(load)))
	r.loadRelay.ObserveLoad(pool, sidecar.instance, load)
	sidecar.incarnation.Store(load.GetIncarnation())
	r.membershipView.ObserveLoad(sidecar.instance, load)
}

// attemptReader verifies the chunks of one attempt and passes them on.
type attemptReader struct {
	router       *Router
	call         *call
	sidecar      *sidecarConn
	id           *wire.AttemptID
	nextSequence uint64
	lastEvent    uint64
	chunks       uint64
	bytes        uint64
	digest       *xxhash.Digest
	hasHead      bool
}

// errEndOfResponse signals that the end chunk was received and verified.
var errEndOfResponse = errors.New("end of response")

func (a *attemptReader) read(stream interface{ Recv() (*wire.Chunk, error) }) error {
	a.lastEvent = a.call.response.deliveredEvents()
	resumed := a.lastEvent > 0
	for {
		chunk, err := stream.Recv()
		if err != nil {
			return verdict.Wrap(verdict.Unknown, verdict.ReasonConnectionBroken, fmt.Errorf("attempt broke off: %w", err))
		}
		err = a.handleChunk(chunk, resumed)
		if errors.Is(err, errEndOfResponse) {
			return a.finish()
		}
		if err != nil {
			return err
		}
	}
}

func (a *attemptReader) finish() error {
	if err := a.call.response.finish(); err != nil {
		return callerWriteError(err)
	}
	return nil
}

// callerWriteError wraps an error of writing to the caller. Its verdict is Ran, because the sidecar has sent a
// part of the response by then; the request may still be running. It replaces the verdict of
// callerWriter.write.
func callerWriteError(err error) error {
	return verdict.Wrap(verdict.Ran, verdict.ReasonCancelled, err)
}

// handleChunk handles one chunk. An unexpected chunk fails the attempt before its data reaches the caller.
func (a *attemptReader) handleChunk(chunk *wire.Chunk, resumed bool) error {
	if !chunk.GetAttempt().Equal(a.id) || chunk.GetSequence() != a.nextSequence {
		return a.rejectUnexpected("chunk of another attempt or out of order")
	}
	a.nextSequence++
	switch kind := chunk.GetKind().(type) {
	case *wire.Chunk_Admitted:
		a.router.applyLoadUpdate(a.call.pool, a.sidecar, kind.Admitted.GetLoad())
		return nil
	case *wire.Chunk_Head:
		return a.handleHead(kind.Head)
	case *wire.Chunk_Data:
		return a.handleData(kind.Data)
	case *wire.Chunk_End:
		return a.handleEnd(kind.End, resumed)
	case *wire.Chunk_Failure:
		a.router.applyLoadUpdate(a.call.pool, a.sidecar, kind.Failure.GetLoad())
		a.call.redirectTo = kind.Failure.GetAskInstance()
		return kind.Failure.Err()
	}
	return a.rejectUnexpected("chunk of an unknown kind")
}

func (a *attemptReader) handleHead(head *wire.Head) error {
	if a.hasHead {
		return a.rejectUnexpected("second head")
	}
	a.hasHead = true
	a.call.servedBy = a.sidecar.instance
	if a.call.response.started() {
		return nil
	}
	return a.call.response.writeHead(head, a.router.responseHeaders(a.call, a.sidecar))
}

func (a *attemptReader) handleData(data *wire.Data) error {
	if !a.hasHead {
		return a.rejectUnexpected("data before the head")
	}
	if data.GetEvent() != a.lastEvent+1 {
		return a.rejectUnexpected("event out of order")
	}
	a.lastEvent++
	a.chunks++
	a.bytes += uint64(len(data.GetBody()))
	_, _ = a.digest.Write(data.GetBody())
	if err := a.call.response.writeData(data); err != nil {
		return callerWriteError(err)
	}
	return nil
}

// handleEnd verifies the totals. After a resume only the number of chunks can be verified, because the
// start of the response came through another attempt.
func (a *attemptReader) handleEnd(end *wire.End, resumed bool) error {
	a.router.applyLoadUpdate(a.call.pool, a.sidecar, end.GetLoad())
	if !a.hasHead || end.GetChunks() != a.lastEvent {
		return a.rejectTruncated()
	}
	if !resumed && (end.GetBytes() != a.bytes || end.GetChecksum() != a.digest.Sum64()) {
		return a.rejectTruncated()
	}
	a.router.recordUsage(a.call, end)
	return errEndOfResponse
}

func (a *attemptReader) rejectTruncated() error {
	a.router.counters.Map("chunks_rejected").Add("truncated", 1)
	return verdict.New(verdict.Unknown, verdict.ReasonTruncated, "the response does not match its end")
}

// rejectUnexpected returns the error for a chunk of another attempt, of an unknown kind or out of order.
func (a *attemptReader) rejectUnexpected(detail string) error {
	a.router.counters.Map("chunks_rejected").Add("foreign", 1)
	return verdict.New(verdict.Unknown, verdict.ReasonForeignChunk, detail)
}

// responseHeaders returns the header fields that the router adds to a response.
func (r *Router) responseHeaders(c *call, sidecar *sidecarConn) http.Header {
	h := make(http.Header)
	h.Set(headerRequestID, c.id)
	h.Set(headerVerdict, verdict.Ran.String())
	if c.template.GetStream() {
		// The verdict of a stream is known only at its end.
		h.Set(headerVerdict, verdict.Unknown.String())
	}
	if token := r.placementToken(c, sidecar); token != "" {
		h.Set(headerPlacement, token)
	}
	h.Set(headerRoute, c.route(sidecar.instance))
	return h
}
