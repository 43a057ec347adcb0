package gateway

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"jacinthfork.example/jacinthfork/gateway/buffer"
	"jacinthfork.example/jacinthfork/gateway/routes"
)

// Guards against memory that each event of a stream takes besides its ID: a small gateway relays thousands a second.
func TestEventAllocatesItsIDOnly(t *testing.T) {
	is := is.New(t)
	in := newEventReader(strings.NewReader(strings.Repeat("id: 1234567\ndata: some text of an answer\n\n", 400)), buffer.NewBudget(1<<20, nil))
	defer in.close()
	_, err := in.next()
	is.NoErr(err)
	is.True(testing.AllocsPerRun(300, func() {
		if _, err := in.next(); err != nil {
			t.Fatal(err)
		}
	}) <= 1)
}

// Guards against memory for the decision whether a request may ask a keeper, which is made for each refused request.
func TestLocalDecisionAllocatesNothing(t *testing.T) {
	is := is.New(t)
	g, table, route := newEngineGateway(t)
	s := &requestState{g: g, table: table, route: route, pool: route.Targets[0].Pool, priority: 1, organisation: "org-1"}
	now := time.Now()
	decide := func() {
		q := s.question()
		g.asks.mayAsk(now, &q)
	}
	decide()
	is.Equal(testing.AllocsPerRun(100, decide), 0.)
}

// Guards against a copy of a response header that takes memory for each response.
func TestCopyOfAHeaderAllocatesNothing(t *testing.T) {
	is := is.New(t)
	in := http.Header{"Content-Type": {"text/plain"}, "Content-Length": {"3"}, "X-Request-Id": {"1"}, "Date": {"now"}}
	out := make(http.Header)
	is.Equal(testing.AllocsPerRun(100, func() { copyEndToEnd(out, in) }), 0.)
	is.Equal(out, http.Header{"Content-Type": {"text/plain"}, "X-Request-Id": {"1"}, "Date": {"now"}})
}

// Guards against a gateway that leaves and keeps its callers' connections: the fields of an instance that are not for the caller
// do not remove those that the gateway has set.
func TestHopByHopFieldsOfAnInstanceLeaveThoseOfTheGateway(t *testing.T) {
	is := is.New(t)
	out := http.Header{"Connection": {"close"}, "X-Own": {"own"}}
	copyEndToEnd(out, http.Header{"Connection": {"keep-alive, x-own", "X-Other"}, "X-Own": {"a"}, "X-Other": {"b"}, "Keep-Alive": {"timeout=5"}, "Etag": {"c"}})
	is.Equal(out, http.Header{"Connection": {"close"}, "X-Own": {"own"}, "Etag": {"c"}})
}

// Guards against a stall that is noticed later than by a check in each interval, and against checks that cannot find one. Data
// that arrives later only moves the time of a stall.
func TestSilenceIsCheckedWhenItCanBeFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		begin := time.Now()
		duration := func(name string, most int64) time.Duration {
			return time.Duration(rapid.Int64Range(0, most).Draw(t, name)) * time.Millisecond
		}
		silentAt := begin.Add(duration("silent at", 2000) - duration("before", 500))
		w := &watch{watched: watched{interval: stallCheckInterval, silentAt: func() time.Time { return silentAt }}}
		want := begin.Add(stallCheckInterval)
		for !want.After(silentAt) {
			want = want.Add(stallCheckInterval)
		}
		if got := w.nextSilentCheck(begin); !got.Equal(want) {
			t.Fatalf("checked after %s, want %s", got.Sub(begin), want.Sub(begin))
		}
	})
}

// Guards against memory for the choice of a route and its only pool.
func TestMatchAllocatesNothing(t *testing.T) {
	is := is.New(t)
	table, err := routes.New(routes.Spec{
		Routes: []*routes.Route{{Name: "r", Host: "shop.example", Prefix: "/", MaxAttempts: 1, Targets: []routes.Target{{Pool: "p", Weight: 1}}}},
		Pools:  []*routes.Pool{{Name: "p"}},
	})
	is.NoErr(err)
	is.Equal(testing.AllocsPerRun(100, func() {
		if table.Match("shop.example", "/x").PoolOrder(1)[0] != "p" {
			t.Fatal("another pool")
		}
	}), 0.)
}

// knownLength is a body that ends with its last byte, as those of net/http with a length do.
type knownLength struct{ text string }

func (b *knownLength) Read(p []byte) (n int, err error) {
	n = copy(p, b.text)
	if b.text = b.text[n:]; b.text == "" {
		err = io.EOF
	}
	return n, err
}

// Guards against a response of known length whose buffer grows step by step.
func TestResponseOfKnownLengthTakesOneBuffer(t *testing.T) {
	is := is.New(t)
	budget := buffer.NewBudget(1<<20, nil)
	text, in := strings.Repeat("x", 1500), &knownLength{}
	is.True(testing.AllocsPerRun(50, func() {
		in.text = text
		body := budget.New("response", maxBufferedBytes)
		body.Expect(int64(len(text)))
		if complete, err := body.Fill(in); !complete || err != nil || body.Len() != len(text) {
			t.Fatal(complete, err)
		}
		body.Close()
	}) <= 2) // the buffer and its content
}

// Guards against a request that a stop does not end, or ends after it has left, and against memory for each member.
func TestRequestGroupEndsItsMembersOnly(t *testing.T) {
	is := is.New(t)
	var g requestGroup
	member, left, late := &requestState{}, &requestState{}, &requestState{}
	g.enter(member)
	g.enter(left)
	g.leave(left)
	is.Equal(testing.AllocsPerRun(100, func() { g.enter(left); g.leave(left) }), 0.)
	var ended []*requestState
	g.endAll(func(s *requestState) { ended = append(ended, s) })
	is.Equal(ended, []*requestState{member})
	g.leave(member)
	g.enter(late)
	is.Equal(ended, []*requestState{member, late})
}
