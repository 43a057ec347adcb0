package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"path"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"jacinthfork.example/jacinthfork/platform/standin"
	"jacinthfork.example/jacinthfork/verdict"
)

const (
	// crashDuration is how long the requests of TestCrashesAreTraced come.
	crashDuration = 20 * time.Second
	// allowedCrashes, stable and maxLateCrashes are the platform's bound for a request that crashes workers: so many may come
	// later than stable after the allowed ones.
	allowedCrashes = 3
	stable         = 3 * time.Second
	maxLateCrashes = 3
	// maxBlamedShare is the share of a sound request's copies that may be refused for crashes.
	maxBlamedShare = 0.25
	// crashName ends the path of the request that crashes workers, popularName that of the sound one.
	crashName, popularName = "crash", "popular"
)

// crashLog records when the request that crashes workers reached them.
type crashLog struct {
	mu sync.Mutex
	// seen are the attempts that were recorded: a worker may ask for the behaviour of one request several times.
	seen map[string]bool
	at   []time.Time
}

func (c *crashLog) record(attempt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.seen[attempt] {
		c.seen[attempt] = true
		c.at = append(c.at, time.Now())
	}
}

// late returns how many crashes came later than stable after the allowed ones.
func (c *crashLog) late() (late, all int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n, at := range c.at {
		if n >= allowedCrashes && at.Sub(c.at[allowedCrashes-1]) > stable {
			late++
		}
	}
	return late, len(c.at)
}

// setCrashing makes a worker crash on the request with crashName and answer all others, or fail them as given.
func setCrashing(w *standin.Worker, crashes *crashLog, fault standin.Behaviour) {
	setBehaviour(w, fault)
	other := w.Behaviour()
	w.SetBehaviourFunc(func(r *http.Request) standin.Behaviour {
		if path.Base(r.URL.Path) == crashName {
			crashes.record(standin.RequestID(r) + " at " + w.ID)
			return standin.Behaviour{Crash: true}
		}
		b := other(r)
		b.Delay = 20 * time.Millisecond
		return b
	})
}

// revive restarts crashed workers after downTime until ctx ends. Their entries name their own addresses: a relay would accept
// the connections by which gateways find out whether a worker has crashed.
func (f *fleet) revive(ctx context.Context, downTime time.Duration) {
	since := make(map[*standin.Worker]time.Time)
	for ; ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		for _, w := range f.workers {
			switch at, down := since[w]; {
			case !w.Crashed():
			case !down:
				since[w] = time.Now()
			case time.Since(at) >= downTime:
				delete(since, w)
				w.Restart()
				f.store.Publish(w, "ready", "")
			}
		}
	}
}

// runCrashes runs one seed: a request that crashes workers and a popular one come at all gateways, while workers crash by
// themselves and reset connections. It returns the violations.
func runCrashes(t *testing.T, seed uint64) []string {
	f := newFleet(t, seed)
	rng := rand.New(rand.NewPCG(seed, 3))
	pause := func(least, most int) time.Duration {
		return time.Duration(least+rng.IntN(most-least)) * time.Millisecond
	}
	crashes := &crashLog{seen: make(map[string]bool)}
	for _, w := range f.workers {
		setCrashing(w, crashes, standin.Behaviour{})
		f.store.Publish(w, "ready", "")
	}
	time.Sleep(time.Second) // the gateways know the addresses
	crashing, popular := Kind(rng.IntN(3)), Kind(rng.IntN(3))
	method := []string{http.MethodGet, http.MethodPost}[rng.IntN(2)]
	crashPause, popularPause := pause(300, 4000), pause(40, 400)
	ownPause, downTime := pause(2000, 6000), pause(1000, 2500)
	ctx, cancel := context.WithTimeout(context.Background(), crashDuration)
	defer cancel()
	var running sync.WaitGroup
	every := func(pause time.Duration, do func(n int)) {
		running.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				running.Go(func() { do(n) })
				time.Sleep(pause)
			}
		})
	}
	var sent, blamed atomic.Int64
	send := func(kind Kind, name string, node int) standin.CallerResponse {
		r := Request{ID: fmt.Sprintf("id-%d", f.requests.Add(1)), Kind: kind}
		f.checker.RecordRequest(r)
		ask := standin.CallerRequest{ID: r.ID, Method: method, Path: [...]string{"/pay/", "/read/", "/chat/"}[kind] + name, Timeout: callerTimeout}
		if method == http.MethodPost {
			ask.Body = name
		}
		replyCtx, cancel := context.WithTimeout(context.Background(), 3*callerTimeout)
		defer cancel()
		reply := ask.Send(replyCtx, &http.Transport{DisableCompression: true, DisableKeepAlives: true}, f.configs[node].CallerAddress)
		f.checker.CheckReply(r, reply)
		return reply
	}
	for n := range gatewayCount {
		every(popularPause, func(int) {
			reply := send(popular, popularName, n)
			sent.Add(1)
			if strings.Contains(reply.Body, string(verdict.ReasonCrashRefused)) {
				blamed.Add(1)
			}
		})
	}
	every(crashPause, func(n int) { send(crashing, crashName, n%gatewayCount) })
	order := rng.Perm(len(f.workers))
	every(ownPause, func(n int) { f.workers[order[n%len(order)]].Crash() })
	every(2*ownPause, func(n int) {
		w := f.workers[order[(n+1)%len(order)]]
		setCrashing(w, crashes, standin.Behaviour{Reset: true})
		time.Sleep(ownPause / 4)
		setCrashing(w, crashes, standin.Behaviour{})
	})
	f.revive(ctx, downTime)
	running.Wait()
	var arrivals []standin.Arrival
	for _, w := range f.workers {
		arrivals = append(arrivals, w.Arrivals()...)
	}
	f.checker.CheckExecutions(arrivals)
	late, all := crashes.late()
	t.Logf("seed %d: kinds %d and %d, %s, pauses %v, %v and %v: %d crashes by the request, %d late; %d of %d copies refused for crashes, %d served",
		seed, crashing, popular, method, crashPause, popularPause, ownPause, all, late, blamed.Load(), sent.Load(), f.checker.ServedCount())
	if late > maxLateCrashes {
		f.checker.Violation(fmt.Sprintf("the request reached workers %d times later than %v after its third crash", late, stable))
	}
	if float64(blamed.Load()) > maxBlamedShare*float64(sent.Load()) {
		f.checker.Violation(fmt.Sprintf("%d of %d copies of the sound request were refused for crashes", blamed.Load(), sent.Load()))
	}
	return f.checker.Violations()
}

// Guards against gateway processes that let a request go on to crash workers, or refuse a popular one beside it, for all kinds
// of requests and rates. It runs -soak.count seeds, starting at -soak.seed.
func TestCrashesAreTraced(t *testing.T) {
	for n := range *countFlag {
		seed := *seedFlag + uint64(n)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			for _, text := range runCrashes(t, seed) {
				t.Errorf("seed %d: %s", seed, text)
			}
		})
	}
}
