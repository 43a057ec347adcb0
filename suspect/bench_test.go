package suspect

import (
	"fmt"
	"testing"
)

// BenchmarkStartFinish measures Check, Start and Finish of a clean request in a pool of 75 instances.
func BenchmarkStartFinish(b *testing.B) {
	members := make([]string, 75)
	for i := range members {
		members[i] = fmt.Sprint("instance-", i)
	}
	table := newTable(b, newClock(), DefaultSettings(), members[0], members)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		r := Request{Fingerprint: uint64(i), Group: uint64(i)}
		table.Check(r)
		if run, _ := table.Start(r, false); run != nil {
			table.Finish(run, true)
		}
	}
}

// BenchmarkFingerprint measures the hash of a request body of 64 KiB.
func BenchmarkFingerprint(b *testing.B) {
	body := []byte(`{"model":"m","messages":[{"role":"user","content":"` + fmt.Sprintf("%065536d", 1) + `"}]}`)
	b.SetBytes(int64(len(body)))
	b.ReportAllocs()
	for b.Loop() {
		Fingerprint("organisation", body)
	}
}
