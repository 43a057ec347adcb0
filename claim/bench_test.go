package claim

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"jacinthfork.example/jacinthfork/claim/claimpb"
)

// entries returns the claim and, with an answer size of 0 or more, the outcome of one key.
func entries(n, answer int) []*claimpb.Entry {
	key := hashFields(fmt.Sprint("key", n))
	nonce := hashFields(fmt.Sprint("nonce", n))
	claim := &claimpb.Claim{
		Organisation: []byte("a-typical-organisation"), Method: []byte("POST"), Path: []byte("/v2/print-orders"),
		IdempotencyKey: keyAt(time.Now(), uint16(n)), Fingerprint: key[:], Instance: "pedidos-sidecar-07", Incarnation: 1,
	}
	out := []*claimpb.Entry{claimpb.NewEntry(key[:], nonce, &claimpb.Entry_Claim{Claim: claim})}
	if answer >= 0 {
		o := &claimpb.Outcome{Verdict: claimpb.Outcome_RAN, Status: 201, Body: make([]byte, answer)}
		o.Headers = []*claimpb.Header{{Name: []byte("Content-Type"), Value: []byte("application/json")}}
		out = append(out, claimpb.NewEntry(key[:], nonce, &claimpb.Entry_Outcome{Outcome: o}))
	}
	return out
}

func payload(n, answer int) []byte {
	p, _ := proto.Marshal(&claimpb.Batch{Entries: entries(n, answer)})
	return p
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkMemory measures the heap for each key of a view, next to what the view accounts for it.
func BenchmarkMemory(b *testing.B) {
	const keys = 50_000
	for name, answer := range map[string]int{"held-claim": -1, "empty-answer": 0, "answer-1KiB": 1024} {
		b.Run(name, func(b *testing.B) {
			var used, accounted float64
			for b.Loop() {
				before := heap()
				v := newView()
				for n := range keys {
					decoded, _ := decode(payload(n, answer))
					for _, e := range decoded {
						v.apply(e, uint64(n), true)
					}
				}
				used = float64(heap()-before) / keys
				accounted = float64(v.bytes) / keys
				runtime.KeepAlive(v)
			}
			b.ReportMetric(used, "heap-B/key")
			b.ReportMetric(accounted, "accounted-B/key")
			b.ReportMetric(float64(len(payload(1, answer))), "log-B/key")
		})
	}
}

// BenchmarkFreshSidecar measures the first action of a sidecar that has nothing in memory, with 24
// hours of claims in the log. all-streams reads them all, as a sidecar without buckets would.
func BenchmarkFreshSidecar(b *testing.B) {
	const (
		rate   = 10 // actions a second
		answer = 256
	)
	log := newMemLog()
	svc := &service{}
	opts := testOptions(log, "fresh")
	opts.MaxMemory = 4 << 30
	filler, err := New(opts)
	if err != nil {
		b.Fatal(err)
	}
	now := time.Now().Truncate(opts.Bucket).Add(opts.Bucket - time.Second)
	opts.Now = func() time.Time { return now }
	for n := range rate * 86400 {
		at := now.Add(-time.Duration(n) * time.Second / rate)
		log.store(filler.layout.name(n%opts.Partitions, filler.layout.bucket(at)), payload(n, answer))
	}
	filler.Close()
	first := func(b *testing.B, streams []string) {
		bytes := 0
		for b.Loop() {
			k, err := New(opts)
			if err != nil {
				b.Fatal(err)
			}
			for _, name := range streams {
				s, _ := k.acquire(name)
				if err := s.load(b.Context()); err != nil {
					b.Fatal(err)
				}
			}
			action := testAction(1, "pay")
			action.Key = keyAt(now, uint16(b.N))
			action.Path = fmt.Sprint(bytes, time.Now().UnixNano())
			if _, _, err := within(k, time.Minute, action, svc); err != nil {
				b.Fatal(err)
			}
			bytes = 0
			for name := range k.streams {
				for _, r := range log.streams[name].records {
					bytes += len(r.Payload)
				}
			}
			k.Close()
		}
		b.ReportMetric(float64(bytes), "read-B")
	}
	var all []string
	for name := range log.streams {
		all = append(all, name)
	}
	b.Run("one-stream", func(b *testing.B) { first(b, nil) })
	b.Run("all-streams", func(b *testing.B) { first(b, all) })
}

// BenchmarkRun measures the processor time of one action with a log that answers at once.
func BenchmarkRun(b *testing.B) {
	opts := testOptions(newMemLog(), "a")
	opts.MaxMemory, opts.OutcomeDelay, opts.MaxPending = 4<<30, -1, 1<<30
	k, err := New(opts)
	if err != nil {
		b.Fatal(err)
	}
	defer k.Close()
	svc := &service{}
	action := testAction(1, "pay")
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		action.Path = fmt.Sprint("/print/", n)
		if _, _, err := within(k, time.Minute, action, svc); err != nil {
			b.Fatal(err)
		}
	}
}
