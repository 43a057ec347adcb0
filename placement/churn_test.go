package placement_test

import (
	"fmt"
)

// addEngine starts an engine and adds it to the instance list.
func (f *fleet) addEngine() {
	n := len(f.engines)
	f.engines = append(f.engines, &fakeEngine{id: fmt.Sprint("w", n), domain: fmt.Sprint("d", n%f.workload.domainCount),
		incarnation: 1, cache: newFakeCache(f.workload.cacheTokens), reachable: true})
	f.reportedLoads = append(f.reportedLoads, 0)
	f.listStates = append(f.listStates, []listState{{since: f.now, present: false}})
	f.setListState(n, listState{present: true, ready: true})
}

// setListState changes what the instance list reports about engine i from now on.
func (f *fleet) setListState(i int, s listState) {
	s.since, s.incarnation = f.now, f.engines[i].incarnation
	f.listStates[i] = append(f.listStates[i], s)
}

// schedule runs the action at the given time in seconds.
func (f *fleet) schedule(second float64, action func()) {
	t := int(second / tick)
	f.actions[t] = append(f.actions[t], action)
}

// scheduleChurn schedules, in turn, engines that drain and are replaced, crash and restart, or flap.
func (f *fleet) scheduleChurn() {
	kind := 0
	for s := f.workload.churnInterval; s < f.workload.warmup+f.workload.duration; s += f.workload.churnInterval {
		switch kind++; kind % 3 {
		case 0:
			f.schedule(s, func() { f.drain(f.nextChurnEngine()) })
		case 1:
			f.schedule(s, func() { f.crash(f.nextChurnEngine()) })
		case 2:
			f.schedule(s, func() { f.flap(f.nextChurnEngine()) })
		}
	}
}

// nextChurnEngine cycles through the engines, so that every policy loses each engine equally often.
func (f *fleet) nextChurnEngine() int {
	for {
		f.lastChurned = (f.lastChurned + 1) % len(f.engines)
		if e := f.engines[f.lastChurned]; e.reachable && !e.leaving {
			return f.lastChurned
		}
	}
}

// drain marks an engine as leaving, starts its replacement after 20 s and stops the engine after 30 s.
func (f *fleet) drain(i int) {
	f.engines[i].leaving = true
	f.setListState(i, listState{present: true, ready: true, leaving: true})
	now := float64(f.now) * tick
	f.schedule(now+30, func() { f.engines[i].reachable = false; f.setListState(i, listState{}) })
	f.schedule(now+20, func() {
		f.addEngine()
		if f.workload.exportCache {
			successor := f.engines[len(f.engines)-1]
			successor.cache, f.engines[i].cache = f.engines[i].cache, newFakeCache(f.workload.cacheTokens)
			f.engines[i].successor = successor
		}
	})
}

func (f *fleet) crash(i int) {
	f.setReachable(i, false)
	f.schedule(float64(f.now)*tick+15, func() {
		f.engines[i].restart(f.workload.cacheTokens)
		f.setReachable(i, true)
	})
}

func (f *fleet) flap(i int) {
	now := float64(f.now) * tick
	for round := range 3 {
		f.schedule(now+float64(10*round)+0.1, func() { f.setReachable(i, false) })
		f.schedule(now+float64(10*round)+4, func() { f.setReachable(i, true) })
	}
}

func (f *fleet) setReachable(i int, reachable bool) {
	f.engines[i].reachable = reachable
	f.setListState(i, listState{present: true, ready: reachable})
}
