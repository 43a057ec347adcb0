package pool

// Requests wait for a place at one instance, at the router that keeps it. Whatever ends the use of the instance, or moves
// its keeper, ends all these waits at once through endWaits: departure, removal, replacement and restart (publish.go),
// departure and hold-off announced in responses (announce.go), evacuation (restrict.go), ejection and crash (report.go), and
// loss, departure and return of the keeper (fleet.go). A request whose wait has ended chooses again.
//
// It answers a load pattern: a service gets more than it can run, and requests wait at its instances for seconds, longer
// than an instance that leaves goes on serving.

// wait is a request that waits for a place at an instance.
type wait struct {
	// end is called, once at most, when the wait is to end. It must not use the registry.
	end func()
	// own is set for a request of this router, and not for one of another router that waits at this one.
	own bool
}

// scope says which waits at an instance end.
type scope bool

const (
	allWaits scope = false
	// ownWaits are those of this router's requests: the other routers decide for themselves.
	ownWaits scope = true
)

// Usable reports whether a request may still be sent to the instance. Its entry may have been removed, or it may have
// announced its departure or turned requests away, since it was chosen, while the request waited for its place or its
// connection.
func (l *Lease) Usable() bool {
	r := l.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	return l.usable()
}

// usable is Usable for a caller that holds the registry's lock.
func (l *Lease) usable() bool {
	r := l.registry
	return r.members[l.Instance.ID] == l.member && !r.announcements[l.Instance.incarnation()].turnsAway(r.now()) && !r.closed(l.member)
}

// OnUnusable calls end, at most once, when it is or becomes pointless to wait for a place at the lease's instance: the lease
// is not usable, the instance has been ejected, or it has another keeper than the lease names. end must not use the registry.
// stop must be called when end is not to be called any more.
func (l *Lease) OnUnusable(end func()) (stop func()) {
	r := l.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	m := l.member
	if !l.usable() || m.keeper != l.Keeper || (m.health.ejected(r.now()) && !l.Forced) {
		end()
		return func() {}
	}
	return r.addWait(l.Instance.incarnation(), &wait{end: end, own: true})
}

// OnClosed is OnUnusable for a request of another router that waits for a place at an instance which this one keeps.
func (r *Registry) OnClosed(instance Key, end func()) (stop func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := r.byKey[instance]
	if len(kept) == 0 || kept[0].keeper != "" || r.closed(kept[0]) || kept[0].health.ejected(r.now()) {
		end()
		return func() {}
	}
	return r.addWait(kept[0].incarnation(), &wait{end: end})
}

// addWait registers a wait until stop is called. The caller holds the lock.
func (r *Registry) addWait(i incarnation, w *wait) (stop func()) {
	if r.waits[i] == nil {
		r.waits[i] = make(map[*wait]bool)
	}
	r.waits[i][w] = true
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.removeWait(i, w)
	}
}

func (r *Registry) removeWait(i incarnation, w *wait) {
	if delete(r.waits[i], w); len(r.waits[i]) == 0 {
		delete(r.waits, i)
	}
}

// endWaits ends waits for a place at an instance. The caller holds the lock.
func (r *Registry) endWaits(i incarnation, s scope) {
	for w := range r.waits[i] {
		if s == allWaits || w.own {
			w.end()
			r.removeWait(i, w)
		}
	}
}
