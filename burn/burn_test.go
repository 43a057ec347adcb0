package burn

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// clock is a recorder's time in tests.
type clock struct{ at time.Time }

func testRecorder(limit int) (*Recorder, *clock) {
	c := &clock{at: time.Unix(1_000_000, 0)}
	r := NewRecorder(limit)
	r.start, r.now = c.at, func() time.Time { return c.at }
	return r, c
}

// An old event that stays in a window, or leaves it early, gives a wrong burn rate.
func TestEventsLeaveTheirWindows(t *testing.T) {
	is := is.New(t)
	r, c := testRecorder(10)
	r.Count(WholeAnswer, "a", false)
	for w, window := range Windows {
		c.at = r.start.Add(window.Length - window.bucketLength())
		is.Equal(r.Snapshot().Organisations["a"][2][w].Bad, uint64(1)) // still inside
		c.at = r.start.Add(window.Length)
		is.Equal(r.Snapshot().Organisations["a"][2][w].Bad, uint64(0)) // left
	}
	c.at = r.start.Add(200 * 24 * time.Hour)
	r.Count(WholeAnswer, "a", true)
	is.Equal(r.Snapshot().Organisations["a"][2][3], Count{Good: 1})
}

// Twelve thousand organisations must not use unbounded memory, and merging must not lose events.
func TestOrganisationsAreBoundedAndMergeWithoutLoss(t *testing.T) {
	is := is.New(t)
	r, c := testRecorder(MaxOrganisations)
	const organisations = 12_000
	for i := range organisations {
		c.at = c.at.Add(10 * time.Millisecond)
		r.Observe(FirstToken, fmt.Sprint("org-", i), FirstTokenLimit+1)
		r.Observe(FirstToken, "busy", FirstTokenLimit)
	}
	s := r.Snapshot()
	is.Equal(len(s.Organisations), MaxOrganisations)
	is.Equal(s.Organisations["busy"][0][1].Good, uint64(organisations)) // the active one is kept
	report := NewReport(c.at)
	report.Add("r1", s, nil)
	is.Equal(report.all[0][1], Count{Good: organisations, Bad: organisations})
}

// The limits are those of the objectives: an event exactly at the limit is good.
func TestLimits(t *testing.T) {
	is := is.New(t)
	r, _ := testRecorder(1)
	r.Observe(BetweenTokens, "a", 31*time.Millisecond)
	r.Observe(BetweenTokens, "a", 31*time.Millisecond+1)
	is.Equal(r.Snapshot().Organisations["a"][1][0], Count{Good: 1, Bad: 1})
	is.Equal(Count{Good: 95, Bad: 5}.Rate() > 0.999 && Count{Good: 95, Bad: 5}.Rate() < 1.001, true)
	is.Equal(Count{}.Rate(), 0.0)
}

// twoRouters is a report over two routers and one that can't be read.
func twoRouters(t *testing.T) *Report {
	t.Helper()
	report := NewReport(time.Unix(1_000_000, 0))
	for i := range 2 {
		r, _ := testRecorder(10)
		r.Count(WholeAnswer, "<script>", i == 0)
		text, err := json.Marshal(r.Snapshot())
		if err != nil {
			t.Fatal(err)
		}
		var s Snapshot
		if err := json.Unmarshal(text, &s); err != nil {
			t.Fatal(err)
		}
		report.Add(fmt.Sprint("r", i), s, nil)
	}
	report.Add("r9", Snapshot{}, errors.New("connection refused"))
	report.Finish()
	return report
}

// Counts of all routers must be summed, and a router that is missing must be named.
func TestReportSumsRouters(t *testing.T) {
	is := is.New(t)
	report := twoRouters(t)
	is.Equal(report.all[2][0], Count{Good: 1, Bad: 1})
	is.True(!report.Complete())
	var table bytes.Buffer
	is.NoErr(report.Table(&table))
	is.True(strings.Contains(strings.Join(strings.Fields(table.String()), " "), "<script> whole_answer 10.00 1/2"))
	is.True(strings.Contains(table.String(), "r9 is missing: connection refused"))
}

// Organisation names come from callers and must not become markup; the page must need no other host.
func TestPageEscapesNamesAndIsSelfContained(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(twoRouters(t).HTML(&out))
	is.True(!strings.Contains(out.String(), "<script"))
	is.True(strings.Contains(out.String(), "<svg"))
	for _, link := range []string{"src=", "href=", "url(", "@import"} {
		is.True(!strings.Contains(out.String(), link))
	}
}

// A router of another version whose counts have other meanings must not be summed.
func TestReportRefusesOtherWindows(t *testing.T) {
	is := is.New(t)
	report := NewReport(time.Now())
	report.Add("r1", Snapshot{Objectives: Objectives[:], Windows: []string{"1m"}}, nil)
	is.True(!report.Complete())
}

func BenchmarkObserve(b *testing.B) {
	r := NewRecorder(MaxOrganisations)
	for b.Loop() {
		r.Observe(BetweenTokens, "a", time.Millisecond)
	}
}
