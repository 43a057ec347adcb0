package admission

import (
	"context"
	"fmt"
	"testing"
)

// benchController returns a controller for 100 active organisations with a limit for each, and one request of
// each organisation.
func benchController(b testing.TB) (*Controller, []Request) {
	l := NewLimiter("i0", DefaultLimitSettings())
	limits := make(map[string]Quota)
	requests := make([]Request, 100)
	for i := range requests {
		name := fmt.Sprint("organisation-", i)
		requests[i] = Request{Organisation: name, PromptTokens: 1000, DecodeTokens: 300}
		limits[name] = Quota{MilliRequests: 1 << 40, Tokens: 1 << 40}
	}
	l.SetLimits(limits)
	c := newController(b, func(s *Settings) {
		s.CapacityTokens = 1 << 30
		s.CapacityRequests = 1 << 20
	}, &fixedPool{others: 1 << 40, members: 75}, l)
	return c, requests
}

func BenchmarkAdmitDone(b *testing.B) {
	c, requests := benchController(b)
	ctx := context.Background()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		g, err := c.Admit(ctx, requests[i%len(requests)])
		if err != nil {
			b.Fatal(err)
		}
		g.Done()
	}
}

func BenchmarkProgress(b *testing.B) {
	c, requests := benchController(b)
	g, err := c.Admit(context.Background(), requests[0])
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		g.Progress(0, 1)
	}
}

func BenchmarkRefuseOverBound(b *testing.B) {
	c, requests := benchController(b)
	c.pool = &fixedPool{members: 75}
	if _, err := c.Admit(context.Background(), requests[0]); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Admit(context.Background(), requests[1]); err == nil {
			b.Fatal("request over the load bound was granted")
		}
	}
}

// Admission must allocate nothing but the grant. Further allocations for each request would make the control
// overhead grow with the load.
func TestAdmissionAllocatesOnlyGrant(t *testing.T) {
	c, requests := benchController(t)
	ctx := context.Background()
	for _, r := range requests {
		g, err := c.Admit(ctx, r)
		if err != nil {
			t.Fatal(err)
		}
		g.Done()
	}
	got := testing.AllocsPerRun(1000, func() {
		g, _ := c.Admit(ctx, requests[0])
		g.Progress(1000, 10)
		g.Done()
	})
	if got > 1 {
		t.Fatalf("%v allocations per request, want at most 1", got)
	}
}
