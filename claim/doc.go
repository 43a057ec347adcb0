// Package claim executes a non-idempotent action at most once. The order of records in the platform's
// append-only log decides which sidecar may execute it.
//
// # Protocol
//
// A key is scoped by organisation, pool, method, path and idempotency key. All its records are appended to
// one stream, selected by the pool, hash partition and time bucket of the key. The holder of a claim is the
// sidecar process that appended it, identified by instance and incarnation. Before it dispatches an action,
// it appends a claim with a random nonce and reads every record below the claim's offset. It dispatches only
// if its claim is the lowest unreleased claim of the key. A claim never expires and is never taken over: if
// its holder ends without recording an outcome, the outcome stays unknown permanently.
//
// If the reply to an append is lost, the holder reads the stream and appends the same nonce again; the
// lowest copy counts. A holder that cannot confirm its claim before the deadline decides never to dispatch
// it and appends a release of the nonce. A release is valid at any offset, also below the claim, because the
// holder of a released nonce never dispatches it.
//
// # Verdicts
//
// A not-run verdict is about the request: it was not dispatched, or the backend server proved that it did
// not execute it, and this request will never be executed. If the records of the key are known, the verdict
// also holds for the key: a key that another request is executing or has executed gives unknown or ran, except
// that a request with another body gets not-run with ReasonKeyMismatch. A request that was rejected before the
// stream was read (for example with ReasonLogUnavailable, ReasonOverCapacity, ReasonNotReady or ReasonLeaving,
// or with ReasonDeadline or ReasonCancelled before the claim) proves nothing about earlier requests with the
// same key: one can have run, and the client must retry with the same key. A stream that lost records gives
// unknown, because the record of an earlier execution may be gone. An expired key gives unknown for the same
// reason, unless the log proves that the key was never claimed.
//
// # Clocks
//
// The time in a UUIDv7 key comes from the client's clock. If that clock is wrong by more than Window or
// Skew, all keys of the client are rejected. A wrong client clock cannot cause a second execution: the time
// selects the stream, equal keys have equal times and therefore the same stream, and the acceptance window is
// checked against the sidecar's clock, not against another value from the client. The clocks of the sidecars
// and of the log service must differ by at most ClockError. Independently of all clocks, a stream whose
// earliest offset is above 0 has lost records and rejects every key.
//
// # Layout
//
// The number of partitions and the bucket length select the stream of a key, so two sidecars with different
// values could both execute it. A record in the layout stream of the pool prevents that, see layoutGuard. The
// layout must not change until Window has passed since the last action; a sidecar with another layout rejects
// requests with ReasonNotReady until the old record has expired.
//
// # Group appends
//
// Entries that are queued for one stream while an append is in flight share the next append. Several streams
// do not share an append, because the log orders records only within a stream: sharing would mean fewer
// partitions, and each sidecar would read and store the records of more keys that it never serves. Routers
// get the same effect by sending requests of one stream to the same sidecar, see Layout.Stream.
//
// The fingerprint of the body, the reservation before the call, the replay of the original status and the
// acceptance window are the usual patterns of idempotency keys in payment APIs. The measurements are in
// docs/measurements/claims.md.
package claim
