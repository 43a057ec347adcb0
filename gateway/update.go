package gateway

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"jacinthfork.example/jacinthfork/gateway/extrawork"
	"jacinthfork.example/jacinthfork/gateway/feed"
	"jacinthfork.example/jacinthfork/gateway/peer"
	"jacinthfork.example/jacinthfork/gateway/peer/peerpb"
	"jacinthfork.example/jacinthfork/gateway/pool"
)

// State implements peer.Handler.
func (g *Gateway) State(positions []*peerpb.Position, up, want bool) *peerpb.State {
	state := &peerpb.State{}
	state.SuspectParts, state.SuspectRequests = g.poison.Export()
	for _, f := range g.followers() {
		g.addFeed(state, f, findPosition(positions, f.id), up, want)
	}
	return state
}

// Loads implements peer.Handler.
func (g *Gateway) Loads() map[uint32]peer.PoolLoad {
	local := g.registry.LocalLoad()
	out := make(map[uint32]peer.PoolLoad, len(local))
	for hash, load := range local {
		out[hash] = peer.PoolLoad(load)
	}
	return out
}

// SetFleetLoads implements peer.Handler.
func (g *Gateway) SetFleetLoads(loads map[uint32]peer.PoolLoad) {
	byPool := make(map[uint32]pool.PoolLoad, len(loads))
	for hash, load := range loads {
		byPool[hash] = pool.PoolLoad(load)
	}
	g.registry.SetFleetLoad(byPool)
}

// ResponseTimes implements peer.Handler.
func (g *Gateway) ResponseTimes(up, root bool) []*peerpb.ResponseTimes {
	var told []extrawork.Told
	if up {
		told = g.extraWork.TakeUp(time.Now())
	} else {
		told = g.extraWork.TakeDown(root, time.Now())
	}
	out := make([]*peerpb.ResponseTimes, 0, len(told))
	for _, t := range told {
		out = append(out, &peerpb.ResponseTimes{Pool: t.Pool, Kind: t.Kind, Answered: t.Answered, Cancelled: t.Cut, AgeMs: uint32(t.Age.Milliseconds())})
	}
	return out
}

// MergeResponseTimes implements peer.Handler.
func (g *Gateway) MergeResponseTimes(up bool, times []*peerpb.ResponseTimes) {
	told := make([]extrawork.Told, 0, len(times))
	for _, t := range times {
		told = append(told, extrawork.Told{Pool: t.GetPool(), Kind: t.GetKind(), Answered: t.GetAnswered(), Cut: t.GetCancelled(),
			Age: time.Duration(t.GetAgeMs()) * time.Millisecond})
	}
	ignored := 0
	if up {
		ignored = g.extraWork.MergeUp(told)
	} else {
		ignored = g.extraWork.MergeDown(told, time.Now())
	}
	if ignored > 0 {
		g.metrics.extraWork.Add("sums ignored", int64(ignored))
	}
}

// MembersChanged implements peer.Handler.
func (g *Gateway) MembersChanged(alive, leaving []*peerpb.Member, lost int) {
	routers := make([]pool.Router, 0, len(alive))
	for _, m := range alive {
		routers = append(routers, pool.Router{Name: m.GetNode(), Incarnation: m.GetIncarnation()})
	}
	finishing := make([]pool.Router, 0, len(leaving))
	for _, m := range leaving {
		finishing = append(finishing, pool.Router{Name: m.GetNode(), Incarnation: m.GetIncarnation()})
	}
	gone := g.registry.SetFleet(g.settings.Node, routers, finishing...)
	for _, h := range g.places.releaseAll(gone) {
		// Its place may have been granted and counted since.
		g.registry.EndReservation(h.router, h.sequence, pool.Abandoned)
	}
	g.registry.SetLost(lost)
	g.reservations.moveToKeepers()
	if own := findMember(alive, g.settings.Node); own != nil {
		if g.self != nil && (own.GetIncarnation() != g.self.GetIncarnation() || own.GetVersion() != g.self.GetVersion()) {
			g.reservations.forgotten()
		}
		g.self = own
	}
	if !g.settings.FirstStart && startedTogether(g.settings.Node, routers) {
		for _, f := range g.followers() {
			f.follower.EndStartWait()
		}
	}
}

func findMember(list []*peerpb.Member, node string) *peerpb.Member {
	i := slices.IndexFunc(list, func(m *peerpb.Member) bool { return m.GetNode() == node })
	if i < 0 {
		return nil
	}
	return list[i]
}

// togetherWindow is the difference of the start times within which two routers are taken to have started together. Their
// clocks differ a little.
const togetherWindow = time.Second

// startedTogether reports whether another router started at about the same time as this one: after a loss of power, when
// none of them has a copy of the feeds for the others.
func startedTogether(self string, routers []pool.Router) bool {
	own := uint64(0)
	for _, r := range routers {
		if r.Name == self {
			own = r.Incarnation
		}
	}
	return slices.ContainsFunc(routers, func(r pool.Router) bool {
		return r.Name != self && max(r.Incarnation, own)-min(r.Incarnation, own) <= uint64(togetherWindow.Milliseconds())
	})
}

// Reserve implements peer.Handler.
func (g *Gateway) Reserve(node string, r *peerpb.Reserve, reply func(*peerpb.Reserved)) {
	q := decodeReservation(node, r)
	if r.GetObserved() != nil {
		g.registry.Observe(q.Instance, decodeObservation(r.GetObserved()))
	}
	controller, placed := g.placesFor(q.Instance, r.GetWaitMs() > 0)
	switch {
	case r.GetForced():
		if placed {
			g.places.countTaken(placeHolder{node, q.Sequence}, controller, func() { g.registry.Reserve(q) })
		} else {
			// It may wait for a place.
			g.places.release(placeHolder{node, q.Sequence}, false)
			g.registry.Reserve(q)
		}
		g.metrics.keeperDecisions.Add(decisionLabel(true, true), 1)
	case !placed:
		g.answer(q, g.registry.Reserve(q), reply)
	default:
		entry := g.places.enter(context.Background(), placeHolder{node, q.Sequence})
		if r.GetWaitMs() == 0 {
			g.answer(q, g.reservePlace(controller, q, r, entry), reply)
			return
		}
		go func() {
			a := g.reservePlace(controller, q, r, entry)
			if !g.places.forgot(entry) {
				g.answer(q, a, reply)
			}
		}()
	}
}

func (g *Gateway) answer(q *pool.Reservation, a pool.Answer, reply func(*peerpb.Reserved)) {
	g.metrics.keeperDecisions.Add(decisionLabel(false, a.Granted), 1)
	reply(encodeAnswer(q.Sequence, a))
}

// Release implements peer.Handler.
func (g *Gateway) Release(node string, sequence uint64, outcome peerpb.Outcome) {
	o := decodeOutcome(outcome)
	// A request that is granted its place at this moment must find it given back before the registry counts it.
	g.places.release(placeHolder{node, sequence}, mayHaveRun(outcome))
	i, ejected := g.registry.EndReservation(node, sequence, o)
	// maintainPlaces may have given the request a place again meanwhile, because the registry still counted it.
	g.places.release(placeHolder{node, sequence}, mayHaveRun(outcome))
	if i.ID != "" {
		g.refreshPlaces(pool.KeyOf(i.ID))
	}
	if ejected {
		g.metrics.ejections.Add(i.Pool, 1)
		g.log.Warn("instance ejected", "instance", i.ID, "outcome", o.String(), "reported_by", node)
	}
	if o == pool.Unreachable {
		g.probeUnreachable()
	}
}

// Undelivered implements peer.Handler.
func (g *Gateway) Undelivered(node string, m *peerpb.Message) {
	g.metrics.reservations.Add("undelivered", 1)
	g.reservations.undelivered(node, m)
}

// Observe implements peer.Handler.
func (g *Gateway) Observe(o *peerpb.Observation) {
	g.registry.Observe(pool.Key(o.GetInstance()), decodeObservation(o))
}

// Locate implements peer.Handler.
func (g *Gateway) Locate(l *peerpb.Locate) *peerpb.Located {
	out := &peerpb.Located{Sequence: l.GetSequence()}
	for _, key := range g.registry.Locate(l.GetDocument(), pool.Key(l.GetInstance())) {
		out.Instances = append(out.Instances, uint32(key))
	}
	return out
}

// maxUnsolicitedBytes is the size above which records are sent only to a peer that cannot read them from the
// store. Larger ones, such as a configuration of a thousand routes, sent to all routers below one would fill its
// link for seconds.
const maxUnsolicitedBytes = 48 << 10

// PeerStateChanged implements peer.Handler.
func (g *Gateway) PeerStateChanged(node string, alive bool) {
	if !alive {
		g.log.Warn("peer lost", "peer", node)
		return
	}
	g.log.Info("peer regained", "peer", node)
}

// ParentChanged implements peer.Handler.
func (g *Gateway) ParentChanged(node string) {
	g.log.Info("parent", "peer", node, "routers", 1+g.registry.PeerCount())
}

// NeedsRecords implements peer.Handler.
func (g *Gateway) NeedsRecords() bool { return g.configuration.Failing() || g.instances.Failing() }

// addFeed adds this router's position in a feed and the records that the peer is missing. If the state does
// not contain all missing records, the age is negative, so that the peer does not adopt the position.
func (g *Gateway) addFeed(state *peerpb.State, f feedFollower, position *peerpb.Position, up, want bool) {
	own := &peerpb.Position{Feed: uint32(f.id), Base: position.GetNext(), Want: want, AgeMs: -1}
	state.Positions = append(state.Positions, own)
	n := f.follower.Since(own.Base)
	own.Next, own.Followed = n.Next, n.HistoryFrom
	// A peer's position is known from its first response on. A parent that is behind has not told the age of what it lacks:
	// it has started since, or another router was the parent.
	passedBack := up && n.FromParent && own.Base >= n.Next
	if n.FreshAt.IsZero() || position == nil || passedBack {
		return
	}
	size := 0
	for _, r := range n.Records {
		size += len(r.Key) + len(r.Value)
	}
	var ended []*peerpb.EndedLifetime
	if f.id == feed.Instances && len(n.Records) > 0 {
		ended = g.endedLifetimes(own.Base)
	}
	for _, e := range ended {
		size += proto.Size(e)
	}
	if size > maxUnsolicitedBytes && !position.GetWant() {
		return
	}
	own.AgeMs = time.Since(n.FreshAt).Milliseconds()
	for _, r := range n.Records {
		state.Records = append(state.Records, &peerpb.Record{Feed: uint32(f.id), Offset: r.Offset, Key: r.Key, Value: r.Value})
	}
	state.EndedLifetimes = append(state.EndedLifetimes, ended...)
}

// endedLifetimes returns the lifetimes of instances that have ended from an offset on, for a peer that is sent the records.
func (g *Gateway) endedLifetimes(from uint64) []*peerpb.EndedLifetime {
	ended := g.registry.EndedLifetimes(from)
	out := make([]*peerpb.EndedLifetime, 0, len(ended))
	for _, e := range ended {
		out = append(out, &peerpb.EndedLifetime{Instance: e.Instance, StartedAt: e.StartedAt, Offset: e.Offset, AgeMs: uint32(e.Age.Milliseconds())})
	}
	return out
}

// mergeEndedLifetimes records what a peer knows of lifetimes that have ended. It comes before the records, which may begin others.
func (g *Gateway) mergeEndedLifetimes(state *peerpb.State) {
	ended := make([]pool.EndedLifetime, 0, len(state.GetEndedLifetimes()))
	for _, e := range state.GetEndedLifetimes() {
		ended = append(ended, pool.EndedLifetime{Instance: e.GetInstance(), StartedAt: e.GetStartedAt(), Offset: e.GetOffset(),
			Age: time.Duration(e.GetAgeMs()) * time.Millisecond})
	}
	g.registry.RecordEnded(ended)
}

// findPosition returns a peer's position in a feed, or nil if the peer has not sent one.
func findPosition(positions []*peerpb.Position, id feed.ID) *peerpb.Position {
	for _, p := range positions {
		if p.GetFeed() == uint32(id) {
			return p
		}
	}
	return nil
}

type feedFollower struct {
	id       feed.ID
	follower *feed.Follower
}

func (g *Gateway) followers() []feedFollower {
	return []feedFollower{{feed.Configuration, g.configuration}, {feed.Instances, g.instances}}
}

// MergeState implements peer.Handler.
func (g *Gateway) MergeState(node string, state *peerpb.State) (news, behind bool) {
	blocked, news := g.poison.Merge(state.GetSuspectParts(), state.GetSuspectRequests())
	g.logBlocked(blocked, node)
	g.mergeEndedLifetimes(state)
	for _, position := range state.GetPositions() {
		for _, f := range g.followers() {
			if uint32(f.id) != position.GetFeed() {
				continue
			}
			before := f.follower.FreshAt()
			mergeFeed(node, state, position, f.follower)
			news = news || f.follower.FreshAt().After(before.Add(minAdvance))
			behind = behind || (position.GetAgeMs() < 0 && position.GetNext() > f.follower.Position() && f.follower.Failing())
		}
	}
	return news, behind
}

// minAdvance is how much a feed must advance to be passed on at once: two peers estimate the age of the same read
// with different delays.
const minAdvance = 50 * time.Millisecond

// mergeFeed merges a peer's records and position in one feed.
func mergeFeed(node string, state *peerpb.State, position *peerpb.Position, follower *feed.Follower) {
	if position.GetAgeMs() < 0 {
		follower.RecordPeerPosition(position.GetNext())
		return
	}
	n := feed.Delta{
		Sender:      node,
		Base:        position.GetBase(),
		HistoryFrom: position.GetFollowed(),
		Next:        position.GetNext(),
		FromParent:  !state.GetUp(),
		FreshAt:     time.Now().Add(-time.Duration(position.GetAgeMs())*time.Millisecond - peerDelay),
	}
	for _, r := range state.GetRecords() {
		if r.GetFeed() == position.GetFeed() {
			n.Records = append(n.Records, feed.Record{Key: r.GetKey(), Offset: r.GetOffset(), Value: r.GetValue()})
		}
	}
	follower.ApplyDelta(n)
}

// peerDelay is added to the age of an update to account for its transmission time.
const peerDelay = 10 * time.Millisecond
