package admission

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// offeredLoad describes the requests of one organisation in a fairness scenario.
type offeredLoad struct {
	organisation string
	// rate is in requests per second, with exponential times between arrivals.
	rate float64
	seed uint64
}

// organisationResult holds the measurements of one organisation.
type organisationResult struct {
	mu              sync.Mutex
	sent, completed int
	// waits and totals are the times from arrival to the grant and to completion.
	waits, totals []time.Duration
}

func percentile(values []time.Duration, percent int) time.Duration {
	slices.Sort(values)
	return values[len(values)*percent/100].Round(time.Millisecond)
}

// The simulated engine runs 32 requests concurrently, each for 1 s on average, so it completes 32 requests/s.
const (
	engineRequests = 32
	scenarioTime   = 120 * time.Second
)

// runScenario runs the loads against one controller with a virtual clock.
func runScenario(t *testing.T, reserve uint64, weights map[string]float64, loads ...offeredLoad) map[string]*organisationResult {
	results := make(map[string]*organisationResult)
	synctest.Test(t, func(t *testing.T) {
		c := newController(t, func(s *Settings) {
			s.CapacityTokens = engineRequests * 1000
			s.CapacityRequests = engineRequests
			s.QueueRequests = 64
			s.ReservePercent = reserve
		}, SingleMember{}, nil)
		c.SetWeights(weights)
		for _, l := range loads {
			m := &organisationResult{}
			results[l.organisation] = m
			go sendRequests(c, l, m)
		}
		time.Sleep(scenarioTime + time.Minute)
	})
	return results
}

// sendRequests sends the requests of one organisation until the scenario ends.
func sendRequests(c *Controller, l offeredLoad, m *organisationResult) {
	random := rand.New(rand.NewPCG(l.seed, 0))
	end := time.Now().Add(scenarioTime)
	for {
		time.Sleep(time.Duration(random.ExpFloat64() / l.rate * float64(time.Second)))
		if time.Now().After(end) {
			return
		}
		m.sent++
		duration := 500*time.Millisecond + time.Duration(random.Int64N(int64(time.Second)))
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			began := time.Now()
			g, err := c.Admit(ctx, decodeRequest(l.organisation, uint64(duration/time.Millisecond)))
			if err != nil {
				return
			}
			waited := time.Since(began)
			time.Sleep(duration)
			g.Done()
			m.mu.Lock()
			defer m.mu.Unlock()
			m.completed++
			m.waits = append(m.waits, waited)
			m.totals = append(m.totals, time.Since(began))
		}()
	}
}

// An organisation within its share must lose at most 10% of its goodput while another one sends ten times its
// own share. The p95 latency, for which the latency targets are set, may grow by at most 10%. The shares are
// equal: 16 requests/s each.
func TestSurgeDoesNotDegradeOtherOrganisations(t *testing.T) {
	is := is.New(t)
	for _, rate := range []float64{4, 8, 12} {
		calm := offeredLoad{organisation: "calm", rate: rate, seed: 1}
		alone := runScenario(t, 10, nil, calm)["calm"]
		both := runScenario(t, 10, nil, calm, offeredLoad{organisation: "surging", rate: 160, seed: 2})
		got := both["calm"]
		for name, m := range map[string]*organisationResult{"alone": alone, "with surge": got, "surging": both["surging"]} {
			t.Logf("calm %v/s, %s: %d of %d, wait p50 %v p95 %v p99 %v, total p95 %v", rate, name, m.completed, m.sent,
				percentile(m.waits, 50), percentile(m.waits, 95), percentile(m.waits, 99), percentile(m.totals, 95))
		}
		is.Equal(alone.sent, got.sent)
		is.True(got.completed*10 >= alone.completed*9)                                    // goodput
		is.True(percentile(got.totals, 95)*10 <= percentile(alone.totals, 95)*11)         // latency
		is.True(both["surging"].completed > int(scenarioTime/time.Second)*(32-16)*95/100) // unused capacity goes to the surging organisation
	}
}

// Organisations that all demand more than their share must get capacity in proportion to their weights, even
// without a reserve, when only the order of the queue determines the shares.
func TestCapacityIsSharedByWeights(t *testing.T) {
	is := is.New(t)
	weights := map[string]float64{"two": 2, "three": 3}
	results := runScenario(t, 0, weights, offeredLoad{"one", 60, 1}, offeredLoad{"two", 60, 2}, offeredLoad{"three", 60, 3})
	total := 0
	for _, m := range results {
		total += m.completed
	}
	for name, m := range results {
		share := max(1, weights[name]) / 6
		t.Logf("%s: %d of %d, share %.0f", name, m.completed, m.sent, share*float64(total))
		is.True(float64(m.completed) >= 0.9*share*float64(total))
	}
}
