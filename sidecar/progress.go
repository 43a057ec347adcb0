package sidecar

import (
	"context"
	"sync"
	"time"
)

// progressEstimator measures the token timing of streamed responses and estimates from it the progress of
// responses that are not streamed, so that their load decreases while they run. It is safe for concurrent
// use.
type progressEstimator struct {
	mu sync.Mutex
	// firstTokenTime (time to first token) and tokenInterval (time between tokens) are exponential moving
	// averages. They are 0 until a response was streamed.
	firstTokenTime, tokenInterval time.Duration
}

// smoothingFactor is the weight of a new sample in the moving averages.
const smoothingFactor = 0.1

// estimateInterval is the interval at which the progress of a response that is not streamed is estimated.
const estimateInterval = 50 * time.Millisecond

// observe adds a sample: the time to the first token of a response, or between two tokens.
func (p *progressEstimator) observe(gap time.Duration, first bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	average := &p.tokenInterval
	if first {
		average = &p.firstTokenTime
	}
	if *average == 0 {
		*average = gap
		return
	}
	*average += time.Duration(smoothingFactor * float64(gap-*average))
}

// tokens returns the estimated number of tokens that follow the first one after the given run time, or -1
// while the prompt is being processed or there are no samples.
func (p *progressEstimator) tokens(elapsed time.Duration) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.firstTokenTime == 0 || p.tokenInterval == 0 || elapsed < p.firstTokenTime {
		return -1
	}
	return int((elapsed - p.firstTokenTime) / p.tokenInterval)
}

// estimate reports the estimated progress of a run to its grant until ctx ends.
func (p *progressEstimator) estimate(ctx context.Context, g *grant) {
	start := time.Now()
	reported := 0
	for sleep(ctx, estimateInterval) {
		for tokens := p.tokens(time.Since(start)); reported <= tokens; reported++ {
			g.Progress()
		}
	}
}
