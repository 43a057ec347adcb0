package burn

import (
	"container/list"
	"sync"
	"time"
)

// MaxOrganisations bounds the organisations that a recorder tells apart. One takes about 1.5 KB, so
// all of them stay near 1% of a router's memory at the target size of 12,000 organisations.
const MaxOrganisations = 1024

// Variable is the name of the expvar variable that holds a Snapshot.
const Variable = "burn"

// Recorder counts the events of one router. It is safe for concurrent use.
type Recorder struct {
	mu    sync.Mutex
	now   func() time.Time
	start time.Time
	limit int
	// recent holds *organisation values, the most recently active one first.
	recent *list.List
	byName map[string]*list.Element
	// other holds the events of organisations that are not told apart.
	other *series
}

type organisation struct {
	name   string
	series *series
}

// NewRecorder returns a recorder that tells at most limit organisations apart.
func NewRecorder(limit int) *Recorder {
	return &Recorder{
		now: time.Now, start: time.Now(), limit: limit,
		recent: list.New(), byName: make(map[string]*list.Element), other: newSeries(),
	}
}

// Observe counts one event that has a time limit.
func (r *Recorder) Observe(o Objective, organisation string, took time.Duration) {
	r.Count(o, organisation, took <= o.Limit())
}

// Count counts one event. Events of an empty organisation count for the other organisations. An
// unknown objective is a mistake in the program and panics.
func (r *Recorder) Count(o Objective, organisation string, good bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.now().Sub(r.start)
	r.find(organisation, at).add(o.index(), at, good)
}

func (r *Recorder) find(name string, at time.Duration) *series {
	if name == "" {
		return r.other
	}
	if element, ok := r.byName[name]; ok {
		r.recent.MoveToFront(element)
		return element.Value.(*organisation).series
	}
	if r.recent.Len() >= r.limit {
		r.mergeOldest(at)
	}
	added := &organisation{name, newSeries()}
	r.byName[name] = r.recent.PushFront(added)
	return added.series
}

// mergeOldest moves the counts of the least recently active organisation to the others.
func (r *Recorder) mergeOldest(at time.Duration) {
	element := r.recent.Back()
	oldest := element.Value.(*organisation)
	oldest.series.advance(at)
	r.other.advance(at)
	r.other.merge(oldest.series)
	r.recent.Remove(element)
	delete(r.byName, oldest.name)
}

// Counts are the events by index of Objectives and Windows.
type Counts [len(Objectives)][len(Windows)]Count

func (c *Counts) add(other Counts) {
	for o := range c {
		for w := range c[o] {
			c[o][w].add(other[o][w])
		}
	}
}

func (c *Counts) empty() bool { return *c == Counts{} }

// Snapshot is what a router publishes.
type Snapshot struct {
	// Objectives and Windows name the indices of the counts, so that a reader of another version
	// notices that it does not understand them.
	Objectives []Objective `json:"objectives"`
	Windows    []string    `json:"windows"`
	// Since is the start of the recorder; windows that are longer ago are incomplete.
	Since         time.Time         `json:"since"`
	Organisations map[string]Counts `json:"organisations"`
	// Other holds the events of organisations that the router does not tell apart.
	Other Counts `json:"other"`
}

// Snapshot returns the counts of now. Organisations without events in any window are left out.
func (r *Recorder) Snapshot() Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.now().Sub(r.start)
	out := Snapshot{Objectives: Objectives[:], Windows: windowNames(), Since: r.start, Organisations: make(map[string]Counts)}
	for element := r.recent.Front(); element != nil; element = element.Next() {
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
