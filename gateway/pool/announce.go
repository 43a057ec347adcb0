package pool

import "time"

// announcementTTL is how long what an instance has said of itself is kept after it was said, if no entry of the instance
// is known. An entry that lapses while the instance runs is back sooner. A hold-off is kept until its end.
const announcementTTL = 10 * time.Minute

// holdOffHandover is how long after it was said a hold-off goes over to the next lifetime of the instance, if its first
// entry is read by then. An instance is published within seconds of its first answer.
const holdOffHandover = 10 * time.Second

// announcement is what one incarnation of an instance has said of itself in its responses to this router. It holds
// whatever the entry of the instance says afterwards, and also when the entry lapses and returns.
type announcement struct {
	leaving bool
	// heldOffUntil is the end of the time for which the instance wants no requests from this router, heldOffAt is when it
	// said so last, and heldOffFrom the address that it had.
	heldOffUntil, heldOffAt time.Time
	heldOffFrom             string
	at                      time.Time
}

// holdOff extends the time for which the instance wants no requests from this router, by what it said at the given time.
func (a *announcement) holdOff(at, until time.Time, from string) {
	a.heldOffAt, a.heldOffFrom = at, from
	if until.After(a.heldOffUntil) {
		a.heldOffUntil = until
	}
}

// turnsAway reports whether the instance wants no requests from this router now. A nil announcement is allowed.
func (a *announcement) turnsAway(now time.Time) bool {
	return a != nil && (a.leaving || now.Before(a.heldOffUntil))
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
	r.endWaits(l.Instance.incarnation(), allWaits)
	return first
}

// RecordHoldOff records that the instance wants no requests from this router for some time, test connections included, and
// reports whether it is not held off already.
func (l *Lease) RecordHoldOff(d time.Duration) (first bool) {
	r := l.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	a := r.announcement(l.Instance, now)
	first = !now.Before(a.heldOffUntil)
	a.holdOff(now, now.Add(d), l.Instance.Address)
	r.endWaits(l.Instance.incarnation(), ownWaits)
	if m := r.members[l.Instance.ID]; m != nil && m.StartedAt != l.Instance.StartedAt {
		r.inheritHoldOff(m, now)
		if m.announced.turnsAway(now) {
			r.endWaits(m.incarnation(), ownWaits)
		}
	}
	return first
}

// inheritHoldOff applies to an instance what was said under the entry of another lifetime of it: one that restarts under its old
// ID at the same address answers the requests that are sent by that entry until its own is read. No clock and no connection
// tells which of the two gave an answer, so the hold-off goes over if the entry of this one was read soon after the answer,
// or before it.
func (r *Registry) inheritHoldOff(m *member, now time.Time) {
	for other, a := range r.announcements {
		if other.id == m.ID && other.startedAt != m.StartedAt && now.Before(a.heldOffUntil) &&
			a.heldOffFrom == m.Address && m.firstReadAt.Sub(a.heldOffAt) < holdOffHandover {
			r.announcement(m.Instance, now).holdOff(a.heldOffAt, a.heldOffUntil, a.heldOffFrom)
		}
	}
}

// HeldOff returns the time until the first instance of a pool takes requests from this router again, if all that are not
// leaving are held off, and 0 otherwise.
func (r *Registry) HeldOff(pool string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	left := time.Duration(0)
	for _, m := range r.pools[pool] {
		if r.closed(m) {
			continue
		}
		if !m.announced.turnsAway(now) {
			return 0
		}
		if own := m.announced.heldOffUntil.Sub(now); left == 0 || own < left {
			left = own
		}
	}
	return left
}

// sweepAnnouncements forgets what instances have said that are gone.
func (r *Registry) sweepAnnouncements(now time.Time) {
	for i, a := range r.announcements {
		m := r.members[i.id]
		if (m == nil || m.StartedAt != i.startedAt) && now.Sub(a.at) > announcementTTL && !now.Before(a.heldOffUntil) {
			delete(r.announcements, i)
		}
	}
}
