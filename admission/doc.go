// Package admission decides whether a sidecar hands a request to its engine or plain service now,
// later or not at all. Work is counted in tokens: prompt tokens that are not cached plus expected
// decode tokens, reduced while the prompt is processed and tokens are streamed.
//
// # Load bound
//
// The statement that holds exactly, at the instant of each grant and without rounding:
//
//	nothing else was in flight, or own + work <= OneRequestTokens, or
//	(own + work) * members * 100 <= FactorPercent * (total + work), or
//	Request.AtMean is set and own * members <= total + work
//
// With m = (total + work) / members, the load after a grant is at most
// max(work, OneRequestTokens, FactorPercent/100 * m, m + work). The third line lets an engine that is not above the
// mean take one more request after every instance has refused it by the first two. That happens only
// while one request is larger than the room between mean and bound; without it a pool whose mean is a
// few requests could not grow.
//
// where own is the counted work in flight here, work is the work of the request, and total and
// members come from Pool.Mean(own). It says nothing about the time after the grant: when the other
// engines finish their work the mean falls and this engine can be above it until it finishes, too.
// An engine with nothing in flight always admits one request, so a request larger than the mean
// can run. A running request counts for at least one token, so "nothing in flight" and "no work"
// are the same. In a pool of one member the bound always holds. A stale member must be counted by
// the Pool as a member with zero load, which lowers the bound and never raises it.
//
// The own count alone enters total. Engine reports can make the bound stricter, never looser; see
// Controller.Report.
//
// # Order of checks
//
// leaving, not ready, deadline, isolation, load bound, limit of the organisation, capacity. Work that
// does not fit the capacity waits in a bounded queue shared fairly among organisations. All refusals
// are *verdict.Error with verdict.NotRun.
package admission
