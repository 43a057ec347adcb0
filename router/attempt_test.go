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

// memoryAnswer keeps what a caller would see.
type memoryAnswer struct {
	body  string
	ended bool
	last  uint64
}

func (m *memoryAnswer) head(*wire.Head, http.Header) error { return nil }
func (m *memoryAnswer) data(d *wire.Data) error {
	m.body += string(d.GetBody())
	m.last = d.GetEvent()
	return nil
}
func (m *memoryAnswer) end() error                       { m.ended = true; return nil }
func (m *memoryAnswer) begun() bool                      { return m.last > 0 }
func (m *memoryAnswer) delivered() uint64                { return m.last }
func (m *memoryAnswer) fail(*verdict.Error, http.Header) {}
func (m *memoryAnswer) reset()                           {}

type chunkList []*wire.Chunk

func (l *chunkList) Recv() (*wire.Chunk, error) {
	if len(*l) == 0 {
		return nil, io.EOF
	}
	first := (*l)[0]
	*l = (*l)[1:]
	return first, nil
}

func testRouter(t *testing.T) *Router {
	s := DefaultSettings()
	s.Instance, s.Region, s.FailureDomain = "r1", "here", "a"
	s.Placement.TokenKeys = []settings.Secret{"0123456789abcdef0123456789abcdef"}
	s.Log = settings.Table{"use": "httplog", "httplog": map[string]any{"url": "http://127.0.0.1:1"}}
	s.Instances = settings.Table{"use": "httplist", "httplist": map[string]any{"url": "http://127.0.0.1:1"}}
	r, err := New("test", s, kernel.NewContext("r1", daemon.Discard("r1")))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// response returns the chunks of a whole response of n events.
func response(id *wire.AttemptID, n int) (chunkList, string) {
	var out chunkList
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

// Chunks that are lost, repeated, swapped, changed or of another attempt must never make a response
// that looks whole and is not, nor put foreign text before the caller.
func TestDamagedResponsesNeverLookWhole(t *testing.T) {
	r := testRouter(t)
	proptest.Check(t, func(t *rapid.T) {
		id := &wire.AttemptID{Router: "r1", RouterIncarnation: 1, Sequence: 7}
		chunks, text := response(id, rapid.IntRange(0, 6).Draw(t, "events"))
		foreign, _ := response(&wire.AttemptID{Router: "r1", RouterIncarnation: 1, Sequence: 8}, 6)
		for range rapid.IntRange(0, 3).Draw(t, "faults") {
			chunks = damage(t, chunks, foreign)
		}
		answer := &memoryAnswer{}
		reader := &attemptReader{
			router: r, call: &call{message: &wire.ExecuteRequest{}, answer: answer}, peer: &peer{}, id: id, digest: xxhash.New(),
		}
		err := reader.read(&chunks)
		if (err == nil) != answer.ended {
			t.Fatalf("error %v, but the caller saw the end: %t", err, answer.ended)
		}
		if answer.ended && answer.body != text {
			t.Fatalf("a response looked whole but was %q, want %q", answer.body, text)
		}
		if len(answer.body) > len(text) || text[:len(answer.body)] != answer.body {
			t.Fatalf("the caller saw %q, which is no beginning of %q", answer.body, text)
		}
		if err != nil && verdict.Of(err) != verdict.Unknown {
			t.Fatalf("a damaged response gave the verdict %s", verdict.Of(err))
		}
	})
}

func damage(t *rapid.T, chunks, foreign chunkList) chunkList {
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
		// The chunk of the same position passes all checks but that of the attempt.
		out[at] = foreign[min(at, len(foreign)-1)]
	case 4:
		return out[:at]
	}
	return out
}
