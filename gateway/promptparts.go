package gateway

import (
	"strconv"
	"strings"
	"time"

	"jacinthfork.example/jacinthfork/gateway/poison"
	"jacinthfork.example/jacinthfork/gateway/pool"
	"jacinthfork.example/jacinthfork/verdict"
)

// sharedParts returns the parts of a prompt that other requests may share.
func sharedParts(prompt []pool.PromptPart) []uint64 {
	if len(prompt) < 2 {
		return nil
	}
	out := make([]uint64, 0, len(prompt)-1)
	for _, p := range prompt[:len(prompt)-1] {
		out = append(out, p.ID)
	}
	return out
}

// logBlocked logs the parts that are blocked from now on, or for longer, because of a crash of an instance or what a router
// has told.
func (g *Gateway) logBlocked(suspicions []poison.Suspicion, reportedBy string) {
	for _, s := range suspicions {
		if s.Until.IsZero() {
			continue
		}
		g.log.Warn("prompt part blocked", "part", formatParts([]uint64{s.Part}), "crashes", s.Depth,
			"only_with", formatParts(s.Alternatives), "for_s", int(time.Until(s.Until).Seconds()), "reported_by", reportedBy)
	}
}

// checkParts returns an error if the prompt of a request has a part that crashes engines.
func (s *requestState) checkParts() *verdict.Error {
	suspicion, blocked := s.g.poison.Blocked(s.parts)
	if !blocked {
		return nil
	}
	if s.attemptsSent == 0 && (s.trial || s.tryParts(suspicion.Part)) {
		return nil
	}
	return unavailable(verdict.ReasonCrashRefused, "part "+formatParts([]uint64{suspicion.Part})+" of the prompt crashes engines", max(minBlockedRetryAfter, time.Until(suspicion.Until)))
}

// minBlockedRetryAfter is the shortest Retry-After value for a request with a blocked part. One that is due for a trial may
// be refused for another of its parts.
const minBlockedRetryAfter = time.Second

// tryParts reports whether the request is sent although the given part of its prompt, the first that is blocked, is. The
// router whose directory has that part is responsible for the trial: if each part had its own, none might try a request with
// two.
func (s *requestState) tryParts(part uint64) bool {
	if !s.g.poison.Try(s.parts, s.g.registry.DirectoryOf(part) == "") {
		return false
	}
	s.trial = true
	s.g.log.Info("blocked prompt part tried", "part", formatParts([]uint64{part}), "id", s.call.ID)
	return true
}

// endTrial lets another request be the trial if this one was to be, and no instance has run it.
func (s *requestState) endTrial() {
	if s.trial && s.attemptsSent == 0 {
		s.g.poison.CancelTrial(s.parts)
	}
}

// recordAnswer records that the instance has begun to answer the request, and is still there.
func (s *requestState) recordAnswer() {
	if s.answered {
		return
	}
	s.answered = true
	s.g.recordResponse(s.parts, s.call.ID)
}

// recordResponse records that an instance has answered a request with the given parts.
func (g *Gateway) recordResponse(parts []uint64, id string) {
	unblocked := g.poison.RecordResponse(parts)
	if len(unblocked) == 0 {
		return
	}
	g.log.Info("prompt parts unblocked", "parts", formatParts(unblocked), "id", id)
	g.peers.Changed()
}

// formatParts returns the IDs of parts as in the header of requests.
func formatParts(parts []uint64) string {
	text := make([]string, 0, len(parts))
	for _, id := range parts {
		text = append(text, strconv.FormatUint(id, 16))
	}
	return strings.Join(text, ",")
}
