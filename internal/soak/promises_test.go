package soak

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"jacinthfork.example/jacinthfork/platform/standin"
)

func ran(ids ...string) []standin.Arrival {
	var out []standin.Arrival
	for _, id := range ids {
		out = append(out, standin.RunOf(id))
	}
	return out
}

// Guards against a soak that sees nothing: each promise is broken here once, and must be found.
func TestBrokenPromisesAreFound(t *testing.T) {
	once, stream := Request{"a", Once}, Request{"s", Stream}
	for name, breaks := range map[string]func(p *Promises){
		"answer of another request": func(p *Promises) { p.Replied(once, standin.Reply{Status: 200, Signed: true, Body: Answer("b")}) },
		"unsigned answer":           func(p *Promises) { p.Replied(once, standin.Reply{Status: 200, Body: Answer("a")}) },
		"stream cut and ended":      func(p *Promises) { p.Replied(stream, standin.Reply{Status: 200, Signed: true, Body: standin.Event(1)}) },
		"event doubled in a cut one": func(p *Promises) {
			p.Replied(stream, standin.Reply{Status: 200, Body: standin.Event(1) + standin.Event(1), Err: http.ErrBodyReadAfterClose})
		},
		"denied":                      func(p *Promises) { p.Replied(once, standin.Reply{Status: 401}) },
		"ran twice":                   func(p *Promises) { p.Sending(once); p.Ran(ran("a", "a")) },
		"ran after a refusal":         func(p *Promises) { p.Sending(once); p.Replied(once, standin.Reply{Status: 503}); p.Ran(ran("a")) },
		"ran unasked":                 func(p *Promises) { p.Ran(ran("a")) },
		"configuration went back":     func(p *Promises) { p.Showed("n", 5); p.Showed("n", 4) },
		"work for a worker that left": func(p *Promises) { p.Left("w", time.Unix(10, 0), time.Second, []time.Time{time.Unix(12, 0)}) },
		"no recovery":                 func(p *Promises) { p.Recovered(8, 10) },
	} {
		t.Run(name, func(t *testing.T) {
			p := NewPromises()
			breaks(p)
			is.New(t).Equal(len(p.Broken()), 1)
		})
	}
	p := NewPromises()
	p.Sending(once)
	p.Replied(once, standin.Reply{Status: 200, Signed: true, Body: Answer("a")})
	p.Replied(stream, standin.Reply{Status: 200, Signed: true, Body: whole(stream)})
	p.Ran(ran("a"))
	p.Showed("n", 4)
	p.Showed("n", 5)
	p.Left("w", time.Unix(10, 0), time.Second, []time.Time{time.Unix(9, 0)})
	p.Recovered(10, 10)
	is.New(t).Equal(len(p.Broken()), 0)
}
