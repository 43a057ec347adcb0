package feed

import (
	"context"
	"slices"
	"sync"
	"time"
)

// fakeSource is an in-memory store.
type fakeSource struct {
	mu          sync.Mutex
	records     []Record
	firstOffset uint64
	err         error
	reads       int
}

func (s *fakeSource) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, Record{Key: key, Offset: uint64(len(s.records)), Value: []byte(value)})
}

func (s *fakeSource) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = err
}

func (s *fakeSource) readCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

func (s *fakeSource) Newest(context.Context, ID) ([]Record, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.err != nil {
		return nil, 0, s.err
	}
	newest := map[string]Record{}
	for _, r := range s.records {
		newest[r.Key] = r
	}
	var out []Record
	for _, r := range newest {
		if len(r.Value) > 0 {
			out = append(out, r)
		}
	}
	return out, uint64(len(s.records)), nil
}

func (s *fakeSource) Read(_ context.Context, _ ID, from uint64, _ time.Duration) ([]Record, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.err != nil {
		return nil, 0, s.err
	}
	if from < s.firstOffset {
		return nil, 0, ErrExpired
	}
	return slices.Clone(s.records[from:]), uint64(len(s.records)), nil
}

// Merge applies records and a position from the store.
func (f *Follower) Merge(records []Record, next uint64, freshAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.table.next == 0 && !f.synced {
		f.table.removalsFrom = next
	}
	f.merge(records, next, freshAt, Origin{Complete: next}, ownRead)
}

// fakeSink records the values that it is given.
type fakeSink struct {
	mu         sync.Mutex
	values     map[string]string
	snapshots  int
	recoveries int
}

func newSink() *fakeSink { return &fakeSink{values: map[string]string{}} }

func (s *fakeSink) Apply(r Record, _ Origin) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.values[r.Key] != string(r.Value)
	s.values[r.Key] = string(r.Value)
	return changed
}

func (s *fakeSink) SnapshotApplied(map[string]bool, Origin) {
	s.mu.Lock()
	s.snapshots++
	s.mu.Unlock()
}

func (s *fakeSink) StoreRecovered() { s.mu.Lock(); s.recoveries++; s.mu.Unlock() }

func (s *fakeSink) get(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.values[key]
}
