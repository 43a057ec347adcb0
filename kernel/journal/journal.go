// Package journal keeps a bounded record of a node's decisions and state changes, so that an
// operator can ask why something happened. It is read over HTTP by "jacinthfork explain".
package journal

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Kind says what an entry is about.
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

// Entry is one decision or state change.
type Entry struct {
	Time time.Time `json:"time"`
	Kind Kind      `json:"kind"`
	// Subject is a request ID, an instance, an object name or a fingerprint.
	Subject string  `json:"subject"`
	Text    string  `json:"text"`
	Fields  []Field `json:"fields,omitempty"`
}

// Journal is a ring of entries. It is safe for concurrent use. A nil *Journal drops all entries.
type Journal struct {
	mu      sync.Mutex
	now     func() time.Time
	entries []Entry
	next    int
	full    bool
}

// New returns a journal that keeps the last capacity entries.
func New(capacity int) *Journal {
	return &Journal{entries: make([]Entry, capacity), now: time.Now}
}

// Add records one entry; the oldest entry is dropped when the journal is full.
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

// Entries returns the entries from oldest to newest, only those of the given subject unless it is
// empty.
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
		if subject == "" || e.Subject == subject {
			out = append(out, e)
		}
	}
	return out
}

// ServeHTTP writes the entries as a JSON list; the query parameter subject selects one subject.
func (j *Journal) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(j.Entries(r.URL.Query().Get("subject")))
}
