package gateway

import (
	"math"
	"time"

	"jacinthfork.example/jacinthfork/gateway/peer/peerpb"
	"jacinthfork.example/jacinthfork/gateway/pool"
)

func encodeOutcome(o pool.Outcome) peerpb.Outcome {
	switch o {
	case pool.Served:
		return peerpb.Outcome_SERVED
	case pool.Broken:
		return peerpb.Outcome_BROKEN
	case pool.Errored:
		return peerpb.Outcome_ERRORED
	case pool.Unreachable:
		return peerpb.Outcome_UNREACHABLE
	case pool.Replaced:
		return peerpb.Outcome_REPLACED
	case pool.Refused:
		return peerpb.Outcome_NOT_RUN
	default:
		return peerpb.Outcome_UNKNOWN
	}
}

// mayHaveRun reports whether the instance may have run a request that has ended.
func mayHaveRun(o peerpb.Outcome) bool {
	switch o {
	case peerpb.Outcome_UNREACHABLE, peerpb.Outcome_REPLACED, peerpb.Outcome_NOT_RUN:
		return false
	default:
		return true
	}
}

func decodeOutcome(o peerpb.Outcome) pool.Outcome {
	switch o {
	case peerpb.Outcome_SERVED:
		return pool.Served
	case peerpb.Outcome_BROKEN:
		return pool.Broken
	case peerpb.Outcome_ERRORED:
		return pool.Errored
	case peerpb.Outcome_UNREACHABLE:
		return pool.Unreachable
	case peerpb.Outcome_REPLACED:
		return pool.Replaced
	default:
		return pool.Abandoned
	}
}

func decodeReservation(node string, r *peerpb.Reserve) *pool.Reservation {
	out := &pool.Reservation{
		Router: node, Sequence: r.GetSequence(), Instance: pool.Key(r.GetInstance()),
		TTL: time.Duration(r.GetTtlMs()) * time.Millisecond, Forced: r.GetForced(),
	}
	for i, id := range r.GetIds()[:min(len(r.GetIds()), len(r.GetTokens()))] {
		out.Parts = append(out.Parts, pool.PromptPart{ID: id, Tokens: int(r.GetTokens()[i])})
	}
	return out
}

func encodeAnswer(sequence uint64, a pool.Answer) *peerpb.Reserved {
	out := &peerpb.Reserved{
		Sequence: sequence, Granted: a.Granted, Unknown: a.Unknown,
		CachedTokens: uint32(a.CachedTokens), EjectedMs: uint32(a.Ejected.Milliseconds()), RetryAfterMs: uint32(a.RetryAfter.Milliseconds()),
	}
	paced := false
	for _, l := range a.Loads {
		out.Instances = append(out.Instances, uint32(l.Instance))
		out.Requests = append(out.Requests, uint32(l.Requests))
		paced = paced || l.Pace > 0 || l.Limit > 0
	}
	for _, l := range a.Loads {
		if paced {
			out.Paces = append(out.Paces, uint32(max(0, l.Pace)))
			out.Limits = append(out.Limits, uint32(max(0, l.Limit)))
		}
	}
	return out
}

func decodeAnswer(r *peerpb.Reserved) pool.Answer {
	out := pool.Answer{
		Granted: r.GetGranted(), Unknown: r.GetUnknown(),
		CachedTokens: int(r.GetCachedTokens()), Ejected: time.Duration(r.GetEjectedMs()) * time.Millisecond,
		RetryAfter: time.Duration(r.GetRetryAfterMs()) * time.Millisecond,
	}
	for i, key := range r.GetInstances()[:min(len(r.GetInstances()), len(r.GetRequests()))] {
		load := pool.KeeperLoad{Instance: pool.Key(key), Requests: int(r.GetRequests()[i])}
		if i < len(r.GetPaces()) && i < len(r.GetLimits()) {
			load.Pace, load.Limit = int(r.GetPaces()[i]), int(r.GetLimits()[i])
		}
		out.Loads = append(out.Loads, load)
	}
	return out
}

// encodeObservation returns nil if nothing was observed. instance is 0 if the message around it names the instance.
func encodeObservation(instance pool.Key, o pool.Observation) *peerpb.Observation {
	if o == (pool.Observation{}) {
		return nil
	}
	return &peerpb.Observation{
		Instance: uint32(instance), Responses: uint32(o.Responses), Ratio: uint32(math.Round(o.Ratio * 100)),
		AgeMs: uint32(max(0, o.Age.Milliseconds())), Pace: uint32(o.Pace),
	}
}

func decodeObservation(o *peerpb.Observation) pool.Observation {
	return pool.Observation{
		Responses: int(o.GetResponses()), Ratio: float64(o.GetRatio()) / 100,
		Age: time.Duration(o.GetAgeMs()) * time.Millisecond, Pace: int(o.GetPace()),
	}
}

// decisionLabel returns the label under which a decision about another router's reservation is counted.
func decisionLabel(forced, granted bool) string {
	switch {
	case forced:
		return "forced"
	case granted:
		return "granted"
	default:
		return "refused"
	}
}
