package demo

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"jacinthfork.example/jacinthfork/sidecar"
)

// controlBudget is the target for the control traffic of one node in bytes per second.
const controlBudget = 5000

// defaultIntervals returns the default intervals of the daemons.
func defaultIntervals() Intervals {
	s := sidecar.DefaultSettings()
	return Intervals{List: s.ListInterval, Exchange: s.ExchangeInterval, Settle: s.Suspects.Settle}
}

// BenchmarkControlTraffic measures the control traffic of a node with the default intervals, for an idle fleet
// and at the target rate of 12 requests per second and router. It runs in real time and is not part of CI.
func BenchmarkControlTraffic(b *testing.B) {
	for _, size := range []Size{{2, 2, 1}, {4, 8, 1}, {8, 32, 1}, {8, 64, 1}} {
		for _, rate := range []int{0, 12} {
			b.Run(fmt.Sprintf("routers=%d/engines=%d/rate=%d", size.Routers, size.Engines, rate), func(b *testing.B) {
				for b.Loop() {
					measureControlTraffic(b, size, rate)
				}
			})
		}
	}
}

const (
	warmUpTime  = 8 * time.Second
	measureTime = 12 * time.Second
)

func measureControlTraffic(b *testing.B, size Size, rate int) {
	options := DefaultOptions()
	options.Size, options.Intervals = size, defaultIntervals()
	fleet, err := Start(options)
	if err != nil {
		b.Fatal(err)
	}
	defer fleet.Close()
	ctx, cancel := context.WithTimeout(context.Background(), warmUpTime+measureTime+10*time.Second)
	defer cancel()
	if err := fleet.WaitReady(ctx); err != nil {
		b.Fatal(err)
	}
	go fleet.sendAtRate(ctx, rate)
	time.Sleep(warmUpTime)
	routers, sidecars, cpu := fleet.controlBytes(), fleet.sidecarControlBytes(), cpuTime()
	time.Sleep(measureTime)
	perRouter := float64(fleet.controlBytes()-routers) / measureTime.Seconds() / float64(size.Routers)
	perSidecar := float64(fleet.sidecarControlBytes()-sidecars) / measureTime.Seconds() / float64(len(fleet.Sidecars))
	b.ReportMetric(perRouter, "B/s/router")
	b.ReportMetric(perSidecar, "B/s/sidecar")
	b.ReportMetric(100*float64(cpuTime()-cpu)/float64(measureTime), "%core/all")
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	b.ReportMetric(float64(memory.Sys)/(1<<20), "MB/all")
	if perRouter > controlBudget || perSidecar > controlBudget {
		b.Errorf("control traffic of %.0f B/s per router and %.0f B/s per sidecar exceeds %d B/s", perRouter, perSidecar, controlBudget)
	}
}

// sendAtRate sends rate requests per second to each router.
func (f *Fleet) sendAtRate(ctx context.Context, rate int) {
	if rate == 0 {
		return
	}
	c, stats := newClient(), &callerStats{}
	defer c.close()
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	for n := 0; ctx.Err() == nil; n++ {
		for i, r := range f.Routers {
			body := ChatRequest{Model: ModelPool, MaxTokens: 64, Stream: true, Messages: []Message{
				{Role: "system", Content: document(fmt.Sprint("guide", (n+i)%64))}, {Role: "user", Content: fmt.Sprint("q", n, i)},
			}}
			go func() {
				response, err := c.chat(ctx, r.Address(), "org", "", body)
				if ctx.Err() == nil {
					stats.recordChat(body, response, err, 0)
				}
			}()
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
}

func (f *Fleet) sidecarControlBytes() int64 {
	total := int64(0)
	for _, s := range f.Sidecars {
		total += s.ControlBytes()
	}
	return total
}

// cpuTime returns the CPU time used by the process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
