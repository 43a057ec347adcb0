// Package claim runs a non-idempotent action at most once. The order of records in the platform's
// append-only log decides which holder may run it.
//
// # Protocol
//
// The scope of a key is organisation, pool, method, path and key. Its records go to one stream,
// chosen by pool, hash partition and time bucket of the key. Before it dispatches an action, a
// holder appends a claim with a random nonce and reads every record below it. It dispatches only
// if its claim is the lowest one of the key that was not released. A claim never lapses and is
// never taken over: if its holder vanishes, the outcome stays unknown for good.
//
// An append whose answer was lost is settled by reading the stream and by appending the same nonce
// again; the lowest copy counts. A holder that cannot confirm its claim before the deadline decides
// never to dispatch it and appends a release of the nonce. A release is valid at any offset, also
// below the claim, because the holder of a released nonce never dispatches it.
//
// # Verdicts
//
// A not-run verdict is about the request: it was not dispatched, or the plain service proved that
// it did not run it, and this request never will. Whenever the records are known, the verdict also
// holds for the key: a key that another request is running or has run gives unknown or ran. Only
// when the stream could not be read (ReasonLogUnavailable, or ReasonDeadline or ReasonCancelled
// before the claim) can an earlier request with the same key have run, and the caller
// must repeat with the same key. An expired key and a stream that lost records give unknown, because
// the record of an earlier run may be gone.
//
// # Clocks
//
// The time in a UUIDv7 key comes from the caller's clock. A caller whose clock is wrong by more than
// Window or Skew gets every key refused. A wrong clock cannot cause a second run: the time selects
// the stream, equal keys have equal times and so the same stream, and the window is checked against
// the sidecar's clock, not against another statement of the caller. The sidecars' clocks and
// the log's must differ by at most ClockError. Independently of all clocks, a stream whose earliest
// offset is above 0 has lost records and refuses every key.
//
// # Layout
//
// Partitions and bucket length select the stream of a key, so two sidecars with different values
// could both run it. A record in the layout stream of the pool prevents that, see layoutGuard. The
// layout must not change while Window has not passed since the last action; a sidecar with another
// layout refuses with ReasonNotReady until the old record has expired.
//
// # Appends
//
// Entries that are queued for one stream while an append is in flight share the next one. Several
// streams do not share an append, because the log orders records only within a stream: sharing
// would mean fewer partitions, and each sidecar would read and keep the records of more keys that
// it never serves. Routers get the same effect by sending equal partitions to equal sidecars, see
// Layout.Stream.
//
// Related reading: "Idempotency keys in payment APIs: the patterns that actually prevent double
// charges", for the fingerprint of the body, the reservation before the call, the replay of the
// original status and the acceptance window. docs/measurements/claims.md has the figures.
package claim
