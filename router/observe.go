package router

import "time"

// objective names a service-level objective.
type objective string

const (
	objectiveFirstToken    objective = "first_token"
	objectiveBetweenTokens objective = "between_tokens"
)

// observe records one measurement for the burn report.
func (r *Router) observe(_ *call, o objective, took time.Duration) {
	r.count.Map("latency_ms_"+string(o)).Add(bucketName(took), 1)
}

// latencyBounds are the upper bounds of the latency buckets.
var latencyBounds = []time.Duration{
	10 * time.Millisecond, 20 * time.Millisecond, 31 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond, 1200 * time.Millisecond,
	2400 * time.Millisecond, 5 * time.Second,
}

func bucketName(took time.Duration) string {
	for _, bound := range latencyBounds {
		if took <= bound {
			return bound.String()
		}
	}
	return "more"
}
