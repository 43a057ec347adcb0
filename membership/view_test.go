package membership

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"jacinthfork.example/jacinthfork/internal/proptest"
	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/kernel/journal"
	"jacinthfork.example/jacinthfork/services"
	"jacinthfork.example/jacinthfork/wire"
)

// listFunc is an instance list backed by a function.
type listFunc func() []services.Instance

func (f listFunc) List(context.Context) ([]services.Instance, error) { return f(), nil }

func listed(ids ...string) []services.Instance {
	var out []services.Instance
	for _, id := range ids {
		out = append(out, services.Instance{
			ID: id, Role: services.RoleSidecar, Pool: "scribe", Address: "127.0.0.1:1",
			FailureDomain: "gondar-1", Region: "gondar",
		})
	}
	return out
}

func withView(t *testing.T, body func(is *is.I, v *View)) {
	synctest.Test(t, func(t *testing.T) {
		v := NewView(DefaultViewOptions, journal.New(100), kernel.NewCounters())
		ctx, cancel := context.WithCancel(t.Context())
		go v.Run(ctx, listFunc(func() []services.Instance { <-ctx.Done(); return nil }), time.Hour)
		body(is.New(t), v)
		cancel()
		synctest.Wait()
	})
}

// states returns one letter per member: r for ready, l for leaving, d for down.
func states(v *View) string {
	synctest.Wait()
	out := ""
	for _, m := range v.Pool("scribe").Members {
		switch {
		case m.Ready:
			out += m.Instance + "r"
		case m.Leaving:
			out += m.Instance + "l"
		default:
			out += m.Instance + "d"
		}
	}
	return out
}

func loadReport(incarnation uint64, leaving bool) *wire.Load {
	return &wire.Load{Incarnation: incarnation, Work: 7, Leaving: leaving}
}

// An instance that only the list knows gets work after JoinDelay; its own report admits it at once.
func TestJoinDelayAppliesWithoutReport(t *testing.T) {
	withView(t, func(is *is.I, v *View) {
		v.SetList(listed("a", "b"))
		is.Equal(states(v), "adbd")
		v.ObserveLoad("b", loadReport(1, false))
		is.Equal(states(v), "adbr")
		time.Sleep(DefaultViewOptions.JoinDelay)
		is.Equal(states(v), "arbr")
	})
}

// A departure reported by the list or by the sidecar stops new work at once, whatever the other source says.
func TestLeavingStopsNewWork(t *testing.T) {
	withView(t, func(is *is.I, v *View) {
		v.SetList(listed("a", "b"))
		v.ObserveLoad("a", loadReport(1, false))
		v.ObserveLoad("b", loadReport(1, false))
		v.ObserveLoad("a", loadReport(1, true))
		leaving := listed("a", "b")
		leaving[1].Leaving = true
		v.SetList(leaving)
		is.Equal(states(v), "albl")
		v.ObserveLoad("a", loadReport(1, false)) // A late response sent before the departure.
		v.ObserveLoad("b", loadReport(1, false))
		is.Equal(states(v), "albl")
		v.ObserveLoad("a", loadReport(2, false)) // The replacement process under the same name.
		is.Equal(states(v), "arbl")
	})
}

// Direct evidence overrides the list: a refusal stops new work although the instance is listed, and an instance
// that answers is kept although it is no longer listed.
func TestDirectEvidenceOverridesList(t *testing.T) {
	withView(t, func(is *is.I, v *View) {
		v.SetList(listed("a", "b"))
		v.ObserveLoad("a", loadReport(1, false))
		v.ObserveLoad("b", loadReport(1, false))
		v.ObserveRefusal("a", 1)
		is.Equal(states(v), "adbr")
		v.SetList(listed("a"))
		time.Sleep(DefaultViewOptions.RemoveDelay + time.Second)
		is.Equal(states(v), "arbr") // a was readmitted after its delay, b is kept by its report.
		time.Sleep(DefaultViewOptions.ReportMaxAge)
		is.Equal(states(v), "ar")
		time.Sleep(DefaultViewOptions.FlapDecay) // The refusal above has decayed.
		v.ObserveRefusal("a", 1)
		time.Sleep(time.Millisecond)
		v.ObserveLoad("a", loadReport(1, false)) // It answered after the refusal.
		is.Equal(states(v), "ar")
	})
}

// Guards against a flapping instance that keeps failing requests: the delay grows with each flap and shrinks
// again after a while without flaps.
func TestFlappingInstanceIsReadmittedWithBackoff(t *testing.T) {
	withView(t, func(is *is.I, v *View) {
		v.SetList(listed("a"))
		v.ObserveLoad("a", loadReport(1, false))
		previous := time.Duration(0)
		for range 8 {
			v.ObserveRefusal("a", 1)
			v.ObserveRefusal("a", 1) // Requests that fail together are one flap.
			down := time.Now()
			for states(v) != "ar" {
				v.ObserveLoad("a", loadReport(1, false))
				time.Sleep(100 * time.Millisecond)
			}
			pause := time.Since(down)
			is.True(pause >= previous && pause <= DefaultViewOptions.MaxReadmitDelay+time.Second)
			previous = pause
		}
		is.True(previous >= 20*time.Second)
		time.Sleep(10 * DefaultViewOptions.FlapDecay)
		v.ObserveRefusal("a", 1)
		time.Sleep(DefaultViewOptions.ReadmitDelay)
		is.Equal(states(v), "ar")
	})
}

// State relayed through the pool must neither bring back a removed instance nor override newer direct evidence.
func TestRelayedStateDoesNotOverrideNewerEvidence(t *testing.T) {
	withView(t, func(is *is.I, v *View) {
		update := func(incarnation, version uint64, ready bool, age time.Duration) *wire.PoolUpdate {
			return &wire.PoolUpdate{Pool: "scribe", Members: []*wire.Member{{
				Instance: "a", Address: "127.0.0.1:1", Incarnation: incarnation, Version: version,
				Ready: ready, AgeMs: uint32(age.Milliseconds()),
			}}}
		}
		v.ApplyUpdate(update(1, 1, true, time.Minute)) // Too old to add an unknown instance.
		is.Equal(states(v), "")
		v.ApplyUpdate(update(1, 1, true, time.Second))
		is.Equal(states(v), "ar") // Known before the list has it.
		v.ObserveRefusal("a", 1)
		v.ApplyUpdate(update(1, 1, true, time.Second))
		is.Equal(states(v), "ad") // Older than the refusal.
		v.ApplyUpdate(update(1, 2, false, 0))
		time.Sleep(DefaultViewOptions.ReadmitDelay)
		is.Equal(states(v), "ad")
		v.ApplyUpdate(update(1, 1, true, 0)) // An older version.
		is.Equal(states(v), "ad")
		v.ApplyUpdate(update(1, 3, true, 0))
		is.Equal(states(v), "ar")
		v.ApplyUpdate(&wire.PoolUpdate{Loads: &wire.LoadVector{Member: []uint64{handle("a", 1)}, Work: []uint64{9}, Age: []uint32{50}}})
		work, at, ok := v.Pool("scribe").Members[0].Load()
		is.True(ok && work == 9 && time.Since(at) == 500*time.Millisecond)
	})
}

// For any order of evidence, a member known to be leaving is never ready, a published snapshot never changes,
// and each change closes the Changed channel.
func TestViewInvariantsForAnyEvidenceOrder(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		v := NewView(DefaultViewOptions, nil, kernel.NewCounters())
		reportedLeaving := map[string]uint64{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			before := v.Pool("scribe")
			copied := fmt.Sprint(before.Members)
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			incarnation := rapid.Uint64Range(1, 3).Draw(t, "incarnation")
			switch rapid.IntRange(0, 3).Draw(t, "evidence") {
			case 0:
				v.SetList(listed([]string{"a", "b", "c"}[:rapid.IntRange(0, 3).Draw(t, "listed")]...))
			case 1:
				v.ObserveRefusal(id, incarnation)
			default:
				_, known := before.Find(id)
				leaving := rapid.Bool().Draw(t, "leaving")
				v.ObserveLoad(id, loadReport(incarnation, leaving))
				if known && leaving {
					reportedLeaving[id] = max(reportedLeaving[id], incarnation)
				}
			}
			after := v.Pool("scribe")
			select {
			case <-before.Changed():
			default:
				if before != after {
					t.Fatal("the snapshot changed but its Changed channel is open")
				}
			}
			if fmt.Sprint(before.Members) != copied {
				t.Fatal("a published snapshot changed")
			}
			for _, m := range after.Members {
				if m.Ready && reportedLeaving[m.Instance] >= m.Incarnation && m.Incarnation != 0 {
					t.Fatalf("%s is ready although incarnation %d is leaving", m.Instance, m.Incarnation)
				}
			}
		}
	})
}
