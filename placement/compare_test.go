package placement_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"

	"jacinthfork.example/jacinthfork/placement"
	"jacinthfork.example/jacinthfork/plugin/placement/affinity"
	"jacinthfork.example/jacinthfork/plugin/placement/random"
	"jacinthfork.example/jacinthfork/plugin/placement/rendezvous"
	"jacinthfork.example/jacinthfork/plugin/placement/twochoices"
)

// Dulcemar weighs skew most, the Menders cache reuse, so their load bounds differ. Rates and sizes
// follow the peak of the target size: 7.8 requests/s and 3,700 decode tokens/s per engine.
func dulcemar(name string, rate float64) *workload {
	return &workload{name: name, engines: 20, domains: 3, routers: 3, factor: 1.2, oneRequest: 16384, rate: rate, orgs: 10, docsPerOrg: 4,
		docMin: 3000, docMax: 8000, cache: 2_500_000, warmup: 400, duration: 400, churnEvery: 30, seed: 1}
}

func menders(name string, rate float64) *workload {
	return &workload{name: name, engines: 10, domains: 3, routers: 3, factor: 2, oneRequest: 49152, rate: rate, orgs: 10, docsPerOrg: 8,
		docMin: 15000, docMax: 40000, cache: 2_500_000, warmup: 600, duration: 600, churnEvery: 60, seed: 2}
}

func target() *workload {
	return &workload{name: "target", engines: 75, domains: 5, routers: 390, factor: 1.5, oneRequest: 16384, rate: 580, orgs: 1500, docsPerOrg: 2,
		docMin: 3000, docMax: 8000, cache: 2_500_000, warmup: 150, duration: 90, churnEvery: 10, seed: 3}
}

func workloads() []*workload {
	return []*workload{dulcemar("dulcemar-moderate", 75), dulcemar("dulcemar-high", 150),
		menders("menders-moderate", 20), menders("menders-high", 40), target()}
}

// contestant is one row of the comparison.
type contestant struct {
	name   string
	policy func(w *workload) placement.Policy
	bound  bool
}

func contestants() []contestant {
	return []contestant{
		{"omniscient", func(*workload) placement.Policy { return nil }, true},
		{"affinity", affinityFor, true},
		{"random", func(w *workload) placement.Policy { return random.New(draw(w)) }, true},
		{"twochoices", func(w *workload) placement.Policy { return twochoices.New(draw(w)) }, true},
		{"rendezvous", func(*workload) placement.Policy { return new(rendezvous.Policy) }, false},
	}
}

func affinityFor(w *workload) placement.Policy {
	p := affinity.New()
	p.BoundFactor = w.factor
	return p
}

func draw(w *workload) func() uint64 { return rand.New(rand.NewPCG(w.seed, 99)).Uint64 }

func (c *contestant) run(w *workload, turns []turn) *result {
	b := bound{w.factor, w.oneRequest}
	if !c.bound {
		b = bound{}
	}
	return replay(w, turns, c.policy(w), b)
}

// TestTable prints the comparison when PLACEMENT_TABLE is set.
func TestTable(t *testing.T) {
	if os.Getenv("PLACEMENT_TABLE") == "" {
		t.Skip("PLACEMENT_TABLE is not set")
	}
	fmt.Println("| workload | policy | chat reuse | token reuse | skew p50 | skew p99 | skew max | bound at admission | true bound | shed | attempts | misses: first, gone, evicted, refused, skipped |")
	for _, w := range workloads() {
		if only := os.Getenv("PLACEMENT_WORKLOAD"); only != "" && !strings.Contains(only, w.name) {
			continue
		}
		turns := w.trace()
		for _, c := range contestants() {
			if only := os.Getenv("PLACEMENT_POLICY"); only != "" && !strings.Contains(only, c.name) {
				continue
			}
			row(w, c.name, c.run(w, turns))
		}
	}
}

func row(w *workload, name string, r *result) {
	fmt.Printf("| %s | %s | %.4f | %.4f | %.3f | %.3f | %.3f | %.3f | %.3f | %.4f | %.2f | %s |\n", w.name, name,
		r.chatReuse(), r.tokenReuse(), r.skewAt(0.5), r.skewAt(0.99), r.skewAt(1), r.overKnown, r.overTrue,
		float64(r.shed)/float64(r.requests), float64(r.attempts)/float64(r.requests), r.missShares())
}

func (r *result) missShares() string {
	share := func(n int) float64 { return 100 * float64(n) / float64(r.returning) }
	m := r.misses
	return fmt.Sprintf("%.1f%%, %.1f%%, %.1f%%, %.1f%%, %.1f%%", share(m.first), share(m.gone), share(m.evicted), share(m.refused), share(m.skipped))
}
