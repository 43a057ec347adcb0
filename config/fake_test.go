package config

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/kernel/journal"
	"jacinthfork.example/jacinthfork/services"
	"jacinthfork.example/jacinthfork/wire"
)

// fakeLog is a log service whose records can expire, whose responses can be lost and which can be
// unavailable.
type fakeLog struct {
	mu       sync.Mutex
	records  []services.Record
	earliest uint64
	down     bool
	// loseAnswers is the number of appends that still return an error although the record was stored.
	loseAnswers int
	// clockBehind is how far the clock of the log service is behind.
	clockBehind time.Duration
	appends     int
	// grown is closed and replaced at each append, to wake readers.
	grown chan struct{}
}

func newFakeLog() *fakeLog { return &fakeLog{grown: make(chan struct{})} }

var errDown = errors.New("log service is unavailable")

func (l *fakeLog) Append(_ context.Context, _ string, payload []byte) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, &services.AppendError{Err: errDown}
	}
	l.appends++
	offset := uint64(len(l.records))
	l.records = append(l.records, services.Record{Offset: offset, Time: time.Now().Add(-l.clockBehind), Payload: payload})
	close(l.grown)
	l.grown = make(chan struct{})
	if l.loseAnswers > 0 {
		l.loseAnswers--
		return 0, &services.AppendError{MayBeStored: true, Err: errDown}
	}
	return offset, nil
}

func (l *fakeLog) page(from uint64, limit int) (services.Page, chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return services.Page{}, nil, errDown
	}
	next := uint64(len(l.records))
	from = min(max(from, l.earliest), next)
	end := min(from+uint64(limit), next)
	return services.Page{Records: l.records[from:end:end], Earliest: l.earliest, Next: next}, l.grown, nil
}

func (l *fakeLog) Read(ctx context.Context, _ string, from uint64, limit int, wait time.Duration) (services.Page, error) {
	page, grown, err := l.page(from, limit)
	if err != nil || len(page.Records) > 0 || wait == 0 {
		return page, err
	}
	select {
	case <-ctx.Done():
		return services.Page{}, ctx.Err()
	case <-time.After(wait):
	case <-grown:
	}
	page, _, err = l.page(from, limit)
	return page, err
}

// locked calls change while holding the mutex.
func (l *fakeLog) locked(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

func newTestStore() *Store {
	return NewStore(slog.New(slog.NewTextHandler(io.Discard, nil)), journal.New(0), kernel.NewCounters())
}

var poolKey = Key{KindPool, "limon-llm", 2}

const poolBody = `{"workload":"model"}`

func setRecord(key Key, base uint64, nonce, body string) *wire.ConfigRecord {
	return &wire.ConfigRecord{
		Operation: wire.ConfigOperation_CONFIG_SET, Kind: string(key.Kind), Name: key.Name,
		Schema: key.Schema, Base: base, Nonce: nonce, Author: "operator", Body: []byte(body),
	}
}

func decodeRecord(payload []byte) *wire.ConfigRecord {
	var r wire.ConfigRecord
	if err := proto.Unmarshal(payload, &r); err != nil {
		panic(err)
	}
	return &r
}
