package demo

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

// Result holds the measurements of a run. Its JSON encoding is the output of "jacinthfork demo --json".
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

// runTimeout limits a run. All requests normally finish well before.
const runTimeout = 25 * time.Second

// Run sends the workload through the fleet. It measures load and executions at the stand-ins, not at the
// routers, and counts the bytes of the control traffic.
func (f *Fleet) Run(ctx context.Context, workload Workload) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	if err := f.WaitReady(ctx); err != nil {
		return Result{}, err
	}
	start, before := time.Now(), f.controlBytes()
	sampler := f.sampleLoad()
	stats := f.runWorkload(ctx, workload)
	sampler.stop()
	result := f.result(stats, sampler, time.Since(start))
	result.ControlBytes = float64(f.controlBytes()-before) / result.Seconds / float64(len(f.Routers))
	return result, nil
}

func (f *Fleet) result(stats *callerStats, sampler *loadSampler, elapsed time.Duration) Result {
	r := Result{
		Requests: stats.requests, WholeAnswers: stats.complete, WrongAnswers: stats.wrong, ActionsSent: stats.actionsSent,
		MaxLoadOverMean: sampler.maxRatio, LoadBound: f.loadBound(), Seconds: elapsed.Seconds(), Problems: stats.problems,
	}
	if stats.cacheableTokens > 0 {
		r.CacheReuse = float64(stats.cachedTokens) / float64(stats.cacheableTokens)
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
	for _, key := range stats.notRun {
		if executed[key] > 0 {
			r.NotRunButExecuted++
		}
	}
	return r
}

// Violations returns a description of each invariant that the run violated.
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

// Table writes the result as a text table.
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

// loadSampler reads the actual loads of the engines at short intervals and keeps the highest ratio to the mean
// of an engine that has just accepted a request, because the load bound is enforced at that moment. Later the
// ratio can rise as the mean falls, because other engines finish their work.
type loadSampler struct {
	fleet    *Fleet
	done     chan struct{}
	wg       sync.WaitGroup
	accepted []int64
	maxRatio float64
}

const (
	sampleInterval = 2 * time.Millisecond
	// minMeanRequests is the mean number of requests per engine below which the ratio is not sampled: with few
	// requests on an engine, one more raises its load by more than the difference between mean and bound.
	minMeanRequests = 16
)

func (f *Fleet) sampleLoad() *loadSampler {
	s := &loadSampler{fleet: f, done: make(chan struct{}), accepted: make([]int64, len(f.Engines))}
	s.wg.Go(func() {
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

func (s *loadSampler) stop() {
	close(s.done)
	s.wg.Wait()
}

// sample compares the load in tokens of each engine that accepted a request since the last sample with the
// mean. It subtracts the work of one request, because the bound always permits one request on top of the mean.
func (s *loadSampler) sample() {
	engines := s.fleet.Engines
	total, requests, highest := 0, 0, 0
	for i, e := range engines {
		load, accepted := e.Load(), e.Counters().Accepted
		total += load.Tokens()
		requests += load.Running + load.Waiting
		if accepted > s.accepted[i] {
			highest = max(highest, load.Tokens()-tokensPerRequest)
		}
		s.accepted[i] = accepted
	}
	if total > 0 && requests >= minMeanRequests*len(engines) {
		s.maxRatio = max(s.maxRatio, float64(highest)*float64(len(engines))/float64(total))
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

// controlBytes returns the total bytes of control traffic of all routers so far.
func (f *Fleet) controlBytes() int64 {
	total := int64(0)
	for _, r := range f.Routers {
		total += r.ControlBytes()
	}
	return total
}
