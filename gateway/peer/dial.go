package peer

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"jacinthfork.example/jacinthfork/gateway/peer/peerpb"
)

// dialState is the state of the attempts to reach one address.
type dialState struct {
	running  bool
	begunAt  time.Time
	failures int
	nextAt   time.Time
	// done is closed when the attempt in progress has succeeded or failed.
	done chan struct{}
}

// connect starts an attempt to reach an address unless one is in progress or the last one has failed just before. It
// returns the state of the attempt in progress, or nil. The caller holds mu. node is the router that is expected
// there, or "".
func (f *Fleet) connect(node, address string, now time.Time) *dialState {
	d := f.dials[address]
	if d == nil {
		d = &dialState{}
		f.dials[address] = d
	}
	if d.running {
		return d
	}
	if f.runCtx.Err() != nil {
		return nil
	}
	if now.Before(d.nextAt) {
		return nil
	}
	d.running, d.begunAt = true, now
	d.done = make(chan struct{})
	go f.dial(f.runCtx, address, func(err error) { f.dialled(d, node, address, err) })
	return d
}

// due reports whether an attempt to reach an address may start now. The caller holds mu.
func (f *Fleet) due(address string, now time.Time) bool {
	d := f.dials[address]
	return d == nil || !d.running && !now.Before(d.nextAt)
}

// dialled records the result of an attempt to reach a router.
func (f *Fleet) dialled(d *dialState, node, address string, err error) {
	f.mu.Lock()
	d.running = false
	close(d.done)
	if err == nil {
		d.failures = 0
		f.reached[address] = true
		f.mu.Unlock()
		return
	}
	d.failures++
	pause := min(maxRedial, minRedial<<min(d.failures-1, 8))
	if errors.Is(err, context.DeadlineExceeded) && time.Since(f.startedAt) < startAge {
		pause = max(pause, slowRedial/2+rand.N(slowRedial))
	}
	d.nextAt = time.Now().Add(pause)
	var lost *peerpb.Member
	slow := errors.Is(err, context.DeadlineExceeded) && time.Since(f.startedAt) < startAge
	if errors.Is(err, errNoDescriptor) {
		// The other router was not asked.
		d.failures = 0
	}
	if node != "" && !slow && d.failures >= lostAfter && f.linkTo(node) == nil && f.runCtx.Err() == nil {
		if lost = f.members.declareLost(node, time.Now()); lost != nil {
			f.news = append(f.news, lost)
		}
	}
	f.mu.Unlock()
	if lost != nil {
		f.handler.PeerStateChanged(node, false)
		f.notifyMembers()
		f.wakeUp()
	}
}
