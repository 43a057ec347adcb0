// Package logservice is a stand-in for the platform's append-only log service. A Store implements
// services.Log in memory, and its HTTP handler serves it to other processes. Faults are injected with
// SetSettings or PUT /inspect/settings.
package logservice

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"jacinthfork.example/jacinthfork/services"
	"jacinthfork.example/jacinthfork/standin"
)

// Errors returned by a Store.
var (
	ErrOutage         = errors.New("log service is down")
	ErrResponseLost   = errors.New("answer lost")
	ErrRateLimited    = errors.New("over the limit of appends per second")
	ErrRecordTooLarge = errors.New("record is too large")
)

// burstDivisor limits a burst of appends to a tenth of a second of AppendsPerSecond.
const burstDivisor = 10

// Store is an in-memory log. It uses the clock and timers only through package time and, unless its HTTP server
// is started, keeps no goroutines running, so it can run in a synctest bubble. It is safe for concurrent use.
type Store struct {
	standin.Server

	mu              sync.Mutex
	settings        Settings
	settingsChanged chan struct{} // closed and replaced when the settings change
	streams         map[string]*stream
	counters        Counters
	rateTokens      float64
	refilledAt      time.Time
}

type stream struct {
	records    []services.Record
	nextOffset uint64
	appended   chan struct{} // closed and replaced by the next append
}

var _ services.Log = (*Store)(nil)

// New returns an empty Store.
func New(settings Settings) *Store {
	s := &Store{
		settings:        settings,
		settingsChanged: make(chan struct{}),
		streams:         make(map[string]*stream),
		refilledAt:      time.Now(),
		rateTokens:      burstSize(settings.AppendsPerSecond),
	}
	s.Server.Handler = s.handler()
	return s
}

// Settings returns the current settings. LoseResponses and LateAppends are the numbers of faults that remain.
func (s *Store) Settings() Settings {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settings
}

// SetSettings replaces the settings. Requests that hang in an outage are re-evaluated under the new ones.
func (s *Store) SetSettings(settings Settings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settings = settings
	close(s.settingsChanged)
	s.settingsChanged = make(chan struct{})
}

// UpdateSettings applies f to a copy of the settings and puts the result in force.
func (s *Store) UpdateSettings(f func(*Settings)) {
	settings := s.Settings()
	f(&settings)
	s.SetSettings(settings)
}

// Counters returns a copy of the counters.
func (s *Store) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// Append implements services.Log.
func (s *Store) Append(ctx context.Context, name string, payload []byte) (uint64, error) {
	s.mu.Lock()
	s.counters.Appends++
	delay := s.faultsFor(name).AppendDelay
	s.mu.Unlock()
	if err := s.waitForService(ctx, name, delay); err != nil {
		// A caller cannot distinguish an append that hangs from one that takes effect.
		return 0, s.refuseAppend(err, !errors.Is(err, ErrOutage))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkLimits(payload); err != nil {
		s.counters.Refused++
		return 0, &services.AppendError{Err: err}
	}
	if s.matchesFaultPrefix(name) && consumeFault(&s.settings.LateAppends) {
		s.counters.Late++
		time.AfterFunc(s.settings.LateBy, func() { s.appendLate(name, payload) })
		return 0, &services.AppendError{MayBeStored: true, Err: ErrResponseLost}
	}
	offset := s.appendRecord(name, payload)
	if s.matchesFaultPrefix(name) && consumeFault(&s.settings.LoseResponses) {
		s.counters.ResponsesLost++
		return 0, &services.AppendError{MayBeStored: true, Err: ErrResponseLost}
	}
	return offset, nil
}

// refuseAppend counts a refused append and returns its error.
func (s *Store) refuseAppend(err error, mayBeStored bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Refused++
	return &services.AppendError{MayBeStored: mayBeStored, Err: err}
}

// waitForService waits for the configured delay, then fails or blocks as long as an outage applies to the
// stream.
func (s *Store) waitForService(ctx context.Context, name string, delay time.Duration) error {
	if err := sleep(ctx, delay); err != nil {
		return err
	}
	for {
		s.mu.Lock()
		outage, changed := s.faultsFor(name).Outage, s.settingsChanged
		s.mu.Unlock()
		switch outage {
		case OutageRefuse:
			return ErrOutage
		case OutageHang:
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-changed:
			}
		default:
			return ctx.Err()
		}
	}
}

// faultsFor returns the settings, or zero settings if FaultPrefix excludes the stream. The caller holds mu.
func (s *Store) faultsFor(name string) Settings {
	if s.matchesFaultPrefix(name) {
		return s.settings
	}
	return Settings{}
}

func (s *Store) matchesFaultPrefix(name string) bool {
	return strings.HasPrefix(name, s.settings.FaultPrefix)
}

// consumeFault decrements a number of injected faults and reports whether one was left. A negative number
// is unlimited.
func consumeFault(n *int) bool {
	if *n == 0 {
		return false
	}
	if *n > 0 {
		*n--
	}
	return true
}

// burstSize returns the capacity of the token bucket that limits appends.
func burstSize(perSecond int) float64 { return max(1, float64(perSecond)/burstDivisor) }

// checkLimits applies MaxRecordBytes and AppendsPerSecond, the latter as a token bucket. The caller holds
// mu.
func (s *Store) checkLimits(payload []byte) error {
	if limit := s.settings.MaxRecordBytes; limit > 0 && len(payload) > limit {
		return ErrRecordTooLarge
	}
	rate := s.settings.AppendsPerSecond
	if rate == 0 {
		return nil
	}
	now := time.Now()
	refilled := s.rateTokens + now.Sub(s.refilledAt).Seconds()*float64(rate)
	s.rateTokens = min(refilled, burstSize(rate))
	s.refilledAt = now
	if s.rateTokens < 1 {
		return ErrRateLimited
	}
	s.rateTokens--
	return nil
}

func (s *Store) appendLate(name string, payload []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendRecord(name, payload)
}

// stream returns the stream with the given name and creates it if needed. The caller holds mu.
func (s *Store) stream(name string) *stream {
	st := s.streams[name]
	if st == nil {
		st = &stream{appended: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

// appendRecord adds a record, wakes waiting readers and returns its offset. The caller holds mu.
func (s *Store) appendRecord(name string, payload []byte) uint64 {
	st := s.stream(name)
	record := services.Record{Offset: st.nextOffset, Time: time.Now(), Payload: slices.Clone(payload)}
	st.records = append(st.records, record)
	st.nextOffset++
	close(st.appended)
	st.appended = make(chan struct{})
	s.counters.Stored++
	s.counters.AppendBytes += int64(len(payload))
	return record.Offset
}
