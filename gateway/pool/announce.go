package pool

import "time"

// announcementTTL is how long what an instance has said of itself is kept after it was said, if no entry of the instance
// is known. An entry that lapses while the instance runs is back sooner.
const announcementTTL = 10 * time.Minute

// incarnation identifies one run of an instance.
type incarnation struct {
	id        string
	startedAt int64
}

func (i Instance) incarnation() incarnation { return incarnation{i.ID, i.StartedAt} }

// announcement is what one incarnation of an instance has said of itself in its responses to this router. It holds
// whatever the entry of the instance says afterwards, and also when the entry lapses and returns.
type announcement struct {
	leaving bool
	at      time.Time
}

// announcement returns what an incarnation has said of itself, so that more can be added.
func (r *Registry) announcement(i Instance, now time.Time) *announcement {
	a := r.announcements[i.incarnation()]
	if a == nil {
		a = &announcement{}
		r.announcements[i.incarnation()] = a
		if m := r.members[i.ID]; m != nil && m.incarnation() == i.incarnation() {
			m.announced = a
		}
	}
	a.at = now
	return a
}

// RecordLeaving records that the instance has announced its departure in a response, and reports whether that is new. It
// gets no new requests from this router from then on.
func (l *Lease) RecordLeaving() (first bool) {
	r := l.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.announcement(l.Instance, r.now())
	first = !a.leaving
	a.leaving = true
	return first
}

// Usable reports whether a request may still be sent to the instance. It may have announced its departure since it was
// chosen, while the request waited for its place or its connection.
func (l *Lease) Usable() bool {
	r := l.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.announcements[l.Instance.incarnation()]
	return !(a != nil && a.leaving) && !r.closed(l.member)
}

// sweepAnnouncements forgets what instances have said that are gone.
func (r *Registry) sweepAnnouncements(now time.Time) {
	for i, a := range r.announcements {
		m := r.members[i.id]
		if (m == nil || m.StartedAt != i.startedAt) && now.Sub(a.at) > announcementTTL {
			delete(r.announcements, i)
		}
	}
}
