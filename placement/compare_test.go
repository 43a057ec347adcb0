package placement_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"

	"jacinthfork.example/jacinthfork/placement"
	"jacinthfork.example/jacinthfork/plugin/placement/affinity"
	"jacinthfork.example/jacinthfork/plugin/placement/random"
	"jacinthfork.example/jacinthfork/plugin/placement/rendezvous"
	"jacinthfork.example/jacinthfork/plugin/placement/twochoices"
)

// Dulcemar and the Menders are two fleets, whose settings are in examples. Dulcemar gives priority to low
// skew and the Menders to cache reuse, so their load bounds differ. The high rates are those of the peak at
// target size, 7.8 requests/s and 3,700 decode tokens/s per engine; the Menders have half of that because
// of their longer prompts.
func dulcemar(name string, rate float64) workload {
	return workload{name: name, engineCount: 20, domainCount: 3, routerCount: 3, boundFactor: 1.2, spread: 8, oneRequest: 14336, rate: rate, orgs: 10, docsPerOrg: 4,
		docMin: 3000, docMax: 8000, cacheTokens: 2_500_000, warmup: 400, duration: 400, churnInterval: 30, seeds: 1}
}

func menders(name string, rate float64) workload {
	return workload{name: name, engineCount: 10, domainCount: 3, routerCount: 3, boundFactor: 2, spread: 2, oneRequest: 49152, rate: rate, orgs: 10, docsPerOrg: 8,
		docMin: 15000, docMax: 40000, cacheTokens: 2_500_000, warmup: 600, duration: 600, churnInterval: 60, seeds: 3}
}

func targetSize() workload {
	return workload{name: "target", engineCount: 75, domainCount: 5, routerCount: 390, boundFactor: 1.5, spread: 1, oneRequest: 16384, rate: 580, orgs: 1500, docsPerOrg: 2,
		docMin: 3000, docMax: 8000, cacheTokens: 2_500_000, warmup: 120, duration: 60, churnInterval: 10, seeds: 1}
}

func workloads() []workload {
	return []workload{dulcemar("dulcemar-moderate", 75), dulcemar("dulcemar-high", 150),
		menders("menders-moderate", 20), menders("menders-high", 40), targetSize()}
}

// comparedPolicy is a policy, with its changes to the workload, that the comparison lists as one row.
type comparedPolicy struct {
	name        string
	policy      func(w *workload) placement.Policy
	loadBounded bool
	adjust      func(w *workload)
}

// comparedPolicies returns the rows that the tests use. The omniscient router sees the actual caches and
// loads of all engines, so its cache reuse is the reference for the policies.
func comparedPolicies() []comparedPolicy {
	unchanged := func(*workload) {}
	return []comparedPolicy{
		{"omniscient", func(*workload) placement.Policy { return nil }, true, unchanged},
		{"affinity", affinityFor, true, unchanged},
		{"random", func(w *workload) placement.Policy { return random.New(randomSource(w)) }, true, unchanged},
		{"twochoices", func(w *workload) placement.Policy { return twochoices.New(randomSource(w)) }, true, unchanged},
	}
}

// policyVariants returns further rows of the table, which no test uses.
func policyVariants() []comparedPolicy {
	return []comparedPolicy{
		{"rendezvous without bound", func(*workload) placement.Policy { return new(rendezvous.Policy) }, false, func(*workload) {}},
		{"affinity, hints of own traffic only", affinityFor, true, func(w *workload) { w.hints = hintsOwnTraffic }},
		{"affinity, no hints", affinityFor, true, func(w *workload) { w.hints = hintsNone }},
		{"affinity, no tokens", affinityFor, true, func(w *workload) { w.noTokens = true }},
		{"affinity, KV export on leaving", affinityFor, true, func(w *workload) { w.exportCache = true }},
		{"omniscient, admit at mean", comparedPolicies()[0].policy, true, func(w *workload) { w.atMean = true }},
		{"affinity, admit at mean", affinityFor, true, func(w *workload) { w.atMean = true }},
		{"affinity, at mean after a round", affinityFor, true, func(w *workload) { w.oneRequest, w.secondRound = 0, true }},
		{"omniscient, one request = the request at hand", comparedPolicies()[0].policy, true, func(w *workload) { w.oneRequest = 0 }},
		{"affinity, one request = the request at hand", affinityFor, true, func(w *workload) { w.oneRequest = 0 }},
	}
}

func affinityFor(w *workload) placement.Policy {
	p := affinity.New()
	p.BoundFactor = w.boundFactor
	p.Spread = w.spread
	return p
}

func randomSource(w *workload) func() uint64 { return rand.New(rand.NewPCG(w.seed, 99)).Uint64 }

// run replays the workload's traces and returns the sum of their results.
func (c *comparedPolicy) run(w workload) *result {
	c.adjust(&w)
	b := loadBound{w.boundFactor, w.oneRequest, w.atMean}
	if !c.loadBounded {
		b = loadBound{}
	}
	sum := &result{}
	for w.seed = 1; w.seed <= w.seeds; w.seed++ {
		sum.add(replayTrace(&w, w.sharedTrace(), c.policy(&w), b))
	}
	return sum
}

// comparisons holds the results of each workload by policy, computed on first use.
var comparisons = func() map[string]func() map[string]*result {
	all := make(map[string]func() map[string]*result)
	for _, w := range workloads() {
		all[w.name] = sync.OnceValue(func() map[string]*result {
			results := make(map[string]*result)
			for _, c := range comparedPolicies() {
				results[c.name] = c.run(w)
			}
			return results
		})
	}
	return all
}()

// minReuse is the fraction of the omniscient router's cache reuse that affinity must reach.
const minReuse = 0.95

func checkReuse(t *testing.T, name string) {
	results := comparisons[name]()
	got, want := results["affinity"].chatReuse(), minReuse*results["omniscient"].chatReuse()
	if got < want {
		t.Errorf("%s: returning chats find their prefix in %.4f of turns, want %.4f", name, got, want)
	}
}

// The following tests check that cache reuse survives churn. Each workload has its own test, because a
// fault may appear in one of them only.
func TestReuseDulcemarModerate(t *testing.T) { checkReuse(t, "dulcemar-moderate") }
func TestReuseDulcemarHigh(t *testing.T)     { checkReuse(t, "dulcemar-high") }
func TestReuseMendersModerate(t *testing.T)  { checkReuse(t, "menders-moderate") }
func TestReuseMendersHigh(t *testing.T)      { checkReuse(t, "menders-high") }
func TestReuseTarget(t *testing.T)           { checkReuse(t, "target") }

// Affinity must reuse caches more than the baselines under the same bound, or its additional settings have
// no benefit.
func TestReuseExceedsBaselines(t *testing.T) {
	for name, results := range comparisons {
		for _, baseline := range []string{"random", "twochoices"} {
			if got, other := results()["affinity"].chatReuse(), results()[baseline].chatReuse(); got <= other {
				t.Errorf("%s: chat reuse %.4f, %s has %.4f", name, got, baseline, other)
			}
		}
	}
}

// Chats of callers that return no tokens and send no chat header must still reuse caches more than with
// twochoices.
func TestReuseWithoutTokensExceedsTwoChoices(t *testing.T) {
	for _, w := range workloads()[:4] {
		w.noTokens, w.seeds = true, 1
		c := comparedPolicies()[1]
		if got, other := c.run(w).chatReuse(), comparisons[w.name]()["twochoices"].chatReuse(); got <= other {
			t.Errorf("%s: chat reuse %.4f without tokens, twochoices has %.4f", w.name, got, other)
		}
	}
}

// The fake sidecars must enforce the load bound for every policy, or the comparison is invalid.
func TestAdmissionStaysWithinLoadBound(t *testing.T) {
	const rounding = 1e-9
	for name, results := range comparisons {
		for policy, r := range results() {
			if r.maxKnownBoundRatio > 1+rounding {
				t.Errorf("%s, %s: load after admission is %.3f of the bound", name, policy, r.maxKnownBoundRatio)
			}
		}
	}
}

// maxSkew is the highest 99th percentile of the busiest engine's load over the mean that Dulcemar accepts.
const maxSkew = 1.25

// Dulcemar gives priority to low skew. A policy that spreads documents badly can exceed this limit while
// every admission stays within the load bound.
func TestSkewStaysWithinDulcemarLimit(t *testing.T) {
	for _, name := range []string{"dulcemar-moderate", "dulcemar-high"} {
		if got := comparisons[name]()["affinity"].skewQuantile(0.99); got > maxSkew {
			t.Errorf("%s: 99th percentile of skew is %.3f, want at most %.2f", name, got, maxSkew)
		}
	}
}

// BenchmarkPolicies prints the comparison as a table. Run it with -benchtime=1x. The environment variable
// PLACEMENT_POLICY limits the table to the policy with that name.
func BenchmarkPolicies(b *testing.B) {
	fmt.Println("\n| workload | policy | chat reuse | token reuse | skew p50 | skew p99 | skew max | load/bound | load/true bound | shed | attempts | misses: first, gone, evicted, refused, skipped |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, w := range workloads() {
		for _, c := range append(comparedPolicies(), policyVariants()...) {
			if only := os.Getenv("PLACEMENT_POLICY"); only == "" || only == c.name {
				printRow(w.name, c.name, c.run(w))
			}
		}
	}
}

func printRow(workload, policy string, r *result) {
	share := func(n, of int) float64 { return float64(n) / float64(of) }
	m, n := r.misses, r.returning
	fmt.Printf("| %s | %s | %.4f | %.4f | %.3f | %.3f | %.3f | %.3f | %.3f | %.4f | %.2f | %.3f, %.3f, %.3f, %.3f, %.3f |\n", workload, policy,
		r.chatReuse(), r.tokenReuse(), r.skewQuantile(0.5), r.skewQuantile(0.99), r.skewQuantile(1), r.maxKnownBoundRatio, r.maxTrueBoundRatio,
		share(r.shed, r.requests), share(r.attempts, r.requests),
		share(m.first, n), share(m.gone, n), share(m.evicted, n), share(m.refused, n), share(m.skipped, n))
}
