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
	delay := s.faultsFor(name).ReadDelay
	s.mu.Unlock()
	if err := s.waitForService(ctx, name, delay); err != nil {
		return services.Page{}, err
	}
	deadline := time.Now().Add(wait)
	for {
		page, appended := s.readPage(name, from, limit)
		left := time.Until(deadline)
		if len(page.Records) > 0 || limit <= 0 || left <= 0 {
			return page, nil
		}
		if err := waitForAppend(ctx, appended, left); err != nil {
			return services.Page{}, err
		}
		// An outage that begins during the wait must also affect reads that are already waiting.
		if err := s.waitForService(ctx, name, 0); err != nil {
			return services.Page{}, err
		}
	}
}

// readPage returns up to limit records from an offset on, and a channel that is closed by the next append.
func (s *Store) readPage(name string, from uint64, limit int) (services.Page, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	s.expireByAge(st)
	page := services.Page{Earliest: st.earliest(), Next: st.nextOffset}
	first := sort.Search(len(st.records), func(i int) bool { return st.records[i].Offset >= from })
	last := min(len(st.records), first+max(0, limit))
	page.Records = append(page.Records, st.records[first:last]...)
	s.counters.RecordsRead += int64(len(page.Records))
	return page, st.appended
}

func (st *stream) earliest() uint64 {
	if len(st.records) == 0 {
		return st.nextOffset
	}
	return st.records[0].Offset
}

// expireByAge drops the records that are older than Retention. The caller holds mu.
func (s *Store) expireByAge(st *stream) {
	if s.settings.Retention == 0 {
		return
	}
	oldest := time.Now().Add(-s.settings.Retention)
	n := 0
	for n < len(st.records) && st.records[n].Time.Before(oldest) {
		n++
	}
	s.dropFirst(st, n)
}

// Expire drops the records of a stream with offsets below before.
func (s *Store) Expire(name string, before uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	n := sort.Search(len(st.records), func(i int) bool { return st.records[i].Offset >= before })
	s.dropFirst(st, n)
}

// dropFirst drops the first n records of a stream and counts them as expired. The caller holds mu.
func (s *Store) dropFirst(st *stream, n int) {
	s.counters.Expired += int64(n)
	st.records = st.records[n:]
}

// StreamRange is the range of offsets that a stream holds.
type StreamRange struct {
	Name     string `json:"name"`
	Earliest uint64 `json:"earliest"`
	Next     uint64 `json:"next"`
}

// Streams returns the offset range of each stream, sorted by name.
func (s *Store) Streams() []StreamRange {
	s.mu.Lock()
	defer s.mu.Unlock()
	ranges := make([]StreamRange, 0, len(s.streams))
	for name, st := range s.streams {
		s.expireByAge(st)
		ranges = append(ranges, StreamRange{name, st.earliest(), st.nextOffset})
	}
	sort.Slice(ranges, func(i, j int) bool { return ranges[i].Name < ranges[j].Name })
	return ranges
}

// waitForAppend waits until the channel is closed or the limit has passed. It fails only if ctx is done.
func waitForAppend(ctx context.Context, appended <-chan struct{}, limit time.Duration) error {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-appended:
	case <-timer.C:
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	return waitForAppend(ctx, nil, d)
}
