// Package burn measures service-level objectives. Each router has a Recorder that counts good and
// bad events per objective and organisation over several windows; a Report sums the counts of all
// routers and computes how fast the error budget is used up.
package burn

import "time"

// Objective names a service-level objective.
type Objective string

// Objectives.
const (
	// FirstToken is met by a streamed chat whose first token comes within FirstTokenLimit.
	FirstToken Objective = "first_token"
	// BetweenTokens is met by a token that follows the one before within BetweenTokensLimit.
	BetweenTokens Objective = "between_tokens"
	// WholeAnswer is met by a request that gets its complete response.
	WholeAnswer Objective = "whole_answer"
)

const (
	// FirstTokenLimit is the longest time from the arrival of a request to its first token.
	FirstTokenLimit = 1200 * time.Millisecond
	// BetweenTokensLimit is the longest time between two tokens of one stream.
	BetweenTokensLimit = 31 * time.Millisecond
	// Target is the share of events that must be good, for each objective.
	Target = 0.95
)

// Objectives are all objectives in the order of reports.
var Objectives = [...]Objective{FirstToken, BetweenTokens, WholeAnswer}

// Limit returns the time limit of the objective, 0 for none.
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

// Window is a period that counts are kept for.
type Window struct {
	Name   string
	Length time.Duration
	// buckets is the number of parts that the window is forgotten in.
	buckets int
}

// Windows are all windows, shortest first. Short ones show a sudden failure, long ones a slow loss.
var Windows = [...]Window{
	{"5m", 5 * time.Minute, 10},
	{"1h", time.Hour, 12},
	{"6h", 6 * time.Hour, 12},
	{"3d", 72 * time.Hour, 12},
}

// bucketLength is the time that one bucket covers.
func (w Window) bucketLength() time.Duration { return w.Length / time.Duration(w.buckets) }

// Count holds events of one objective in one window.
type Count struct {
	Good uint64 `json:"good"`
	Bad  uint64 `json:"bad"`
}

// Rate returns the speed at which the error budget is used: 1 uses it up exactly at the end of the
// window, 0 means no bad events or no events at all.
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
