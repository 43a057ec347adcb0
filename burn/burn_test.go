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

// fakeClock is a settable clock for a Recorder.
type fakeClock struct{ at time.Time }

func newTestRecorder(limit int) (*Recorder, *fakeClock) {
	c := &fakeClock{at: time.Unix(1_000_000, 0)}
	r := NewRecorder(limit)
	r.start, r.now = c.at, func() time.Time { return c.at }
	return r, c
}

// Guards against events that stay in a window after its length or expire before it, which falsifies the burn rate.
func TestEventsExpireAfterWindowLength(t *testing.T) {
	is := is.New(t)
	r, c := newTestRecorder(10)
	r.Count(WholeAnswer, "a", false)
	for w, window := range Windows {
		c.at = r.start.Add(window.Length - window.bucketLength())
		is.Equal(r.Snapshot().Organisations["a"][2][w].Bad, uint64(1)) // still within the window
		c.at = r.start.Add(window.Length)
		is.Equal(r.Snapshot().Organisations["a"][2][w].Bad, uint64(0)) // expired
	}
	c.at = r.start.Add(200 * 24 * time.Hour)
	r.Count(WholeAnswer, "a", true)
	is.Equal(r.Snapshot().Organisations["a"][2][3], Count{Good: 1}) // WholeAnswer, 3d
}

// Guards against memory that grows with the number of organisations, tested with 12,000, and against events that
// are lost when an organisation is evicted.
func TestOrganisationsAreBoundedAndEvictionKeepsCounts(t *testing.T) {
	is := is.New(t)
	r, c := newTestRecorder(MaxOrganisations)
	const organisations = 12_000
	for i := range organisations {
		c.at = c.at.Add(10 * time.Millisecond)
		r.Observe(FirstToken, fmt.Sprint("org-", i), FirstTokenLimit+1)
		r.Observe(FirstToken, "busy", FirstTokenLimit)
	}
	s := r.Snapshot()
	is.Equal(len(s.Organisations), MaxOrganisations)
	is.Equal(s.Organisations["busy"][0][1].Good, uint64(organisations)) // the most active organisation is not evicted
	report := NewReport(c.at)
	report.Add("r1", s, nil)
	is.Equal(report.total[0][1], Count{Good: organisations, Bad: organisations})
}

// An event exactly at the objective's time limit is good; one nanosecond more is bad. The burn rate at the target
// is 1, and 0 without events.
func TestTimeLimitsAndBurnRate(t *testing.T) {
	is := is.New(t)
	r, _ := newTestRecorder(1)
	r.Observe(BetweenTokens, "a", 31*time.Millisecond)
	r.Observe(BetweenTokens, "a", 31*time.Millisecond+1)
	is.Equal(r.Snapshot().Organisations["a"][1][0], Count{Good: 1, Bad: 1})
	is.Equal(Count{Good: 95, Bad: 5}.Rate() > 0.999 && Count{Good: 95, Bad: 5}.Rate() < 1.001, true)
	is.Equal(Count{}.Rate(), 0.0)
}

// newTwoRouterReport returns a report on two routers plus one that can't be read.
func newTwoRouterReport(t *testing.T) *Report {
	t.Helper()
	report := NewReport(time.Unix(1_000_000, 0))
	for i := range 2 {
		r, _ := newTestRecorder(10)
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

// Guards against a report that omits the counts of a router without naming the router.
func TestReportSumsRoutersAndNamesMissing(t *testing.T) {
	is := is.New(t)
	report := newTwoRouterReport(t)
	is.Equal(report.total[2][0], Count{Good: 1, Bad: 1})
	is.True(!report.Complete())
	var table bytes.Buffer
	is.NoErr(report.Table(&table))
	is.True(strings.Contains(strings.Join(strings.Fields(table.String()), " "), "<script> whole_answer 10.00 1/2"))
	is.True(strings.Contains(table.String(), "r9 is missing: connection refused"))
}

// Organisation names come from callers and must be escaped, and the page must not load external resources.
func TestPageEscapesNamesAndIsSelfContained(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(newTwoRouterReport(t).HTML(&out))
	is.True(!strings.Contains(out.String(), "<script"))
	is.True(strings.Contains(out.String(), "<svg"))
	for _, link := range []string{"src=", "href=", "url(", "@import"} {
		is.True(!strings.Contains(out.String(), link))
	}
}

// Guards against summing counts of a router of another version, whose windows or objectives differ.
func TestReportRejectsRouterWithOtherWindows(t *testing.T) {
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
