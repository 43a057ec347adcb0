// Package burn measures service-level objectives. Each router has a Recorder that counts good and bad events
// per objective and organisation over several windows; a Report aggregates the counts of all routers and
// computes the burn rate of each error budget.
package burn

import "time"

// Objective is the name of a service-level objective.
type Objective string

// Service-level objectives.
const (
	// FirstToken is met by a streamed chat whose first token arrives within FirstTokenLimit.
	FirstToken Objective = "first_token"
	// BetweenTokens is met by a token that arrives within BetweenTokensLimit of the previous one.
	BetweenTokens Objective = "between_tokens"
	// WholeAnswer is met by a request that receives its complete response.
	WholeAnswer Objective = "whole_answer"
)

const (
	// FirstTokenLimit is the maximum time from the arrival of a request to its first token.
	FirstTokenLimit = 1200 * time.Millisecond
	// BetweenTokensLimit is the maximum time between consecutive tokens of a stream.
	BetweenTokensLimit = 31 * time.Millisecond
	// Target is the fraction of events that must be good, for every objective.
	Target = 0.95
)

// Objectives lists all objectives in report order.
var Objectives = [...]Objective{FirstToken, BetweenTokens, WholeAnswer}

// Limit returns the time limit of the objective, or 0 if it has none.
func (o Objective) Limit() time.Duration {
	switch o {
	case FirstToken:
		return FirstTokenLimit
	case BetweenTokens:
		return BetweenTokensLimit
	}
	return 0
}

func (o Objective) index() int {
	for i, known := range Objectives {
		if o == known {
			return i
		}
	}
	return -1
}

// Window is a sliding time window over which events are counted.
type Window struct {
	Name   string
	Length time.Duration
	// buckets is the number of equal parts of the window. Events expire one bucket at a time.
	buckets int
}

// Windows lists all windows, shortest first. Short windows reveal a sudden failure, long ones a slow burn.
var Windows = [...]Window{
	{"5m", 5 * time.Minute, 10},
	{"1h", time.Hour, 12},
	{"6h", 6 * time.Hour, 12},
	{"3d", 72 * time.Hour, 12},
}

// bucketLength returns the time covered by one bucket.
func (w Window) bucketLength() time.Duration { return w.Length / time.Duration(w.buckets) }

// Count is the number of good and bad events of one objective in one window.
type Count struct {
	Good uint64 `json:"good"`
	Bad  uint64 `json:"bad"`
}

// Rate returns the burn rate of the error budget. At 1 the budget is used up exactly at the end of the window;
// 0 means no bad events or no events at all.
func (c Count) Rate() float64 {
	total := c.Good + c.Bad
	if total == 0 {
		return 0
	}
	return float64(c.Bad) / float64(total) / (1 - Target)
}

func (c *Count) add(other Count) {
	c.Good += other.Good
	c.Bad += other.Bad
}
