package peer

import (
	"math/rand/v2"
	"slices"
	"time"

	"jacinthfork.example/jacinthfork/gateway/peer/peerpb"
)

// tick chooses the parent, sends what is due and looks after the neighbours.
func (f *Fleet) tick(now time.Time) {
	own := f.handler.Loads()
	f.mu.Lock()
	forgotten := false
	if now.Sub(f.expiredAt) >= expireInterval {
		f.expiredAt = now
		forgotten = f.members.expire(now)
	}
	for node, c := range f.children {
		if now.Sub(c.heardAt) > neighbourTimeout {
			delete(f.children, node)
		}
	}
	changed := f.chooseParent(now)
	parent := f.parent
	f.advancedUp = f.advancedUp || loadChanged(f.sentUp, total(f.sumLoads(own)), f.sentUpAt, now)
	f.advancedDown = f.advancedDown || loadChanged(f.sentDown, total(f.totals), f.sentDownAt, now)
	up := parent != "" && f.linkTo(parent) != nil && (f.advancedUp || len(f.news) > 0 || !now.Before(f.nextUpAt))
	var down []string
	if f.advancedDown || len(f.news) > 0 {
		for node := range f.children {
			down = append(down, node)
		}
	}
	if len(down) > 0 {
		f.sentDown, f.sentDownAt = total(f.totals), now
	}
	news := f.news
	f.news, f.advancedUp, f.advancedDown = nil, false, false
	f.superviseChildren(now)
	f.lookForFleet(now)
	f.mu.Unlock()
	if changed {
		f.handler.ParentChanged(parent)
	}
	if forgotten {
		f.notifyMembers()
	}
	if !now.Before(f.nextTimesAt) {
		// Only tick, which runs in one goroutine, uses nextTimesAt.
		f.nextTimesAt = now.Add(timesInterval)
		times := f.handler.ResponseTimes(false, parent == "")
		f.mu.Lock()
		f.timesDown = times
		f.timesRound++
		f.mu.Unlock()
	}
	f.mu.Lock()
	if parent == "" {
		f.totals = f.sumLoads(own)
	}
	totals := f.totals
	f.mu.Unlock()
	if parent == "" {
		f.handler.SetFleetLoads(totals)
	}
	if up {
		f.sendUp(parent, own, news, now)
	}
	for _, node := range down {
		f.sendDown(node, news, false, now)
	}
}

// interval returns the time between two states to a neighbour. The caller holds mu.
func (f *Fleet) interval() time.Duration {
	if len(f.members.alive) <= smallFleet {
		return smallFleetInterval
	}
	return stateInterval
}

// chooseParent chooses the best parent that can be reached, and reports whether it is another one than before. The
// caller holds mu.
func (f *Fleet) chooseParent(now time.Time) (changed bool) {
	alive := f.members.alive
	rank, ok := treeRank(alive, f.node)
	if !ok {
		// A router that is leaving takes any other one as its parent.
		rank = len(alive)
	}
	before := f.parent
	f.parent = ""
	candidates := parentCandidates(alive, rank)
	if f.awaitsMembers(now) {
		candidates = nil
	}
	for _, c := range candidates {
		if f.usable(c, before, now) {
			f.parent = c.GetNode()
			break
		}
	}
	if f.parent == before {
		return false
	}
	if l := f.linkTo(before); l != nil {
		l.send(&peerpb.Message{Detached: true})
	}
	f.heardParentAt, f.nextUpAt, f.parentPositions, f.parentSequence = now, now, nil, 0
	return true
}

// awaitsMembers reports whether this router has just started and does not know its place in the tree yet. If it took one
// parent after another as it found them, each would send it all records. The caller holds mu.
func (f *Fleet) awaitsMembers(now time.Time) bool {
	age := now.Sub(f.startedAt)
	if !f.informed {
		return age < unknownPeersTimeout
	}
	return f.parent == "" && len(f.members.alive) > smallFleet && age < settleLimit && now.Sub(f.grownAt) < settleTime
}

// usable reports whether a router can be the parent, and starts to connect to it. The parent in use is given up when
// it has been silent for too long. The caller holds mu.
func (f *Fleet) usable(c *peerpb.Member, parent string, now time.Time) bool {
	if f.avoidUntil[c.GetNode()].After(now) {
		return false
	}
	l := f.linkTo(c.GetNode())
	if c.GetNode() == parent && now.Sub(f.heardParentAt) > neighbourTimeout {
		f.avoidUntil[parent] = now.Add(neighbourTimeout)
		if l != nil {
			l.close()
		}
		return false
	}
	if l != nil {
		return true
	}
	return f.connect(c.GetNode(), c.GetAddress(), now) != nil
}

// superviseChildren connects to the routers that should be below this one and are not, so that those that are gone
// are found. One that can be reached may know a part of the fleet only, of which it takes itself for the root: it is told
// the rest. The caller holds mu.
func (f *Fleet) superviseChildren(now time.Time) {
	rank, ok := treeRank(f.members.alive, f.node)
	wait := neighbourTimeout
	if len(f.members.alive) > smallFleet {
		// Those that start at the same time connect to this router themselves.
		wait = startAge
	}
	if !ok || now.Sub(f.startedAt) < wait {
		return
	}
	for _, m := range expectedChildren(f.members.alive, rank) {
		if f.children[m.GetNode()] != nil {
			continue
		}
		l := f.linkTo(m.GetNode())
		switch {
		case l == nil:
			f.connect(m.GetNode(), m.GetAddress(), now)
		case now.Sub(l.sentMembersAt) >= neighbourTimeout:
			f.sendMembers(l)
		}
	}
}

// lookForFleet tries the addresses that this router was given until each has answered once: a router that was found
// first by others may be the only one that knows the rest of the fleet. While it has no parent it also tries addresses
// that are not known as alive. The caller holds mu.
func (f *Fleet) lookForFleet(now time.Time) {
	solo := f.parent == "" && !now.Before(f.nextSoloAt)
	if !solo && !slices.ContainsFunc(f.seeds, func(address string) bool { return f.untried(address, now) }) {
		return
	}
	known := make(map[string]bool)
	for _, m := range f.members.alive {
		known[m.GetAddress()] = true
	}
	if address, ok := f.nextSeed(known, now); ok {
		f.connect("", address, now)
	}
	if !solo {
		return
	}
	f.nextSoloAt = now.Add(soloInterval)
	addresses := slices.Clone(f.seeds)
	for _, m := range f.members.lost() {
		addresses = append(addresses, m.GetAddress())
	}
	unknown := slices.DeleteFunc(addresses, func(address string) bool { return known[address] || !f.due(address, now) })
	if len(unknown) > 0 {
		f.connect("", unknown[rand.IntN(len(unknown))], now)
	}
}

// nextSeed returns the next of the given addresses to try, if one is to be tried now. known are the addresses of the routers
// that are alive. The caller holds mu.
func (f *Fleet) nextSeed(known map[string]bool, now time.Time) (address string, ok bool) {
	for _, address := range f.seeds {
		if d := f.dials[address]; d != nil && d.running && now.Sub(d.begunAt) < seedInterval {
			return "", false
		}
	}
	for _, address := range f.seeds {
		if !known[address] && f.untried(address, now) {
			return address, true
		}
	}
	return "", false
}

// untried reports whether a given address is still to be tried, and an attempt may start now. The caller holds mu.
func (f *Fleet) untried(address string, now time.Time) bool {
	d := f.dials[address]
	return !f.reached[address] && f.due(address, now) && (d == nil || d.failures < maxSeedAttempts)
}

// loadChanged reports whether a load differs so much from what was told that it is told again before its time.
func loadChanged(told, load uint32, toldAt, now time.Time) bool {
	difference := max(told, load) - min(told, load)
	return difference >= minLoadChange && 2*difference >= told && now.Sub(toldAt) >= loadChangeInterval
}

// total returns the requests of all pools.
func total(loads map[uint32]PoolLoad) uint32 {
	sum := uint32(0)
	for _, load := range loads {
		sum += load.Requests
	}
	return sum
}

// sumLoads adds the loads of the routers below this one to its own. The caller holds mu.
func (f *Fleet) sumLoads(own map[uint32]PoolLoad) map[uint32]PoolLoad {
	sum := make(map[uint32]PoolLoad, len(own))
	add := func(loads map[uint32]PoolLoad) {
		for pool, load := range loads {
			sum[pool] = sum[pool].add(load)
		}
	}
	add(own)
	for _, c := range f.children {
		add(c.loads)
	}
	return sum
}

// sendUp sends this router's state to its parent.
func (f *Fleet) sendUp(parent string, own map[uint32]PoolLoad, news []*peerpb.Member, now time.Time) {
	f.mu.Lock()
	positions := f.parentPositions
	f.mu.Unlock()
	f.sendUpFrom(positions, parent, own, news, now)
}

// sendUpFrom sends this router's state to its parent at the given positions.
func (f *Fleet) sendUpFrom(positions []*peerpb.Position, parent string, own map[uint32]PoolLoad, news []*peerpb.Member, now time.Time) {
	f.mu.Lock()
	received := f.parentSequence
	want := now.Sub(f.askedForRecordsAt) >= recordsInterval
	f.mu.Unlock()
	want = want && f.handler.NeedsRecords()
	state := f.handler.State(positions, true, want)
	state.Up, state.Received = true, received
	state.ResponseTimes = f.handler.ResponseTimes(true, false)
	f.mu.Lock()
	defer f.mu.Unlock()
	if want {
		f.askedForRecordsAt = time.Now()
	}
	f.nextUpAt = now.Add(f.interval())
	loads := f.sumLoads(own)
	f.sentUp, f.sentUpAt = total(loads), now
	state.Loads = encodeLoads(loads)
	state.MembersDigest = f.members.digest()
	if l := f.linkTo(parent); l != nil {
		l.send(&peerpb.Message{State: state, Members: news})
	}
}

// sendDown sends the state of the fleet to a router below this one. If want is set, it asks for records of any size.
func (f *Fleet) sendDown(node string, news []*peerpb.Member, want bool, now time.Time) {
	f.mu.Lock()
	c := f.children[node]
	f.mu.Unlock()
	if c == nil {
		return
	}
	c.sending.Lock()
	defer c.sending.Unlock()
	f.mu.Lock()
	c.sentAt = now
	positions := c.positions
	f.mu.Unlock()
	state := f.handler.State(positions, false, want)
	f.mu.Lock()
	defer f.mu.Unlock()
	state.Loads = encodeLoads(f.totals)
	state.MembersDigest = f.members.digest()
	f.stateSequence++
	state.Sequence = f.stateSequence
	if c.timesRound != f.timesRound {
		c.timesRound, state.ResponseTimes = f.timesRound, f.timesDown
	}
	if l := f.linkTo(node); l != nil {
		l.send(&peerpb.Message{State: state, Members: news})
		c.positions = expectedPositions(state.GetPositions())
		if len(state.GetRecords()) > 0 {
			c.recordsSequence, c.recordsSentAt, c.expected = state.Sequence, now, c.positions
		}
	}
}

// expectedPositions returns the positions that the receiver of a state will have, so that the next one does not
// repeat its records.
func expectedPositions(sent []*peerpb.Position) []*peerpb.Position {
	out := make([]*peerpb.Position, 0, len(sent))
	for _, p := range sent {
		next := p.GetNext()
		if p.GetAgeMs() < 0 {
			next = p.GetBase()
		}
		out = append(out, &peerpb.Position{Feed: p.GetFeed(), Next: next})
	}
	return out
}

// positionsAfter returns the positions that a router below this one will have once it has received all that was sent to
// it: those in its state may be older than records that are on their way. A router of a version that acknowledges nothing
// is taken to have received them after neighbourTimeout.
func (c *child) positionsAfter(s *peerpb.State, now time.Time) []*peerpb.Position {
	stated := s.GetPositions()
	if s.GetReceived() >= c.recordsSequence || now.Sub(c.recordsSentAt) >= neighbourTimeout {
		return stated
	}
	out := slices.Clone(stated)
	for i, p := range stated {
		for _, e := range c.expected {
			if e.GetFeed() == p.GetFeed() && e.GetNext() > p.GetNext() {
				out[i] = &peerpb.Position{Feed: p.GetFeed(), Next: e.GetNext(), Want: p.GetWant()}
			}
		}
	}
	return out
}

// receive handles one message.
func (f *Fleet) receive(l *link, m *peerpb.Message) {
	if list := m.GetMembers(); len(list) > 0 {
		refuted := f.merge(list)
		if m.GetState() == nil {
			// The whole membership is sent alone, changes with a state.
			f.mu.Lock()
			f.informed = true
			if refuted {
				// The tree of the sender may be another one.
				f.sendMembers(l)
			}
			f.mu.Unlock()
			f.wakeUp()
		}
	}
	if s := m.GetState(); s != nil {
		f.receiveState(l, s)
	}
	if n := m.GetReceived(); n > 0 {
		l.confirm(n)
	}
	if l.outdated.Load() {
		return
	}
	if needsReceipt(m) {
		defer l.recordReceived()
	}
	if o := m.GetObserved(); o != nil {
		f.handler.Observe(o)
	}
	if r := m.GetReserve(); r != nil {
		f.handler.Reserve(l.node, r, func(answer *peerpb.Reserved) { l.send(l.withReceipt(&peerpb.Message{Reserved: answer})) })
	}
	if q := m.GetLocate(); q != nil {
		l.send(l.withReceipt(&peerpb.Message{Located: f.handler.Locate(q)}))
	}
	if r := m.GetReserved(); r != nil {
		l.silence.heard(time.Now())
		f.answer(r.GetSequence(), m)
	}
	if r := m.GetLocated(); r != nil {
		l.silence.heard(time.Now())
		f.answer(r.GetSequence(), m)
	}
	if sequence := m.GetReleased(); sequence != 0 {
		f.handler.Release(l.node, sequence, m.GetOutcome())
	}
	if m.GetDetached() {
		f.mu.Lock()
		delete(f.children, l.node)
		f.mu.Unlock()
	}
}

// receiveState handles the state of a neighbour and answers it if it comes from below.
func (f *Fleet) receiveState(l *link, s *peerpb.State) {
	now := time.Now()
	f.mu.Lock()
	fromParent := !s.GetUp() && l.node == f.parent
	answer := false
	switch {
	case s.GetUp():
		c := f.children[l.node]
		if c == nil {
			c = &child{}
			f.children[l.node] = c
		}
		c.heardAt, c.loads, c.positions = now, decodeLoads(s.GetLoads()), c.positionsAfter(s, now)
		// A request for records is not repeated with the next state, so it is answered in any case.
		answer = now.Sub(c.sentAt) >= f.interval()/2 || wantsRecords(s.GetPositions())
	case fromParent:
		f.heardParentAt, f.totals, f.parentPositions = now, decodeLoads(s.GetLoads()), withoutRequests(s.GetPositions())
	}
	totals := f.totals
	if s.GetMembersDigest() != f.members.digest() && now.Sub(l.sentMembersAt) >= membersInterval {
		f.sendMembers(l)
	}
	f.mu.Unlock()
	if fromParent {
		f.handler.SetFleetLoads(totals)
	}
	if times := s.GetResponseTimes(); len(times) > 0 && (fromParent || s.GetUp()) {
		f.handler.MergeResponseTimes(s.GetUp(), times)
	}
	news, behind := f.handler.MergeState(l.node, s)
	f.mu.Lock()
	// The parent is asked with the next state that is due for it.
	want := behind && s.GetUp() && now.Sub(f.askedForRecordsAt) >= recordsInterval
	if want {
		f.askedForRecordsAt = now
	}
	if !s.GetUp() && l.node == f.parent {
		f.parentSequence = s.GetSequence()
	}
	f.advancedDown = f.advancedDown || news
	f.advancedUp = f.advancedUp || (news && !fromParent)
	f.mu.Unlock()
	if news {
		f.wakeUp()
	}
	if answer || want {
		f.sendDown(l.node, nil, want, now)
	}
	if fromParent && wantsRecords(s.GetPositions()) {
		f.sendUpFrom(s.GetPositions(), l.node, f.handler.Loads(), nil, now)
	}
}

// withoutRequests returns the positions without the requests for records in them, which are answered once.
func withoutRequests(positions []*peerpb.Position) []*peerpb.Position {
	if !wantsRecords(positions) {
		return positions
	}
	out := make([]*peerpb.Position, 0, len(positions))
	for _, p := range positions {
		out = append(out, &peerpb.Position{Feed: p.GetFeed(), Base: p.GetBase(), Followed: p.GetFollowed(), Next: p.GetNext(), AgeMs: p.GetAgeMs()})
	}
	return out
}

// wantsRecords reports whether the sender of the positions asks for records of any size.
func wantsRecords(positions []*peerpb.Position) bool {
	return slices.ContainsFunc(positions, (*peerpb.Position).GetWant)
}

func encodeLoads(loads map[uint32]PoolLoad) []*peerpb.PoolLoad {
	out := make([]*peerpb.PoolLoad, 0, len(loads))
	for pool, load := range loads {
		if load != (PoolLoad{}) {
			out = append(out, &peerpb.PoolLoad{Pool: pool, Requests: load.Requests, Ejected: load.Ejected, Reduced: load.Reduced})
		}
	}
	return out
}

func decodeLoads(loads []*peerpb.PoolLoad) map[uint32]PoolLoad {
	out := make(map[uint32]PoolLoad, len(loads))
	for _, l := range loads {
		out[l.GetPool()] = PoolLoad{Requests: l.GetRequests(), Ejected: l.GetEjected(), Reduced: l.GetReduced()}
	}
	return out
}
