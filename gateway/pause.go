package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// pauseCheckInterval is how often a router notes that it runs.
	pauseCheckInterval = 50 * time.Millisecond
	// minPause is the time without a note from which on the process counts as paused. Shorter pauses fit in stopMargin.
	minPause = 200 * time.Millisecond
	// noticeDelay is how long after a pause a signal may be noticed that was sent during it.
	noticeDelay = 100 * time.Millisecond
	// minStopTime is what a pause leaves of the grace period.
	minStopTime = time.Second
)

// pauseDetector knows when the process did not run: it was frozen, or had no processor time. A signal that is sent
// meanwhile is noticed only afterwards. It is safe for concurrent use.
type pauseDetector struct {
	mu sync.Mutex
	// ranAt is when the process was last seen to run.
	ranAt time.Time
	// from and until bound the last pause.
	from, until time.Time
	// total is the time of all pauses so far, in ns.
	total atomic.Int64
}

// run notes that the process runs until ctx is done.
func (p *pauseDetector) run(ctx context.Context) {
	for p.note(time.Now()); sleep(ctx, pauseCheckInterval); {
		p.note(time.Now())
	}
}

func (p *pauseDetector) note(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ranAt.IsZero() && now.Sub(p.ranAt) >= minPause {
		p.from, p.until = p.ranAt, now
		p.total.Add(int64(now.Sub(p.ranAt)))
	}
	p.ranAt = now
}

// earliestSignal returns when a signal that was noticed now may have been sent. With a pause of about the grace period or
// longer that is unknown, and the stop keeps minStopTime.
func (p *pauseDetector) earliestSignal(now time.Time, gracePeriod time.Duration) time.Time {
	p.note(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.from.IsZero() || now.Sub(p.until) > noticeDelay {
		return now
	}
	longest := max(0, gracePeriod-minStopTime)
	return now.Add(-min(longest, now.Sub(p.from)))
}
