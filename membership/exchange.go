package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"jacinthfork.example/jacinthfork/wire"
)

const (
	// stateTransmissions is how many messages carry a changed member state. Each sidecar that learns it sends
	// it as often, which covers a pool of several hundred sidecars.
	stateTransmissions = 8
	// antiEntropyMembers bounds the extra members in a message when the views of the two sidecars differ.
	antiEntropyMembers = 6
	// bootstrapMembers is that bound when the receiver knows far fewer members, and bounds the changed members.
	bootstrapMembers = 64
	// maxStateRequests bounds the unknown members whose state one request asks for.
	maxStateRequests = 16
	// bootstrapGap is how many fewer members the receiver must know for bootstrapMembers to apply.
	bootstrapGap = 8
	// suspectsPerMessage bounds the crash suspects in one message.
	suspectsPerMessage = 16
)

// cloneMember copies a member, since a message must not change once it was sent.
func cloneMember(m *wire.Member) *wire.Member { return proto.Clone(m).(*wire.Member) }

// digest returns the number of known members and a hash over them and their versions.
func (p *Pool) digest() *wire.ViewDigest {
	d := &wire.ViewDigest{Members: stateHash(p.handle, p.own), Count: 1}
	for _, m := range p.members {
		if m.state != nil {
			d.Members ^= stateHash(m.handle, m.state)
			d.Count++
		}
	}
	return d
}

// stateHash mixes the version into the handle, so that the XOR over all members changes with any version.
func stateHash(h uint64, state *wire.Member) uint64 {
	h += state.GetVersion() * 0x9e3779b97f4a7c15
	h ^= h >> 29
	return h * 0xbf58476d1ce4e5b9
}

// membersToSend returns the members to send to a receiver with the given digest: those whose state changed
// recently and, if the views differ, a selection of the others.
func (p *Pool) membersToSend(now time.Time, remote *wire.ViewDigest) []*wire.Member {
	var out []*wire.Member
	var others []*member
	for _, m := range p.members {
		switch {
		case m.state == nil:
		case m.transmissionsLeft > 0 && len(out) < bootstrapMembers:
			m.transmissionsLeft--
			out = append(out, p.memberWithAge(m, now))
		default:
			others = append(others, m)
		}
	}
	local := p.digest()
	if remote == nil || remote.GetMembers() == local.GetMembers() {
		return out
	}
	out = append(out, p.own)
	for _, m := range selectAntiEntropy(others, remote.GetCount()+bootstrapGap < local.GetCount()) {
		out = append(out, p.memberWithAge(m, now))
	}
	return out
}

func (p *Pool) memberWithAge(m *member, now time.Time) *wire.Member {
	state := cloneMember(m.state)
	state.AgeMs = uint32(min(now.Sub(m.sampledAt), p.options.ExpireAge) / time.Millisecond)
	return state
}

// selectAntiEntropy selects members that a receiver with a different view may lack: half of them changed most
// recently, the others are random, so that repeated messages cover all members.
func selectAntiEntropy(members []*member, bootstrap bool) []*member {
	limit := antiEntropyMembers
	if bootstrap {
		limit = bootstrapMembers
	}
	if len(members) <= limit {
		return members
	}
	slices.SortFunc(members, func(a, b *member) int { return b.changedAt.Compare(a.changedAt) })
	rest := members[limit/2:]
	rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return members[:limit]
}

// newRequest returns the request to a neighbour. remote is the digest in the neighbour's last reply, or nil. A
// request that only spreads a state change carries no loads.
func (p *Pool) newRequest(remote *wire.ViewDigest, withLoads bool) *wire.ExchangeRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.expire(now)
	r := &wire.ExchangeRequest{
		Instance: p.self.Instance, Pool: p.self.Pool, Members: p.membersToSend(now, remote), Digest: p.digest(),
	}
	if !withLoads {
		r.Members = appendOwn(r.Members, p.own)
		return r
	}
	r.Loads = p.loadVector(now, nil)
	r.Unknown = slices.Collect(maps.Keys(p.unknownHandles))
	clear(p.unknownHandles)
	return r
}

func appendOwn(members []*wire.Member, own *wire.Member) []*wire.Member {
	for _, m := range members {
		if m == own {
			return members
		}
	}
	return append(members, own)
}

// handleRequest merges a request and returns the reply.
func (p *Pool) handleRequest(r *wire.ExchangeRequest) *wire.ExchangeReply {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.expire(now)
	p.merge(r.GetMembers(), now, 0)
	if transit, ok := p.transitBound(r, now); ok {
		p.mergeLoads(r.GetLoads(), now, transit)
	}
	reply := &wire.ExchangeReply{
		Members: p.membersToSend(now, r.GetDigest()), Digest: p.digest(), Clock: p.clock(now),
	}
	reply.Members = p.appendRequested(reply.Members, r.GetUnknown(), now)
	if r.GetLoads() != nil {
		reply.Loads = p.loadVector(now, r.GetLoads())
	}
	return reply
}

// appendRequested adds the states that the caller requested.
func (p *Pool) appendRequested(out []*wire.Member, requested []uint64, now time.Time) []*wire.Member {
	for _, h := range requested[:min(len(requested), maxStateRequests)] {
		if m := p.byHandle[h]; m != nil {
			out = append(out, p.memberWithAge(m, now))
		}
	}
	return out
}

// mergeReply merges the reply to a request that was sent at the given time.
func (p *Pool) mergeReply(r *wire.ExchangeReply, sent time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	// The reply was produced after the request was sent, which bounds its transit time.
	extra := now.Sub(sent)
	p.merge(r.GetMembers(), now, extra)
	p.mergeLoads(r.GetLoads(), now, extra)
}

func (p *Pool) merge(members []*wire.Member, now time.Time, extra time.Duration) {
	changed := false
	for _, state := range members {
		changed = p.mergeMember(state, now, extra) || changed
	}
	if changed {
		p.notifyChanged()
	}
}

func (p *Pool) clock(now time.Time) uint64 {
	return uint64(now.Sub(p.started)/time.Millisecond) + p.clockBase
}

// transitBound returns an upper bound on the transit time of a request: the time since this sidecar's last
// reply to the caller, minus the time that the caller held the reply before it sent the request. Without the
// bound, pushed loads could be older than stated, for example after this process was paused, so they are
// dropped.
func (p *Pool) transitBound(r *wire.ExchangeRequest, now time.Time) (time.Duration, bool) {
	clock, echo := p.clock(now), r.GetEchoClock()
	if echo == 0 || echo+r.GetEchoElapsed() > clock+1 {
		return 0, false
	}
	const rounding = 2 * time.Millisecond
	since := time.Duration(clock-min(clock, echo+r.GetEchoElapsed())) * time.Millisecond
	return since + rounding, since < p.options.StaleAge
}
