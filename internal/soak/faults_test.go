package soak

import (
	"syscall"
	"time"

	"jacinthfork.example/jacinthfork/internal/fleettest"
	"jacinthfork.example/jacinthfork/platform/standin"
)

// draw returns the next fault. Random numbers are drawn here, in the order of the plan, so that a seed
// always gives the same plan.
func (f *fleet) draw() func() {
	node := f.random.IntN(gateways)
	worker := f.random.IntN(len(f.workers))
	lasts := time.Duration(200+f.random.IntN(2500)) * time.Millisecond
	all := f.random.IntN(3) == 0
	direction := fleettest.Direction(f.random.IntN(2))
	behaviour := f.random.IntN(len(behaviours))
	faults := []func(){
		func() { f.killNode(node) },
		func() { f.stopNode(node) },
		func() { f.pauseNode(node, lasts) },
		func() { f.hangUp(node) },
		func() { f.cutStore(node, all) },
		func() { f.stallStore(node, all, direction, lasts) },
		func() { f.storeFails(standin.StoreFault(1+behaviour%3), lasts) },
		func() { f.store.SetDelay(lasts / 5); time.Sleep(lasts); f.store.SetDelay(0) },
		func() { f.store.ForgetAll(); f.configure() },
		func() { f.configure(); f.configure() },
		func() { f.workerLinks[worker].Cut() },
		func() { f.peerLinks[node].Cut() },
		func() { f.stallPeers(node, all, direction, lasts) },
		func() { f.delayLinks(lasts) },
		f.killAll,
		func() { f.stallWorker(worker, direction, lasts) },
		func() { f.crashWorker(worker, lasts) },
		func() { f.misbehaves(worker, behaviours[behaviour], lasts) },
		func() { f.drainWorker(worker, lasts) },
	}
	return faults[f.random.IntN(len(faults))]
}

// behaviours are faults of the answers of a worker.
var behaviours = []standin.Behaviour{
	{Reset: true}, {Truncate: true}, {Unsigned: true}, {Foreign: true}, {Extra: true}, {NotRun: true}, {Silent: true},
	{Extra: true, ExtraDelay: 20 * time.Millisecond}, {Status: 500}, {BreakAfter: 5}, {Wait: 400 * time.Millisecond},
}

// restart starts a process that has ended. One restart of each node is enough when several faults end it.
func (f *fleet) restart(node int, end func(p *fleettest.Process)) {
	f.process.Lock()
	defer f.process.Unlock()
	f.starts[node].Add(1)
	end(f.nodes[node])
	f.nodes[node].Kill()
	f.starts[node].Add(1)
	f.nodes[node].Restart()
}

func (f *fleet) killNode(node int) { f.restart(node, func(*fleettest.Process) {}) }

func (f *fleet) stopNode(node int) {
	f.restart(node, func(p *fleettest.Process) {
		p.Signal(stopped)
		if _, err := p.Wait(f.places[node].StopTime); err != nil {
			f.t.Errorf("%s did not stop in time: %v", f.places[node].Name, err)
		}
	})
}

func (f *fleet) pauseNode(node int, lasts time.Duration) {
	f.process.Lock()
	defer f.process.Unlock()
	f.nodes[node].Pause()
	time.Sleep(lasts)
	f.nodes[node].Resume()
}

func (f *fleet) hangUp(node int) {
	f.process.Lock()
	defer f.process.Unlock()
	f.nodes[node].Signal(syscall.SIGHUP)
}

func (f *fleet) links(node int, all bool) []*fleettest.Relay {
	if all {
		return f.storeLinks
	}
	return f.storeLinks[node : node+1]
}

func (f *fleet) cutStore(node int, all bool) {
	for _, link := range f.links(node, all) {
		link.Cut()
	}
}

func (f *fleet) stallStore(node int, all bool, d fleettest.Direction, lasts time.Duration) {
	for _, link := range f.links(node, all) {
		link.Stall(d)
		defer link.Unstall(d)
	}
	time.Sleep(lasts)
}

// delayLinks slows all links between processes.
func (f *fleet) delayLinks(lasts time.Duration) {
	delay := lasts / delayShare
	for _, links := range [][]*fleettest.Relay{f.storeLinks, f.peerLinks, f.workerLinks} {
		for _, link := range links {
			link.Delay(delay)
			defer link.Delay(0)
		}
	}
	time.Sleep(lasts)
}

// delayShare is the part of a fault's time, one in so many, by which each message is delayed: 2 to 27 ms.
const delayShare = 100

// killAll ends all gateways at once, so that none can tell another what it knew.
func (f *fleet) killAll() {
	f.process.Lock()
	defer f.process.Unlock()
	for n, node := range f.nodes {
		f.starts[n].Add(1)
		node.Kill()
	}
	for n, node := range f.nodes {
		f.starts[n].Add(1)
		node.Restart()
	}
}

// stallPeers silences what the other gateways tell a gateway, or what it answers.
func (f *fleet) stallPeers(node int, all bool, d fleettest.Direction, lasts time.Duration) {
	links := f.peerLinks[node : node+1]
	if all {
		links = f.peerLinks
	}
	for _, link := range links {
		link.Stall(d)
		defer link.Unstall(d)
	}
	time.Sleep(lasts)
}

func (f *fleet) storeFails(fault standin.StoreFault, lasts time.Duration) {
	f.store.SetFault(fault)
	time.Sleep(lasts)
	f.store.SetFault(standin.StoreServes)
}

func (f *fleet) stallWorker(worker int, d fleettest.Direction, lasts time.Duration) {
	f.workerLinks[worker].Stall(d)
	time.Sleep(lasts)
	f.workerLinks[worker].Unstall(d)
}

// crashWorker ends a worker, whose entry lapses, and starts it again.
func (f *fleet) crashWorker(worker int, lasts time.Duration) {
	f.process.Lock()
	defer f.process.Unlock()
	w := f.workers[worker]
	w.Crash()
	f.store.Withdraw(w)
	time.Sleep(lasts)
	w.Restart()
	f.store.Publish(w, "ready", f.workerLinks[worker].Address())
}

func (f *fleet) misbehaves(worker int, b standin.Behaviour, lasts time.Duration) {
	misbehave(f.workers[worker], b)
	time.Sleep(lasts)
	healthy(f.workers[worker])
}

// drainWorker announces a departure and takes it back with a new start.
func (f *fleet) drainWorker(worker int, lasts time.Duration) {
	f.process.Lock()
	defer f.process.Unlock()
	w := f.workers[worker]
	address := f.workerLinks[worker].Address()
	f.store.Publish(w, "draining", address)
	time.Sleep(lasts)
	w.Crash()
	w.Restart()
	f.store.Publish(w, "ready", address)
}
