package demo

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

// Result is what a run measured. Its JSON form is the output of "jacinthfork demo --json".
type Result struct {
	Requests             int     `json:"requests"`
	WholeAnswers         int     `json:"whole_answers"`
	WrongAnswers         int     `json:"wrong_answers"`
	ActionsSent          int     `json:"actions_sent"`
	ActionsExecutedTwice int     `json:"actions_executed_twice"`
	NotRunButExecuted    int     `json:"not_run_but_executed"`
	MaxLoadOverMean      float64 `json:"max_load_over_mean"`
	LoadBound            float64 `json:"load_bound"`
	CacheReuse           float64 `json:"cache_reuse"`
	ControlBytes         float64 `json:"control_bytes_per_router_per_second"`

	ActionsExecuted int      `json:"actions_executed"`
	Seconds         float64  `json:"seconds"`
	Problems        []string `json:"problems,omitempty"`
}

// runLimit bounds a run; the fleet must answer well before.
const runLimit = 25 * time.Second

// Run sends the load through the fleet and measures at the stand-ins and on the wire.
func (f *Fleet) Run(ctx context.Context, load Load) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, runLimit)
	defer cancel()
	if err := f.WaitReady(ctx); err != nil {
		return Result{}, err
	}
	began, before := time.Now(), f.controlBytes()
	sampler := f.sampleLoad()
	seen := f.drive(ctx, load)
	sampler.stop()
	result := f.result(seen, sampler, time.Since(began))
	result.ControlBytes = float64(f.controlBytes()-before) / result.Seconds / float64(len(f.Routers))
	return result, nil
}

func (f *Fleet) result(t *tally, s *sampler, took time.Duration) Result {
	r := Result{
		Requests: t.requests, WholeAnswers: t.whole, WrongAnswers: t.wrong, ActionsSent: t.actionsSent,
		MaxLoadOverMean: s.highest, LoadBound: f.loadBound(), Seconds: took.Seconds(), Problems: t.problems,
	}
	if t.cacheable > 0 {
		r.CacheReuse = float64(t.cached) / float64(t.cacheable)
	}
	executed := make(map[string]int)
	for _, s := range f.Services {
		for _, e := range s.AllExecutions() {
			executed[e.Key] += e.Count
			r.ActionsExecuted += e.Count
		}
	}
	for _, count := range executed {
		if count > 1 {
			r.ActionsExecutedTwice++
		}
	}
	for _, key := range t.notRun {
		if executed[key] > 0 {
			r.NotRunButExecuted++
		}
	}
	return r
}

// Violations returns the invariants that the run broke.
func (r Result) Violations() []string {
	var out []string
	check := func(ok bool, format string, args ...any) {
		if !ok {
			out = append(out, fmt.Sprintf(format, args...))
		}
	}
	check(r.WrongAnswers == 0, "%d answers were wrong", r.WrongAnswers)
	check(r.WholeAnswers == r.Requests, "%d of %d requests got no whole answer", r.Requests-r.WholeAnswers, r.Requests)
	check(r.ActionsExecutedTwice == 0, "%d actions were executed more than once", r.ActionsExecutedTwice)
	check(r.NotRunButExecuted == 0, "%d actions were executed although their callers were told not-run", r.NotRunButExecuted)
	return out
}

// Table writes the result for people.
func (r Result) Table(out io.Writer) {
	row := func(name, format string, value any) { fmt.Fprintf(out, "%-36s "+format+"\n", name, value) }
	row("requests", "%d", r.Requests)
	row("whole answers", "%d", r.WholeAnswers)
	row("wrong answers", "%d", r.WrongAnswers)
	row("actions sent", "%d", r.ActionsSent)
	row("actions executed", "%d", r.ActionsExecuted)
	row("actions executed twice", "%d", r.ActionsExecutedTwice)
	row("not-run but executed", "%d", r.NotRunButExecuted)
	row("max load over mean", "%.2f", r.MaxLoadOverMean)
	row("load bound", "%.2f", r.LoadBound)
	row("cache reuse", "%.3f", r.CacheReuse)
	row("control bytes per router and second", "%.0f", r.ControlBytes)
	row("seconds", "%.1f", r.Seconds)
	for _, problem := range r.Problems {
		fmt.Fprintln(out, "problem:", problem)
	}
}

// sampler reads the engines' true loads at short intervals and keeps the highest load of an engine
// right after it took a request: that is when the load bound is enforced. Later the mean can fall
// because other engines finish their work.
type sampler struct {
	fleet    *Fleet
	done     chan struct{}
	work     sync.WaitGroup
	accepted []int64
	highest  float64
}

const (
	sampleInterval = 2 * time.Millisecond
	// meaningfulLoad is the mean load in requests below which the ratio is not sampled: with few
	// requests on an engine, one more is a larger step than the room between mean and bound.
	meaningfulLoad = 16
)

func (f *Fleet) sampleLoad() *sampler {
	s := &sampler{fleet: f, done: make(chan struct{}), accepted: make([]int64, len(f.Engines))}
	s.work.Go(func() {
		for {
			select {
			case <-s.done:
				return
			case <-time.After(sampleInterval):
				s.sample()
			}
		}
	})
	return s
}

func (s *sampler) stop() {
	close(s.done)
	s.work.Wait()
}

// sample compares the engines that took a request since the last sample with the mean, in tokens.
// The work of one request is taken off, because the bound allows it on top of the mean.
func (s *sampler) sample() {
	engines := s.fleet.Engines
	total, requests, highest := 0, 0, 0
	for i, e := range engines {
		load, accepted := e.Load(), e.Counters().Accepted
		total += load.Tokens()
		requests += load.Running + load.Waiting
		if accepted > s.accepted[i] {
			highest = max(highest, load.Tokens()-requestTokens)
		}
		s.accepted[i] = accepted
	}
	if total > 0 && requests >= meaningfulLoad*len(engines) {
		s.highest = max(s.highest, float64(highest)*float64(len(engines))/float64(total))
	}
}

// loadBound returns the load bound of the model engines.
func (f *Fleet) loadBound() float64 {
	for _, s := range f.Sidecars {
		if s.Pool() == ModelPool {
			return s.LoadBound()
		}
	}
	return 0
}

// controlBytes returns the control bytes of all routers so far.
func (f *Fleet) controlBytes() int64 {
	total := int64(0)
	for _, r := range f.Routers {
		total += r.ControlBytes()
	}
	return total
}
