package claim

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"jacinthfork.example/jacinthfork/claim/claimpb"
	"jacinthfork.example/jacinthfork/services"
)

var errOutage = errors.New("log service is down")

// memLog is an in-memory services.Log. The fields of the second group inject faults.
type memLog struct {
	mu      sync.Mutex
	streams map[string]*memStream
	changed chan struct{}
	appends int
	reads   int
	bytes   int

	// latency is the time that each append and read takes.
	latency time.Duration
	// down makes all operations fail without effect.
	down bool
	// readsDown makes only reads fail.
	readsDown bool
	// loseReplies is the number of next appends that are stored but reported as unknown.
	loseReplies int
	// loseAppends is the number of next appends that are not stored and reported as unknown.
	loseAppends int
	// retention is the age above which records expire; 0 keeps all records.
	retention time.Duration
}

type memStream struct {
	earliest uint64
	records  []services.Record
}

func newMemLog() *memLog {
	return &memLog{streams: make(map[string]*memStream), changed: make(chan struct{})}
}

func (l *memLog) Append(ctx context.Context, stream string, payload []byte) (uint64, error) {
	if !sleep(ctx, l.latency) {
		return 0, &services.AppendError{MayBeStored: true, Err: ctx.Err()}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	if l.down {
		return 0, &services.AppendError{Err: errOutage}
	}
	if l.loseAppends > 0 {
		l.loseAppends--
		return 0, &services.AppendError{MayBeStored: true, Err: errOutage}
	}
	offset := l.store(stream, payload)
	if l.loseReplies > 0 {
		l.loseReplies--
		return 0, &services.AppendError{MayBeStored: true, Err: errOutage}
	}
	return offset, nil
}

// store appends a record. mu must be held.
func (l *memLog) store(stream string, payload []byte) uint64 {
	s := l.streams[stream]
	if s == nil {
		s = new(memStream)
		l.streams[stream] = s
	}
	offset := s.earliest + uint64(len(s.records))
	s.records = append(s.records, services.Record{Offset: offset, Time: time.Now(), Payload: payload})
	l.bytes += len(payload)
	close(l.changed)
	l.changed = make(chan struct{})
	return offset
}

func (l *memLog) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (services.Page, error) {
	if !sleep(ctx, l.latency) {
		return services.Page{}, ctx.Err()
	}
	expired := time.After(wait)
	for {
		l.mu.Lock()
		l.reads++
		page, changed, down := l.page(stream, from, limit), l.changed, l.down || l.readsDown
		l.mu.Unlock()
		if down {
			return services.Page{}, errOutage
		}
		if len(page.Records) > 0 || wait == 0 {
			return page, nil
		}
		select {
		case <-changed:
		case <-expired:
			return page, nil
		case <-ctx.Done():
			return services.Page{}, ctx.Err()
		}
	}
}

func (l *memLog) page(stream string, from uint64, limit int) services.Page {
	s := l.streams[stream]
	if s == nil {
		return services.Page{}
	}
	l.expire(s)
	page := services.Page{Earliest: s.earliest, Next: s.earliest + uint64(len(s.records))}
	for _, r := range s.records {
		if r.Offset >= from && len(page.Records) < limit {
			page.Records = append(page.Records, r)
		}
	}
	return page
}

func (l *memLog) expire(s *memStream) {
	for l.retention > 0 && len(s.records) > 0 && time.Since(s.records[0].Time) > l.retention {
		s.earliest++
		s.records = s.records[1:]
	}
}

// update calls f with the lock held.
func (l *memLog) update(f func(l *memLog)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l)
}

func releasePayload(key, nonce id) []byte {
	e := claimpb.NewEntry(key[:], nonce, &claimpb.Entry_Release{Release: &claimpb.Release{}})
	payload, _ := proto.Marshal(&claimpb.Batch{Entries: []*claimpb.Entry{e}})
	return payload
}
