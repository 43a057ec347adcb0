package claim

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"jacinthfork.example/jacinthfork/claim/claimpb"
)

// testEntries returns the claim of one key and, with a response size of 0 or more, its outcome.
func testEntries(n, responseSize int) []*claimpb.Entry {
	key := hashFields(fmt.Sprint("key", n))
	nonce := hashFields(fmt.Sprint("nonce", n))
	claim := &claimpb.Claim{
		Organisation: []byte("a-typical-organisation"), Method: []byte("POST"), Path: []byte("/v2/print-orders"),
		IdempotencyKey: keyAt(time.Now(), uint16(n)), Fingerprint: key[:], Instance: "pedidos-sidecar-07", Incarnation: 1,
	}
	out := []*claimpb.Entry{claimpb.NewEntry(key[:], nonce, &claimpb.Entry_Claim{Claim: claim})}
	if responseSize >= 0 {
		o := &claimpb.Outcome{Verdict: claimpb.Outcome_RAN, Status: 201, Body: make([]byte, responseSize)}
		o.Headers = []*claimpb.Header{{Name: []byte("Content-Type"), Value: []byte("application/json")}}
		out = append(out, claimpb.NewEntry(key[:], nonce, &claimpb.Entry_Outcome{Outcome: o}))
	}
	return out
}

func testPayload(n, responseSize int) []byte {
	p, _ := proto.Marshal(&claimpb.Batch{Entries: testEntries(n, responseSize)})
	return p
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkViewHeap measures the heap used per key of a view, and the size that the view accounts for it.
func BenchmarkViewHeap(b *testing.B) {
	const keys = 50_000
	for name, responseSize := range map[string]int{"open-claim": -1, "empty-response": 0, "response-1KiB": 1024} {
		b.Run(name, func(b *testing.B) {
			var used, accounted float64
			for b.Loop() {
				before := heapBytes()
				v := newView()
				for n := range keys {
					decoded, _ := decode(testPayload(n, responseSize))
					for _, e := range decoded {
						v.apply(e, uint64(n), true)
					}
				}
				used = float64(heapBytes()-before) / keys
				accounted = float64(v.bytes) / keys
				runtime.KeepAlive(v)
			}
			b.ReportMetric(used, "heap-B/key")
			b.ReportMetric(accounted, "accounted-B/key")
			b.ReportMetric(float64(len(testPayload(1, responseSize))), "log-B/key")
		})
	}
}

// BenchmarkColdStart measures the first action of a sidecar that has no streams in memory, with 24 hours of
// claims in the log. all-streams reads all of them, as a sidecar without time buckets would have to.
func BenchmarkColdStart(b *testing.B) {
	const (
		rate         = 10 // actions per second
		responseSize = 256
	)
	log := newMemLog()
	svc := &countingService{}
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
		log.store(filler.layout.streamName(n%opts.Partitions, filler.layout.bucket(at)), testPayload(n, responseSize))
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
				s, _ := k.acquireStream(name)
				if err := s.load(b.Context()); err != nil {
					b.Fatal(err)
				}
			}
			action := testAction(1, "pay")
			action.Key = keyAt(now, uint16(b.N))
			action.Path = fmt.Sprint(bytes, time.Now().UnixNano())
			if _, _, err := runWithTimeout(k, time.Minute, action, svc); err != nil {
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

// BenchmarkRun measures the CPU time of one action with a log that responds immediately.
func BenchmarkRun(b *testing.B) {
	opts := testOptions(newMemLog(), "a")
	opts.MaxMemory, opts.OutcomeDelay, opts.MaxPending = 4<<30, -1, 1<<30
	k, err := New(opts)
	if err != nil {
		b.Fatal(err)
	}
	defer k.Close()
	svc := &countingService{}
	action := testAction(1, "pay")
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		action.Path = fmt.Sprint("/print/", n)
		if _, _, err := runWithTimeout(k, time.Minute, action, svc); err != nil {
			b.Fatal(err)
		}
	}
}
