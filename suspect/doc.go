// Package suspect limits the engines that one request can crash. The sidecar tells a Table what
// starts, what finishes and that its engine crashed; tables exchange their entries as wire.Suspect
// messages.
//
// # States of a fingerprint
//
//   - clean: no crash, or it completed after its crashes. It runs on its exposure set only: the
//     instances in the first ExposureGroup places for its document group, those in the first
//     ExposureFingerprint places for its fingerprint, and the instance named by a placement token.
//   - suspect: it was in flight at a crash. It runs with nothing beside it on one target, the first
//     instance in rendezvous order of the fingerprint over all members, also members that are not
//     ready. It waits for Settle after the suspicion became known to the target.
//   - probation: its crashes are explained by a request that is refused, or older than ExcuseAfter.
//     It runs on the target only, beside others. Age excuses one fingerprint once.
//   - refused: RefuseAfter crashes, at least one of them alone. It does not run in the pool until
//     Retention has passed without a repeat.
//
// A suspect that completes alone, and one in probation that completes, is clean again.
//
// # Engines that one request can cost
//
// A request that crashes every engine that runs it crashes at most
//
//	Settings.MaxEngines() = max(ExposureGroup + ExposureFingerprint + 3, RefuseAfter)
//
// engines within Retention, plus 1 for each of the following events: a crash whose evidence reached
// no other sidecar before the sidecar itself restarted; a change of the target while the request
// runs there, or a target on which sidecars disagree for longer than Settle; a member that joins or
// leaves the exposure set while the request is clean; another crashing request that was beside it
// at the same crash and is refused first. Each addend is explained in docs/notes/suspect.md.
//
// Assumptions: evidence that reached one other sidecar reaches all within Settle; a table holds
// fewer suspects than MaxEntries; a restarted sidecar calls Warm only after it has merged the table
// of a peer. The log is not used. Nothing is assumed about routers.
package suspect
