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

// newTable returns a warm table whose Settle has passed.
func newTable(t testing.TB, c *clock, settings Settings, self string, members []string) *Table {
	t.Helper()
	table, err := NewTable(self, 1, settings)
	if err != nil {
		t.Fatal(err)
	}
	table.now = c.now
	table.started = c.at.Add(-settings.Settle)
	table.SetMembers(members)
	table.Warm()
	return table
}

func everywhere() Settings {
	s := DefaultSettings()
	s.ExposureGroup = 0
	s.ExposureFingerprint = 0
	return s
}

func start(t *testing.T, table *Table, fingerprint uint64, isolated bool) *Run {
	t.Helper()
	run, d := table.Start(Request{Fingerprint: fingerprint}, isolated)
	if d.Err != nil {
		t.Fatalf("start of %d: %v", fingerprint, d.Err)
	}
	return run
}

// A request that crashes an engine beside others and then alone must be refused, under any ID,
// and the others must be free to run again.
func TestCulpritRefusedOthersCleared(t *testing.T) {
	is := is.New(t)
	c := newClock()
	table := newTable(t, c, everywhere(), "a", []string{"a"})
	start(t, table, 1, false)
	start(t, table, 2, false)
	is.Equal(table.Crash(), 2)
	is.Equal(table.Check(Request{Fingerprint: 1}).Isolate, true)
	_, d := table.Start(Request{Fingerprint: 1}, false)
	is.Equal(d.Err.Reason, verdict.ReasonIsolation) // not alone
	start(t, table, 1, true)
	table.Crash()
	is.Equal(table.State(1), Refused)
	d = table.Check(Request{Fingerprint: 1})
	is.Equal(d.Err.Reason, verdict.ReasonCrashRefused)
	is.Equal(d.Err.Verdict, verdict.NotRun)
	is.Equal(table.State(2), Probation) // its only crash is explained
	table.Finish(start(t, table, 2, false), true)
	is.Equal(table.State(2), Clean)
}

// A bystander must be clean after it finished alone, and in probation after ExcuseAfter; a run that
// was cancelled must prove nothing.
func TestBystanderIsCleared(t *testing.T) {
	is := is.New(t)
	c := newClock()
	table := newTable(t, c, everywhere(), "a", []string{"a"})
	start(t, table, 1, false)
	start(t, table, 2, false)
	table.Crash()
	table.Finish(start(t, table, 2, true), false)
	is.Equal(table.State(2), Suspected)
	table.Finish(start(t, table, 2, true), true)
	is.Equal(table.State(2), Clean)
	c.at = c.at.Add(DefaultSettings().ExcuseAfter)
	is.Equal(table.State(1), Probation)
	start(t, table, 1, false)
	start(t, table, 2, false)
	table.Crash()
	c.at = c.at.Add(DefaultSettings().ExcuseAfter)
	is.Equal(table.State(1), Suspected) // age excuses once
}

// Each suspect must have one target that all tables compute alike, and a request must run on its
// exposure set only.
func TestTargetAndExposure(t *testing.T) {
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
			is.Equal(d.Err.Reason, verdict.ReasonNotTarget)
		}
	}
	is.True(exposed <= settings.ExposureGroup+settings.ExposureFingerprint)
	start(t, first, 7, false)
	first.Crash()
	targets := 0
	for _, id := range members {
		tables[id].Merge(first.Export(10))
		d := tables[id].Check(Request{Fingerprint: 7, Group: 9})
		is.Equal(d.Err.Reason, verdict.ReasonCrashSuspect)
		if d.Ask == "" {
			targets++
			is.Equal(d.Err.RetryAfter, settings.Settle)
			c.at = c.at.Add(settings.Settle)
			is.Equal(tables[id].Check(Request{Fingerprint: 7, Group: 9}), Decision{Isolate: true})
		}
	}
	is.Equal(targets, 1)
}

// Repeats with other ids, field order or spacing must get the same fingerprint; another
// organisation or another text must not.
func TestFingerprint(t *testing.T) {
	is := is.New(t)
	base := Fingerprint("o", []byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"id":"1"}`))
	is.Equal(base, Fingerprint("o", []byte(`{"id":"2", "messages": [{"role":"user","content":"x"}],"model":"m"}`)))
	is.True(base != Fingerprint("p", []byte(`{"model":"m","messages":[{"role":"user","content":"x"}]}`)))
	is.True(base != Fingerprint("o", []byte(`{"model":"m","messages":[{"role":"user","content":"y"}]}`)))
	is.True(Fingerprint("o", []byte("a")) != Fingerprint("o", []byte("b")))
}

// lose runs the request on a table, crashes the engine and gives the evidence to all tables.
func lose(t *testing.T, table *Table, r Request, isolated bool, all map[string]*Table) {
	t.Helper()
	if _, d := table.Start(r, isolated); d.Err != nil {
		t.Fatal(d.Err)
	}
	table.Crash()
	for _, other := range all {
		other.Merge(table.Export(100))
	}
}

// MaxEngines must be the exact worst case: copies on the whole exposure set before any news, one
// crash in probation, then crashes alone on one target until the refusal.
func TestWorstCase(t *testing.T) {
	bystander := Request{Fingerprint: 8, ByToken: true}
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
		r := Request{Fingerprint: 7, Group: 11} // a group whose places differ from the fingerprint's
		for _, id := range members {
			named := Request{Fingerprint: 7, Group: 11}
			if all[id].Check(r).Err != nil {
				named.ByToken = !tokenUsed // one token, naming one more instance
				tokenUsed = true
			}
			if _, d := all[id].Start(named, false); d.Err == nil {
				exposed = append(exposed, all[id])
				_, d = all[id].Start(bystander, false) // no crash is known to be alone
				is.Equal(d.Err, (*verdict.Error)(nil))
			}
		}
		lost := len(exposed)
		for _, table := range exposed {
			table.Crash()
			for _, id := range members {
				all[id].Merge(table.Export(100))
			}
		}
		target := all[exposed[0].entries[r.Fingerprint].target]
		c.at = c.at.Add(settings.ExcuseAfter + time.Second)
		bystander.Fingerprint++ // the first one is a suspect now
		_, d := target.Start(bystander, false)
		is.Equal(d.Err, (*verdict.Error)(nil))
		lose(t, target, r, false, all)
		lost++
		for target.State(7) != Refused {
			lose(t, target, r, true, all)
			lost++
		}
		is.Equal(lost, settings.MaxEngines())
		for _, id := range members {
			is.Equal(all[id].Check(r).Err.Reason, verdict.ReasonCrashRefused)
		}
	}
}

// A sidecar that has just started, and a new target, must wait until news of earlier crashes has
// had time to arrive.
func TestSettle(t *testing.T) {
	is := is.New(t)
	c := newClock()
	settings := everywhere()
	fresh, err := NewTable("b", 1, settings)
	is.NoErr(err)
	fresh.now = c.now
	fresh.started = c.at
	fresh.SetMembers([]string{"a", "b"})
	is.Equal(fresh.Check(Request{Fingerprint: 1}).Err.Reason, verdict.ReasonNotReady)
	fresh.Warm()
	is.Equal(fresh.Check(Request{Fingerprint: 1}).Err.Reason, verdict.ReasonNotReady)
	c.at = c.at.Add(settings.Settle)
	is.Equal(fresh.Check(Request{Fingerprint: 1}).Err, (*verdict.Error)(nil))

	crashed := newTable(t, c, settings, "a", []string{"a"})
	start(t, crashed, 1, false)
	crashed.Crash()
	fresh.SetMembers([]string{"a"}) // "a" is the target
	fresh.Merge(crashed.Export(10))
	c.at = c.at.Add(settings.Settle)
	is.Equal(fresh.Check(Request{Fingerprint: 1}).Ask, "a")
	fresh.SetMembers([]string{"b"})
	fresh.members = []string{"b", "c"} // two members, so that Settle counts
	d := fresh.Check(Request{Fingerprint: 1})
	is.Equal(d.Err.Reason, verdict.ReasonCrashSuspect)
	is.Equal(d.Err.RetryAfter, settings.Settle)
}

// A target that knew the request as clean must wait for Settle again after a new crash elsewhere.
func TestSettleAfterNewCrash(t *testing.T) {
	is := is.New(t)
	c := newClock()
	settings := everywhere()
	target := newTable(t, c, settings, "a", []string{"a"})
	start(t, target, 1, false)
	target.Crash()
	target.Finish(start(t, target, 1, true), true)
	is.Equal(target.State(1), Clean)
	target.members = []string{"a", "b"} // two members, so that Settle counts
	c.at = c.at.Add(time.Minute)
	other := newTable(t, c, settings, "b", []string{"b"})
	start(t, other, 1, false)
	other.Crash()
	target.Merge(other.Export(10))
	is.Equal(target.Check(Request{Fingerprint: 1}).Err.RetryAfter, settings.Settle)
}
