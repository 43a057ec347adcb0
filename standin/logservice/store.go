// Package logservice is a stand-in for the platform's append-only log service. A Store implements
// services.Log in memory, and its HTTP handler serves it to other processes. Faults are scripted by
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

// Errors of a Store.
var (
	ErrOutage     = errors.New("log service is down")
	ErrAnswerLost = errors.New("answer lost")
	ErrRate       = errors.New("over the limit of appends per second")
	ErrTooLarge   = errors.New("record is too large")
)

// burstDivisor makes the largest burst a tenth of a second of the append limit.
const burstDivisor = 10

// Store is an in-memory log. It starts no goroutine of its own and takes the time from package time,
// so that it runs inside a synctest bubble. It is safe for concurrent use.
type Store struct {
	standin.Server

	mu       sync.Mutex
	settings Settings
	changed  chan struct{} // closed when the settings change
	streams  map[string]*stream
	counters Counters
	tokens   float64
	filled   time.Time
}

type stream struct {
	records []services.Record
	next    uint64
	grown   chan struct{} // closed by the next append
}

var _ services.Log = (*Store)(nil)

// New returns an empty store.
func New(settings Settings) *Store {
	s := &Store{
		settings: settings,
		changed:  make(chan struct{}),
		streams:  make(map[string]*stream),
		filled:   time.Now(),
		tokens:   burst(settings.AppendsPerSecond),
	}
	s.Server.Handler = s.handler()
	return s
}

// Settings returns the settings in force. LoseAnswers and LateAppends are what is left of them.
func (s *Store) Settings() Settings {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settings
}

// SetSettings replaces the settings. Requests that hang for an outage look at the new ones.
func (s *Store) SetSettings(settings Settings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settings = settings
	close(s.changed)
	s.changed = make(chan struct{})
}

// Change applies f to the settings in force.
func (s *Store) Change(f func(*Settings)) {
	settings := s.Settings()
	f(&settings)
	s.SetSettings(settings)
}

// Counters returns the counters.
func (s *Store) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// Append implements services.Log.
func (s *Store) Append(ctx context.Context, name string, payload []byte) (uint64, error) {
	s.mu.Lock()
	s.counters.Appends++
	delay := s.faults(name).AppendDelay
	s.mu.Unlock()
	if err := s.admit(ctx, name, delay); err != nil {
		// A caller cannot tell an append that hangs from one that takes effect.
		return 0, s.refuse(err, !errors.Is(err, ErrOutage))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.overLimit(payload); err != nil {
		s.counters.Refused++
		return 0, &services.AppendError{Err: err}
	}
	if s.inScope(name) && take(&s.settings.LateAppends) {
		s.counters.Late++
		time.AfterFunc(s.settings.LateBy, func() { s.storeLate(name, payload) })
		return 0, &services.AppendError{MayBeStored: true, Err: ErrAnswerLost}
	}
	offset := s.store(name, payload)
	if s.inScope(name) && take(&s.settings.LoseAnswers) {
		s.counters.AnswersLost++
		return 0, &services.AppendError{MayBeStored: true, Err: ErrAnswerLost}
	}
	return offset, nil
}

func (s *Store) refuse(err error, mayBeStored bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Refused++
	return &services.AppendError{MayBeStored: mayBeStored, Err: err}
}

// admit waits for the scripted delay and applies the outage in force.
func (s *Store) admit(ctx context.Context, name string, delay time.Duration) error {
	if err := sleep(ctx, delay); err != nil {
		return err
	}
	for {
		s.mu.Lock()
		outage, changed := s.faults(name).Outage, s.changed
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

// faults returns the settings as they apply to the stream. The caller holds mu.
func (s *Store) faults(name string) Settings {
	if s.inScope(name) {
		return s.settings
	}
	return Settings{}
}

func (s *Store) inScope(name string) bool { return strings.HasPrefix(name, s.settings.FaultPrefix) }

// take uses up one of a number of scripted faults; a number below 0 never runs out.
func take(n *int) bool {
	if *n == 0 {
		return false
	}
	if *n > 0 {
		*n--
	}
	return true
}

func burst(perSecond int) float64 { return max(1, float64(perSecond)/burstDivisor) }

func (s *Store) overLimit(payload []byte) error {
	if limit := s.settings.MaxRecordBytes; limit > 0 && len(payload) > limit {
		return ErrTooLarge
	}
	rate := s.settings.AppendsPerSecond
	if rate == 0 {
		return nil
	}
	now := time.Now()
	refilled := s.tokens + now.Sub(s.filled).Seconds()*float64(rate)
	s.tokens = min(refilled, burst(rate))
	s.filled = now
	if s.tokens < 1 {
		return ErrRate
	}
	s.tokens--
	return nil
}

func (s *Store) storeLate(name string, payload []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store(name, payload)
}

func (s *Store) stream(name string) *stream {
	st := s.streams[name]
	if st == nil {
		st = &stream{grown: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

func (s *Store) store(name string, payload []byte) uint64 {
	st := s.stream(name)
	record := services.Record{Offset: st.next, Time: time.Now(), Payload: slices.Clone(payload)}
	st.records = append(st.records, record)
	st.next++
	close(st.grown)
	st.grown = make(chan struct{})
	s.counters.Stored++
	s.counters.AppendBytes += int64(len(payload))
	return record.Offset
}
