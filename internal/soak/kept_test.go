package soak

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"jacinthfork.example/jacinthfork/internal/httpcheck"
	"jacinthfork.example/jacinthfork/platform/standin"
)

const (
	// crossingSlack is the time after the last byte of a request within which a gateway that stops may close the
	// connection instead of reading the request.
	crossingSlack = 200 * time.Millisecond
	// answerBound is the time after which a request without a response counts as unanswered. It is far above the
	// callers' deadlines and the longest pause of a gateway.
	answerBound = 15 * time.Second
	// minIdleTimeout is the shortest idle timeout that is configured. Callers stay below four fifths of it.
	minIdleTimeout = 2 * time.Second
	// optionalRoutes is the number of routes that only some configurations have.
	optionalRoutes = 4
)

// keptConnection is a caller's connection to a gateway, used until the gateway closes it.
type keptConnection struct {
	net.Conn
	node   int
	dialed time.Time
}

// write sends a request, at times in two parts.
func (c keptConnection) write(req *http.Request, rng *rand.Rand) error {
	var text bytes.Buffer
	if err := req.Write(&text); err != nil {
		return err
	}
	if rng.IntN(6) == 0 {
		if _, err := c.Write(text.Next(rng.IntN(text.Len()))); err != nil {
			return err
		}
		time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
	}
	_, err := c.Write(text.Bytes())
	return err
}

// unanswered is a request that was sent whole and got no complete response on its connection.
type unanswered struct {
	id                 string
	node               int
	dialed, sent, lost time.Time
	reply              standin.CallerResponse
}

// excuse returns what allows that the request got no complete response, or "".
func (u unanswered) excuse(ends []processEnd, passedOn bool) string {
	if u.reply.Status == http.StatusOK && u.lost.Sub(u.sent) >= callerTimeout {
		return "deadline of a stream that had begun"
	}
	for _, e := range ends {
		if e.node != u.node || e.gone.Before(u.dialed) || e.at.After(u.lost) {
			continue
		}
		if e.signal == syscall.SIGKILL {
			return "kill"
		}
		if !passedOn && u.sent.After(e.at) && u.lost.Sub(u.sent) <= crossingSlack {
			return "request that crossed the close by a planned stop"
		}
	}
	return ""
}

// keptCallers send requests on kept connections and collect what they observe.
type keptCallers struct {
	*fleet
	mu         sync.Mutex
	unanswered []unanswered
	statuses   map[int]int
	excuses    map[string]int
}

// run sends requests to a gateway until ctx ends.
func (k *keptCallers) run(ctx context.Context, node int, rng *rand.Rand) {
	for ctx.Err() == nil {
		dialed := time.Now()
		conn, err := net.Dial("tcp", k.configs[node].CallerAddress)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		k.useUntilClosed(ctx, keptConnection{conn, node, dialed}, rng)
		_ = conn.Close()
	}
}

func (k *keptCallers) useUntilClosed(ctx context.Context, conn keptConnection, rng *rand.Rand) {
	reader := bufio.NewReader(httpcheck.NewReader(conn, nil))
	for ctx.Err() == nil {
		r, ask, optional := k.nextChangingRequest(rng)
		k.checker.RecordRequest(r)
		req, err := ask.HTTPRequest(context.Background(), conn.RemoteAddr().String())
		if err != nil {
			k.checker.Violation(err.Error())
			return
		}
		_ = conn.SetDeadline(time.Now().Add(answerBound))
		if conn.write(req, rng) != nil {
			return
		}
		sent := time.Now()
		reply, keepOpen := standin.CallerResponse{}, false
		resp, err := http.ReadResponse(reader, req)
		if err == nil {
			reply, keepOpen = ask.ReadResponse(resp), !resp.Close
		} else {
			reply.Err = err
		}
		k.record(unanswered{r.ID, conn.node, conn.dialed, sent, time.Now(), reply})
		if denied := reply.Status == http.StatusNotFound || reply.Status == http.StatusUnauthorized; !denied || !optional {
			k.checker.CheckReply(r, reply)
		}
		if !keepOpen || reply.Err != nil {
			return
		}
		if reader.Buffered() > 0 {
			k.checker.Violation(fmt.Sprintf("bytes follow the response to %s", r.ID))
			return
		}
		pause := time.Duration(rng.IntN(20)) * time.Millisecond
		if rng.IntN(20) == 0 {
			pause = time.Duration(rng.Int64N(int64(minIdleTimeout * 4 / 5)))
		}
		time.Sleep(pause)
	}
}

// record counts the status of a response and keeps a request without a complete one.
func (k *keptCallers) record(u unanswered) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if u.reply.Err != nil {
		k.unanswered = append(k.unanswered, u)
		return
	}
	k.statuses[u.reply.Status]++
}

// nextChangingRequest also returns requests with optional routes and keys, which the configuration allows at times.
func (k *keptCallers) nextChangingRequest(rng *rand.Rand) (r Request, ask standin.CallerRequest, optional bool) {
	r, ask = k.nextRequest(rng)
	ask.Path = strings.TrimSuffix(ask.Path, "x")
	switch rng.IntN(12) {
	case 0:
		r.Kind, optional = Idempotent, true
		ask.Path = fmt.Sprintf("/o%d/", rng.IntN(optionalRoutes))
	case 1:
		ask.APIKey, optional = optionalKeys[rng.IntN(len(optionalKeys))], true
	}
	delay := rng.IntN(60)
	if rng.IntN(10) == 0 {
		delay = rng.IntN(1200)
	}
	ask.Path += fmt.Sprint(delay)
	return r, ask, optional
}

// optionalKeys are the API keys that only some configurations have.
var optionalKeys = []string{"key-2", "key-3"}

// changeConfiguration publishes a configuration with drawn limits, timeouts, pools, weights, optional routes and keys.
func (f *fleet) changeConfiguration(rng *rand.Rand) {
	timeout := func() time.Duration { return time.Duration(500+rng.IntN(2500)) * time.Millisecond }
	c := standin.Configuration{Version: int(f.version.Add(int32(1 + rng.IntN(3)))), IdleTimeout: minIdleTimeout << rng.IntN(4)}
	add := func(r standin.Route) {
		r.Timeout, r.Attempts = timeout(), 1+rng.IntN(2)
		first, second := r.Pool, r.Pool+"-2"
		switch weight := rng.IntN(100); rng.IntN(3) {
		case 0:
			r.Pool = second
		case 1:
			r.Weights = map[string]int{first: 1 + weight, second: 100 - weight}
		}
		c.Routes = append(c.Routes, r)
	}
	add(standin.Route{Prefix: "/pay/", Mode: "non_idempotent", Pool: "plain"})
	add(standin.Route{Prefix: "/read/", Mode: "idempotent", Pool: "plain"})
	add(standin.Route{Prefix: "/chat/", Mode: "streaming", Pool: "engine", Resumable: true})
	c.Routes[len(c.Routes)-1].Timeout += callerTimeout // streams are cut off at the callers' deadline only
	for n := range optionalRoutes {
		if rng.IntN(2) == 0 {
			add(standin.Route{Prefix: fmt.Sprintf("/o%d/", n), Mode: "idempotent", Pool: "plain"})
		}
	}
	for _, key := range optionalKeys {
		if rng.IntN(2) == 0 {
			c.Keys = append(c.Keys, key)
		}
	}
	f.store.Configure(c)
}

// changeConfigurations publishes configurations, single and in quick succession, until ctx ends.
func (f *fleet) changeConfigurations(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		changes, pause := 1, time.Duration(20+rng.IntN(400))*time.Millisecond
		if rng.IntN(5) == 0 {
			changes = 3 + rng.IntN(10)
		}
		storeFault, duration := standin.StoreFault(1+rng.IntN(3)), time.Duration(rng.IntN(800))*time.Millisecond
		switch rng.IntN(12) {
		case 0:
			f.store.DropAllHistory()
		case 1:
			f.failStore(storeFault, duration)
		}
		for range changes {
			f.changeConfiguration(rng)
			time.Sleep(time.Duration(rng.IntN(15)) * time.Millisecond)
		}
		time.Sleep(pause)
	}
}

// disturbProcess applies a number of faults to the process of a gateway.
func (f *fleet) disturbProcess(node, faults int, rng *rand.Rand) {
	for range faults {
		time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
		duration := time.Duration(50+rng.IntN(2500)) * time.Millisecond
		switch rng.IntN(8) {
		case 0, 1:
			f.sendHangup(node)
		case 2, 3, 4:
			f.stopNode(node)
		case 5:
			f.killNode(node)
		default:
			f.pauseNode(node, duration)
		}
	}
}

// runChanges runs one seed of kept connections, changes of the configuration and process faults, and returns the
// violations.
func runChanges(t *testing.T, seed uint64, faults int, duration time.Duration, prepare func(f *fleet)) []string {
	f := newFleet(t, seed)
	for n := range plainWorkers + engineWorkers {
		f.addWorkerTo(f.workers[n].Pool + "-2")
	}
	f.changeConfiguration(rand.New(rand.NewPCG(seed, 3)))
	prepare(f)
	k := &keptCallers{fleet: f, statuses: make(map[int]int), excuses: make(map[string]int)}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var callers, changes, faultSeries sync.WaitGroup
	for n := range 2 * callerCount {
		callers.Go(func() { k.run(ctx, n%gatewayCount, rand.New(rand.NewPCG(seed*100+uint64(n), 2))) })
	}
	changing, stopChanging := context.WithCancel(ctx)
	defer stopChanging()
	changes.Go(func() { f.changeConfigurations(changing, rand.New(rand.NewPCG(seed, 3))) })
	for n := range gatewayCount {
		faultSeries.Go(func() { f.disturbProcess(n, faults, rand.New(rand.NewPCG(seed*100+uint64(n), 4))) })
	}
	time.Sleep(duration)
	faultSeries.Wait()
	stopChanging()
	changes.Wait()
	cancel()
	callers.Wait()
	f.checkRecovery() // without the callers, whose requests may take all places of a service
	k.checkUnanswered()
	t.Logf("seed %d: %d requests, statuses %v, unanswered %v, %d configurations, %d ends of processes",
		seed, f.requests.Load(), k.statuses, k.excuses, f.version.Load(), len(f.ends))
	return f.checker.Violations()
}

// checkUnanswered checks the executions and that each request without a complete response has an excuse.
func (k *keptCallers) checkUnanswered() {
	var arrivals []standin.Arrival
	passedOn := make(map[string]bool)
	for _, w := range k.workers {
		for _, a := range w.Arrivals() {
			arrivals = append(arrivals, a)
			passedOn[a.RequestID()] = true
		}
	}
	k.checker.CheckExecutions(arrivals)
	for _, u := range k.unanswered {
		excuse := u.excuse(k.ends, passedOn[u.id])
		k.excuses[excuse]++
		if excuse == "" {
			k.checker.Violation(fmt.Sprintf("%s, sent to node-%d at %s, got no complete response in %s (status %d, %v, passed on: %t)",
				u.id, u.node, u.sent.Format(time.StampMilli), u.lost.Sub(u.sent), u.reply.Status, u.reply.Err, passedOn[u.id]))
		}
	}
}

// Guards against requests that get neither an answer nor a refusal while configurations change, beside gateways that are
// stopped, killed and paused. It runs -soak.count seeds, starting at -soak.seed.
func TestChangesLeaveNoRequestUnanswered(t *testing.T) {
	for n := range *countFlag {
		seed := *seedFlag + uint64(n)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			for _, text := range runChanges(t, seed, *faultsFlag, 0, func(*fleet) {}) {
				t.Errorf("seed %d: %s", seed, text)
			}
		})
	}
}

// Guards against a soak that does not notice that a gateway closes a connection instead of answering.
func TestUnansweredRequestIsDetected(t *testing.T) {
	t.Parallel()
	proxy := faultyProxy{serve: func(_ *fleet, _ *http.Request, forward func() response, _ *response) response {
		forward()
		panic(http.ErrAbortHandler)
	}}
	violations := runChanges(t, 1, 0, 2*time.Second, func(f *fleet) { f.insertProxy(proxy) })
	is.New(t).True(strings.Contains(strings.Join(violations, "\n"), "got no complete response"))
}

// Guards against an end of a process that excuses more than its kill, or than a request that crosses the close of its
// connection.
func TestExcuses(t *testing.T) {
	start := time.Unix(100, 0)
	after := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	stop := func(at int) processEnd { return processEnd{1, syscall.SIGTERM, after(at), after(at + 3000)} }
	kill := func(at int) processEnd { return processEnd{1, syscall.SIGKILL, after(at), after(at + 10)} }
	u := unanswered{node: 1, dialed: after(0), sent: after(10_000), lost: after(10_000).Add(crossingSlack)}
	late := u
	late.lost = late.lost.Add(time.Millisecond)
	is := is.New(t)
	excused := func(u unanswered, e processEnd, passedOn bool) bool { return u.excuse([]processEnd{e}, passedOn) != "" }
	is.True(excused(u, stop(9000), false))
	is.True(!excused(u, stop(9000), true))     // it was passed on
	is.True(!excused(late, stop(9000), false)) // it was not cut off at once
	is.True(!excused(u, stop(10_001), false))  // it was sent before the signal
	is.True(!excused(u, stop(-3001), false))   // that process was gone
	is.True(excused(late, kill(10_001), true))
	is.True(excused(late, kill(-5), true)) // it was dialed while the process was dying
	is.True(!excused(u, kill(-11), true))  // that process was gone
	is.True(!excused(u, kill(10_201), true))
	u.node = 2
	is.True(!excused(u, kill(10_001), true))
	is.True(!excused(u, stop(9000), false))
	u.reply.Status, u.lost = http.StatusOK, u.sent.Add(callerTimeout)
	is.True(excused(u, processEnd{}, true))
	u.lost = u.lost.Add(-time.Millisecond)
	is.True(!excused(u, processEnd{}, true))
}
