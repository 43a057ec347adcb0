package engine

import (
	"net/http"
	"time"

	"jacinthfork.example/jacinthfork/standin"
)

// Load is the body of GET /load. Token counts are of tokens still to be computed: uncached prompt tokens
// and tokens of the response.
type Load struct {
	Running       int `json:"running"`
	Waiting       int `json:"waiting"`
	RunningTokens int `json:"running_tokens"`
	WaitingTokens int `json:"waiting_tokens"`
	Slots         int `json:"slots"`
	// Boot counts starts of the engine; each crash increments it.
	Boot int `json:"boot"`
	// AgeMS is the age of the report in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

// Tokens returns the outstanding work of all running and waiting requests.
func (l Load) Tokens() int { return l.RunningTokens + l.WaitingTokens }

// loadSample is the load from a point in time on.
type loadSample struct {
	at   time.Time
	load Load
}

// Load returns the current load, without LoadLag.
func (e *Engine) Load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.load
}

// ReportedLoad returns the load as GET /load reports it, which is LoadLag old.
func (e *Engine) ReportedLoad() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.settings.LoadLag == 0 {
		return e.load
	}
	e.trimLoadHistory()
	if len(e.loadHistory) == 0 {
		return e.load
	}
	report := e.loadHistory[0].load
	report.AgeMS = e.settings.LoadLag.Milliseconds()
	return report
}

// recordLoad updates the maxima and the load history after a change of the load. The caller holds mu.
func (e *Engine) recordLoad() {
	e.load.Slots = e.settings.Slots
	e.counters.MaxTokens = max(e.counters.MaxTokens, e.load.Tokens())
	e.counters.MaxRunning = max(e.counters.MaxRunning, e.load.Running)
	if e.settings.LoadLag == 0 {
		e.loadHistory = nil
		return
	}
	e.loadHistory = append(e.loadHistory, loadSample{time.Now(), e.load})
	e.trimLoadHistory()
}

// trimLoadHistory drops the samples before the one that is reported now. The caller holds mu.
func (e *Engine) trimLoadHistory() {
	oldest := time.Now().Add(-e.settings.LoadLag)
	n := 0
	for n+1 < len(e.loadHistory) && !e.loadHistory[n+1].at.After(oldest) {
		n++
	}
	e.loadHistory = e.loadHistory[n:]
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, e.ReportedLoad())
}
