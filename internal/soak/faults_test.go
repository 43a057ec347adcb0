package soak

import (
	"math/rand/v2"
	"syscall"
	"time"

	"jacinthfork.example/jacinthfork/internal/fleettest"
	"jacinthfork.example/jacinthfork/platform/standin"
)

// drawFault returns the next fault. It draws every random parameter on each call, whichever fault is chosen,
// so that a seed always gives the same sequence of faults.
func (f *fleet) drawFault() func() {
	node := f.rng.IntN(gatewayCount)
	worker := f.rng.IntN(len(f.workers))
	duration := time.Duration(200+f.rng.IntN(2500)) * time.Millisecond
	all := f.rng.IntN(3) == 0
	direction := fleettest.Direction(f.rng.IntN(2))
	behaviour := f.rng.IntN(len(behaviours))
	step := drawClockStep(f.rng)
	faults := []func(){
		func() { f.killNode(node) },
		func() { f.stopNode(node) },
		func() { f.pauseNode(node, duration) },
		func() { f.sendHangup(node) },
		func() { f.cutStore(node, all) },
		func() { f.stallStore(node, all, direction, duration) },
		func() { f.failStore(standin.StoreFault(1+behaviour%3), duration) },
		func() { f.store.SetDelay(duration / 5); time.Sleep(duration); f.store.SetDelay(0) },
		func() { f.store.DropAllHistory(); f.configure() },
		func() { f.configure(); f.configure() },
		func() { f.workerLinks[worker].Cut() },
		func() { f.peerLinks[node].Cut() },
		func() { f.stallPeers(node, all, direction, duration) },
		func() { f.delayLinks(duration) },
		f.killAll,
		func() { f.stallWorker(worker, direction, duration) },
		func() { f.crashWorker(worker, duration, step) },
		func() { f.degradeWorker(worker, behaviours[behaviour], duration) },
		func() { f.drainWorker(worker, duration, step) },
	}
	return faults[f.rng.IntN(len(faults))]
}

// behaviours are the faults that a worker's responses can have.
var behaviours = []standin.Behaviour{
	{Reset: true}, {Truncate: true}, {Unsigned: true}, {MismatchedBefore: true}, {MismatchedAfter: true}, {Refuse: true}, {NoResponse: true},
	{Flood: standin.FloodFields}, {Flood: standin.FloodStatusLine, FloodPause: time.Millisecond}, {Flood: standin.FloodMismatched}, {Flood: standin.FloodTrailer},
	{MismatchedAfter: true, MismatchedAfterDelay: 20 * time.Millisecond}, {Status: 500}, {BreakAfter: 5}, {Delay: 400 * time.Millisecond},
	{Raw: "HTTP/1.1 000 OK\r\n" + standin.SoundFields + "Content-Length: 5\r\n\r\nwrong"},
	{Raw: "HTTP/1.1 200 OK\r\n" + standin.SoundFields + "Content-Length : 5\r\n\r\nwrong", RawEnd: standin.Close},
	{Raw: "HTTP/1.1 200 OK\r\n" + standin.SoundFields, RawEnd: standin.Close},
	{Raw: "HTTP/1.1 200 OK\r\n" + standin.SoundFields + "\r\n", RawEnd: standin.Reset},
	{RepeatRefusal: true},
}

// processEnd is the end of a gateway process by SIGTERM or SIGKILL, from the signal until the process was gone.
type processEnd struct {
	node     int
	signal   syscall.Signal
	at, gone time.Time
}

// endProcess sends a gateway SIGTERM or SIGKILL and kills it if it still runs at the end of its grace period.
func (f *fleet) endProcess(node int, signal syscall.Signal) {
	f.incarnations[node].Add(1)
	end := processEnd{node: node, signal: signal, at: time.Now()}
	f.nodes[node].Signal(signal)
	if _, err := f.nodes[node].Wait(f.configs[node].GracePeriod); err != nil {
		f.t.Errorf("%s did not stop in time: %v; %s", f.configs[node].Name, err, f.nodes[node].SchedulingState())
		f.nodes[node].Kill()
	}
	end.gone = time.Now()
	f.endsMu.Lock()
	defer f.endsMu.Unlock()
	f.ends = append(f.ends, end)
}

// restart ends the process of a gateway and starts it again.
func (f *fleet) restart(node int, signal syscall.Signal) {
	f.nodeMu[node].Lock()
	defer f.nodeMu[node].Unlock()
	f.endProcess(node, signal)
	f.incarnations[node].Add(1)
	f.nodes[node].Restart()
}

func (f *fleet) killNode(node int) { f.restart(node, syscall.SIGKILL) }

// stopNode stops a gateway as the platform does.
func (f *fleet) stopNode(node int) { f.restart(node, syscall.SIGTERM) }

func (f *fleet) pauseNode(node int, duration time.Duration) {
	f.nodeMu[node].Lock()
	defer f.nodeMu[node].Unlock()
	f.nodes[node].Pause()
	time.Sleep(duration)
	f.nodes[node].Resume()
}

func (f *fleet) sendHangup(node int) {
	f.nodeMu[node].Lock()
	defer f.nodeMu[node].Unlock()
	f.nodes[node].Signal(syscall.SIGHUP)
}

func (f *fleet) storeLinksOf(node int, all bool) []*fleettest.Relay {
	if all {
		return f.storeLinks
	}
	return f.storeLinks[node : node+1]
}

func (f *fleet) cutStore(node int, all bool) {
	for _, link := range f.storeLinksOf(node, all) {
		link.Cut()
	}
}

func (f *fleet) stallStore(node int, all bool, d fleettest.Direction, duration time.Duration) {
	for _, link := range f.storeLinksOf(node, all) {
		link.Stall(d)
		defer link.Unstall(d)
	}
	time.Sleep(duration)
}

// delayLinks adds latency to all links between processes.
func (f *fleet) delayLinks(duration time.Duration) {
	delay := duration / linkDelayDivisor
	for _, links := range [][]*fleettest.Relay{f.storeLinks, f.peerLinks, f.workerLinks} {
		for _, link := range links {
			link.Delay(delay)
			defer link.Delay(0)
		}
	}
	time.Sleep(duration)
}

// linkDelayDivisor divides the duration of a fault to give the delay of each message: 2 to 27 ms.
const linkDelayDivisor = 100

// killAll kills all gateways before it restarts any, so that none can recover state from a peer.
func (f *fleet) killAll() {
	for n := range f.nodes {
		f.nodeMu[n].Lock()
		defer f.nodeMu[n].Unlock()
		f.endProcess(n, syscall.SIGKILL)
	}
	for n, node := range f.nodes {
		f.incarnations[n].Add(1)
		node.Restart()
	}
}

// stallPeers stalls the messages of the other gateways to a gateway, or its replies to them.
func (f *fleet) stallPeers(node int, all bool, d fleettest.Direction, duration time.Duration) {
	links := f.peerLinks[node : node+1]
	if all {
		links = f.peerLinks
	}
	for _, link := range links {
		link.Stall(d)
		defer link.Unstall(d)
	}
	time.Sleep(duration)
}

func (f *fleet) failStore(fault standin.StoreFault, duration time.Duration) {
	f.store.SetFault(fault)
	time.Sleep(duration)
	f.store.SetFault(standin.StoreHealthy)
}

func (f *fleet) stallWorker(worker int, d fleettest.Direction, duration time.Duration) {
	f.workerLinks[worker].Stall(d)
	time.Sleep(duration)
	f.workerLinks[worker].Unstall(d)
}

// drawClockStep returns by how much the clock of a worker's machine differs from that of its last start: time has passed, or the
// clock was set.
func drawClockStep(rng *rand.Rand) time.Duration {
	return []time.Duration{-time.Hour, -2400 * time.Millisecond, -time.Millisecond, time.Second, time.Hour}[rng.IntN(5)]
}

// crashWorker crashes a worker and withdraws its entry from the store, then restarts and publishes it again.
func (f *fleet) crashWorker(worker int, duration, step time.Duration) {
	f.workerMu.Lock()
	defer f.workerMu.Unlock()
	w := f.workers[worker]
	w.Crash()
	f.store.Withdraw(w)
	time.Sleep(duration)
	w.RestartAt(w.Address(), step)
	f.store.Publish(w, "ready", f.workerLinks[worker].Address())
}

func (f *fleet) degradeWorker(worker int, b standin.Behaviour, duration time.Duration) {
	setBehaviour(f.workers[worker], b)
	time.Sleep(duration)
	setHealthy(f.workers[worker])
}

// drainWorker publishes a worker as draining, then restarts it and publishes it as ready.
func (f *fleet) drainWorker(worker int, duration, step time.Duration) {
	f.workerMu.Lock()
	defer f.workerMu.Unlock()
	w := f.workers[worker]
	address := f.workerLinks[worker].Address()
	f.store.Publish(w, "draining", address)
	time.Sleep(duration)
	w.Crash()
	w.RestartAt(w.Address(), step)
	f.store.Publish(w, "ready", address)
}
