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

// The load tests run in virtual time, so that their results do not depend on the machine. To print
// them:
//
//	go test ./claim -run TestLoad -v

const (
	appendLatency = 5 * time.Millisecond
	appendRate    = 300 // per second
)

// rateLimitedLog admits appendRate appends per second, in order of arrival.
type rateLimitedLog struct {
	*memLog
	mu       sync.Mutex
	nextSlot time.Time
}

func (l *rateLimitedLog) Append(ctx context.Context, stream string, payload []byte) (uint64, error) {
	l.mu.Lock()
	now := time.Now()
	if l.nextSlot.Before(now) {
		l.nextSlot = now
	}
	wait := l.nextSlot.Sub(now)
	l.nextSlot = l.nextSlot.Add(time.Second / appendRate)
	l.mu.Unlock()
	if !sleep(ctx, wait) {
		return 0, &services.AppendError{Err: ctx.Err()}
	}
	return l.memLog.Append(ctx, stream, payload)
}

// loadCase is a closed-loop load test: each client sends its next action when the previous one has ended.
type loadCase struct {
	clients, actions, sidecars, partitions int
	rateLimited                            bool
	outcomeDelay                           time.Duration
	// routeByKey selects the sidecar by the key instead of by the stream.
	routeByKey bool
	// minRate is the lowest acceptable number of actions per second; 0 means that the case only
	// shows the cost of an unsuitable configuration.
	minRate float64
}

type loadResult struct {
	addedLatency []time.Duration
	elapsed      time.Duration
	appends      int
	reads        int

	appendsPerAction float64
	actionsPerSecond float64
}

func (l loadCase) run(t *testing.T) loadResult {
	const serviceTime = 50 * time.Millisecond
	log := newMemLog()
	log.latency = appendLatency
	var target services.Log = log
	if l.rateLimited {
		target = &rateLimitedLog{memLog: log}
	}
	var executors []*Executor
	for i := range l.sidecars {
		opts := testOptions(log, fmt.Sprint(i))
		opts.Log, opts.Partitions, opts.OutcomeDelay = target, l.partitions, l.outcomeDelay
		opts.AppendTimeout = time.Minute
		k, err := New(opts)
		if err != nil {
			t.Fatal(err)
		}
		executors = append(executors, k)
	}
	svc := &countingService{runTime: serviceTime}
	var result loadResult
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	for c := range l.clients {
		wg.Go(func() {
			for i := c; i < l.actions; i += l.clients {
				action := testAction(uint16(i), "pay")
				began := time.Now()
				if _, _, err := runWithTimeout(executors[l.route(executors[0], action, i)], time.Hour, action, svc); err != nil {
					t.Error(err)
				}
				mu.Lock()
				result.addedLatency = append(result.addedLatency, time.Since(began)-serviceTime)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	result.elapsed = time.Since(start)
	for _, k := range executors {
		_ = k.Flush(context.Background())
		k.Close()
	}
	result.appends, result.reads = log.appends, log.reads
	return result
}

func (l loadCase) route(k *Executor, a Action, i int) int {
	if l.routeByKey {
		return i % l.sidecars
	}
	stream, _ := k.layout.Stream(a)
	key := hashFields(strings.Split(stream, "/")[2])
	return int(key[0]) % l.sidecars
}

func (l loadCase) measure(t *testing.T) (r loadResult) {
	synctest.Test(t, func(t *testing.T) { r = l.run(t) })
	slices.Sort(r.addedLatency)
	n := float64(l.actions)
	r.appendsPerAction, r.actionsPerSecond = float64(r.appends)/n, n/r.elapsed.Seconds()
	t.Logf("added latency p50 %v p99 %v, %.3f appends/action, %.3f reads/action, %.0f actions/s",
		r.addedLatency[len(r.addedLatency)/2].Round(10*time.Microsecond), r.addedLatency[len(r.addedLatency)*99/100].Round(10*time.Microsecond),
		r.appendsPerAction, float64(r.reads)/n, r.actionsPerSecond)
	return r
}

// Guards against a median added latency above two appends (the one in flight and the action's own) and against
// more than two appends per action. Concurrency lowers that number, because claims share appends.
func TestLoadOneSidecarAddedLatency(t *testing.T) {
	for _, clients := range []int{1, 10, 100} {
		for _, delay := range []time.Duration{-1, DefaultOutcomeDelay} {
			t.Run(fmt.Sprintf("clients=%d/outcome-delay=%v", clients, max(delay, 0)), func(t *testing.T) {
				r := loadCase{clients: clients, actions: 2000, sidecars: 1, partitions: 1, outcomeDelay: delay}.measure(t)
				// A claim waits for at most the append in flight and its own.
				if r.addedLatency[len(r.addedLatency)/2] > 2*appendLatency || r.appendsPerAction > 2.01 {
					t.Errorf("added latency p50 %v, limit %v; %.3f appends per action, limit 2.01",
						r.addedLatency[len(r.addedLatency)/2], 2*appendLatency, r.appendsPerAction)
				}
			})
		}
	}
}

// peakRequests is the peak request rate of the whole fleet per second. Actions are a part of it.
const peakRequests = 4700

// Guards against throughput below the peak rate with a log of 300 appends per second and a small number of
// partitions. One partition stands for several streams that share an append, because all entries then go to
// one stream.
func TestLoadRateLimitedLog(t *testing.T) {
	for _, l := range []loadCase{
		{clients: 1000, sidecars: 1, partitions: 1, minRate: peakRequests},
		{clients: 1000, sidecars: 1, partitions: 8, minRate: peakRequests},
		{clients: 1000, sidecars: 1, partitions: 64},
		{clients: 1000, sidecars: 8, partitions: 1, routeByKey: true, minRate: peakRequests},
		{clients: 1000, sidecars: 8, partitions: 8, routeByKey: true},
		{clients: 1000, sidecars: 8, partitions: 8, minRate: peakRequests},
		{clients: 1000, sidecars: 8, partitions: 64},
		{clients: 100, sidecars: 8, partitions: 8, minRate: appendRate},
		{clients: 100, sidecars: 8, partitions: 64},
	} {
		l.rateLimited, l.actions, l.outcomeDelay = true, 20*l.clients, DefaultOutcomeDelay
		route := "stream"
		if l.routeByKey {
			route = "key"
		}
		t.Run(fmt.Sprintf("clients=%d/sidecars=%d/partitions=%d/route-by=%s", l.clients, l.sidecars, l.partitions, route), func(t *testing.T) {
			if r := l.measure(t); r.actionsPerSecond < l.minRate {
				t.Errorf("throughput is %.0f actions/s, want at least %v", r.actionsPerSecond, l.minRate)
			}
		})
	}
}
