package admission

import (
	"sort"
	"sync"
	"time"

	"jacinthfork.example/jacinthfork/internal/rendezvous"
)

// HomeOf returns the sidecar that divides the limit of an organisation: the first in rendezvous
// order among the given instances, or "" when there are none.
func HomeOf(organisation string, instances []string) string {
	return rendezvous.First(rendezvous.Hash("limit/"+organisation), instances)
}

// Home divides the limits of the organisations that this sidecar is home to. It hears only of
// organisations above their silent share at some sidecar. It is safe for concurrent use.
//
// At each instant the sum of the leases in force that this home gave, plus the silent shares of
// the sidecars without one, is at most the limit.
type Home struct {
	settings LimitSettings
	now      func() time.Time

	mu      sync.Mutex
	members int
	limits  map[string]Quota
	orgs    map[string]map[string]*holder
}

// holder is a sidecar that has reported on an organisation.
type holder struct {
	demand Quota
	lease  Quota
	until  time.Time
	// held is the lease that the sidecar had at its last report. It stays in force there until
	// heldUntil when the answer is lost.
	held      Quota
	heldUntil time.Time
}

// counted is what the sidecar may use: the larger of the lease it was sent and the one it had.
func (o *holder) counted(now time.Time) Quota {
	if !now.Before(o.heldUntil) {
		return o.lease
	}
	return Quota{
		MilliRequests: max(o.lease.MilliRequests, o.held.MilliRequests),
		Tokens:        max(o.lease.Tokens, o.held.Tokens),
	}
}

// NewHome returns a home without limits.
func NewHome(settings LimitSettings) *Home {
	return &Home{settings: settings, now: time.Now, members: 1, orgs: make(map[string]map[string]*holder)}
}

// SetLimits replaces the limits of all organisations.
func (h *Home) SetLimits(limits map[string]Quota) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limits = limits
	for name := range h.orgs {
		if _, ok := limits[name]; !ok {
			delete(h.orgs, name)
		}
	}
}

// SetMembers sets the number of sidecars that share the limits. It must be the number that the
// limiters use; while they differ, the silent shares can exceed SilentPercent.
func (h *Home) SetMembers(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.members = max(1, n)
}

// Handle answers one report. ok is false when the organisation has no limit.
func (h *Home) Handle(r LimitReport) (lease LimitLease, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	limit, ok := h.limits[r.Organisation]
	if !ok {
		return LimitLease{}, false
	}
	now := h.now()
	holders := h.holders(r.Organisation, now)
	own, known := holders[r.Instance]
	if !known {
		own = &holder{}
		holders[r.Instance] = own
	}
	own.demand = capped(r.Demand, limit)
	own.held = r.Held
	own.heldUntil = now.Add(r.HeldFor)
	busy, free := h.divide(holders, own, limit, now)
	own.lease = free
	lease = h.lease(r.Organisation, own.lease, busy, len(holders))
	lease.Sequence = r.Sequence
	own.until = now.Add(lease.ValidFor)
	if own.heldUntil.After(own.until) {
		own.until = own.heldUntil
	}
	return lease, true
}

// holders returns the sidecars with a lease in force on an organisation.
func (h *Home) holders(organisation string, now time.Time) map[string]*holder {
	holders := h.orgs[organisation]
	if holders == nil {
		holders = make(map[string]*holder)
		h.orgs[organisation] = holders
	}
	for instance, held := range holders {
		if !now.Before(held.until) {
			delete(holders, instance)
		}
	}
	return holders
}

// headroomPercent is added to the demand, so that it can grow between two reports.
const headroomPercent = 100

// divide returns the new lease of own: its max-min fair part of the limit, but no more than the
// other leases leave.
func (h *Home) divide(holders map[string]*holder, own *holder, limit Quota, now time.Time) (busy bool, lease Quota) {
	silent := h.settings.silent(limit, h.members)
	reserved := uint64(max(0, h.members-len(holders)))
	var rates, tokens []uint64
	var others, demand Quota
	for _, held := range holders {
		rates = append(rates, wanted(held.demand.MilliRequests, silent.MilliRequests))
		tokens = append(tokens, wanted(held.demand.Tokens, silent.Tokens))
		if held != own {
			others.MilliRequests += held.counted(now).MilliRequests
			others.Tokens += held.counted(now).Tokens
		}
		demand.MilliRequests += held.demand.MilliRequests
		demand.Tokens += held.demand.Tokens
	}
	rate := limit.MilliRequests - reserved*silent.MilliRequests
	work := limit.Tokens - reserved*silent.Tokens
	lease.MilliRequests = part(own.demand.MilliRequests, silent.MilliRequests, rate, others.MilliRequests, rates)
	lease.Tokens = part(own.demand.Tokens, silent.Tokens, work, others.Tokens, tokens)
	return demand.MilliRequests > rate/2 || demand.Tokens > work/2, lease
}

// part is the lease of one resource.
func part(demand, silent, available, others uint64, all []uint64) uint64 {
	fair := min(wanted(demand, silent), fairLevel(available, all))
	return min(fair, available-min(available, others))
}

func wanted(demand, silent uint64) uint64 {
	return max(silent, demand+demand*headroomPercent/100)
}

// fairLevel returns the level at which every demand is cut off so that the rest fits the amount.
func fairLevel(amount uint64, demands []uint64) uint64 {
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

func capped(demand, limit Quota) Quota {
	return Quota{
		MilliRequests: min(demand.MilliRequests, limit.MilliRequests),
		Tokens:        min(demand.Tokens, limit.Tokens),
	}
}

func (h *Home) lease(organisation string, allowed Quota, busy bool, holders int) LimitLease {
	pause := max(h.settings.RenewBusy, time.Duration(holders)*h.settings.RenewPerHolder)
	renew := max(pause, h.settings.RenewIdle)
	if busy {
		renew = pause
	}
	return LimitLease{
		Organisation: organisation,
		Allowed:      allowed,
		ValidFor:     renew * leaseRenewals,
		RenewAfter:   renew,
		Pause:        pause,
	}
}
