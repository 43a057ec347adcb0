package placement_test

import (
	"fmt"
)

func (f *fleet) join() {
	n := len(f.engines)
	f.engines = append(f.engines, &fakeEngine{id: fmt.Sprint("w", n), domain: fmt.Sprint("d", n%f.w.domains),
		incarnation: 1, cache: newFakeCache(f.w.cache), reachable: true})
	f.loads = append(f.loads, 0)
	f.states = append(f.states, []state{{at: f.now, present: false}})
	f.list(n, state{present: true, ready: true})
}

func (f *fleet) list(i int, s state) {
	s.at, s.incarnation = f.now, f.engines[i].incarnation
	f.states[i] = append(f.states[i], s)
}

func (f *fleet) at(second float64, action func()) {
	t := int(second / tick)
	f.actions[t] = append(f.actions[t], action)
}

// scheduleChurn lets engines leave in good order and be replaced, crash and restart, and flap.
func (f *fleet) scheduleChurn() {
	kind := 0
	for s := f.w.churnEvery; s < f.w.warmup+f.w.duration; s += f.w.churnEvery {
		switch kind++; kind % 3 {
		case 0:
			f.at(s, func() { f.leave(f.pick()) })
		case 1:
			f.at(s, func() { f.crash(f.pick()) })
		case 2:
			f.at(s, func() { f.flap(f.pick()) })
		}
	}
}

// pick goes through the engines in turn, so that every policy loses each engine equally often.
func (f *fleet) pick() int {
	for {
		f.picked = (f.picked + 1) % len(f.engines)
		if e := f.engines[f.picked]; e.reachable && !e.leaving {
			return f.picked
		}
	}
}

func (f *fleet) leave(i int) {
	f.engines[i].leaving = true
	f.list(i, state{present: true, ready: true, leaving: true})
	now := float64(f.now) * tick
	f.at(now+30, func() { f.engines[i].reachable = false; f.list(i, state{}) })
	f.at(now+20, func() {
		f.join()
		if f.w.export {
			successor := f.engines[len(f.engines)-1]
			successor.cache, f.engines[i].cache = f.engines[i].cache, newFakeCache(f.w.cache)
			f.engines[i].successor = successor
		}
	})
}

func (f *fleet) crash(i int) {
	f.setReachable(i, false)
	f.at(float64(f.now)*tick+15, func() {
		f.engines[i].restart(f.w.cache)
		f.setReachable(i, true)
	})
}

func (f *fleet) flap(i int) {
	now := float64(f.now) * tick
	for round := range 3 {
		f.at(now+float64(10*round)+0.1, func() { f.setReachable(i, false) })
		f.at(now+float64(10*round)+4, func() { f.setReachable(i, true) })
	}
}

func (f *fleet) setReachable(i int, reachable bool) {
	f.engines[i].reachable = reachable
	f.list(i, state{present: true, ready: reachable})
}
