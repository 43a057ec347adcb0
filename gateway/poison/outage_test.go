package poison

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var (
	// responsible is the turn of a router whose turn it always is.
	responsible = Turn{Rank: 0, Routers: 1}
	// notResponsible is the turn of a router so far back in the order that it waits for the end of the block.
	notResponsible = Turn{Rank: 999, Routers: 1000}
)

// Guards against a sound part that stays blocked long after an outage in which each engine crashed, whatever it was sent:
// as all requests with the part are refused, none of them is answered.
func TestPartIsTriedAgainAfterAnOutage(t *testing.T) {
	is := is.New(t)
	c, table := newTable()
	for range 4 * blockDepth {
		crash(table, guide)
	}
	is.True(blocked(table, guide, page))
	c.at = c.at.Add(trialPeriod)
	is.True(table.Try(prompt(guide, page), responsible))
	is.True(!table.Try(prompt(guide, page), responsible)) // one request at a time
	is.True(blocked(table, guide, page))
	table.RecordAnswer(prompt(guide, page))
	is.True(!blocked(table, guide, page))
}

// Guards against trials that crash more engines than callers can bear.
func TestTrialsOfAPartThatCrashesEnginesAreFew(t *testing.T) {
	is := is.New(t)
	c, table := newTable()
	for range blockDepth {
		crash(table, guide, deadly)
	}
	tried := 0
	for range 3 * 60 {
		c.at = c.at.Add(time.Second)
		table.RecordAnswer(prompt(guide))
		if table.Try(prompt(guide, deadly), responsible) {
			tried++
			crash(table, guide, deadly)
		}
	}
	is.True(tried > 0)
	is.True(tried <= 3)
	is.True(blocked(table, other, deadly))
}

// Guards against a request that is sent as a trial of one part while another one of its parts may not be tried yet.
func TestTrialNeedsAllBlockedParts(t *testing.T) {
	is := is.New(t)
	c, table := newTable()
	for range blockDepth {
		crash(table, guide)
	}
	c.at = c.at.Add(trialPeriod - time.Second)
	for range blockDepth {
		crash(table, deadly)
	}
	c.at = c.at.Add(time.Second)
	is.True(!table.Try(prompt(guide, deadly), responsible))
	is.True(table.Try(prompt(guide, page), responsible))
}

// Guards against a rolling restart of the routers during which a part crashes an engine every trialPeriod, because each router
// that becomes responsible for its trials begins to count them anew.
func TestTrialsGrowAcrossRouters(t *testing.T) {
	is := is.New(t)
	c, tables := newTables(3)
	for range blockDepth {
		crash(tables[0], deadly)
	}
	exchange(tables[:2]...)
	tried := 0
	// Of five minutes, each router is responsible for 100 s. The last one has started in between.
	for second := range 300 {
		c.at = c.at.Add(time.Second)
		from := min(second/100, 1)
		router := tables[second/100]
		if router.Try(prompt(deadly), responsible) {
			tried++
			crash(router, deadly)
		}
		exchange(tables[from : from+2]...)
	}
	// After 10 s, 40 s and 160 s.
	is.Equal(tried, 3)
}

// Guards against a part that stays blocked for long because of trials from which nothing was learned.
func TestCancelledTrialsAreNotTold(t *testing.T) {
	is := is.New(t)
	c, tables := newTables(2)
	for range blockDepth {
		crash(tables[0], deadly)
	}
	c.at = c.at.Add(trialPeriod)
	is.True(tables[0].Try(prompt(deadly), responsible))
	exchange(tables...)
	tables[0].CancelTrial(prompt(deadly))
	exchange(tables...)
	is.True(tables[1].Try(prompt(deadly), responsible))
	is.True(tables[0].Try(prompt(deadly), responsible))
}

// Guards against routers that spend their time on looking for the cause of crashes: in an outage in which engines crash one
// after the other for half a minute, over a thousand parts are suspected, and each request asks about its own. The time is
// compared with that of passes over the suspects, which a busy machine makes longer too.
func TestManySuspectsDoNotSlowRequestsDown(t *testing.T) {
	const (
		crashesPerSecond, seconds = 4, 30
		inFlight                  = 12
		documents, pages          = 300, 1000
		requests                  = 500
		maxPasses                 = 10
	)
	is := is.New(t)
	c, table := newTable()
	n := uint64(0)
	next := func() []uint64 {
		n++
		return []uint64{guide, 100 + n%documents, 10000 + n%pages}
	}
	for range seconds {
		c.at = c.at.Add(time.Second)
		for range crashesPerSecond {
			var attempts []*Attempt
			for range inFlight {
				attempts = append(attempts, table.Begin(prompt(next()...)))
			}
			crashes++
			table.RecordCrash(crashes, c.at, attempts)
		}
	}
	is.True(len(table.evidence) > pages)
	repeated := 0
	begin := time.Now()
	for range requests {
		for other, e := range table.evidence {
			if e.mayExplain(other) {
				repeated++
			}
		}
	}
	pass := time.Since(begin) / requests
	begin = time.Now()
	for range requests {
		table.Blocked(prompt(next()...))
	}
	took := time.Since(begin) / requests
	t.Logf("%d suspects, %d repeated, %v for a pass, %v for a request", len(table.evidence), repeated/requests, pass, took)
	is.True(repeated > 0)
	is.True(took < maxPasses*pass)
}

// Guards against a request that is refused, or sent, for other crashes than those which its parts explain: the search for
// alternatives is compared with its definition.
func TestAlternativesAgreeWithTheirDefinition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const parts = 6
		_, table := newTable()
		for id := range uint64(parts) {
			p := &evidence{depth: blockDepth}
			for _, crash := range rapid.SliceOfN(rapid.Uint32Range(1, 2*maxCrashes), 0, 2*maxCrashes).Draw(t, "crashes") {
				p.crashes.add(crash)
			}
			table.evidence[suspect{id: id}] = p
		}
		request := rapid.SliceOfNDistinct(rapid.Uint64Range(0, parts-1), 1, parts, rapid.ID).Draw(t, "request")
		explained, fewest := false, parts
		for _, crash := range table.evidence[suspect{id: request[0]}].crashes {
			alternatives, outside := 0, 0
			for other, p := range table.evidence {
				if other.id == request[0] || len(p.crashes) < minRepeated || !slices.Contains(p.crashes, crash) {
					continue
				}
				alternatives++
				if !slices.Contains(request, other.id) {
					outside++
				}
			}
			explained = explained || outside == 0
			fewest = min(fewest, alternatives)
		}
		if got := table.explains(suspect{id: request[0]}, prompt(request...)); got != explained {
			t.Fatalf("explains is %v, want %v", got, explained)
		}
		if got := len(table.fewestAlternatives(suspect{id: request[0]})); fewest < parts && got != fewest {
			t.Fatalf("%d alternatives, want %d", got, fewest)
		}
	})
}
