package config

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/kernel/journal"
	"jacinthfork.example/jacinthfork/services"
	"jacinthfork.example/jacinthfork/wire"
)

// Store holds the configuration of one node. It is safe for concurrent use.
type Store struct {
	logger   *slog.Logger
	journal  *journal.Journal
	counters *kernel.Counters

	view atomic.Pointer[View]
	// logHealthy is set if the last read of the stream succeeded.
	logHealthy atomic.Bool
	// imported receives a token after a state was imported from a peer.
	imported chan struct{}

	mu          sync.Mutex
	state       *state
	subscribers map[chan struct{}]struct{}
	// ready is set once the end of the stream was reached or a state was imported from a peer. Until then the
	// view stays empty, so that a restarting node does not publish outdated revisions.
	ready bool
}

// NewStore returns an empty store, whose view is empty and as of offset 0.
func NewStore(log *slog.Logger, j *journal.Journal, counters *kernel.Counters) *Store {
	s := &Store{
		logger: log, journal: j, counters: counters,
		state: newState(), subscribers: make(map[chan struct{}]struct{}),
		imported: make(chan struct{}, 1),
	}
	s.state.onDecision, s.state.onFault = s.recordDecision, s.recordFault
	s.view.Store(&View{bodies: map[Key]parsedBody{}})
	counters.Func("config_revision", func() any { return s.Revision() })
	counters.Func("config_as_of", func() any { return s.View().AsOf })
	return s
}

// View returns the configuration in force. The returned view is immutable; later calls may return a newer
// one.
func (s *Store) View() *View { return s.view.Load() }

// Revision returns the offset of the newest change known to the node, for messages to other nodes. It is 0
// while the state is incomplete, so that peers offer their own.
func (s *Store) Revision() uint64 {
	view := s.View()
	if !view.Complete {
		return 0
	}
	return view.Revision
}

// Ready reports whether the view can be used, because the end of the stream was reached once or a state was
// imported from a peer. A node that is not ready should accept no requests.
func (s *Store) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ready
}

// asOf returns the offset at which the next read starts.
func (s *Store) asOf() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.asOf
}

// Subscribe returns a channel that receives a token after changes of the view, and a function that ends the
// subscription. Tokens are coalesced while the reader is busy.
func (s *Store) Subscribe() (<-chan struct{}, func()) {
	c := make(chan struct{}, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers[c] = struct{}{}
	return c, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.subscribers, c)
	}
}

// ApplyPage applies the result of one read of the stream.
func (s *Store) ApplyPage(page services.Page) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.applyPage(page)
	s.ready = s.ready || s.state.asOf >= page.Next
	s.publishView()
}

// Export returns the state for a peer that knows the prefix of the stream below since completely, 0 for none.
// It returns one empty part if this node knows no more than that, or if records are missing here.
func (s *Store) Export(since uint64) []*wire.ConfigPart {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.export(since)
}

// Import applies the state of a peer. It returns ErrBehind if the state contains nothing new, and ErrPartial
// or ErrRegression if the state is invalid.
func (s *Store) Import(parts []*wire.ConfigPart) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.state.importParts(parts); err != nil {
		s.counters.Map("config_imports").Add("refused", 1)
		return err
	}
	s.counters.Map("config_imports").Add("taken", 1)
	s.logger.Info("configuration imported from a peer", "as_of", s.state.asOf)
	s.ready = true
	s.publishView()
	select {
	case s.imported <- struct{}{}:
	default:
	}
	return nil
}

// Objects returns all objects, including tombstones, sorted by key.
func (s *Store) Objects() []Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Object, 0, len(s.state.objects))
	for _, key := range sortedKeys(s.state.objects) {
		out = append(out, *s.state.objects[key])
	}
	return out
}

// ServeHTTP writes the state as JSON for /debug/config.
func (s *Store) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	view := s.View()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(struct {
		Revision uint64   `json:"revision"`
		AsOf     uint64   `json:"as_of"`
		Complete bool     `json:"complete"`
		Objects  []Object `json:"objects"`
	}{view.Revision, view.AsOf, view.Complete, s.Objects()})
}

// publishView publishes a new view. It copies the bodies only after a change.
func (s *Store) publishView() {
	if !s.ready {
		return
	}
	old := s.view.Load()
	next := &View{
		AsOf: s.state.asOf, Revision: s.state.lastChange, Complete: s.state.complete, bodies: old.bodies,
	}
	if s.state.dirty {
		next.bodies = make(map[Key]parsedBody, len(s.state.objects))
		for key, object := range s.state.objects {
			if object.InForce != 0 {
				next.bodies[key] = parsedBody{object.InForce, object.parsed}
			}
		}
	}
	changed := s.state.dirty || next.Complete != old.Complete
	s.state.dirty = false
	s.view.Store(next)
	if !changed {
		return
	}
	for c := range s.subscribers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// recordDecision writes the outcome of a record to the counters, the journal and, if its body is invalid, the
// log.
func (s *Store) recordDecision(d Decision) {
	name := [...]string{Undecided: "undecided", Accepted: "accepted", Rejected: "rejected"}[d.Outcome]
	s.counters.Map("config_records").Add(name, 1)
	subject := fmt.Sprintf("%s/%s/v%d", d.Kind, d.Name, d.Schema)
	s.journal.Add(journal.KindConfig, subject, name,
		journal.Field{Name: "offset", Value: strconv.FormatUint(d.Offset, 10)},
		journal.Field{Name: "revision", Value: strconv.FormatUint(d.Revision, 10)},
		journal.Field{Name: "author", Value: d.Author})
	if d.Fault != "" {
		s.counters.Map("config_records").Add("invalid", 1)
		s.logger.Warn("configuration body is invalid and not in force", "object", subject, "revision", d.Revision, "fault", d.Fault)
	}
}

// recordFault writes an invalid record to the counters and the journal.
func (s *Store) recordFault(offset uint64, text string) {
	s.counters.Map("config_records").Add("fault", 1)
	s.journal.Add(journal.KindConfig, strconv.FormatUint(offset, 10), text)
}

// parsedBody is a body in force.
type parsedBody struct {
	revision uint64
	parsed   any
}

// View is the configuration in force at one node. It is immutable.
type View struct {
	// AsOf is the length of the log prefix from which the view is derived.
	AsOf uint64
	// Revision is the offset of the newest accepted change.
	Revision uint64
	// Complete is false if records are missing, so that some changes cannot be decided yet.
	Complete bool
	bodies   map[Key]parsedBody
}

// Pool returns the pool from the highest schema version in force, up to maxSchema.
func (v *View) Pool(name string, maxSchema uint32) (Pool, bool) {
	found, schema := v.lookup(KindPool, name, maxSchema)
	if schema == 0 {
		return Pool{}, false
	}
	pool := found.parsed.(Pool)
	pool.Name, pool.Revision = name, found.revision
	return pool, true
}

// Pools returns the names of all pools in force in unspecified order.
func (v *View) Pools() []string {
	names := make(map[string]struct{})
	for key := range v.bodies {
		if key.Kind == KindPool {
			names[key.Name] = struct{}{}
		}
	}
	out := make([]string, 0, len(names))
	for name := range maps.Keys(names) {
		out = append(out, name)
	}
	return out
}

// Organisation returns the configuration of an organisation, or DefaultOrganisation if it has none.
func (v *View) Organisation(name string) Organisation {
	found, schema := v.lookup(KindOrganisation, name, 1)
	if schema == 0 {
		return DefaultOrganisation
	}
	return found.parsed.(Organisation)
}

// Model returns the configuration of a model.
func (v *View) Model(name string) (Model, bool) {
	found, schema := v.lookup(KindModel, name, 1)
	if schema == 0 {
		return Model{}, false
	}
	return found.parsed.(Model), true
}

// lookup returns the body of the highest schema version in force, up to maxSchema, and that version, 0 for
// none.
func (v *View) lookup(kind Kind, name string, maxSchema uint32) (parsedBody, uint32) {
	for schema := min(maxSchema, maxSchemas[kind]); schema > 0; schema-- {
		if found, ok := v.bodies[Key{kind, name, schema}]; ok {
			return found, schema
		}
	}
	return parsedBody{}, 0
}

// maxSchemas holds the highest known schema version of each kind.
var maxSchemas = map[Kind]uint32{KindPool: 2, KindOrganisation: 1, KindModel: 1}
