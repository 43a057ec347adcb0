package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"jacinthfork.example/jacinthfork/internal/proptest"
)

// Guards against a wait that is begun just after what would have ended it: between the choice of the instance and the wait
// nothing else tells the request.
func TestWaitThatBeginsTooLateEndsAtOnce(t *testing.T) {
	for name, cause := range map[string]func(r *Registry, l *Lease){
		"removal":    func(r *Registry, l *Lease) { r.Remove(l.Instance.ID) },
		"restart":    func(r *Registry, l *Lease) { i := l.Instance; i.StartedAt++; r.ApplyEntry(i) },
		"departure":  func(_ *Registry, l *Lease) { l.RecordLeaving() },
		"evacuation": func(r *Registry, l *Lease) { r.SetEvacuated(l.Instance.FailureDomain, true) },
		"crash":      func(r *Registry, l *Lease) { r.RecordCrash(l.Instance) },
		"new keeper": func(r *Registry, _ *Lease) { r.SetFleet("self", []Router{{Name: "other"}}) },
		"new entry in an evacuated domain": func(r *Registry, l *Lease) {
			r.SetEvacuated("evacuated", true)
			i := l.Instance
			i.FailureDomain, i.Sequence = "evacuated", i.Sequence+1
			r.ApplyEntry(i)
		},
		"successor": func(r *Registry, l *Lease) {
			i := l.Instance
			i.ID, i.Offset = "successor", i.Offset+1
			r.ApplyEntry(i)
			r.EvictPredecessors(i)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, _ := testRegistry()
			r.SetFleet("self", []Router{{Name: "self"}})
			r.ApplyEntry(testInstance(0))
			l := r.Acquire(&Request{Pool: "llm"})
			key := KeyOf(l.Instance.ID)
			own, others := 0, 0
			defer l.OnUnusable(func() { own++ })()
			defer r.OnClosed(key, func() { others++ })()
			is.Equal([]int{own, others}, []int{0, 0})
			cause(r, l)
			is.Equal([]int{own, others}, []int{1, 1})
			l.OnUnusable(func() { own++ })()
			is.Equal(own, 2)
			if name != "restart" {
				r.OnClosed(key, func() { others++ })()
				is.Equal(others, 2)
			}
			is.Equal(len(r.waits), 0)
		})
	}
}

// Guards against a hold-off, by which an instance turns one router away, that ends the waits of other routers' requests at
// its keeper.
func TestHoldOffEndsOwnWaitsOnly(t *testing.T) {
	is := is.New(t)
	r, _ := testRegistry()
	r.ApplyEntry(testInstance(0))
	l := r.Acquire(&Request{Pool: "llm"})
	own, others := 0, 0
	defer l.OnUnusable(func() { own++ })()
	stop := r.OnClosed(KeyOf(l.Instance.ID), func() { others++ })
	l.RecordHoldOff(time.Second)
	is.Equal([]int{own, others}, []int{1, 0})
	stop()
	is.Equal(len(r.waits), 0)
}

// Guards against a request that goes on waiting for a place at an instance that it must not be sent to, or whose keeper is
// another one than it has asked, whatever happens in whatever order.
func TestNobodyWaitsInVain(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		r, c := testRegistry()
		type request struct {
			*Lease
			ended bool
			stop  func()
		}
		var waiting []*request
		offset := uint64(0)
		instance := rapid.Custom(func(t *rapid.T) Instance {
			i := testInstance(rapid.IntRange(0, 2).Draw(t, "instance"))
			i.FailureDomain = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "domain")
			i.StartedAt = rapid.Int64Range(1, 3).Draw(t, "start")
			i.Sequence = rapid.Int64Range(1, 6).Draw(t, "sequence")
			i.Leaving = rapid.Bool().Draw(t, "leaving")
			return i
		})
		lease := func(t *rapid.T, do func(l *Lease)) {
			if l := r.Acquire(&Request{Pool: "llm"}); l != nil {
				do(l)
				l.Release(rapid.SampledFrom([]Outcome{Served, Refused, Broken, Unreachable, Replaced}).Draw(t, "outcome"))
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(*rapid.T) {
				if l := r.Acquire(&Request{Pool: "llm"}); l != nil && !l.Forced {
					q := &request{Lease: l}
					q.stop = l.OnUnusable(func() { q.ended = true })
					waiting = append(waiting, q)
				}
			},
			"publish": func(t *rapid.T) {
				i := instance.Draw(t, "entry")
				offset++
				i.Offset = offset
				r.ApplyEntry(i)
				r.EvictPredecessors(i)
			},
			"remove":   func(t *rapid.T) { r.Remove(instance.Draw(t, "entry").ID) },
			"outage":   func(*rapid.T) { r.RecordStoreRecovery() },
			"leaves":   func(t *rapid.T) { lease(t, func(l *Lease) { l.RecordLeaving() }) },
			"hold off": func(t *rapid.T) { lease(t, func(l *Lease) { l.RecordHoldOff(time.Second) }) },
			"crash":    func(t *rapid.T) { lease(t, func(l *Lease) { r.RecordCrash(l.Instance) }) },
			"evacuate": func(t *rapid.T) { r.SetEvacuated("b", rapid.Bool().Draw(t, "evacuated")) },
			"fleet": func(t *rapid.T) {
				all := []Router{{Name: "self"}, {Name: "x", Incarnation: 1}, {Name: "y", Incarnation: 1}}
				r.SetFleet("self", all[rapid.IntRange(0, 1).Draw(t, "first"):rapid.IntRange(1, 3).Draw(t, "last")])
			},
			"sweep": func(t *rapid.T) {
				c.advance(time.Duration(rapid.IntRange(1, 90).Draw(t, "seconds")) * time.Second)
				r.Sweep(c.now())
			},
			"": func(t *rapid.T) {
				for _, q := range waiting {
					if !q.ended && (!q.Usable() || q.member.keeper != q.Keeper) {
						t.Fatalf("a request waits at %s, started at %d", q.Instance.ID, q.Instance.StartedAt)
					}
				}
			},
		})
		for _, q := range waiting {
			q.stop()
		}
		if len(r.waits) > 0 {
			t.Fatalf("%d waits are left", len(r.waits))
		}
	})
}
