package affinity

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"jacinthfork.example/jacinthfork/internal/proptest"
	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/kernel/settings"
	"jacinthfork.example/jacinthfork/placement"
	"pgregory.net/rapid"
)

func newCandidates(n int) []placement.Candidate {
	out := make([]placement.Candidate, n)
	for i := range out {
		out[i] = placement.Candidate{ID: fmt.Sprintf("w%d", i), Ready: true, Incarnation: 1, Load: 1000,
			FailureDomain: fmt.Sprintf("d%d", i%3)}
	}
	return out
}

func orderIDs(p placement.Policy, req *placement.Request, pool *placement.Pool) []string {
	var ids []string
	for _, i := range p.Order(nil, req, pool) {
		ids = append(ids, pool.At(i).ID)
	}
	return ids
}

func drawRequest(t *rapid.T, candidates []placement.Candidate) *placement.Request {
	req := &placement.Request{
		Chat:          rapid.Uint64().Draw(t, "chat"),
		Group:         rapid.Uint64().Draw(t, "group"),
		GroupShare:    rapid.Float64Range(0, 1).Draw(t, "share"),
		Work:          rapid.Int64Range(1, 5000).Draw(t, "work"),
		FailureDomain: "d1",
	}
	if rapid.Bool().Draw(t, "has token") {
		id := rapid.SampledFrom(candidates).Draw(t, "token").ID
		req.Token = &placement.Token{Group: req.Group, Instance: id, Incarnation: 1}
	}
	return req
}

// Routers that hold the same list must choose the same order, regardless of the order of the list.
func TestOrderIsIndependentOfListOrder(t *testing.T) {
	p := New()
	proptest.Check(t, func(t *rapid.T) {
		candidates := newCandidates(rapid.IntRange(1, 100).Draw(t, "instances"))
		for i := range candidates {
			candidates[i].Load = rapid.Int64Range(0, 5000).Draw(t, "load")
		}
		req := drawRequest(t, candidates)
		want := orderIDs(p, req, placement.NewPool("p", candidates, 1000))
		shuffled := rapid.Permutation(candidates).Draw(t, "shuffled")
		if got := orderIDs(p, req, placement.NewPool("p", shuffled, 1000)); !slices.Equal(got, want) {
			t.Fatalf("%v differs from %v", got, want)
		}
		if len(want) != len(candidates) {
			t.Fatalf("order has %d of %d candidates", len(want), len(candidates))
		}
		slices.Sort(want)
		if len(slices.Compact(want)) != len(candidates) {
			t.Fatal("a candidate is listed twice")
		}
	})
}

// Compares a pool with and without one instance. When the instance leaves, only chats that were placed on it
// may move; when it joins, chats may move only to it. A chat whose token names another instance stays there.
func TestMembershipChangeMovesOnlyAffectedChats(t *testing.T) {
	p := New()
	p.Spread = 0
	proptest.Check(t, func(t *rapid.T) {
		candidates := newCandidates(rapid.IntRange(2, 80).Draw(t, "instances"))
		req := drawRequest(t, candidates)
		changed := rapid.IntRange(0, len(candidates)-1).Draw(t, "changed")
		all := orderIDs(p, req, placement.NewPool("p", candidates, 1000))[0]
		candidates[changed].Leaving = true
		without := orderIDs(p, req, placement.NewPool("p", candidates, 1000))[0]
		if all != without && all != candidates[changed].ID {
			t.Fatalf("%s changed, but the chat moved from %s to %s", candidates[changed].ID, all, without)
		}
		if without == candidates[changed].ID {
			t.Fatal("a leaving instance is a candidate")
		}
	})
}

// A chat that moved while its instance was not ready has a token for its new instance and must stay there
// when the old instance is ready again.
func TestChatStaysWhenPreviousInstanceReturns(t *testing.T) {
	is := is.New(t)
	p := New()
	candidates := newCandidates(10)
	req := &placement.Request{Chat: 5, Group: 6, Work: 10}
	home := p.Order(nil, req, placement.NewPool("p", candidates, 1000))[0]
	candidates[home].Ready = false
	away := placement.NewPool("p", candidates, 1000)
	moved := p.Order(nil, req, away)[0]
	is.True(moved != home)
	req.Token = &placement.Token{Group: 6, Instance: away.At(moved).ID, Incarnation: 1}
	candidates[home].Ready = true
	is.Equal(p.Order(nil, req, placement.NewPool("p", candidates, 1000))[0], moved)
}

// The order for an idempotency key determines where an action runs. Loads, tokens and settings must not
// change it.
func TestKeyHashAloneDeterminesOrder(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		candidates := newCandidates(30)
		pool := placement.NewPool("p", candidates, 1000)
		req := drawRequest(t, candidates)
		req.KeyHash = rapid.Uint64Min(1).Draw(t, "key")
		if !slices.Equal(New().Order(nil, req, pool), placement.KeyOrder(nil, req.KeyHash, pool)) {
			t.Fatal("order differs from KeyOrder")
		}
	})
}

// An instance in the router's failure domain saves a millisecond, while a cache miss on a document costs
// seconds. Therefore only requests without a document may depend on the router's domain, and known holders
// of a document come before the other instances.
func TestLocalDomainAndHoldersComeFirst(t *testing.T) {
	is := is.New(t)
	pool := placement.NewPool("p", newCandidates(12), 1000)
	first := func(req placement.Request) *placement.Candidate { return pool.At(New().Order(nil, &req, pool)[0]) }
	for _, domain := range []string{"d0", "d1", "d2"} {
		is.Equal(first(placement.Request{Work: 10, FailureDomain: domain}).FailureDomain, domain)
		withDocument := placement.Request{Group: 7, Work: 10, FailureDomain: domain}
		is.Equal(first(withDocument).ID, first(placement.Request{Group: 7, Work: 10}).ID)
		withDocument.Holders = []uint64{placement.HashID("w8")}
		is.Equal(first(withDocument).ID, "w8")
	}
}

// An instance without a load report must neither attract all new chats nor be omitted.
func TestUnknownLoadCountsAsMean(t *testing.T) {
	is := is.New(t)
	candidates := newCandidates(3)
	candidates[0].Load, candidates[0].LoadAge = 0, -1
	candidates[1].Load, candidates[2].Load = 900, 1100
	pool := placement.NewPool("p", candidates, 1000)
	is.Equal(orderIDs(New(), &placement.Request{Work: 10}, pool), []string{"w1", "w0", "w2"})
}

// The settings of a pool must reach the policy, and Explain must name the values that determined the order.
func TestSettingsTakeEffectAndAreExplained(t *testing.T) {
	is := is.New(t)
	ctx := kernel.NewContext("r1", kernel.NewLogger(io.Discard, slog.LevelInfo, "r1"))
	p, err := kernel.Load[placement.Policy](ctx, kernel.KindPlacement, "affinity", settings.Table{"bound_factor": 2.0})
	is.NoErr(err)
	pool := placement.NewPool("p", newCandidates(10), 1000)
	req := &placement.Request{Group: 6, Work: 10, Token: &placement.Token{Group: 6, Instance: "w4", Incarnation: 1}}
	text := p.Explain(req, pool, p.Order(nil, req, pool))
	is.True(strings.Contains(text, "token=used"))
	is.True(strings.Contains(text, "bound=2002"))
	is.True(strings.Contains(text, "candidates=10: w4(load 1000"))
	_, err = kernel.Load[placement.Policy](ctx, kernel.KindPlacement, "affinity", settings.Table{"bound_factor": 0.5})
	is.True(err != nil)
}

func BenchmarkOrder(b *testing.B) {
	for _, n := range []int{20, 75, 600} {
		b.Run(fmt.Sprintf("candidates=%d", n), func(b *testing.B) {
			for _, hints := range []bool{true, false} {
				b.Run(fmt.Sprintf("hints=%t", hints), func(b *testing.B) {
					p, pool, req, dst := newOrderFixture(n)
					if !hints {
						req.Holders = nil
					}
					b.ReportAllocs()
					for b.Loop() {
						req.Chat++
						dst = p.Order(dst, req, pool)
					}
				})
			}
		})
	}
}

func newOrderFixture(n int) (*Policy, *placement.Pool, *placement.Request, []int) {
	candidates := newCandidates(n)
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range candidates {
		candidates[i].Load = 800 + rng.Int64N(600)
	}
	req := &placement.Request{Chat: 5, GroupShare: 0.1, Work: 10, Token: &placement.Token{Instance: "w4"}}
	for _, c := range candidates[:8] {
		req.Holders = append(req.Holders, placement.HashID(c.ID))
	}
	return New(), placement.NewPool("p", candidates, 1000), req, make([]int, 0, n)
}

// Allocations in Order would add garbage collection cost to every request, so it must not allocate.
func TestOrderDoesNotAllocate(t *testing.T) {
	for _, n := range []int{75, 600} {
		p, pool, req, dst := newOrderFixture(n)
		if allocs := testing.AllocsPerRun(1000, func() { dst = p.Order(dst, req, pool) }); allocs != 0 {
			t.Errorf("%d candidates: %v allocations per decision", n, allocs)
		}
	}
}
