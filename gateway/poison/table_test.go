package poison

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	guide  = 1 // a document that many requests share
	page   = 2 // a part of it that fewer share
	deadly = 3
	other  = 4
)

type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

// newTables returns tables that share a clock.
func newTables(n int) (*clock, []*Table) {
	c := &clock{at: time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)}
	out := make([]*Table, n)
	for i := range out {
		out[i] = newTableAt(c)
	}
	return c, out
}

// newTableAt returns a table with a given clock.
func newTableAt(c *clock) *Table {
	t := NewTable()
	t.now = c.now
	return t
}

func newTable() (*clock, *Table) {
	c, all := newTables(1)
	return c, all[0]
}

var crashes uint32

// crash records a crash of its own at which a request with the given parts was in flight.
func crash(t *Table, parts ...uint64) []Suspicion {
	crashes++
	return t.RecordCrash(crashes, t.now(), []*Attempt{t.Begin(prompt(parts...))})
}

// prompt returns a request whose prompt has the given parts.
func prompt(parts ...uint64) Request { return Request{Parts: parts} }

func blocked(t *Table, parts ...uint64) bool {
	_, ok := t.Blocked(prompt(parts...))
	return ok
}

// exchange merges what each table tells into all others.
func exchange(all ...*Table) {
	for _, from := range all {
		parts, requests := from.Export()
		for _, to := range all {
			if from != to {
				to.Merge(parts, requests)
			}
		}
	}
}

// Guards against requests that crash one engine after the other because no two of them are alike, and against sound requests
// that are refused for parts that they share with them.
func TestPartThatCrashesEnginesIsBlocked(t *testing.T) {
	is := is.New(t)
	_, table := newTable()
	for range blockDepth {
		is.True(!blocked(table, guide, page, deadly))
		crash(table, guide, page, deadly)
		table.RecordAnswer(prompt(guide, page)) // sound requests go on
	}
	is.True(blocked(table, guide, page, deadly))
	is.True(blocked(table, other, deadly))
	is.True(!blocked(table, guide, page))
	is.True(!blocked(table, guide, other))
	is.Equal(table.Counts().BlockedParts, 1)
}

// Guards against a document that is blamed for one of its parts when no request with the document alone has come yet,
// and against the part that gets away by this.
func TestFirstPartIsNotBlamedForALaterOne(t *testing.T) {
	is := is.New(t)
	_, table := newTable()
	for range blockDepth {
		crash(table, guide, deadly)
	}
	is.True(blocked(table, guide, deadly))
	is.True(!blocked(table, guide, page)) // either of both may be the cause
	is.True(!blocked(table, deadly, other))
	crash(table, deadly, other)
	is.True(blocked(table, deadly, page))
	is.True(!blocked(table, guide, page))
	table.RecordAnswer(prompt(guide, page))
	is.True(!blocked(table, guide))
}

// Guards against sound requests that were in flight beside the cause at another router: both are suspected, and a
// response clears the sound one everywhere.
func TestBystandersAreClearedAtAllRouters(t *testing.T) {
	is := is.New(t)
	_, all := newTables(3)
	for range blockDepth {
		a, b := all[0].Begin(prompt(guide, deadly)), all[1].Begin(prompt(guide, page))
		crashes++
		all[0].RecordCrash(crashes, all[0].now(), []*Attempt{a})
		all[1].RecordCrash(crashes, all[1].now(), []*Attempt{b})
		exchange(all...)
	}
	is.True(!blocked(all[2], guide, page)) // nor does a router that saw only the bystander know better
	is.True(!blocked(all[1], guide, page))
	all[2].RecordAnswer(prompt(guide, page))
	exchange(all...)
	for _, table := range all {
		is.True(blocked(table, other, deadly))
		is.True(!blocked(table, guide, page))
	}
}

// Guards against parts that are blocked because many engines crash at once, such as those of a failure domain that loses
// power, while requests with them are in flight.
func TestCrashesAtTheSameTimeCountOnce(t *testing.T) {
	is := is.New(t)
	_, table := newTable()
	var attempts []*Attempt
	for range 10 {
		attempts = append(attempts, table.Begin(prompt(guide, page)))
	}
	for _, a := range attempts {
		crashes++
		table.RecordCrash(crashes, table.now(), []*Attempt{a})
	}
	is.True(!blocked(table, guide, page))
}

// Guards against evidence that no router has enough of because each crash is seen by another one.
func TestCrashesSeenByDifferentRoutersAdd(t *testing.T) {
	is := is.New(t)
	_, all := newTables(4)
	for i := range blockDepth {
		crash(all[i], guide, deadly)
		exchange(all...)
	}
	for _, table := range all {
		is.True(blocked(table, guide, deadly))
	}
}

// Guards against a router that has just started and sends requests with a part that was blocked before.
func TestBlockedPartsAreToldToNewRouters(t *testing.T) {
	is := is.New(t)
	c, all := newTables(2)
	for range blockDepth {
		crash(all[0], guide, deadly)
	}
	c.at = c.at.Add(time.Minute)
	exchange(all...)
	is.True(blocked(all[1], guide, deadly))
	is.True(!blocked(all[1], guide, page))
	parts, _ := all[0].Export()
	is.Equal(len(parts), 2)
}

// Guards against a chain of crashes that goes on after a response has shown that the part is sound.
func TestResponseEndsTheChain(t *testing.T) {
	is := is.New(t)
	c, table := newTable()
	crash(table, guide, page)
	crash(table, guide, page)
	before := table.Begin(prompt(guide, page))
	table.RecordAnswer(prompt(guide, page))
	c.at = c.at.Add(answerProtection)
	crashes++
	table.RecordCrash(crashes, table.now(), []*Attempt{before}) // it was sent when two crashes were known
	is.True(!blocked(table, guide, page))
	is.Equal(table.evidence[suspect{id: page}].depth, uint32(1))
}

// Guards against a part that crashes engines at all routers at once when the time of its block is over, against one that
// stays blocked for good after a coincidence because the responsible router gets no requests with it, and against one that
// is tried more and more often.
func TestBlockEndsWithOneTrialAtATime(t *testing.T) {
	is := is.New(t)
	c, all := newTables(2)
	table, request := all[0], prompt(guide, deadly)
	for range blockDepth {
		crash(table, guide, deadly)
	}
	s, ok := table.Blocked(request)
	is.True(ok)
	is.Equal(s.Until.Sub(c.at), blockPeriod)
	exchange(all...)
	c.at = c.at.Add(blockPeriod - time.Second)
	is.True(!table.Try(request, notResponsible))
	c.at = c.at.Add(time.Second)
	is.True(blocked(table, guide, deadly))
	is.True(table.Try(request, notResponsible))
	is.True(!table.Try(request, notResponsible))
	crash(table, guide, deadly)
	exchange(all...)
	for _, other := range all {
		is.True(blocked(other, guide, deadly))
		is.True(!other.Try(request, notResponsible))
	}
	c.at = c.at.Add(2*blockPeriod - time.Second)
	is.True(!table.Try(request, notResponsible))
	c.at = c.at.Add(time.Second)
	is.True(all[1].Try(request, notResponsible))
	is.Equal(all[1].RecordAnswer(request), request.Parts)
	is.Equal(all[1].Counts().BlockedParts, 0)
	exchange(all...)
	is.Equal(table.Counts().BlockedParts, 0)
}

// Guards against a table without bound when each request has parts of its own.
func TestPartsAreBounded(t *testing.T) {
	is := is.New(t)
	c, table := newTable()
	for i := range uint64(maxSuspects) {
		crash(table, 10*i, 10*i+1)
	}
	is.Equal(len(table.evidence), maxSuspects)
	parts, _ := table.Export()
	is.True(len(parts) <= maxToldParts)
	c.at = c.at.Add(blockPeriod + time.Second)
	crash(table, guide, deadly)
	is.Equal(len(table.evidence), 2)

	for range 2 * maxCrashes {
		crash(table, guide, deadly)
	}
	is.Equal(len(table.evidence[suspect{id: deadly}].crashes), maxCrashes)
}

// Guards against a part that is blamed because two others crash engines while requests with it are in flight: neither of
// them was there at each crash.
func TestPartIsNotBlamedForSeveralOthers(t *testing.T) {
	is := is.New(t)
	_, table := newTable()
	for i := range 2 * blockDepth {
		crashes++
		table.RecordCrash(crashes, table.now(), []*Attempt{table.Begin(prompt(guide, page)), table.Begin(prompt(other+uint64(i%2), deadly+10*uint64(i%2)))})
	}
	is.Equal(table.evidence[suspect{id: page}].depth, uint32(2*blockDepth))
	is.True(!blocked(table, guide, page))
	table.RecordAnswer(prompt(guide, page))
	is.True(blocked(table, other, deadly))
	is.True(blocked(table, other+1, deadly+10))
}
