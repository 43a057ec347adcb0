package pool

import (
	"container/list"
	"slices"

	"jacinthfork.example/jacinthfork/internal/rendezvous"
)

const (
	// maxDocuments bounds the documents in the directory of one router. The least recently asked for yield.
	maxDocuments = 16384
	// maxHolders bounds the instances that the directory names for one document, the most recent ones.
	maxHolders = 4
)

// directory holds the instances to which routers have last sent a document that the instance did not have. Each document
// is in the directory of one router of the fleet. It answers a load pattern of large fleets: chats about a few hundred
// documents return through any of a hundred routers, so that the router that has to send one to an instance without it
// has mostly never seen it before, and does not know from which instance it can be copied.
//
// The directory of a router is lost with it. Its successor learns the documents as they move on.
type directory struct {
	order     *list.List
	documents map[uint64]*list.Element
}

// document is an entry of the directory.
type document struct {
	id uint64
	// holders are in the order of time, the most recent one first.
	holders []Key
}

func newDirectory() *directory {
	return &directory{order: list.New(), documents: make(map[uint64]*list.Element)}
}

// locate returns the instances that may hold a document, other than the given one, which holds it from now on.
func (d *directory) locate(id uint64, instance Key) []Key {
	elem, ok := d.documents[id]
	if !ok {
		elem = d.order.PushFront(&document{id: id})
		d.documents[id] = elem
		if d.order.Len() > maxDocuments {
			oldest := d.order.Back()
			delete(d.documents, oldest.Value.(*document).id)
			d.order.Remove(oldest)
		}
	}
	d.order.MoveToFront(elem)
	entry := elem.Value.(*document)
	others := slices.DeleteFunc(slices.Clone(entry.holders), func(k Key) bool { return k == instance })
	entry.holders = append([]Key{instance}, others[:min(len(others), maxHolders-1)]...)
	return others
}

// Locate returns the instances that may hold a document of this router's directory, and records that the given one will.
func (r *Registry) Locate(id uint64, instance Key) []Key {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.directory.locate(id, instance)
}

// DirectoryOf returns the router whose directory has a document, "" if it is this one.
func (r *Registry) DirectoryOf(id uint64) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.firstRouter(id)
}

// RouterRank returns the number of routers before this one in an order that all routers agree on, and the number of all.
func (r *Registry) RouterRank() (rank, routers int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, router := range r.routers {
		if router.name < r.self {
			rank++
		}
	}
	return rank, max(1, len(r.routers))
}

// firstRouter returns the first router of the rendezvous order of a key, "" if it is this one.
func (r *Registry) firstRouter(key uint64) string {
	first, _ := firstOf(key, r.routers)
	if first == r.self {
		return ""
	}
	return first
}

// firstOf returns the first of some routers in the rendezvous order of a key and its score, or "" and 0 if there are none.
func firstOf(key uint64, routers []rankedRouter) (first string, highest uint64) {
	for _, router := range routers {
		if score := rendezvous.Score(key, router.hash); first == "" || score > highest {
			first, highest = router.name, score
		}
	}
	return first, highest
}

// MissingDocument returns the document of the lease's prompt if its instance has to read or copy most of it. ok is false
// if it has it, or if the document is short.
func (l *Lease) MissingDocument() (id uint64, ok bool) {
	shared := l.request.sharedTokens()
	if shared-l.CachedTokens <= l.registry.settings.MinFetchTokens || l.CachedTokens*2 >= shared {
		return 0, false
	}
	return l.request.affinityHash(), true
}

// CopyFrom makes the instance fetch the shared part of the prompt from the first of the given instances that can be a
// source. Without one, the lease stays as it is.
func (l *Lease) CopyFrom(holders []Key) {
	r := l.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for _, key := range holders {
		for _, m := range r.byKey[key] {
			if m == l.member || m.Pool != l.member.Pool || m.health.ejected(now) || m.ejectedByKeeper(now) || m.stalled(now, r.settings.StallTimeout) {
				continue
			}
			l.FetchFrom = m.Address
			l.setPrefill(l.request.sharedTokens())
			return
		}
	}
}
