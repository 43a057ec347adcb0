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
	log      *slog.Logger
	journal  *journal.Journal
	counters *kernel.Counters

	view atomic.Pointer[View]
	// logHealthy is set while the last read of the stream succeeded.
	logHealthy atomic.Bool
	// taken gets a token when a state was taken from a peer.
	taken chan struct{}

	mu          sync.Mutex
	state       *state
	subscribers map[chan struct{}]struct{}
	// warm is set once the end of the stream was reached or a peer's state was taken. Before that
	// the view stays empty, so that a node which restarts does not go through old revisions.
	warm bool
}

// NewStore returns an empty store. Its view is empty and as of offset 0.
func NewStore(log *slog.Logger, j *journal.Journal, counters *kernel.Counters) *Store {
	s := &Store{
		log: log, journal: j, counters: counters,
		state: newState(), subscribers: make(map[chan struct{}]struct{}),
		taken: make(chan struct{}, 1),
	}
	s.state.decided, s.state.fault = s.decided, s.fault
	s.view.Store(&View{values: map[Key]value{}})
	counters.Func("config_revision", func() any { return s.Revision() })
	counters.Func("config_as_of", func() any { return s.View().AsOf })
	return s
}

// View returns what is in force. It never changes; a later call may return another one.
func (s *Store) View() *View { return s.view.Load() }

// Revision is the offset of the newest change that the node has, for messages to other nodes. It is
// 0 while the state is incomplete, so that a peer offers its own.
func (s *Store) Revision() uint64 {
	view := s.View()
	if !view.Complete {
		return 0
	}
	return view.Revision
}

// Ready reports whether the view is in use: the end of the stream was reached once, or a peer's state
// was taken. A node that is not ready should take no requests.
func (s *Store) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.warm
}

// asOf is the position at which the next read starts.
func (s *Store) asOf() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.asOf
}

// Subscribe returns a channel that gets a token after each change of the view, and a function that
// ends the subscription. Tokens are merged while the reader is busy.
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
	s.warm = s.warm || s.state.asOf >= page.Next
	s.refresh()
}

// Export returns the state for a peer that has the whole prefix of the stream below since, 0 for
// none. It is one empty part when this node has no more than that, or records are missing here.
func (s *Store) Export(since uint64) []*wire.ConfigPart {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.export(since)
}

// Import takes the state of a peer. It returns ErrBehind when nothing was to be learned, and
// ErrPartial or ErrRegression when the state is refused.
func (s *Store) Import(parts []*wire.ConfigPart) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.state.importParts(parts); err != nil {
		s.counters.Map("config_imports").Add("refused", 1)
		return err
	}
	s.counters.Map("config_imports").Add("taken", 1)
	s.log.Info("configuration taken from a peer", "as_of", s.state.asOf)
	s.warm = true
	s.refresh()
	select {
	case s.taken <- struct{}{}:
	default:
	}
	return nil
}

// Objects returns all objects, tombstones included, sorted by key.
func (s *Store) Objects() []Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Object, 0, len(s.state.objects))
	for _, key := range sortedKeys(s.state.objects) {
		out = append(out, *s.state.objects[key])
	}
	return out
}

// ServeHTTP writes the state as JSON, for /debug/config.
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

// refresh publishes a new view. The values are copied only after a change.
func (s *Store) refresh() {
	if !s.warm {
		return
	}
	old := s.view.Load()
	next := &View{
		AsOf: s.state.asOf, Revision: s.state.changed, Complete: s.state.complete, values: old.values,
	}
	if s.state.touched {
		next.values = make(map[Key]value, len(s.state.objects))
		for key, object := range s.state.objects {
			if object.InForce != 0 {
				next.values[key] = value{object.InForce, object.value}
			}
		}
	}
	changed := s.state.touched || next.Complete != old.Complete
	s.state.touched = false
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

func (s *Store) decided(d Decision) {
	name := [...]string{Undecided: "undecided", Accepted: "accepted", Rejected: "rejected"}[d.Outcome]
	s.counters.Map("config_records").Add(name, 1)
	subject := fmt.Sprintf("%s/%s/v%d", d.Kind, d.Name, d.Schema)
	s.journal.Add(journal.KindConfig, subject, name,
		journal.Field{Name: "offset", Value: strconv.FormatUint(d.Offset, 10)},
		journal.Field{Name: "revision", Value: strconv.FormatUint(d.Revision, 10)},
		journal.Field{Name: "author", Value: d.Author})
	if d.Fault != "" {
		s.counters.Map("config_records").Add("invalid", 1)
		s.log.Warn("configuration body is not in force", "object", subject, "revision", d.Revision, "fault", d.Fault)
	}
}

func (s *Store) fault(offset uint64, text string) {
	s.counters.Map("config_records").Add("fault", 1)
	s.journal.Add(journal.KindConfig, strconv.FormatUint(offset, 10), text)
}

// value is one body in force.
type value struct {
	revision uint64
	parsed   any
}

// View is what is in force at one node. It is immutable.
type View struct {
	// AsOf is the length of the log's prefix that the view follows from.
	AsOf uint64
	// Revision is the offset of the newest accepted change.
	Revision uint64
	// Complete is false when records are missing, so that some changes can't be decided yet.
	Complete bool
	values   map[Key]value
}

// Pool returns the pool in the highest schema version up to maxSchema that is in force.
func (v *View) Pool(name string, maxSchema uint32) (Pool, bool) {
	found, schema := v.highest(KindPool, name, maxSchema)
	if schema == 0 {
		return Pool{}, false
	}
	pool := found.parsed.(Pool)
	pool.Name, pool.Revision = name, found.revision
	return pool, true
}

// Pools returns the names of all pools in force, in no order.
func (v *View) Pools() []string {
	names := make(map[string]struct{})
	for key := range v.values {
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

// Organisation returns the organisation's limits, DefaultOrganisation when it has none.
func (v *View) Organisation(name string) Organisation {
	found, schema := v.highest(KindOrganisation, name, 1)
	if schema == 0 {
		return DefaultOrganisation
	}
	return found.parsed.(Organisation)
}

// Model returns the model.
func (v *View) Model(name string) (Model, bool) {
	found, schema := v.highest(KindModel, name, 1)
	if schema == 0 {
		return Model{}, false
	}
	return found.parsed.(Model), true
}

func (v *View) highest(kind Kind, name string, maxSchema uint32) (value, uint32) {
	for schema := min(maxSchema, highestSchema[kind]); schema > 0; schema-- {
		if found, ok := v.values[Key{kind, name, schema}]; ok {
			return found, schema
		}
	}
	return value{}, 0
}

var highestSchema = map[Kind]uint32{KindPool: 2, KindOrganisation: 1, KindModel: 1}
