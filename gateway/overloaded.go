package gateway

import (
	"context"
	"math"
	"strconv"
	"time"

	"jacinthfork.example/jacinthfork/gateway/overload"
	"jacinthfork.example/jacinthfork/verdict"
)

// logOverloadedWindow is the time without a refusal after which a gateway no longer counts as overloaded in the log.
const logOverloadedWindow = time.Second

// sampleDelay measures the scheduling delay until ctx is done.
func (g *Gateway) sampleDelay(ctx context.Context) {
	for begin := time.Now(); sleep(ctx, overload.SampleInterval); begin = time.Now() {
		waitInRunQueue()
		now := time.Now()
		g.overload.Observe(now, now.Sub(begin)-overload.SampleInterval)
	}
}

// waitInRunQueue returns once a goroutine that joins the end of the run queue has run. A goroutine that a timer wakes goes
// ahead of the queue: with 50 ms of work in it, a sleep alone ends 0.02 ms late.
func waitInRunQueue() {
	ran := make(chan struct{})
	go func() { close(ran) }()
	// The newest goroutine goes ahead of the queue, and moves the one before it to the end.
	go func() {}()
	<-ran
}

// refuseOverloaded responds to a request if the process has no processor time for it, before its body is read, and reports
// whether it did. Otherwise the request counts as in progress until overload.Done is called.
func (s *requestState) refuseOverloaded() bool {
	accepted, retryAfter := s.g.overload.Admit(time.Now(), s.priority, s.organisation)
	if accepted {
		return false
	}
	s.g.metrics.overloadRefusals.Add(strconv.Itoa(s.priority), 1)
	s.rejectBeforeBody(unavailable(verdict.ReasonOverCapacity, "the router is short of processor time", retryAfter))
	return true
}

// logOverload logs when requests begin and cease to be refused for want of processor time.
func (g *Gateway) logOverload() {
	state := g.overload.State()
	overloaded := !state.RefusedAt.IsZero() && time.Since(state.RefusedAt) < logOverloadedWindow
	if overloaded == g.overloaded {
		return
	}
	g.overloaded = overloaded
	g.log.Info("router overloaded", "refused", overloaded, "delay_ms", state.Delay.Milliseconds(),
		"refused_share", math.Round(100*state.Share)/100, "max_delay_ms", state.MaxDelay.Milliseconds())
}
