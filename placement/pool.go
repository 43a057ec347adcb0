// Package placement provides what routers need to choose an instance for a request: pool snapshots,
// request descriptions, rendezvous ordering, the grouping of chats by document, and placement tokens.
// Policies are in plugin/placement and register with kernel.KindPlacement. All decisions are stateless
// functions, so routers that hold the same list make the same decision.
package placement

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Candidate is an instance of a pool as known to one router.
type Candidate struct {
	// ID is the instance ID from the platform's list.
	ID string
	// Hash is the xxhash64 of ID. NewPool computes it if it is 0.
	Hash uint64
	// FailureDomain and Region locate the instance.
	FailureDomain string
	Region        string
	// Load is the last reported work in flight, in tokens.
	Load int64
	// LoadAge is the age of Load when the snapshot was taken; negative when there is no report.
	LoadAge time.Duration
	// Incarnation is the last known incarnation of the sidecar; 0 when unknown.
	Incarnation uint64
	// Ready is false when the instance is known not to be serving.
	Ready bool
	// Leaving is set once the instance is known to be shutting down. Policies never choose it.
	Leaving bool
}

// Pool is an immutable snapshot of one pool. It is safe for concurrent use.
type Pool struct {
	name       string
	candidates []Candidate
	meanLoad   int64
	members    int
	domains    []string
	// domainIndexes holds, for each candidate, the index of its failure domain in domains.
	domainIndexes []uint16
}

// NewPool returns a snapshot with the candidates sorted by ID, so that the index of an instance does
// not depend on the order of the list. Of several entries with the same ID, the one with the highest
// incarnation is kept. meanLoad is the mean load in tokens of the members that are not leaving, as
// reported by the sidecars.
func NewPool(name string, list []Candidate, meanLoad int64) *Pool {
	p := &Pool{name: name, meanLoad: max(meanLoad, 0), candidates: slices.Clone(list)}
	slices.SortFunc(p.candidates, compareCandidates)
	p.candidates = slices.CompactFunc(p.candidates, func(a, b Candidate) bool { return a.ID == b.ID })
	p.domainIndexes = make([]uint16, len(p.candidates))
	for i := range p.candidates {
		p.indexCandidate(i)
	}
	return p
}

// WithLoads returns a snapshot of the same instances with a new mean load and with the loads that
// report returns for each candidate. It is cheaper than NewPool.
func (p *Pool) WithLoads(meanLoad int64, report func(*Candidate) (load int64, age time.Duration)) *Pool {
	next := *p
	next.meanLoad = max(meanLoad, 0)
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

// indexCandidate sets the hash and the failure domain index of candidate i and counts it as a member.
func (p *Pool) indexCandidate(i int) {
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
	p.domainIndexes[i] = uint16(d)
}

// HashID returns the hash of an instance ID from which rendezvous scores are computed.
func HashID(id string) uint64 { return xxhash.Sum64String(id) }

// Name returns the name of the pool.
func (p *Pool) Name() string { return p.name }

// Len returns the number of candidates, including those that are leaving.
func (p *Pool) Len() int { return len(p.candidates) }

// At returns the candidate at an index returned by Policy.Order. The caller must not modify it.
func (p *Pool) At(i int) *Candidate { return &p.candidates[i] }

// MeanLoad returns the last known mean load in tokens.
func (p *Pool) MeanLoad() int64 { return p.meanLoad }

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

// LoadBound returns the highest load after admission, in tokens, that sidecars are expected to accept
// for a request of the given work: the larger of the request's work and factor times the mean load after
// admission, (total load + work) / members.
func (p *Pool) LoadBound(factor float64, work int64) int64 {
	if p.members == 0 {
		return work
	}
	mean := float64(p.meanLoad) + float64(work)/float64(p.members)
	return max(work, int64(factor*mean))
}

// InDomain reports whether candidate i is in the failure domain with the given index.
func (p *Pool) InDomain(i, domain int) bool { return int(p.domainIndexes[i]) == domain }

// DomainIndex returns the index of a failure domain, or -1 if no candidate is in it.
func (p *Pool) DomainIndex(name string) int { return slices.Index(p.domains, name) }
