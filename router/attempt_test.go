package router

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"jacinthfork.example/jacinthfork/internal/daemon"
	"jacinthfork.example/jacinthfork/internal/proptest"
	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/kernel/settings"
	_ "jacinthfork.example/jacinthfork/plugin/all"
	"jacinthfork.example/jacinthfork/verdict"
	"jacinthfork.example/jacinthfork/wire"
	"pgregory.net/rapid"
)

// fakeResponse records what a caller would receive.
type fakeResponse struct {
	body      string
	finished  bool
	lastEvent uint64
}

func (f *fakeResponse) writeHead(*wire.Head, http.Header) error { return nil }
func (f *fakeResponse) writeData(d *wire.Data) error {
	f.body += string(d.GetBody())
	f.lastEvent = d.GetEvent()
	return nil
}
func (f *fakeResponse) finish() error                          { f.finished = true; return nil }
func (f *fakeResponse) started() bool                          { return f.lastEvent > 0 }
func (f *fakeResponse) deliveredEvents() uint64                { return f.lastEvent }
func (f *fakeResponse) writeError(*verdict.Error, http.Header) {}
func (f *fakeResponse) discard()                               {}

// chunkStream is a stream of chunks that ends with io.EOF.
type chunkStream []*wire.Chunk

func (s *chunkStream) Recv() (*wire.Chunk, error) {
	if len(*s) == 0 {
		return nil, io.EOF
	}
	first := (*s)[0]
	*s = (*s)[1:]
	return first, nil
}

func newTestRouter(t *testing.T) *Router {
	s := DefaultSettings()
	s.Instance, s.Region, s.FailureDomain = "r1", "here", "a"
	s.Placement.TokenKeys = []settings.Secret{"0123456789abcdef0123456789abcdef"}
	s.Log = settings.Table{"use": "httplog", "httplog": map[string]any{"url": "http://127.0.0.1:1"}}
	s.Instances = settings.Table{"use": "httplist", "httplist": map[string]any{"url": "http://127.0.0.1:1"}}
	r, err := New("test", s, kernel.NewContext("r1", daemon.NewDiscardLogger("r1")))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// completeResponse returns the chunks of a complete response of n events and its text.
func completeResponse(id *wire.AttemptID, n int) (chunkStream, string) {
	var out chunkStream
	add := func(c *wire.Chunk) {
		c.Attempt, c.Sequence = id, uint64(len(out))
		out = append(out, c)
	}
	add(&wire.Chunk{Kind: &wire.Chunk_Admitted{Admitted: &wire.Admitted{}}})
	add(&wire.Chunk{Kind: &wire.Chunk_Head{Head: &wire.Head{Status: 200}}})
	text := ""
	for i := range n {
		body := fmt.Sprintf("%d of %d;", i, id.GetSequence())
		text += body
		add(&wire.Chunk{Kind: &wire.Chunk_Data{Data: &wire.Data{Body: []byte(body), Event: uint64(i + 1)}}})
	}
	add(&wire.Chunk{Kind: &wire.Chunk_End{End: &wire.End{Chunks: uint64(n), Bytes: uint64(len(text)), Checksum: xxhash.Sum64String(text)}}})
	return out, text
}

// Guards against a response that is reported complete although chunks were lost, repeated, swapped, cut
// off or replaced by chunks of another attempt, and against data of another attempt reaching the caller.
func TestCorruptedResponseIsNeverReportedComplete(t *testing.T) {
	r := newTestRouter(t)
	proptest.Check(t, func(t *rapid.T) {
		id := &wire.AttemptID{Router: "r1", RouterIncarnation: 1, Sequence: 7}
		chunks, text := completeResponse(id, rapid.IntRange(0, 6).Draw(t, "events"))
		foreign, _ := completeResponse(&wire.AttemptID{Router: "r1", RouterIncarnation: 1, Sequence: 8}, 6)
		for range rapid.IntRange(0, 3).Draw(t, "faults") {
			chunks = injectFault(t, chunks, foreign)
		}
		response := &fakeResponse{}
		reader := &attemptReader{
			router: r, call: &call{template: &wire.ExecuteRequest{}, response: response}, sidecar: &sidecarConn{}, id: id, digest: xxhash.New(),
		}
		err := reader.read(&chunks)
		if (err == nil) != response.finished {
			t.Fatalf("error %v, but response finished: %t", err, response.finished)
		}
		if response.finished && response.body != text {
			t.Fatalf("response finished with body %q, want %q", response.body, text)
		}
		if len(response.body) > len(text) || text[:len(response.body)] != response.body {
			t.Fatalf("caller received %q, want a prefix of %q", response.body, text)
		}
		if err != nil && verdict.Of(err) != verdict.Unknown {
			t.Fatalf("verdict of a corrupted response is %s, want unknown", verdict.Of(err))
		}
	})
}

// injectFault removes, repeats, swaps, replaces or cuts off chunks.
func injectFault(t *rapid.T, chunks, foreign chunkStream) chunkStream {
	if len(chunks) == 0 {
		return chunks
	}
	at := rapid.IntRange(0, len(chunks)-1).Draw(t, "at")
	other := rapid.IntRange(0, len(chunks)-1).Draw(t, "other")
	out := slices.Clone(chunks)
	switch rapid.IntRange(0, 4).Draw(t, "fault") {
	case 0:
		return slices.Delete(out, at, at+1)
	case 1:
		return slices.Insert(out, at, out[other])
	case 2:
		out[at], out[other] = out[other], out[at]
	case 3:
		// The chunk at the same position passes all checks except that of the attempt ID. Beyond the end of
		// foreign it is the last chunk.
		out[at] = foreign[min(at, len(foreign)-1)]
	case 4:
		return out[:at]
	}
	return out
}
