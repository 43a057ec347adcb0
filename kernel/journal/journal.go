// Package journal keeps a bounded in-memory log of the decisions and state changes of a router or
// sidecar, from which an operator can see why something happened. "jacinthfork explain" reads it over HTTP.
package journal

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Kind is the category of an entry.
type Kind string

// Kinds of entries.
const (
	KindRoute    Kind = "route"
	KindRefusal  Kind = "refusal"
	KindMember   Kind = "member"
	KindConfig   Kind = "config"
	KindClaim    Kind = "claim"
	KindSuspect  Kind = "suspect"
	KindOrder    Kind = "order"
	KindShutdown Kind = "shutdown"
)

// Field is one named value of an entry.
type Field struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// KeyField is the name of the field with the idempotency key of a request, by which entries about it are found too.
const KeyField = "key"

// Entry records one decision or state change.
type Entry struct {
	Time time.Time `json:"time"`
	Kind Kind      `json:"kind"`
	// Subject is what the entry is about: a request ID, an instance, an object name or a fingerprint.
	Subject string  `json:"subject"`
	Text    string  `json:"text"`
	Fields  []Field `json:"fields,omitempty"`
}

// Journal is a ring buffer of entries. It is safe for concurrent use. A nil *Journal discards all entries.
type Journal struct {
	mu      sync.Mutex
	now     func() time.Time
	entries []Entry
	// next is the index in entries that is written next.
	next int
	// full is set once the buffer has wrapped around.
	full bool
}

// New returns a journal that keeps the last capacity entries.
func New(capacity int) *Journal {
	return &Journal{entries: make([]Entry, capacity), now: time.Now}
}

// Add records one entry. When the journal is full, the entry replaces the oldest one.
func (j *Journal) Add(kind Kind, subject, text string, fields ...Field) {
	if j == nil || len(j.entries) == 0 {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.entries[j.next] = Entry{Time: j.now(), Kind: kind, Subject: subject, Text: text, Fields: fields}
	j.next++
	if j.next == len(j.entries) {
		j.next = 0
		j.full = true
	}
}

// concerns reports whether the entry is about a subject, or about a request with that idempotency key.
func (e Entry) concerns(subject string) bool {
	return e.Subject == subject || slices.Contains(e.Fields, Field{Name: KeyField, Value: subject})
}

// Entries returns the entries of the given subject or idempotency key from oldest to newest. An empty subject selects
// all entries.
func (j *Journal) Entries(subject string) []Entry {
	if j == nil {
		return nil
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	ordered := j.entries[:j.next]
	if j.full {
		ordered = append(append([]Entry(nil), j.entries[j.next:]...), j.entries[:j.next]...)
	}
	out := []Entry{}
	for _, e := range ordered {
		if subject == "" || e.concerns(subject) {
			out = append(out, e)
		}
	}
	return out
}

// ServeHTTP writes the entries as a JSON array. The query parameter "subject" selects one subject or
// idempotency key.
func (j *Journal) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(j.Entries(r.URL.Query().Get("subject")))
}
