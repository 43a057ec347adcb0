package fleettest

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"jacinthfork.example/jacinthfork/standin/engine"
)

// slots bounds the tests that run fleets at the same time.
var slots = make(chan struct{}, 4)

// parallel lets a test with fleets of its own run beside others.
func parallel(t *testing.T) {
	t.Helper()
	t.Parallel()
	slots <- struct{}{}
	t.Cleanup(func() { <-slots })
}

// slowEngine are the settings of an engine whose streams last long enough to be interrupted.
const slowEngine = "token_interval = \"10ms\""

// longChat returns a streamed chat request with an answer of the given length.
func longChat(question string, tokens int) string {
	return fmt.Sprintf(`{"model":"llm","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, tokens, question)
}

// stream is a streamed chat as its caller sees it.
type stream struct {
	id   string
	body string

	mu      sync.Mutex
	text    strings.Builder
	last    uint64
	whole   bool
	faults  []string
	verdict string
	status  int
	ended   chan struct{}
}

// openStream starts a chat and reads it in the background.
func openStream(t *testing.T, r *Router, id, body string) *stream {
	t.Helper()
	s := &stream{id: id, body: body}
	s.follow(t, r)
	return s
}

// follow sends the request, or repeats it for the rest of the answer.
func (s *stream) follow(t *testing.T, r *Router) {
	t.Helper()
	s.ended = make(chan struct{})
	ctx, cancel := context.WithTimeout(t.Context(), longEnough)
	t.Cleanup(cancel)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, r.URL+"/v1/chat/completions", strings.NewReader(s.body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Jacinthfork-Organisation", "org")
	request.Header.Set("X-Request-Id", s.id)
	if s.last > 0 {
		request.Header.Set("Last-Event-ID", strconv.FormatUint(s.last, 10))
	}
	go func() {
		defer close(s.ended)
		s.read(request)
	}()
}

func (s *stream) read(request *http.Request) {
	response, err := callerClient.Do(request)
	if err != nil {
		s.fault(err.Error())
		return
	}
	defer response.Body.Close()
	s.mu.Lock()
	s.status, s.verdict = response.StatusCode, response.Header.Get("Jacinthfork-Verdict")
	s.mu.Unlock()
	var event []string
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if lines.Text() != "" {
			event = append(event, lines.Text())
			continue
		}
		s.event(event)
		event = nil
	}
	if len(event) > 0 && response.StatusCode != http.StatusOK {
		s.fault(strings.Join(event, "\n"))
	}
	if lines.Err() != nil {
		s.fault(lines.Err().Error())
	}
}

// event takes one complete event; an incomplete one at a break is not seen.
func (s *stream) event(lines []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, line := range lines {
		if id, ok := strings.CutPrefix(line, "id: "); ok && id != strconv.FormatUint(s.last+1, 10) {
			s.faults = append(s.faults, fmt.Sprintf("event %s after %d", id, s.last))
		} else if ok {
			s.last++
		}
		data, ok := strings.CutPrefix(line, "data: ")
		s.whole = s.whole || data == "[DONE]"
		if ok {
			s.text.WriteString(chunkContent(data))
		}
		if strings.HasPrefix(line, "event: error") {
			s.faults = append(s.faults, strings.Join(lines, " "))
		}
	}
}

func (s *stream) fault(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, text)
}

// waitEvents waits until the caller has n events.
func (s *stream) waitEvents(t *testing.T, n uint64) {
	t.Helper()
	waitFor(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.last >= n || len(s.faults) > 0
	})
}

// wait waits for the end of the response.
func (s *stream) wait(t *testing.T) {
	t.Helper()
	select {
	case <-s.ended:
	case <-time.After(longEnough):
		t.Fatalf("stream %s does not end", s.id)
	}
}

// wantWhole fails the test unless the caller has exactly the answer of its request.
func (s *stream) wantWhole(t *testing.T) {
	t.Helper()
	s.wait(t)
	if want := engine.Answer([]byte(s.body)); !s.whole || len(s.faults) > 0 || s.text.String() != want {
		t.Errorf("stream %s: status %d, whole %t, %d of %d bytes, events %d, %q", s.id, s.status, s.whole, s.text.Len(), len(want), s.last, s.faults)
	}
}

// wantBroken fails the test when a stream that ended early looks whole.
func (s *stream) wantBroken(t *testing.T) {
	t.Helper()
	s.wait(t)
	if s.whole || len(s.faults) == 0 {
		t.Errorf("stream %s looks whole after %d events", s.id, s.last)
	}
	if !strings.HasPrefix(engine.Answer([]byte(s.body)), s.text.String()) {
		t.Errorf("stream %s has a foreign part", s.id)
	}
}

// started returns how many runs the engines of the fleet have started.
func (f *Fleet) started() int64 {
	f.t.Helper()
	total := int64(0)
	for _, b := range f.PoolBackends("llm") {
		total += b.counts().Started
	}
	return total
}

func (b *Backend) counts() engine.Counters {
	var counters engine.Counters
	b.Server.Counts(&counters)
	return counters
}
