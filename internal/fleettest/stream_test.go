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

// fleetSlots limits how many tests run a fleet at the same time.
var fleetSlots = make(chan struct{}, 4)

// runParallel runs a test that starts a fleet in parallel with others, within fleetSlots.
func runParallel(t *testing.T) {
	t.Helper()
	t.Parallel()
	fleetSlots <- struct{}{}
	t.Cleanup(func() { <-fleetSlots })
}

// slowEngine is the settings file of an engine whose streams last long enough to be interrupted.
const slowEngine = "token_interval = \"10ms\""

// longChat returns the body of a streaming chat request for the given number of tokens.
func longChat(question string, tokens int) string {
	return fmt.Sprintf(`{"model":"llm","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, tokens, question)
}

// stream is a streaming chat response as its caller receives it.
type stream struct {
	id   string
	body string

	mu       sync.Mutex
	text     strings.Builder
	last     uint64
	complete bool
	errors   []string
	verdict  string
	status   int
	ended    chan struct{}
}

// openStream sends a streaming chat request and reads the response in the background.
func openStream(t *testing.T, r *Router, id, body string) *stream {
	t.Helper()
	s := &stream{id: id, body: body}
	s.send(t, r)
	return s
}

// send sends the request. If events have been received, it asks for those after the last one.
func (s *stream) send(t *testing.T, r *Router) {
	t.Helper()
	s.ended = make(chan struct{})
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
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
		s.addError(err.Error())
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
		s.handleEvent(event)
		event = nil
	}
	if len(event) > 0 && response.StatusCode != http.StatusOK {
		s.addError(strings.Join(event, "\n"))
	}
	if lines.Err() != nil {
		s.addError(lines.Err().Error())
	}
}

// handleEvent processes one complete event. read does not pass on an event that was cut off.
func (s *stream) handleEvent(lines []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, line := range lines {
		if id, ok := strings.CutPrefix(line, "id: "); ok && id != strconv.FormatUint(s.last+1, 10) {
			s.errors = append(s.errors, fmt.Sprintf("event %s after %d", id, s.last))
		} else if ok {
			s.last++
		}
		data, ok := strings.CutPrefix(line, "data: ")
		s.complete = s.complete || data == "[DONE]"
		if ok {
			s.text.WriteString(chunkContent(data))
		}
		if strings.HasPrefix(line, "event: error") {
			s.errors = append(s.errors, strings.Join(lines, " "))
		}
	}
}

func (s *stream) addError(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.errors = append(s.errors, text)
}

// waitEvents waits until n events have been received or an error has occurred.
func (s *stream) waitEvents(t *testing.T, n uint64) {
	t.Helper()
	waitFor(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.last >= n || len(s.errors) > 0
	})
}

// wait waits for the end of the response.
func (s *stream) wait(t *testing.T) {
	t.Helper()
	select {
	case <-s.ended:
	case <-time.After(testTimeout):
		t.Fatalf("stream %s does not end", s.id)
	}
}

// wantComplete fails the test unless the stream has ended with exactly the expected answer.
func (s *stream) wantComplete(t *testing.T) {
	t.Helper()
	s.wait(t)
	if want := engine.ExpectedContent([]byte(s.body)); !s.complete || len(s.errors) > 0 || s.text.String() != want {
		t.Errorf("stream %s: status %d, complete %t, %d of %d bytes, events %d, %q", s.id, s.status, s.complete, s.text.Len(), len(want), s.last, s.errors)
	}
}

// wantIncomplete fails the test unless the stream has ended with an error and without [DONE], after a prefix
// of the expected answer.
func (s *stream) wantIncomplete(t *testing.T) {
	t.Helper()
	s.wait(t)
	if s.complete || len(s.errors) == 0 {
		t.Errorf("stream %s looks complete after %d events", s.id, s.last)
	}
	if !strings.HasPrefix(engine.ExpectedContent([]byte(s.body)), s.text.String()) {
		t.Errorf("stream %s has text that is not in the expected answer", s.id)
	}
}

// started returns the number of requests that the engines of the fleet have started.
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
