package suspect

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jacinthfork.example/jacinthfork/verdict"
)

// clock is a virtual clock shared by the tables of one test.
type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

func newClock() *clock { return &clock{at: time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)} }

// newTable returns a table that accepts requests at once: MarkSynced was called and Settle has passed.
func newTable(t testing.TB, c *clock, settings Settings, self string, members []string) *Table {
	t.Helper()
	table, err := NewTable(self, 1, settings)
	if err != nil {
		t.Fatal(err)
	}
	table.now = c.now
	table.started = c.at.Add(-settings.Settle)
	table.SetMembers(members)
	table.MarkSynced()
	return table
}

// unlimitedExposure returns settings that let clean requests run on all instances.
func unlimitedExposure() Settings {
	s := DefaultSettings()
	s.ExposureGroup = 0
	s.ExposureFingerprint = 0
	return s
}

// mustStart starts a request and fails the test if it is refused.
func mustStart(t *testing.T, table *Table, fingerprint uint64, isolated bool) *Run {
	t.Helper()
	run, d := table.Start(Request{Fingerprint: fingerprint}, isolated)
	if d.Err != nil {
		t.Fatalf("request %d was refused: %v", fingerprint, d.Err)
	}
	return run
}

// Guards against a request that is not refused after it crashed an engine with another request in flight and
// then alone; and against that other request staying suspect.
func TestCrashingRequestIsRefusedAndOthersAreCleared(t *testing.T) {
	is := is.New(t)
	c := newClock()
	table := newTable(t, c, unlimitedExposure(), "a", []string{"a"})
	mustStart(t, table, 1, false)
	mustStart(t, table, 2, false)
	is.Equal(table.RecordCrash(), 2)
	is.Equal(table.Check(Request{Fingerprint: 1}).Isolate, true)
	_, d := table.Start(Request{Fingerprint: 1}, false)
	is.Equal(d.Err.Reason, verdict.ReasonIsolation) // the run is not isolated
	mustStart(t, table, 1, true)
	table.RecordCrash()
	is.Equal(table.State(1), Refused)
	d = table.Check(Request{Fingerprint: 1})
	is.Equal(d.Err.Reason, verdict.ReasonCrashRefused)
	is.Equal(d.Err.Verdict, verdict.NotRun)
	is.Equal(table.State(2), Probation) // its only crash is explained by request 1
	table.Finish(mustStart(t, table, 2, false), true)
	is.Equal(table.State(2), Clean)
}

// Guards against a request that stays suspect after it completed alone, or is not in probation after
// ExcuseAfter; and against a cancelled run that clears a suspect.
func TestSuspectIsClearedByCompletionAndExcusedByAge(t *testing.T) {
	is := is.New(t)
	c := newClock()
	table := newTable(t, c, unlimitedExposure(), "a", []string{"a"})
	mustStart(t, table, 1, false)
	mustStart(t, table, 2, false)
	table.RecordCrash()
	table.Finish(mustStart(t, table, 2, true), false)
	is.Equal(table.State(2), Suspected)
	table.Finish(mustStart(t, table, 2, true), true)
	is.Equal(table.State(2), Clean)
	c.at = c.at.Add(DefaultSettings().ExcuseAfter)
	is.Equal(table.State(1), Probation)
	mustStart(t, table, 1, false)
	mustStart(t, table, 2, false)
	table.RecordCrash()
	c.at = c.at.Add(DefaultSettings().ExcuseAfter)
	is.Equal(table.State(1), Suspected) // age excuses an entry only once
}

// Guards against tables that compute different targets for one suspect, and against a clean request that runs
// outside its exposure set.
func TestRequestRunsOnlyOnTargetOrExposureSet(t *testing.T) {
	is := is.New(t)
	c := newClock()
	settings := DefaultSettings()
	members := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}
	tables := make(map[string]*Table)
	for _, id := range members {
		tables[id] = newTable(t, c, settings, id, members)
	}
	exposed := 0
	var first *Table
	for _, id := range members {
		if d := tables[id].Check(Request{Fingerprint: 7, Group: 9}); d.Err == nil {
			exposed++
			first = tables[id]
		} else {
			is.Equal(d.Err.Reason, verdict.ReasonNotATarget)
		}
	}
	is.True(exposed <= settings.ExposureGroup+settings.ExposureFingerprint)
	mustStart(t, first, 7, false)
	first.RecordCrash()
	targets := 0
	for _, id := range members {
		tables[id].Merge(first.Export(10))
		d := tables[id].Check(Request{Fingerprint: 7, Group: 9})
		is.Equal(d.Err.Reason, verdict.ReasonCrashSuspect)
		if d.RedirectTo == "" {
			targets++
			is.Equal(d.Err.RetryAfter, settings.Settle)
			c.at = c.at.Add(settings.Settle)
			is.Equal(tables[id].Check(Request{Fingerprint: 7, Group: 9}), Decision{Isolate: true})
		}
	}
	is.Equal(targets, 1)
}

// Guards against repeats that avoid a refusal by another ID, field order or spacing, and against one
// fingerprint for different organisations or texts.
func TestFingerprintIgnoresIDsAndFormatting(t *testing.T) {
	is := is.New(t)
	base := Fingerprint("o", []byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"id":"1"}`))
	is.Equal(base, Fingerprint("o", []byte(`{"id":"2", "messages": [{"role":"user","content":"x"}],"model":"m"}`)))
	is.True(base != Fingerprint("p", []byte(`{"model":"m","messages":[{"role":"user","content":"x"}]}`)))
	is.True(base != Fingerprint("o", []byte(`{"model":"m","messages":[{"role":"user","content":"y"}]}`)))
	is.True(Fingerprint("o", []byte("a")) != Fingerprint("o", []byte("b")))
}

// crashAndSpread runs the request on a table, crashes the engine and merges the evidence into all tables.
func crashAndSpread(t *testing.T, table *Table, r Request, isolated bool, all map[string]*Table) {
	t.Helper()
	if _, d := table.Start(r, isolated); d.Err != nil {
		t.Fatal(d.Err)
	}
	table.RecordCrash()
	for _, other := range all {
		other.Merge(table.Export(100))
	}
}

// Guards against a MaxEngines that differs from the exact worst case: copies on the whole exposure set before
// any evidence arrives, one crash in probation, then crashes alone on one target until the refusal.
func TestMaxEnginesIsTheExactWorstCase(t *testing.T) {
	benign := Request{Fingerprint: 8, NamedByToken: true}
	for refuseAfter := 2; refuseAfter <= 4; refuseAfter++ {
		is := is.New(t)
		c := newClock()
		settings := DefaultSettings()
		settings.RefuseAfter = refuseAfter
		members := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m", "n", "o"}
		all := make(map[string]*Table)
		for _, id := range members {
			all[id] = newTable(t, c, settings, id, members)
		}
		var exposed []*Table
		tokenUsed := false
		r := Request{Fingerprint: 7, Group: 11} // a group whose preferred instances differ from the fingerprint's
		for _, id := range members {
			named := Request{Fingerprint: 7, Group: 11}
			if all[id].Check(r).Err != nil {
				named.NamedByToken = !tokenUsed // one token, which names one more instance
				tokenUsed = true
			}
			if _, d := all[id].Start(named, false); d.Err == nil {
				exposed = append(exposed, all[id])
				_, d = all[id].Start(benign, false) // with the benign request in flight, no crash counts as alone
				is.Equal(d.Err, (*verdict.Error)(nil))
			}
		}
		crashed := len(exposed)
		for _, table := range exposed {
			table.RecordCrash()
			for _, id := range members {
				all[id].Merge(table.Export(100))
			}
		}
		target := all[exposed[0].entries[r.Fingerprint].target]
		c.at = c.at.Add(settings.ExcuseAfter + time.Second)
		benign.Fingerprint++ // the first one is a suspect now
		_, d := target.Start(benign, false)
		is.Equal(d.Err, (*verdict.Error)(nil))
		crashAndSpread(t, target, r, false, all)
		crashed++
		for target.State(7) != Refused {
			crashAndSpread(t, target, r, true, all)
			crashed++
		}
		is.Equal(crashed, settings.MaxEngines())
		for _, id := range members {
			is.Equal(all[id].Check(r).Err.Reason, verdict.ReasonCrashRefused)
		}
	}
}

// Guards against a sidecar that has just started, or a new target, that runs a request before evidence of
// earlier crashes has had time to arrive.
func TestNewSidecarAndNewTargetWaitForSettle(t *testing.T) {
	is := is.New(t)
	c := newClock()
	settings := unlimitedExposure()
	fresh, err := NewTable("b", 1, settings)
	is.NoErr(err)
	fresh.now = c.now
	fresh.started = c.at
	fresh.SetMembers([]string{"a", "b"})
	is.Equal(fresh.Check(Request{Fingerprint: 1}).Err.Reason, verdict.ReasonNotReady)
	fresh.MarkSynced()
	is.Equal(fresh.Check(Request{Fingerprint: 1}).Err.Reason, verdict.ReasonNotReady)
	c.at = c.at.Add(settings.Settle)
	is.Equal(fresh.Check(Request{Fingerprint: 1}).Err, (*verdict.Error)(nil))

	crashed := newTable(t, c, settings, "a", []string{"a"})
	mustStart(t, crashed, 1, false)
	crashed.RecordCrash()
	fresh.SetMembers([]string{"a"}) // "a" is the target
	fresh.Merge(crashed.Export(10))
	c.at = c.at.Add(settings.Settle)
	is.Equal(fresh.Check(Request{Fingerprint: 1}).RedirectTo, "a")
	fresh.SetMembers([]string{"b"})
	fresh.members = []string{"b", "c"} // with a single member there is no wait for Settle
	d := fresh.Check(Request{Fingerprint: 1})
	is.Equal(d.Err.Reason, verdict.ReasonCrashSuspect)
	is.Equal(d.Err.RetryAfter, settings.Settle)
}

// Guards against a target that skips Settle after a new crash elsewhere because it knew the request as clean.
func TestTargetWaitsForSettleAfterNewCrash(t *testing.T) {
	is := is.New(t)
	c := newClock()
	settings := unlimitedExposure()
	target := newTable(t, c, settings, "a", []string{"a"})
	mustStart(t, target, 1, false)
	target.RecordCrash()
	target.Finish(mustStart(t, target, 1, true), true)
	is.Equal(target.State(1), Clean)
	target.members = []string{"a", "b"} // with a single member there is no wait for Settle
	c.at = c.at.Add(time.Minute)
	other := newTable(t, c, settings, "b", []string{"b"})
	mustStart(t, other, 1, false)
	other.RecordCrash()
	target.Merge(other.Export(10))
	is.Equal(target.Check(Request{Fingerprint: 1}).Err.RetryAfter, settings.Settle)
}
