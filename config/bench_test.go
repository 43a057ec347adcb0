package config

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"jacinthfork.example/jacinthfork/services"
)

// targetOrganisations is the number of organisations that the design targets.
const targetOrganisations = 12000

// targetSizeStore returns a store with targetOrganisations objects.
func targetSizeStore() *Store {
	s := newTestStore()
	page := services.Page{Next: targetOrganisations + 1}
	page.Records = append(page.Records, services.Record{})
	for i := range targetOrganisations {
		key := Key{KindOrganisation, fmt.Sprintf("organisation-%05d", i), 1}
		record := setRecord(key, 0, fmt.Sprintf("nonce-%030d", i), `{"requests_per_second":20,"tokens_in_flight":100000}`)
		page.Records = append(page.Records, services.Record{Offset: uint64(i) + 1, Time: time.Now(), Payload: marshalRecord(record)})
	}
	s.ApplyPage(page)
	return s
}

// BenchmarkStateAtTargetSize measures the memory of the state and the size of a full transfer. The target for
// the whole node is 256 MB, and the state may take a quarter of it.
func BenchmarkStateAtTargetSize(b *testing.B) {
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	s := targetSizeStore()
	runtime.GC()
	runtime.ReadMemStats(&after)
	size := 0
	for _, part := range s.Export(0) {
		size += proto.Size(part)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
	b.ReportMetric(float64(size)/1e6, "transfer-MB")
	if after.HeapAlloc-before.HeapAlloc > 64e6 {
		b.Fatal("the configuration takes more than a quarter of a node's 256 MB")
	}
	runtime.KeepAlive(s)
}

// BenchmarkChangeAtTargetSize measures one change, including the new view.
func BenchmarkChangeAtTargetSize(b *testing.B) {
	s := targetSizeStore()
	key := Key{KindOrganisation, "organisation-00007", 1}
	for b.Loop() {
		base := s.state.objects[key].Revision
		record := services.Record{
			Offset: s.state.asOf, Time: time.Now(), Payload: marshalRecord(setRecord(key, base, "n", `{"weight":2}`)),
		}
		s.ApplyPage(services.Page{Records: []services.Record{record}, Next: record.Offset + 1})
	}
}

// BenchmarkScheduleAtTargetSize measures the check for due restatements, which runs before each read.
func BenchmarkScheduleAtTargetSize(b *testing.B) {
	s := targetSizeStore()
	sched := schedule{retention: 24 * time.Hour, node: "n"}
	now := time.Now()
	for b.Loop() {
		s.restatement(sched, now)
	}
}
