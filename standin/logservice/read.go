package logservice

import (
	"context"
	"sort"
	"time"

	"jacinthfork.example/jacinthfork/services"
)

// Read implements services.Log.
func (s *Store) Read(ctx context.Context, name string, from uint64, limit int, wait time.Duration) (services.Page, error) {
	s.mu.Lock()
	s.counters.Reads++
	delay := s.faults(name).ReadDelay
	s.mu.Unlock()
	if err := s.admit(ctx, name, delay); err != nil {
		return services.Page{}, err
	}
	deadline := time.Now().Add(wait)
	for {
		page, grown := s.page(name, from, limit)
		left := time.Until(deadline)
		if len(page.Records) > 0 || limit <= 0 || left <= 0 {
			return page, nil
		}
		if err := waitFor(ctx, grown, left); err != nil {
			return services.Page{}, err
		}
		// An outage that began during the wait hits the waiting reads as well.
		if err := s.admit(ctx, name, 0); err != nil {
			return services.Page{}, err
		}
	}
}

func (s *Store) page(name string, from uint64, limit int) (services.Page, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	s.expireOld(st)
	page := services.Page{Earliest: st.earliest(), Next: st.next}
	first := sort.Search(len(st.records), func(i int) bool { return st.records[i].Offset >= from })
	last := min(len(st.records), first+max(0, limit))
	page.Records = append(page.Records, st.records[first:last]...)
	s.counters.RecordsRead += int64(len(page.Records))
	return page, st.grown
}

func (st *stream) earliest() uint64 {
	if len(st.records) == 0 {
		return st.next
	}
	return st.records[0].Offset
}

func (s *Store) expireOld(st *stream) {
	if s.settings.Retention == 0 {
		return
	}
	oldest := time.Now().Add(-s.settings.Retention)
	n := 0
	for n < len(st.records) && st.records[n].Time.Before(oldest) {
		n++
	}
	s.drop(st, n)
}

// Expire drops the records of a stream with offsets below before.
func (s *Store) Expire(name string, before uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	n := sort.Search(len(st.records), func(i int) bool { return st.records[i].Offset >= before })
	s.drop(st, n)
}

func (s *Store) drop(st *stream, n int) {
	s.counters.Expired += int64(n)
	st.records = st.records[n:]
}

// StreamState is the extent of one stream.
type StreamState struct {
	Name     string `json:"name"`
	Earliest uint64 `json:"earliest"`
	Next     uint64 `json:"next"`
}

// Streams returns the extent of each stream, by name.
func (s *Store) Streams() []StreamState {
	s.mu.Lock()
	defer s.mu.Unlock()
	states := make([]StreamState, 0, len(s.streams))
	for name, st := range s.streams {
		s.expireOld(st)
		states = append(states, StreamState{name, st.earliest(), st.next})
	}
	sort.Slice(states, func(i, j int) bool { return states[i].Name < states[j].Name })
	return states
}

func waitFor(ctx context.Context, grown <-chan struct{}, limit time.Duration) error {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-grown:
	case <-timer.C:
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	return waitFor(ctx, nil, d)
}
