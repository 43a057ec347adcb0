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
	// rumourMessages is how many messages carry the news of a changed member. Each sidecar that
	// learns it sends as many, so that a pool of several hundred is covered.
	rumourMessages = 8
	// repairMembers bounds the members that are sent when two views differ.
	repairMembers = 6
	// newcomerMembers bounds them when the receiver knows far fewer.
	newcomerMembers = 64
	// unknownMembers bounds the members that one request asks for.
	unknownMembers = 16
	// newcomerGap is how many members fewer make the receiver a newcomer.
	newcomerGap = 8
	// suspectsPerMessage bounds the crash suspects of one message.
	suspectsPerMessage = 16
)

// cloneMember copies the fields of a member; messages that were sent are never changed.
func cloneMember(m *wire.Member) *wire.Member { return proto.Clone(m).(*wire.Member) }

// digest sums up which members are known in which version.
func (p *Pool) digest() *wire.ViewDigest {
	d := &wire.ViewDigest{Members: newsHash(p.handle, p.own), Count: 1}
	for _, m := range p.members {
		if m.news != nil {
			d.Members ^= newsHash(m.handle, m.news)
			d.Count++
		}
	}
	return d
}

// newsHash mixes the version into the handle, so that the exclusive or of several differs when any
// version does.
func newsHash(h uint64, news *wire.Member) uint64 {
	h += news.GetVersion() * 0x9e3779b97f4a7c15
	h ^= h >> 29
	return h * 0xbf58476d1ce4e5b9
}

// news returns what to send to a receiver with the given digest: members whose state changed recently,
// and when the views differ some others as well.
func (p *Pool) news(now time.Time, theirs *wire.ViewDigest) []*wire.Member {
	var out []*wire.Member
	var others []*member
	for _, m := range p.members {
		switch {
		case m.news == nil:
		case m.fresh > 0 && len(out) < newcomerMembers:
			m.fresh--
			out = append(out, p.aged(m, now))
		default:
			others = append(others, m)
		}
	}
	mine := p.digest()
	if theirs == nil || theirs.GetMembers() == mine.GetMembers() {
		return out
	}
	out = append(out, p.own)
	for _, m := range repair(others, theirs.GetCount()+newcomerGap < mine.GetCount()) {
		out = append(out, p.aged(m, now))
	}
	return out
}

func (p *Pool) aged(m *member, now time.Time) *wire.Member {
	news := cloneMember(m.news)
	news.AgeMs = uint32(min(now.Sub(m.born), p.rules.ForgetAge) / time.Millisecond)
	return news
}

// repair selects members that a receiver with another view may not know: one half changed last, the
// other half is random, so that repeated messages cover all members.
func repair(members []*member, newcomer bool) []*member {
	limit := repairMembers
	if newcomer {
		limit = newcomerMembers
	}
	if len(members) <= limit {
		return members
	}
	slices.SortFunc(members, func(a, b *member) int { return b.changedAt.Compare(a.changedAt) })
	rest := members[limit/2:]
	rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return members[:limit]
}

// request returns the message to a neighbour. theirs is the digest of its last reply or nil; a
// request about a changed state carries no loads.
func (p *Pool) request(theirs *wire.ViewDigest, withLoads bool) *wire.ExchangeRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.forget(now)
	r := &wire.ExchangeRequest{
		Instance: p.self.Instance, Pool: p.self.Pool, Members: p.news(now, theirs), Digest: p.digest(),
	}
	if !withLoads {
		r.Members = appendOwn(r.Members, p.own)
		return r
	}
	r.Loads = p.loads(now, nil)
	r.Unknown = slices.Collect(maps.Keys(p.unknown))
	clear(p.unknown)
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

// answer merges a request and returns the reply to it.
func (p *Pool) answer(r *wire.ExchangeRequest) *wire.ExchangeReply {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.forget(now)
	p.merge(r.GetMembers(), now, 0)
	if transit, ok := p.transit(r, now); ok {
		p.mergeLoads(r.GetLoads(), now, transit)
	}
	reply := &wire.ExchangeReply{
		Members: p.news(now, r.GetDigest()), Digest: p.digest(), Clock: p.clock(now),
	}
	reply.Members = p.appendAsked(reply.Members, r.GetUnknown(), now)
	if r.GetLoads() != nil {
		reply.Loads = p.loads(now, r.GetLoads())
	}
	return reply
}

// appendAsked adds the news of members that the caller asked for.
func (p *Pool) appendAsked(out []*wire.Member, asked []uint64, now time.Time) []*wire.Member {
	for _, h := range asked[:min(len(asked), unknownMembers)] {
		if m := p.byHandle[h]; m != nil {
			out = append(out, p.aged(m, now))
		}
	}
	return out
}

// absorb merges the reply to a request that was sent at the given time.
func (p *Pool) absorb(r *wire.ExchangeReply, sent time.Time) {
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
	for _, news := range members {
		changed = p.mergeMember(news, now, extra) || changed
	}
	if changed {
		p.announce()
	}
}

func (p *Pool) clock(now time.Time) uint64 {
	return uint64(now.Sub(p.started)/time.Millisecond) + p.clockBase
}

// transit bounds how long a request was under way: the time since this sidecar's last reply to the
// caller, less the time that the caller had the reply before it sent the request. Without it pushed
// loads could be older than they say, for example after a pause of this process, and are dropped.
func (p *Pool) transit(r *wire.ExchangeRequest, now time.Time) (time.Duration, bool) {
	clock, echo := p.clock(now), r.GetEchoClock()
	if echo == 0 || echo+r.GetEchoElapsed() > clock+1 {
		return 0, false
	}
	const rounding = 2 * time.Millisecond
	since := time.Duration(clock-min(clock, echo+r.GetEchoElapsed())) * time.Millisecond
	return since + rounding, since < p.rules.StaleAge
}
