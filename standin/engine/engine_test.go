package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func startEngine(t *testing.T, change func(*Settings)) *Engine {
	t.Helper()
	settings := DefaultSettings()
	change(&settings)
	e := New(settings)
	if err := e.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = e.Close() })
	return e
}

func chatBody(text string, stream bool) string {
	return fmt.Sprintf(`{"model":"m","stream":%t,"messages":[{"role":"user","content":%q}]}`, stream, text)
}

func sendRequest(ctx context.Context, e *Engine, method, path, id, body string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, e.URL()+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set(HeaderRequestID, id)
	req.Header.Set(HeaderCacheGroup, "g")
	return http.DefaultClient.Do(req)
}

func postChat(t *testing.T, e *Engine, id, body string) *http.Response {
	t.Helper()
	resp, err := sendRequest(t.Context(), e, "POST", "/v1/chat/completions", id, body)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

// readEvents returns the events of a stream and whether it reached [DONE].
func readEvents(body io.Reader) (got []completion, done bool) {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		var c completion
		switch {
		case data == "[DONE]":
			return got, true
		case ok && json.Unmarshal([]byte(data), &c) == nil:
			got = append(got, c)
		}
	}
	return got, false
}

func joinContent(events []completion) string {
	var text strings.Builder
	for _, c := range events {
		if len(c.Choices) > 0 {
			text.WriteString(c.Choices[0].Delta.Content)
		}
	}
	return text.String()
}

// Tests of the fleet compare responses with ExpectedContent, so streams and whole responses must both match
// it and carry the ID of their own request.
func TestStreamAndWholeResponseMatchAnswer(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, func(*Settings) {})
	want := ExpectedContent([]byte(chatBody("hello", true)))
	is.True(want != ExpectedContent([]byte(chatBody("other", true))))
	got, done := readEvents(postChat(t, e, "r1", chatBody("hello", true)).Body)
	is.True(done)
	is.Equal(joinContent(got), want)
	for _, c := range got {
		is.Equal(c.ID, "chatcmpl-r1")
	}
	is.Equal(got[len(got)-1].Usage.CompletionTokens, DefaultAnswerTokens)
	var whole completion
	is.NoErr(json.NewDecoder(postChat(t, e, "r2", chatBody("hello", false)).Body).Decode(&whole))
	is.Equal(whole.Choices[0].Message.Content, want)
	is.Equal(e.StartCount([]byte(chatBody("hello", true))), 2)
	is.Equal(postChat(t, e, "r3", `{"messages":[]}`).StatusCode, http.StatusBadRequest)
}

// Cache reuse is measured with this engine, so a later turn of a chat must hit the cache, and no longer
// after its blocks were evicted.
func TestPrefixCacheHitsUntilEviction(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, func(s *Settings) { s.CacheTokens = 400 })
	first := chatBody(strings.Repeat("log line. ", 100), true)
	got, _ := readEvents(postChat(t, e, "r1", first).Body)
	is.Equal(got[len(got)-1].Usage.PromptDetails.CachedTokens, 0)
	turn := fmt.Sprintf(`{"messages":[{"role":"user","content":%q},{"role":"assistant","content":%q},{"role":"user","content":"more"}]}`,
		strings.Repeat("log line. ", 100), ExpectedContent([]byte(first)))
	// All full blocks of the prompt and the response are cached.
	is.True(e.CachedTokens([]byte(turn)) > PromptTokens([]byte(first)))
	_, done := readEvents(postChat(t, e, "r2", chatBody(strings.Repeat("other text ", 150), true)).Body)
	is.True(done)
	is.True(e.CachedTokens([]byte(turn)) < PromptTokens([]byte(first))/2)
	kinds := ""
	for _, event := range e.CacheEvents(0).Events {
		kinds += string(event.Kind) + " "
	}
	is.True(strings.Contains(kinds, "stored") && strings.Contains(kinds, "removed"))
}

// A run that is kept after a disconnect must be resumable without a gap, and a cancelled run must free its
// slot.
func TestResumeHasNoGapAndCancelFreesSlot(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, func(s *Settings) {
		s.TokenInterval = 5 * time.Millisecond
		s.KeepAfterDisconnect = time.Minute
	})
	ctx, disconnect := context.WithCancel(t.Context())
	resp, err := sendRequest(ctx, e, "POST", "/v1/chat/completions", "r1", chatBody("a", true))
	is.NoErr(err)
	disconnect()
	is.NoErr(resp.Body.Close())
	resumed, err := sendRequest(t.Context(), e, "GET", "/v1/requests/r1/stream?after=3", "", "")
	is.NoErr(err)
	got, done := readEvents(resumed.Body)
	is.True(done)
	tokens := strings.SplitAfter(ExpectedContent([]byte(chatBody("a", true))), " ")
	is.Equal(joinContent(got), strings.Join(tokens[2:], ""))

	e.SetSettings(Settings{TokenInterval: time.Hour})
	stopped := postChat(t, e, "r2", chatBody("b", true))
	cancelled, err := sendRequest(t.Context(), e, "DELETE", "/v1/requests/r2", "", "")
	is.NoErr(err)
	is.Equal(cancelled.StatusCode, http.StatusOK)
	_, done = readEvents(stopped.Body)
	is.True(!done)
	is.Equal(e.Counters().Cancelled, int64(1))
	is.Equal(e.Load().Tokens(), 0)
}

// A crash must break every stream and drop the cache, and the engine must serve again after DownTime.
func TestCrashBreaksStreamsAndEngineRecovers(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, func(s *Settings) {
		s.TokenInterval = time.Hour
		s.DownTime = 20 * time.Millisecond
	})
	long := strings.Repeat("text ", 50)
	other := postChat(t, e, "r1", chatBody(long, true))
	_, err := sendRequest(t.Context(), e, "POST", "/v1/chat/completions", "r2", chatBody(DefaultCrashMarker, true))
	is.True(err != nil)
	_, done := readEvents(other.Body)
	is.True(!done)
	is.Equal(e.CachedTokens([]byte(chatBody(long, true))), 0)
	is.Equal(e.Counters().Broken, int64(2))
	time.Sleep(20 * time.Millisecond)
	e.SetSettings(Settings{})
	is.Equal(postChat(t, e, "r3", chatBody("after", false)).StatusCode, http.StatusOK)
}

// Tests that inject foreign events and truncated streams rely on the engine to send them as often as
// configured.
func TestStreamFaultsApplyOnce(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, func(s *Settings) { s.ForeignEvents, s.TruncatedStreams = 1, 1 })
	got, done := readEvents(postChat(t, e, "r1", chatBody("a", true)).Body)
	is.True(!done)
	foreign := 0
	for _, c := range got {
		if c.ID != "chatcmpl-r1" {
			foreign++
		}
	}
	is.Equal(foreign, 1)
	_, done = readEvents(postChat(t, e, "r2", chatBody("a", true)).Body)
	is.True(done)
}

// With one slot, the waiting request with the highest priority must run next. The load report must be
// LoadLag old.
func TestHigherPriorityRunsFirstAndLoadReportLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := New(Settings{Slots: 1, TokenInterval: time.Second, LoadLag: 5 * time.Second})
		submit := func(id string, priority int) {
			request, err := parseRequest([]byte(chatBody(id, true)))
			is.NoErr(err)
			header := http.Header{HeaderRequestID: {id}, HeaderPriority: {fmt.Sprint(priority)}}
			r, err := e.newRun(header, request)
			is.NoErr(err)
			is.NoErr(e.submit(r))
		}
		time.Sleep(5 * time.Second)
		submit("first", 0)
		submit("low", 1)
		submit("high", 2)
		synctest.Wait()
		is.Equal(e.Load().Waiting, 2)
		is.Equal(e.ReportedLoad().Waiting, 0)
		time.Sleep(6 * time.Second)
		is.Equal(e.ReportedLoad().Waiting, 2)
		is.Equal(e.ReportedLoad().AgeMS, int64(5000))
		time.Sleep(20 * time.Second)
		low, high := e.Requests()[1], e.Requests()[2]
		is.Equal(high.State, StateRunning)
		is.True(!low.Started)
		time.Sleep(time.Minute)
		is.Equal(e.Load().Tokens(), 0)
		is.Equal(e.Counters().Finished, int64(3))
		is.Equal(e.Counters().MaxRunning, 1)
	})
}

// The sidecar must work with engines that check fencing numbers and with engines that do not, so the
// stand-in must behave as either.
func TestOldFencingNumberIsRefusedOnlyWhenChecked(t *testing.T) {
	for _, check := range []bool{true, false} {
		is := is.New(t)
		e := startEngine(t, func(s *Settings) { s.CheckFencing = check })
		order := func(fencing int) int {
			resp, err := sendRequest(t.Context(), e, "POST", "/orders", "", fmt.Sprintf(`{"fencing":%d,"model":"m%d"}`, fencing, fencing))
			is.NoErr(err)
			is.NoErr(resp.Body.Close())
			return resp.StatusCode
		}
		is.Equal(order(7), http.StatusOK)
		old := order(6)
		is.Equal(old == http.StatusConflict, check)
		is.Equal(e.OrderState().Current.Fencing == 7, check)
		is.Equal(e.Counters().FencingRegressions == 0, check)
	}
}

// Importing an exported group must cache its prefixes, which saves the prefill, unless the importing engine
// serves other weights.
func TestImportedPrefixIsCachedForSameWeightsOnly(t *testing.T) {
	is := is.New(t)
	from, to := startEngine(t, func(*Settings) {}), startEngine(t, func(*Settings) {})
	body := chatBody(strings.Repeat("shared ", 200), true)
	_, done := readEvents(postChat(t, from, "r1", body).Body)
	is.True(done)
	kv, err := sendRequest(t.Context(), from, "GET", "/kv/g", "", "")
	is.NoErr(err)
	text, err := io.ReadAll(kv.Body)
	is.NoErr(err)
	resp, err := sendRequest(t.Context(), to, "PUT", "/kv/g", "", string(text))
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusNoContent)
	is.Equal(to.CachedTokens([]byte(body)), from.CachedTokens([]byte(body)))
	to.SetSettings(Settings{CacheTokens: 1 << 16, Model: "x"})
	to.Crash()
	resp, err = sendRequest(t.Context(), to, "PUT", "/kv/g", "", string(text))
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusConflict)
}
