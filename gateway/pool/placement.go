package pool

import "time"

// Placement says that an instance is processing the shared parts of a prompt that it had not cached.
type Placement struct {
	Instance Key
	Parts    []PromptPart
	at       time.Time
}

const (
	// minPlacementTokens is the number of uncached shared tokens below which a placement is not reported.
	minPlacementTokens = 256
	// maxPlacements limits the placements that are kept for the other routers.
	maxPlacements = 64
)

// recordPlacement keeps a placement for the other routers. They cannot derive it from the rendezvous order
// when the load bound or a membership change moved the prompt away from the first instance.
func (r *Registry) recordPlacement(q *Request, m *member, cached int, now time.Time) {
	if q.sharedTokens()-cached < minPlacementTokens {
		return
	}
	if len(r.placements) == maxPlacements {
		r.placements = append(r.placements[:0], r.placements[1:]...)
	}
	r.placements = append(r.placements, Placement{Instance: keyOf(m.hash), Parts: q.Parts[:len(q.Parts)-1], at: now})
}

// Placements returns the placements that this router made within the given time.
func (r *Registry) Placements(within time.Duration) []Placement {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for i, p := range r.placements {
		if now.Sub(p.at) <= within {
			return append([]Placement(nil), r.placements[i:]...)
		}
	}
	return nil
}

// ApplyPlacements adds placements made by another router to the prompt cache estimates.
func (r *Registry) ApplyPlacements(placements []Placement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range placements {
		for _, m := range r.byKey[p.Instance] {
			m.cache.insert(p.Parts)
		}
	}
}
