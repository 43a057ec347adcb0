// Package admission decides whether a sidecar dispatches a request to its backend server at once, queues it,
// or refuses it. An engine is a backend server that runs a model; a plain service is any other one. Work is
// counted in tokens: uncached prompt tokens plus expected decode tokens. The count falls as the prompt is
// processed and tokens are streamed. A request to a plain service counts as one token.
//
// # Load bound
//
// At the instant of each grant the following holds exactly, without rounding:
//
//	nothing else was in flight, or own + work <= OneRequestTokens, or
//	(own + work) * members * 100 <= FactorPercent * (total + work), or
//	Request.AtMean is set and own * members <= total + work
//
// where own is the counted work in flight at this engine, work is the work of the request, and total and
// members come from Pool.Mean(own). With m = (total + work) / members, the load after a grant is at most
// max(work, OneRequestTokens, FactorPercent/100 * m, m + work).
//
// The AtMean condition lets an engine that is not above the mean take one more request after every
// instance has refused it under the other conditions. This happens only while a single request is larger
// than the gap between the mean and the bound. Without the condition a pool whose mean is a few requests
// could not grow.
//
// The bound does not cover the time after the grant: when other engines finish their work, the mean falls,
// and this engine can exceed the bound until its own work finishes. An engine with nothing in flight always
// admits one request, so that a request larger than the mean can run. A running request counts for at least
// one token, so zero work means that nothing is in flight. In a pool of one member the bound always holds.
// The Pool must count a stale member as a member with zero load, which lowers the bound and never raises it.
//
// Of this engine only the counted work in flight enters total. Engine reports can make the bound stricter, never looser; see
// Controller.Report.
//
// # Order of checks
//
// leaving, not ready, deadline, isolation, load bound, limit of the organisation, capacity. Work that
// exceeds the capacity waits in a bounded queue that is shared fairly among organisations. Every refusal
// is a *verdict.Error with verdict.NotRun.
package admission
