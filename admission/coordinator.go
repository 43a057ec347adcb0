package admission

import (
	"sort"
	"sync"
	"time"

	"jacinthfork.example/jacinthfork/internal/rendezvous"
)

// CoordinatorOf returns the instance whose sidecar coordinates the limit of an organisation: the first of the
// given instances in rendezvous hashing order, or "" when there are none.
func CoordinatorOf(organisation string, instances []string) string {
	return rendezvous.Pick(rendezvous.Hash("limit/"+organisation), instances)
}

// LimitCoordinator divides limits among sidecars for the organisations that this sidecar coordinates, by
// leases. It receives reports only on organisations that exceed their base share at some sidecar. It is safe
// for concurrent use.
//
// At any time the sum of its unexpired leases, plus the base shares of the sidecars without a lease, is at
// most the limit.
type LimitCoordinator struct {
	settings LimitSettings
	now      func() time.Time

	mu                    sync.Mutex
	members               int
	limits                map[string]Quota
	holdersByOrganisation map[string]map[string]*holder
}

// holder is the state of a sidecar that has reported on an organisation.
type holder struct {
	demand    Quota
	lease     Quota
	expiresAt time.Time
	// reportedLease is the lease that the sidecar held at its last report. If the answer to that report is
	// lost, the sidecar keeps using it until reportedUntil.
	reportedLease Quota
	reportedUntil time.Time
}

// usableQuota returns an upper bound of what the sidecar may use: the larger of the lease it was sent and
// the lease it reported.
func (h *holder) usableQuota(now time.Time) Quota {
	if !now.Before(h.reportedUntil) {
		return h.lease
	}
	return Quota{
		MilliRequests: max(h.lease.MilliRequests, h.reportedLease.MilliRequests),
		Tokens:        max(h.lease.Tokens, h.reportedLease.Tokens),
	}
}

// NewLimitCoordinator returns a LimitCoordinator without limits.
func NewLimitCoordinator(settings LimitSettings) *LimitCoordinator {
	return &LimitCoordinator{settings: settings, now: time.Now, members: 1, holdersByOrganisation: make(map[string]map[string]*holder)}
}

// SetLimits replaces the limits of all organisations.
func (h *LimitCoordinator) SetLimits(limits map[string]Quota) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limits = limits
	for name := range h.holdersByOrganisation {
		if _, ok := limits[name]; !ok {
			delete(h.holdersByOrganisation, name)
		}
	}
}

// SetMembers sets the number of sidecars that share the limits. It must equal the number that the limiters
// use; while they differ, the base shares can add up to more than SilentPercent.
func (h *LimitCoordinator) SetMembers(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.members = max(1, n)
}

// Handle answers a report with a lease. ok is false when the organisation has no limit.
func (h *LimitCoordinator) Handle(r LimitReport) (lease LimitLease, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	limit, ok := h.limits[r.Organisation]
	if !ok {
		return LimitLease{}, false
	}
	now := h.now()
	holders := h.currentHolders(r.Organisation, now)
	requester, known := holders[r.Instance]
	if !known {
		requester = &holder{}
		holders[r.Instance] = requester
	}
	requester.demand = capQuota(r.Demand, limit)
	requester.reportedLease = r.Held
	requester.reportedUntil = now.Add(r.HeldFor)
	busy, allowed := h.computeLease(holders, requester, limit, now)
	requester.lease = allowed
	lease = h.newLease(r.Organisation, requester.lease, busy, len(holders))
	lease.Sequence = r.Sequence
	requester.expiresAt = now.Add(lease.ValidFor)
	if requester.reportedUntil.After(requester.expiresAt) {
		requester.expiresAt = requester.reportedUntil
	}
	return lease, true
}

// currentHolders returns the sidecars with an unexpired lease for an organisation and removes the others.
func (h *LimitCoordinator) currentHolders(organisation string, now time.Time) map[string]*holder {
	holders := h.holdersByOrganisation[organisation]
	if holders == nil {
		holders = make(map[string]*holder)
		h.holdersByOrganisation[organisation] = holders
	}
	for instance, state := range holders {
		if !now.Before(state.expiresAt) {
			delete(holders, instance)
		}
	}
	return holders
}

// headroomPercent is added to the reported demand, so that the demand can grow until the next report.
const headroomPercent = 100

// computeLease returns the new lease of requester: its max-min fair share of the limit, capped by what the
// other leases leave. busy reports whether the total demand for either resource exceeds half of what can be
// leased.
func (h *LimitCoordinator) computeLease(holders map[string]*holder, requester *holder, limit Quota, now time.Time) (busy bool, lease Quota) {
	base := h.settings.baseShare(limit, h.members)
	reserved := uint64(max(0, h.members-len(holders)))
	var rates, tokens []uint64
	var others, demand Quota
	for _, state := range holders {
		rates = append(rates, withHeadroom(state.demand.MilliRequests, base.MilliRequests))
		tokens = append(tokens, withHeadroom(state.demand.Tokens, base.Tokens))
		if state != requester {
			others.MilliRequests += state.usableQuota(now).MilliRequests
			others.Tokens += state.usableQuota(now).Tokens
		}
		demand.MilliRequests += state.demand.MilliRequests
		demand.Tokens += state.demand.Tokens
	}
	rate := limit.MilliRequests - reserved*base.MilliRequests
	work := limit.Tokens - reserved*base.Tokens
	lease.MilliRequests = leaseAmount(requester.demand.MilliRequests, base.MilliRequests, rate, others.MilliRequests, rates)
	lease.Tokens = leaseAmount(requester.demand.Tokens, base.Tokens, work, others.Tokens, tokens)
	return demand.MilliRequests > rate/2 || demand.Tokens > work/2, lease
}

// leaseAmount returns the lease of one resource.
func leaseAmount(demand, base, available, others uint64, all []uint64) uint64 {
	fair := min(withHeadroom(demand, base), maxMinLevel(available, all))
	return min(fair, available-min(available, others))
}

func withHeadroom(demand, base uint64) uint64 {
	return max(base, demand+demand*headroomPercent/100)
}

// maxMinLevel returns the cap of a max-min fair allocation: with every demand capped at it, the sum of the
// demands fits the amount.
func maxMinLevel(amount uint64, demands []uint64) uint64 {
	sorted := append([]uint64(nil), demands...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	left := amount
	for i, demand := range sorted {
		level := left / uint64(len(sorted)-i)
		if demand > level {
			return level
		}
		left -= demand
	}
	return amount
}

func capQuota(demand, limit Quota) Quota {
	return Quota{
		MilliRequests: min(demand.MilliRequests, limit.MilliRequests),
		Tokens:        min(demand.Tokens, limit.Tokens),
	}
}

func (h *LimitCoordinator) newLease(organisation string, allowed Quota, busy bool, holders int) LimitLease {
	pause := max(h.settings.RenewBusy, time.Duration(holders)*h.settings.RenewPerHolder)
	renew := max(pause, h.settings.RenewIdle)
	if busy {
		renew = pause
	}
	return LimitLease{
		Organisation:      organisation,
		Allowed:           allowed,
		ValidFor:          renew * renewalsPerLease,
		RenewAfter:        renew,
		MinReportInterval: pause,
	}
}
