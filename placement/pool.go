// Package placement holds what the routers need to choose an instance for a request: the snapshot
// of a pool, the description of a request, the rendezvous order, the grouping of chats by document
// and the placement token. Policies live in plugin/placement and register with
// kernel.KindPlacement. All decisions are plain functions without state, so any router that holds
// the same list takes the same decision.
package placement

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Candidate is one instance of a pool as one router sees it.
type Candidate struct {
	// ID is the instance ID from the platform's list.
	ID string
	// Hash is xxhash64 of ID. NewPool sets it when it is 0.
	Hash uint64
	// FailureDomain and Region are where the instance runs.
	FailureDomain string
	Region        string
	// Load is the last reported work in flight in tokens.
	Load int64
	// LoadAge is the age of Load when the snapshot was made; negative when there is no report.
	LoadAge time.Duration
	// Incarnation is the last known incarnation of the sidecar; 0 when not known.
	Incarnation uint64
	// Ready is false when the instance is known not to serve now.
	Ready bool
	// Leaving is set once the departure is known. A leaving instance is never a candidate.
	Leaving bool
}

// Pool is an immutable snapshot of one pool. It is safe for concurrent use.
type Pool struct {
	name       string
	candidates []Candidate
	mean       int64
	members    int
	domains    []string
	// domain holds the index into domains of each candidate.
	domain []uint16
}

// NewPool returns a snapshot with the candidates sorted by ID, so that the position of an instance
// does not depend on the order of the list. Of two entries with one ID the higher incarnation is
// kept. meanLoad is the mean load in tokens over the members that are not leaving, as the sidecars
// report it.
func NewPool(name string, list []Candidate, meanLoad int64) *Pool {
	p := &Pool{name: name, mean: max(meanLoad, 0), candidates: slices.Clone(list)}
	slices.SortFunc(p.candidates, compareCandidates)
	p.candidates = slices.CompactFunc(p.candidates, func(a, b Candidate) bool { return a.ID == b.ID })
	p.domain = make([]uint16, len(p.candidates))
	for i := range p.candidates {
		p.index(i)
	}
	return p
}

// WithLoads returns a snapshot of the same instances with another mean and the loads that report
// returns for each candidate. It is cheaper than NewPool.
func (p *Pool) WithLoads(meanLoad int64, report func(*Candidate) (load int64, age time.Duration)) *Pool {
	next := *p
	next.mean = max(meanLoad, 0)
	next.candidates = slices.Clone(p.candidates)
	for i := range next.candidates {
		c := &next.candidates[i]
		c.Load, c.LoadAge = report(c)
	}
	return &next
}

func compareCandidates(a, b Candidate) int {
	if c := strings.Compare(a.ID, b.ID); c != 0 {
		return c
	}
	return cmp.Compare(b.Incarnation, a.Incarnation)
}

func (p *Pool) index(i int) {
	c := &p.candidates[i]
	if c.Hash == 0 {
		c.Hash = HashID(c.ID)
	}
	if !c.Leaving {
		p.members++
	}
	d := slices.Index(p.domains, c.FailureDomain)
	if d < 0 {
		d = len(p.domains)
		p.domains = append(p.domains, c.FailureDomain)
	}
	p.domain[i] = uint16(d)
}

// HashID returns the hash of an instance ID that rendezvous scores are computed from.
func HashID(id string) uint64 { return xxhash.Sum64String(id) }

// Name returns the name of the pool.
func (p *Pool) Name() string { return p.name }

// Len returns the number of candidates, leaving ones included.
func (p *Pool) Len() int { return len(p.candidates) }

// At returns the candidate at an index from Policy.Order. The caller must not change it.
func (p *Pool) At(i int) *Candidate { return &p.candidates[i] }

// Mean returns the known mean load in tokens.
func (p *Pool) Mean() int64 { return p.mean }

// Members returns the number of candidates that are not leaving.
func (p *Pool) Members() int { return p.members }

// Find returns the index of the instance with the given ID, or -1.
func (p *Pool) Find(id string) int {
	i, found := slices.BinarySearchFunc(p.candidates, id, func(c Candidate, id string) int {
		return strings.Compare(c.ID, id)
	})
	if !found {
		return -1
	}
	return i
}

// Bound returns the highest load in tokens after admission that the sidecars are expected to
// accept for the given work: the larger of one request and factor x (total + work)/n.
func (p *Pool) Bound(factor float64, work int64) int64 {
	if p.members == 0 {
		return work
	}
	mean := float64(p.mean) + float64(work)/float64(p.members)
	return max(work, int64(factor*mean))
}

// Near reports whether candidate i is in the failure domain with the given index.
func (p *Pool) Near(i, domain int) bool { return int(p.domain[i]) == domain }

// Domain returns the index of a failure domain, or -1 when no candidate is in it.
func (p *Pool) Domain(name string) int { return slices.Index(p.domains, name) }
