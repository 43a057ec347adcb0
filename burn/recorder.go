package burn

import (
	"container/list"
	"sync"
	"time"
)

// MaxOrganisations is the maximum number of organisations with counts of their own. Each takes about 1.5 KB, so
// that together they use about 1% of a router's memory at the target size of 12,000 organisations.
const MaxOrganisations = 1024

// ExpvarName is the name of the expvar variable that publishes a Snapshot.
const ExpvarName = "burn"

// Recorder counts the events of one router. It is safe for concurrent use.
type Recorder struct {
	mu    sync.Mutex
	now   func() time.Time
	start time.Time
	limit int
	// lru holds *organisation values, most recently active first.
	lru    *list.List
	byName map[string]*list.Element
	// other holds the events of all organisations that have no series of their own.
	other *series
}

type organisation struct {
	name   string
	series *series
}

// NewRecorder returns a recorder that counts at most limit organisations separately.
func NewRecorder(limit int) *Recorder {
	return &Recorder{
		now: time.Now, start: time.Now(), limit: limit,
		lru: list.New(), byName: make(map[string]*list.Element), other: newSeries(),
	}
}

// Observe counts one event of an objective with a time limit. The event is good if took is within the limit.
func (r *Recorder) Observe(o Objective, organisation string, took time.Duration) {
	r.Count(o, organisation, took <= o.Limit())
}

// Count counts one event. Events without an organisation are attributed to the other organisations. Count panics
// on an unknown objective, which is a programming error.
func (r *Recorder) Count(o Objective, organisation string, good bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.now().Sub(r.start)
	r.seriesFor(organisation, at).add(o.index(), at, good)
}

func (r *Recorder) seriesFor(name string, at time.Duration) *series {
	if name == "" {
		return r.other
	}
	if element, ok := r.byName[name]; ok {
		r.lru.MoveToFront(element)
		return element.Value.(*organisation).series
	}
	if r.lru.Len() >= r.limit {
		r.evictOldest(at)
	}
	added := &organisation{name, newSeries()}
	r.byName[name] = r.lru.PushFront(added)
	return added.series
}

// evictOldest removes the least recently active organisation and merges its counts into other.
func (r *Recorder) evictOldest(at time.Duration) {
	element := r.lru.Back()
	oldest := element.Value.(*organisation)
	oldest.series.advance(at)
	r.other.advance(at)
	r.other.merge(oldest.series)
	r.lru.Remove(element)
	delete(r.byName, oldest.name)
}

// Counts holds event counts, indexed like Objectives and Windows.
type Counts [len(Objectives)][len(Windows)]Count

func (c *Counts) add(other Counts) {
	for o := range c {
		for w := range c[o] {
			c[o][w].add(other[o][w])
		}
	}
}

func (c *Counts) empty() bool { return *c == Counts{} }

// Snapshot is the state of a Recorder in the form that a router publishes.
type Snapshot struct {
	// Objectives and Windows label the indices of the counts, so that a reader of another version can
	// detect a mismatch.
	Objectives []Objective `json:"objectives"`
	Windows    []string    `json:"windows"`
	// Since is when the recorder started. Windows that reach further back are incomplete.
	Since         time.Time         `json:"since"`
	Organisations map[string]Counts `json:"organisations"`
	// Other holds the events of organisations that are not counted separately.
	Other Counts `json:"other"`
}

// Snapshot returns the current counts. Organisations without events in any window are omitted.
func (r *Recorder) Snapshot() Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.now().Sub(r.start)
	out := Snapshot{Objectives: Objectives[:], Windows: windowNames(), Since: r.start, Organisations: make(map[string]Counts)}
	for element := r.lru.Front(); element != nil; element = element.Next() {
		o := element.Value.(*organisation)
		o.series.advance(at)
		if counts := o.series.counts(); !counts.empty() {
			out.Organisations[o.name] = counts
		}
	}
	r.other.advance(at)
	out.Other = r.other.counts()
	return out
}

func windowNames() []string {
	names := make([]string, len(Windows))
	for i, w := range Windows {
		names[i] = w.Name
	}
	return names
}
