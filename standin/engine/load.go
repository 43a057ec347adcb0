package engine

import (
	"net/http"
	"time"

	"jacinthfork.example/jacinthfork/standin"
)

// Load is the body of GET /load. Tokens are those still to be computed: prompt tokens that are not
// cached and tokens of the answer.
type Load struct {
	Running       int `json:"running"`
	Waiting       int `json:"waiting"`
	RunningTokens int `json:"running_tokens"`
	WaitingTokens int `json:"waiting_tokens"`
	Slots         int `json:"slots"`
	// Boot counts starts of the engine; it grows with each crash.
	Boot int `json:"boot"`
	// AgeMS is the age of the report in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

// Tokens is the work of all requests.
func (l Load) Tokens() int { return l.RunningTokens + l.WaitingTokens }

type pastLoad struct {
	at   time.Time
	load Load
}

// Load returns the load now, without lag.
func (e *Engine) Load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.load
}

// ReportedLoad returns the load as GET /load reports it, older by the scripted lag.
func (e *Engine) ReportedLoad() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.settings.LoadLag == 0 {
		return e.load
	}
	e.trimLoads()
	if len(e.loads) == 0 {
		return e.load
	}
	report := e.loads[0].load
	report.AgeMS = e.settings.LoadLag.Milliseconds()
	return report
}

// noteLoad records a change of the load. The caller holds mu.
func (e *Engine) noteLoad() {
	e.load.Slots = e.settings.Slots
	e.counters.MaxTokens = max(e.counters.MaxTokens, e.load.Tokens())
	e.counters.MaxRunning = max(e.counters.MaxRunning, e.load.Running)
	if e.settings.LoadLag == 0 {
		e.loads = nil
		return
	}
	e.loads = append(e.loads, pastLoad{time.Now(), e.load})
	e.trimLoads()
}

// trimLoads drops the loads before the one that is reported now.
func (e *Engine) trimLoads() {
	oldest := time.Now().Add(-e.settings.LoadLag)
	n := 0
	for n+1 < len(e.loads) && !e.loads[n+1].at.After(oldest) {
		n++
	}
	e.loads = e.loads[n:]
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, e.ReportedLoad())
}
