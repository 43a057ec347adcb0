package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"jacinthfork.example/jacinthfork/gateway/backend"
	"jacinthfork.example/jacinthfork/gateway/buffer"
	"jacinthfork.example/jacinthfork/gateway/pool"
	"jacinthfork.example/jacinthfork/gateway/routes"
	"jacinthfork.example/jacinthfork/verdict"
)

const (
	// stallCheckInterval is how often a resumable stream is checked for a stall.
	stallCheckInterval = 150 * time.Millisecond
	// stallGapFactor is how long an instance may be silent towards all requests of this router, in multiples
	// of the longest event gap that callers accept, before a resumable stream moves to another instance. One
	// long prompt can keep an engine silent for about one gap.
	stallGapFactor = 1.5
	// maxIdleBytes bounds the bytes of a stream between two events with data, such as comments that keep the
	// connection open.
	maxIdleBytes = 64 << 10
	// maxStreamSilence is how long a stream without a deadline may go without an event with data before it is
	// ended. A stream with a deadline lasts until then.
	maxStreamSilence = 2 * time.Minute
	// defaultEventGap is the longest accepted event gap when the route sets none.
	defaultEventGap = 800 * time.Millisecond
)

// answeredEvents is the number of events with data from which on a stream counts as answered. A backend server that crashes
// on a request may get as far as the first one.
const answeredEvents = 2

// errStalled is the error of a stream whose instance sends no data on any of its requests.
var errStalled = errors.New("the instance stalls")

// eventStream is the media type of a stream of events.
const eventStream = "text/event-stream"

// canStream reports whether a response is a stream that can be relayed. One that goes on with another has the media type of that, or
// is expressly a stream of events.
func (s *requestState) canStream(resp *backend.Response) bool {
	if s.route.Mode != routes.Streaming || resp.StatusCode != http.StatusOK {
		return false
	}
	media := mediaType(resp.Response)
	return !s.streaming || media == s.streamType || media == eventStream
}

// mediaType returns the media type of a response without its parameters.
func mediaType(resp *http.Response) string {
	name, _, _ := strings.Cut(resp.Header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// relayStream passes on events as they arrive. Until the stream ends it writes complete events only, so that it
// can be resumed at another instance after the last one.
func (s *requestState) relayStream(ctx context.Context, lease *pool.Lease, resp *backend.Response) (pool.Outcome, error) {
	s.commit()
	resumed := s.responseStarted
	if !resumed {
		s.streaming, s.streamType = true, mediaType(resp.Response)
	}
	watch := s.watchForStalls(ctx, lease, resp)
	defer watch.stop()
	in := newEventReader(resp.Body, s.g.buffers)
	defer in.close()
	out := http.NewResponseController(s.writer)
	last := time.Now()
	idleBytes, events := 0, 0
	s.limitSilence(resp)
	for {
		e, err := in.next()
		// The clock is read once for all that is done for an event. Six times took a tenth of its processor time.
		now := time.Now()
		if err == io.EOF && events == 0 && !s.mayBeEmpty(resp, resumed) {
			err = io.ErrUnexpectedEOF
		}
		if err == io.EOF && watch.settle() {
			s.endAnswer(lease, resp, events)
			return s.endStream(resp, e.raw)
		}
		if err != nil {
			return s.streamFailed(ctx, lease, resp, watch, err)
		}
		if resumed && e.hasData && e.id == "" && s.lastEventID != "" {
			return s.streamFailed(ctx, lease, resp, watch, errEventWithoutID)
		}
		// A server that has stalled may still send comments.
		if e.hasData {
			lease.RecordProgressAt(now)
			s.waits.arrived(now)
			if !watch.claim(e.id, now) {
				return s.streamFailed(ctx, lease, resp, watch, errStalled)
			}
			s.limitSilence(resp)
			idleBytes = 0
			s.eventsRelayed++
			if events == 0 && !s.responseStarted {
				s.recordFirstByte(lease)
			}
			if events++; events == answeredEvents {
				s.recordAnswer()
			}
		} else if idleBytes += len(e.raw); idleBytes > maxIdleBytes {
			return s.streamFailed(ctx, lease, resp, watch, errOnlyComments)
		}
		if e.id != "" && !isAfter(e.id, s.lastEventID) {
			continue
		}
		s.beginStream(resp)
		if _, err := s.writer.Write(e.raw); err != nil {
			resp.Abort()
			return pool.Abandoned, verdict.Wrap(verdict.Unknown, verdict.ReasonCancelled, err)
		}
		if e.id != "" {
			s.lastEventID = e.id
		}
		s.g.metrics.eventGap.observe(now.Sub(last))
		last = now
		if in.hasBufferedEvent() {
			continue
		}
		if err := out.Flush(); err != nil {
			resp.Abort()
			return pool.Abandoned, verdict.Wrap(verdict.Unknown, verdict.ReasonCancelled, err)
		}
		if s.waits != nil {
			s.waits.written(time.Now())
		}
	}
}

// errEventWithoutID is the error of a resumed stream with an event of which it is unknown whether the caller has it.
var errEventWithoutID = errors.New("an event of a resumed stream has no ID")

// errOnlyComments is the error of a stream that sends more than maxIdleBytes without an event with data.
var errOnlyComments = &buffer.LimitError{What: "events without data", Limit: maxIdleBytes, Unit: "bytes"}

// limitSilence bounds the time until the next event with data in a stream that has no deadline. Comments do not
// extend it.
func (s *requestState) limitSilence(resp *backend.Response) {
	if s.deadline.IsZero() {
		resp.SetReadDeadline(time.Now().Add(maxStreamSilence))
	}
}

// isAfter reports whether an event comes after the last one that was forwarded. Event IDs increase.
func isAfter(id, last string) bool {
	if last == "" {
		return true
	}
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(last, 10, 64)
	if errA != nil || errB != nil {
		return id != last
	}
	return a > b
}

// beginStream writes the response header before the first event. A resumed stream continues below the same
// header.
func (s *requestState) beginStream(resp *backend.Response) {
	if s.responseStarted {
		return
	}
	s.responseStarted = true
	s.leaveUnanswered()
	s.copyHeader(resp.Response)
	s.writer.WriteHeader(resp.StatusCode)
	s.g.metrics.firstByte.observe(time.Since(s.start))
}

// endAnswer decides at the end of a stream whether it was answered. One without a length or chunks ends like that of an
// instance which crashes.
func (s *requestState) endAnswer(lease *pool.Lease, resp *backend.Response, events int) {
	switch {
	case events > 0:
		s.recordEnd(lease, resp)
	case !framed(resp.Response):
		s.reportFailedConnection(lease)
	}
}

// mayBeEmpty reports whether a stream may end without an event. One that is framed by nothing but its connection looks the same as a
// crash after the header, unless it has sent a comment or the caller has asked for what follows an event.
func (s *requestState) mayBeEmpty(resp *backend.Response, resumed bool) bool {
	return framed(resp.Response) || !resumed && (s.responseStarted || s.lastEventID != "")
}

// endStream writes the blank bytes after the last event. Returning from the handler makes net/http end the
// response.
func (s *requestState) endStream(resp *backend.Response, rest []byte) (pool.Outcome, error) {
	resp.Finish()
	s.beginStream(resp)
	// An error means that the caller disconnected, which net/http handles.
	_, _ = s.writer.Write(rest)
	return pool.Served, nil
}

// streamFailed turns a stream that broke, or that another instance has taken over, into a pool outcome and a verdict.
func (s *requestState) streamFailed(ctx context.Context, lease *pool.Lease, resp *backend.Response, watch *watch, err error) (pool.Outcome, error) {
	resp.Abort()
	if ctx.Err() != nil {
		return pool.Abandoned, s.contextError(ctx, verdict.Ran)
	}
	switch taken := s.goOnWith(watch); {
	case taken && s.lateLost:
		return pool.Abandoned, verdict.Wrap(verdict.Unknown, verdict.ReasonConnectionBroken, errLate)
	case taken:
		err = errStalled
	default:
		s.reportFailedConnection(lease)
	}
	if s.route.Resumable {
		s.g.metrics.resumptions.Add(1)
	}
	return pool.Broken, verdict.Wrap(verdict.Ran, verdict.ReasonTruncated, err)
}

// watchForStalls watches a stream for a stall of its instance, if the stream can go on at another one.
func (s *requestState) watchForStalls(ctx context.Context, lease *pool.Lease, resp *backend.Response) *watch {
	if !s.route.Resumable {
		return nil
	}
	gap := s.route.EventGapObjective
	if gap == 0 {
		gap = defaultEventGap
	}
	limit := time.Duration(stallGapFactor * float64(gap))
	return s.watchAttempt(ctx, lease, watched{
		interval: stallCheckInterval,
		silent:   stalled(lease, resp, limit),
		silentAt: func() time.Time { return lease.StalledAfter(limit) },
		quiet:    func() bool { return !resp.Unread() },
		late:     s.lateness(lease),
		abort:    resp.Abort,
	})
}

// stalled returns a function that reports whether the instance of a stream has stalled. With data unread, it is this router
// that was silent.
func stalled(lease *pool.Lease, resp *backend.Response, limit time.Duration) func() bool {
	return func() bool { return lease.Stalled(limit) && !resp.Unread() }
}
