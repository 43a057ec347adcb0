package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"jacinthfork.example/jacinthfork/gateway/backend"
	"jacinthfork.example/jacinthfork/gateway/pool"
	"jacinthfork.example/jacinthfork/verdict"
)

const (
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
	// eventBuffer is the read buffer of a stream.
	eventBuffer = 2 << 10
	// watchInterval is how often a stream that may be resumed is looked at.
	watchInterval = 150 * time.Millisecond
	// stallGaps is the silence of an instance towards all requests of this router, in gaps that callers
	// accept, after which a stream that may be resumed goes on elsewhere. One long prompt can silence an
	// engine for about one gap.
	stallGaps = 1.5
	// defaultGap is the gap that callers accept when the route names none.
	defaultGap = 800 * time.Millisecond
)

// errStalled ends a stream whose instance sends nothing to anybody.
var errStalled = errors.New("the instance stalls")

// events reads whole events of a text/event-stream.
type events struct {
	reader *bufio.Reader
	buffer bytes.Buffer
}

// next returns the bytes of the next event with its end and its ID. At the clean end of the stream
// it returns io.EOF with what follows the last event.
func (e *events) next() (raw []byte, id string, err error) {
	e.buffer.Reset()
	for {
		line, err := e.reader.ReadSlice('\n')
		e.buffer.Write(line)
		if err == bufio.ErrBufferFull && e.buffer.Len() < maxEventBytes {
			continue
		}
		if err != nil {
			return e.buffer.Bytes(), "", err
		}
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			id = string(bytes.TrimSpace(value))
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return e.buffer.Bytes(), id, nil
		}
	}
}

// more reports whether a whole next event is there already. A part of one is no reason to hold back
// what is whole.
func (e *events) more() bool {
	// Peek of what is buffered cannot fail.
	buffered, _ := e.reader.Peek(e.reader.Buffered())
	return bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n"))
}

// stream passes events on as they come, whole events only, so that a stream can go on elsewhere after
// the last one.
func (s *serving) stream(ctx context.Context, lease *pool.Lease, resp *backend.Response) (pool.Outcome, error) {
	watch := s.watch(lease, resp)
	defer watch.stop()
	in := &events{reader: bufio.NewReaderSize(resp.Body, eventBuffer)}
	out := http.NewResponseController(s.w)
	last := time.Now()
	for {
		raw, id, err := in.next()
		if err == io.EOF {
			return s.endStream(resp, raw)
		}
		if err != nil {
			return s.streamBroke(ctx, lease, resp, watch.reason(err))
		}
		lease.Progress()
		if id != "" && !isAfter(id, s.lastEvent) {
			continue
		}
		s.beginStream(resp)
		if _, err := s.w.Write(raw); err != nil {
			resp.Abort()
			return pool.Abandoned, verdict.Wrap(verdict.Unknown, verdict.ReasonCancelled, err)
		}
		if id != "" {
			s.lastEvent = id
		}
		s.g.metrics.gap.observe(time.Since(last))
		last = time.Now()
		if in.more() {
			continue
		}
		if err := out.Flush(); err != nil {
			resp.Abort()
			return pool.Abandoned, verdict.Wrap(verdict.Unknown, verdict.ReasonCancelled, err)
		}
	}
}

// isAfter reports whether an event comes after the last one that was forwarded. IDs grow.
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

// beginStream writes the header before the first event. Later answers go on below it.
func (s *serving) beginStream(resp *backend.Response) {
	if s.streamed {
		return
	}
	s.streamed = true
	s.writeHeader(resp.Response)
	s.w.WriteHeader(resp.StatusCode)
	s.g.metrics.firstByte.observe(time.Since(s.start))
}

// endStream passes on what follows the last event; returning lets net/http end the answer.
func (s *serving) endStream(resp *backend.Response, rest []byte) (pool.Outcome, error) {
	resp.Finish()
	s.beginStream(resp)
	// An error means that the caller left, which net/http notes.
	_, _ = s.w.Write(rest)
	return pool.Served, nil
}

// streamBroke turns a broken stream into a verdict.
func (s *serving) streamBroke(ctx context.Context, lease *pool.Lease, resp *backend.Response, err error) (pool.Outcome, error) {
	resp.Abort()
	if ctx.Err() != nil {
		return pool.Abandoned, s.ended(ctx, verdict.Ran)
	}
	if errors.Is(err, errStalled) {
		s.repeatReserved = true
	} else {
		s.g.crashes.note(lease.Instance, s.fingerprint)
	}
	if s.route.Resumable {
		s.g.metrics.resumptions.Add(1)
	}
	return pool.Broken, verdict.Wrap(verdict.Ran, verdict.ReasonTruncated, err)
}

// stallWatch closes the connection of a stream that may be resumed when its instance stalls.
type stallWatch struct {
	done    chan struct{}
	stalled chan struct{}
}

// watch starts a watch, or returns one that does nothing when the stream cannot go on elsewhere.
func (s *serving) watch(lease *pool.Lease, resp *backend.Response) *stallWatch {
	w := &stallWatch{done: make(chan struct{}), stalled: make(chan struct{})}
	if !s.route.Resumable || s.sent >= s.route.Attempts {
		return w
	}
	gap := s.route.Gap
	if gap == 0 {
		gap = defaultGap
	}
	go w.run(s, s.wanted(), lease, resp, time.Duration(stallGaps*float64(gap)))
	return w
}

// run ends a stream only when another instance and the budget allow its resumption: an instance that is silent may still
// finish, and a caller is better off waiting than cut off.
func (w *stallWatch) run(s *serving, wanted *pool.Request, lease *pool.Lease, resp *backend.Response, limit time.Duration) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.done:
			return
		case <-ticker.C:
		}
		if !lease.Stalled(limit) {
			continue
		}
		if s.g.registry.HasOther(wanted) && s.budget.Withdraw(time.Now()) {
			close(w.stalled)
			resp.Abort()
			return
		}
	}
}

func (w *stallWatch) stop() { close(w.done) }

// reason returns errStalled when the watch closed the connection.
func (w *stallWatch) reason(err error) error {
	select {
	case <-w.stalled:
		return errStalled
	default:
		return err
	}
}
