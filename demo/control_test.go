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

// controlBudget is the target for control traffic of one node in bytes per second.
const controlBudget = 5000

// productionPace holds the defaults of the daemons.
func productionPace() Pace {
	s := sidecar.DefaultSettings()
	return Pace{List: s.ListInterval, Exchange: s.ExchangeInterval, Settle: s.Suspects.Settle}
}

// BenchmarkControl measures what a node spends on control at rest and at the target's 12 requests a
// second on each router, with the default intervals. It needs real time and is not part of CI.
func BenchmarkControl(b *testing.B) {
	for _, size := range []Size{{2, 2, 1}, {4, 8, 1}, {8, 32, 1}, {8, 64, 1}} {
		for _, rate := range []int{0, 12} {
			b.Run(fmt.Sprintf("routers=%d/engines=%d/rate=%d", size.Routers, size.Engines, rate), func(b *testing.B) {
				for b.Loop() {
					measureControl(b, size, rate)
				}
			})
		}
	}
}

const (
	settleTime  = 8 * time.Second
	measureTime = 12 * time.Second
)

func measureControl(b *testing.B, size Size, rate int) {
	options := DefaultOptions()
	options.Size, options.Pace = size, productionPace()
	fleet, err := Start(options)
	if err != nil {
		b.Fatal(err)
	}
	defer fleet.Close()
	ctx, cancel := context.WithTimeout(context.Background(), settleTime+measureTime+10*time.Second)
	defer cancel()
	if err := fleet.WaitReady(ctx); err != nil {
		b.Fatal(err)
	}
	go fleet.trickle(ctx, rate)
	time.Sleep(settleTime)
	routers, sidecars, cpu := fleet.controlBytes(), fleet.sidecarControlBytes(), processTime()
	time.Sleep(measureTime)
	perRouter := float64(fleet.controlBytes()-routers) / measureTime.Seconds() / float64(size.Routers)
	perSidecar := float64(fleet.sidecarControlBytes()-sidecars) / measureTime.Seconds() / float64(len(fleet.Sidecars))
	b.ReportMetric(perRouter, "B/s/router")
	b.ReportMetric(perSidecar, "B/s/sidecar")
	b.ReportMetric(100*float64(processTime()-cpu)/float64(measureTime), "%core/all")
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	b.ReportMetric(float64(memory.Sys)/(1<<20), "MB/all")
	if perRouter > controlBudget || perSidecar > controlBudget {
		b.Errorf("control traffic of %.0f and %.0f B/s exceeds %d", perRouter, perSidecar, controlBudget)
	}
}

// trickle sends rate requests a second to each router.
func (f *Fleet) trickle(ctx context.Context, rate int) {
	if rate == 0 {
		return
	}
	c, seen := newClient(), &tally{}
	defer c.close()
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	for n := 0; ctx.Err() == nil; n++ {
		for i, r := range f.Routers {
			body := ChatBody{Model: ModelPool, MaxTokens: 64, Stream: true, Messages: []Message{
				{Role: "system", Content: document(fmt.Sprint("guide", (n+i)%64))}, {Role: "user", Content: fmt.Sprint("q", n, i)},
			}}
			go func() {
				reply, err := c.chat(ctx, r.Address(), "org", "", body)
				if ctx.Err() == nil {
					seen.chat(body, reply, err, 0)
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

// processTime is the processor time of the whole process.
func processTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
