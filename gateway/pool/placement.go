package pool

import "time"

// Placement says that an instance reads the shared parts of a prompt that it did not hold.
type Placement struct {
	Instance Key
	Parts    []Part
	at       time.Time
}

const (
	// placementTokens is the number of shared tokens below which a placement is not worth telling.
	placementTokens = 256
	// maxPlacements bounds the placements that are kept for the other routers.
	maxPlacements = 64
)

// notePlacement keeps a placement for the other routers. They cannot guess it when the load bound or a
// change of the members moved the prompt away from the first instance of its order.
func (r *Registry) notePlacement(q *Request, m *member, held int, now time.Time) {
	if q.shared()-held < placementTokens {
		return
	}
	if len(r.placed) == maxPlacements {
		r.placed = append(r.placed[:0], r.placed[1:]...)
	}
	r.placed = append(r.placed, Placement{Instance: keyOf(m.hash), Parts: q.Parts[:len(q.Parts)-1], at: now})
}

// Placements returns the placements of this router within the given time.
func (r *Registry) Placements(within time.Duration) []Placement {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for i, p := range r.placed {
		if now.Sub(p.at) <= within {
			return append([]Placement(nil), r.placed[i:]...)
		}
	}
	return nil
}

// Learn takes over placements of another router.
func (r *Registry) Learn(placements []Placement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range placements {
		for _, m := range r.byKey[p.Instance] {
			m.cache.add(p.Parts)
		}
	}
}
