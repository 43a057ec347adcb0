// Package suspect limits the number of engines that one request can crash. The sidecar tells a Table
// which requests start and finish and when its engine crashes; tables exchange their entries as
// wire.Suspect messages.
//
// # States of a fingerprint
//
//   - clean: no crash, or it completed after its crashes. It runs on its exposure set only: the
//     first ExposureGroup instances for its document group, the first ExposureFingerprint instances
//     for its fingerprint, and the instance named by a placement token.
//   - suspect: it was in flight at a crash. It runs alone on one target, the first instance in the
//     rendezvous order of the fingerprint over all members, including members that are not ready.
//     The target waits for Settle after it learned of the crash.
//   - probation: its crashes are explained by a refused request, or are older than ExcuseAfter. It
//     runs on the target only, concurrently with other requests. Age excuses a fingerprint only once,
//     and never one that crashed an engine while running alone.
//   - refused: it was in flight at RefuseAfter crashes, at least once alone; or, if RefuseCrowded is
//     set, at that many crashes that are not excused. It does not run in the pool until Retention has
//     passed without a repeat.
//
// A suspect that completes alone, and a request in probation that completes, become clean.
//
// # Engines that one request can crash
//
// A request that crashes every engine that runs it crashes at most
//
//	Settings.MaxEngines() = max(ExposureGroup + ExposureFingerprint + 3, RefuseAfter)
//
// engines within Retention, plus 1 for each of the following events:
//
//   - A sidecar restarts after a crash before the evidence has reached another sidecar.
//   - The target changes while the request runs there, or sidecars disagree about the target for
//     longer than Settle.
//   - A member joins or leaves the exposure set while the request is clean.
//   - Another crashing request was in flight at the same crash and is refused first.
//
// Each addend is explained in docs/notes/suspect.md.
//
// Assumptions: evidence that has reached one other sidecar reaches all of them within Settle; a table
// holds fewer suspects than MaxEntries; a restarted sidecar calls MarkSynced only after it has merged the
// table of a peer. The log is not involved, and nothing is assumed about routers.
package suspect
