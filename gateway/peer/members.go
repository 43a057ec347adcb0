package peer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"jacinthfork.example/jacinthfork/gateway/peer/peerpb"
)

const (
	// forgetAfter is how long a router that is lost or has left is remembered, so that an old message does not
	// bring it back.
	forgetAfter = 2 * time.Minute
	// maxMembers bounds the routers that are remembered.
	maxMembers = 4096
)

// members is what one router knows about the membership of the fleet. All routers that have exchanged their
// members agree, whatever the order of the messages. It does no I/O and is not safe for concurrent use.
type members struct {
	own     *peerpb.Member
	entries map[string]*member
	// alive are the routers that are alive, by name. It is rebuilt after a change.
	alive []*peerpb.Member
	// changes is the number of changes so far.
	changes uint64
}

type member struct {
	*peerpb.Member
	changedAt time.Time
}

func newMembers(own *peerpb.Member) *members {
	m := &members{own: own, entries: make(map[string]*member)}
	m.rebuild()
	return m
}

// newer reports whether a describes a later state of the same router than b.
func newer(a, b *peerpb.Member) bool {
	return cmp.Or(cmp.Compare(a.GetIncarnation(), b.GetIncarnation()), cmp.Compare(a.GetVersion(), b.GetVersion()),
		cmp.Compare(a.GetStatus(), b.GetStatus())) > 0
}

// merge is apply for one description.
func (m *members) merge(in *peerpb.Member, now time.Time) *peerpb.Member {
	news := m.apply(in, now)
	if news != nil {
		m.rebuild()
	}
	return news
}

// apply adds a description of a router and returns what the other routers have to be told, or nil. rebuild must be called
// after the last of some that were new: the whole membership comes in one message. A description
// that says that this router is lost is refuted. If its predecessor seems to have started later, since the clock was set
// back in between, this router takes a later start for its own: the others would ignore it.
func (m *members) apply(in *peerpb.Member, now time.Time) *peerpb.Member {
	if in.GetNode() == m.own.GetNode() {
		if !newer(in, m.own) || in.GetIncarnation() == math.MaxUint64 {
			return nil
		}
		if in.GetIncarnation() > m.own.GetIncarnation() {
			m.own = &peerpb.Member{Node: m.own.GetNode(), Address: m.own.GetAddress(), Incarnation: in.GetIncarnation() + 1, Status: m.own.GetStatus()}
			return m.announce(m.own.GetStatus(), 0)
		}
		return m.announce(m.own.GetStatus(), in.GetVersion()+1)
	}
	known, ok := m.entries[in.GetNode()]
	if ok && !newer(in, known.Member) {
		return nil
	}
	if !ok && (in.GetStatus() != peerpb.Status_ALIVE || in.GetNode() == "" || in.GetAddress() == "" || len(m.entries) >= maxMembers) {
		return nil
	}
	m.entries[in.GetNode()] = &member{Member: in, changedAt: now}
	return in
}

// announce sets the status and version of this router and returns its new description.
func (m *members) announce(status peerpb.Status, version uint32) *peerpb.Member {
	m.own = &peerpb.Member{Node: m.own.GetNode(), Address: m.own.GetAddress(), Incarnation: m.own.GetIncarnation(), Version: version, Status: status}
	m.rebuild()
	return m.own
}

// declareLost marks a router as lost and returns its new description, or nil if it is not known as alive.
func (m *members) declareLost(node string, now time.Time) *peerpb.Member {
	known, ok := m.entries[node]
	if !ok || known.GetStatus() != peerpb.Status_ALIVE {
		return nil
	}
	return m.merge(&peerpb.Member{Node: node, Address: known.GetAddress(), Incarnation: known.GetIncarnation(), Version: known.GetVersion(), Status: peerpb.Status_LOST}, now)
}

// expire forgets routers that have been lost or gone for long, and reports whether there were any.
func (m *members) expire(now time.Time) (forgotten bool) {
	for node, e := range m.entries {
		if e.GetStatus() != peerpb.Status_ALIVE && now.Sub(e.changedAt) > forgetAfter {
			delete(m.entries, node)
			forgotten = true
		}
	}
	return forgotten
}

func (m *members) rebuild() {
	m.changes++
	m.alive = m.alive[:0:0]
	if m.own.GetStatus() == peerpb.Status_ALIVE {
		m.alive = append(m.alive, m.own)
	}
	for _, e := range m.entries {
		if e.GetStatus() == peerpb.Status_ALIVE {
			m.alive = append(m.alive, e.Member)
		}
	}
	slices.SortFunc(m.alive, func(a, b *peerpb.Member) int { return cmp.Compare(a.GetNode(), b.GetNode()) })
}

// all returns the descriptions of all routers, this one included.
func (m *members) all() []*peerpb.Member {
	out := []*peerpb.Member{m.own}
	for _, e := range m.entries {
		out = append(out, e.Member)
	}
	return out
}

// lost returns the routers that are lost.
func (m *members) lost() []*peerpb.Member {
	var out []*peerpb.Member
	for _, e := range m.entries {
		if e.GetStatus() == peerpb.Status_LOST {
			out = append(out, e.Member)
		}
	}
	return out
}

// leaving returns the other routers that are shutting down, or were when they were last heard of.
func (m *members) leaving() []*peerpb.Member {
	var out []*peerpb.Member
	for _, e := range m.entries {
		if e.GetStatus() == peerpb.Status_LEAVING {
			out = append(out, e.Member)
		}
	}
	return out
}

// get returns what is known about a router, or nil.
func (m *members) get(node string) *peerpb.Member {
	if e, ok := m.entries[node]; ok {
		return e.Member
	}
	return nil
}

// digest is equal for two routers that know the same ones as alive. Those that are not alive are left out, because
// they are forgotten at different times.
func (m *members) digest() uint64 {
	sum := uint64(0)
	for _, a := range m.alive {
		sum ^= xxhash.Sum64String(a.GetNode()) + a.GetIncarnation()*31 + uint64(a.GetVersion())
	}
	return sum
}
