package claim

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"jacinthfork.example/jacinthfork/services"
)

// The load tests run in virtual time, so that their figures do not depend on the machine. To print
// them:
//
//	go test ./claim -run TestLoad -v

const (
	appendLatency = 5 * time.Millisecond
	appendRate    = 300 // a second
)

// ratedLog admits appends at a fixed rate, in the order of their arrival.
type ratedLog struct {
	*memLog
	mu   sync.Mutex
	next time.Time
}

func (l *ratedLog) Append(ctx context.Context, stream string, payload []byte) (uint64, error) {
	l.mu.Lock()
	now := time.Now()
	if l.next.Before(now) {
		l.next = now
	}
	wait := l.next.Sub(now)
	l.next = l.next.Add(time.Second / appendRate)
	l.mu.Unlock()
	if !sleep(ctx, wait) {
		return 0, &services.AppendError{Err: ctx.Err()}
	}
	return l.memLog.Append(ctx, stream, payload)
}

// load is a closed loop of clients against some sidecars.
type load struct {
	clients, actions, sidecars, partitions int
	rate                                   bool
	outcomeDelay                           time.Duration
	// spread sends equal keys to equal sidecars instead of equal streams.
	spread bool
	// target is the lowest acceptable number of actions a second; 0 means that the case only shows
	// what a bad choice costs.
	target float64
}

type loadResult struct {
	added   []time.Duration
	elapsed time.Duration
	appends int
	reads   int

	appendsPerAction float64
	actionsPerSecond float64
}

func (l load) run(t *testing.T) loadResult {
	const serviceTime = 50 * time.Millisecond
	log := newMemLog()
	log.latency = appendLatency
	var target services.Log = log
	if l.rate {
		target = &ratedLog{memLog: log}
	}
	var keepers []*Keeper
	for i := range l.sidecars {
		opts := testOptions(log, fmt.Sprint(i))
		opts.Log, opts.Partitions, opts.OutcomeDelay = target, l.partitions, l.outcomeDelay
		opts.AppendTimeout = time.Minute
		k, err := New(opts)
		if err != nil {
			t.Fatal(err)
		}
		keepers = append(keepers, k)
	}
	svc := &service{delay: serviceTime}
	var result loadResult
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	for c := range l.clients {
		wg.Go(func() {
			for i := c; i < l.actions; i += l.clients {
				action := testAction(uint16(i), "pay")
				began := time.Now()
				if _, _, err := within(keepers[l.route(keepers[0], action, i)], time.Hour, action, svc); err != nil {
					t.Error(err)
				}
				mu.Lock()
				result.added = append(result.added, time.Since(began)-serviceTime)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	result.elapsed = time.Since(start)
	for _, k := range keepers {
		_ = k.Flush(context.Background())
		k.Close()
	}
	result.appends, result.reads = log.appends, log.reads
	return result
}

func (l load) route(k *Keeper, a Action, i int) int {
	if l.spread {
		return i % l.sidecars
	}
	stream, _ := k.layout.Stream(a)
	key := hashFields(strings.Split(stream, "/")[2])
	return int(key[0]) % l.sidecars
}

func (l load) measure(t *testing.T) (r loadResult) {
	synctest.Test(t, func(t *testing.T) { r = l.run(t) })
	slices.Sort(r.added)
	n := float64(l.actions)
	r.appendsPerAction, r.actionsPerSecond = float64(r.appends)/n, n/r.elapsed.Seconds()
	t.Logf("added latency p50 %v p99 %v, %.3f appends/action, %.3f reads/action, %.0f actions/s",
		r.added[len(r.added)/2].Round(10*time.Microsecond), r.added[len(r.added)*99/100].Round(10*time.Microsecond),
		r.appendsPerAction, float64(r.reads)/n, r.actionsPerSecond)
	return r
}

// Added latency must stay near one append, and concurrency must lower the appends for each action.
func TestLoadOneSidecar(t *testing.T) {
	for _, clients := range []int{1, 10, 100} {
		for _, delay := range []time.Duration{-1, DefaultOutcomeDelay} {
			t.Run(fmt.Sprintf("clients=%d/outcome-delay=%v", clients, max(delay, 0)), func(t *testing.T) {
				r := load{clients: clients, actions: 2000, sidecars: 1, partitions: 1, outcomeDelay: delay}.measure(t)
				// A claim waits for at most the append in flight and its own.
				if r.added[len(r.added)/2] > 2*appendLatency || r.appendsPerAction > 2.01 {
					t.Error("over the bound")
				}
			})
		}
	}
}

// peakRequests is the peak of the whole fleet. Actions are a part of it.
const peakRequests = 4700

// A log of 300 appends a second must carry the peak with few partitions. One partition is the case
// of several streams that share an append, because every entry then goes to one stream.
func TestLoadRatedLog(t *testing.T) {
	for _, l := range []load{
		{clients: 1000, sidecars: 1, partitions: 1, target: peakRequests},
		{clients: 1000, sidecars: 1, partitions: 8, target: peakRequests},
		{clients: 1000, sidecars: 1, partitions: 64},
		{clients: 1000, sidecars: 8, partitions: 1, spread: true, target: peakRequests},
		{clients: 1000, sidecars: 8, partitions: 8, spread: true},
		{clients: 1000, sidecars: 8, partitions: 8, target: peakRequests},
		{clients: 1000, sidecars: 8, partitions: 64},
		{clients: 100, sidecars: 8, partitions: 8, target: appendRate},
		{clients: 100, sidecars: 8, partitions: 64},
	} {
		l.rate, l.actions, l.outcomeDelay = true, 20*l.clients, DefaultOutcomeDelay
		route := "stream"
		if l.spread {
			route = "key"
		}
		t.Run(fmt.Sprintf("clients=%d/sidecars=%d/partitions=%d/route-by=%s", l.clients, l.sidecars, l.partitions, route), func(t *testing.T) {
			if r := l.measure(t); r.actionsPerSecond < l.target {
				t.Errorf("less than %v actions/s", l.target)
			}
		})
	}
}
