package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"jacinthfork.example/jacinthfork/gateway/backend"
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

// content describes the request for the table of suspects.
func (s *requestState) content() poison.Request {
	return poison.Request{Fingerprint: s.fingerprint, Parts: s.parts}
}

// logBlocked logs the suspects that are blocked from now on, or for longer, because of a crash of an instance or what a router
// has told.
func (g *Gateway) logBlocked(suspicions []poison.Suspicion, reportedBy string) {
	for _, s := range suspicions {
		message, name := "prompt part blocked", "part"
		if s.Request {
			message, name = "request blocked", "fingerprint"
		}
		g.log.Warn(message, name, formatID(s.ID), "crashes", s.Crashes, "only_with", formatParts(s.Alternatives),
			"next_trial_s", int(time.Until(s.NextTrial).Seconds()), "for_s", int(time.Until(s.Until).Seconds()), "reported_by", reportedBy)
	}
}

// checkSuspects returns an error if the request, or a part of its prompt, crashes backend servers.
func (s *requestState) checkSuspects() *verdict.Error {
	suspicion, blocked := s.g.poison.Blocked(s.content())
	if !blocked {
		return nil
	}
	if s.attemptsSent == 0 && (s.trial || s.try(suspicion)) {
		return nil
	}
	return blockedError(suspicion)
}

// blockedError returns the refusal of a request that is blocked.
func blockedError(suspicion poison.Suspicion) *verdict.Error {
	if suspicion.Request {
		return unavailable(verdict.ReasonCrashRefused, "the request crashed engines", max(minBlockedRetryAfter, time.Until(suspicion.NextTrial)))
	}
	return unavailable(verdict.ReasonCrashRefused, "part "+formatID(suspicion.ID)+" of the prompt crashes engines", max(minBlockedRetryAfter, time.Until(suspicion.Until)))
}

// minBlockedRetryAfter is the shortest Retry-After value for a blocked request. One that is due for a trial may be refused
// for another of its suspects.
const minBlockedRetryAfter = time.Second

// try reports whether the request is sent although it is blocked, for the given suspect first.
func (s *requestState) try(first poison.Suspicion) bool {
	rank, routers := s.g.registry.RouterRank()
	if !s.g.poison.Try(s.content(), poison.Turn{Rank: rank, Routers: routers}) {
		return false
	}
	s.trial = true
	if first.Request {
		s.g.log.Info("blocked request tried", "fingerprint", formatID(first.ID), "id", s.call.ID)
	} else {
		s.g.log.Info("blocked prompt part tried", "part", formatID(first.ID), "id", s.call.ID)
	}
	return true
}

// endTrial lets another request be the trial if this one was to be, and no instance has run it.
func (s *requestState) endTrial() {
	if s.trial && s.attemptsSent == 0 {
		s.g.poison.CancelTrial(s.content())
	}
}

// answersPrompt reports whether a response with the given status shows that an engine has read the prompt. An error may come
// from a backend server that has not run its engine.
func answersPrompt(status int) bool { return status < http.StatusMultipleChoices }

// answersRequest reports whether a response with the given status is the answer of a backend server that has run the request.
// One that fails, or turns the request away, may not have come as far as the request's harm.
func answersRequest(status int) bool {
	return status < http.StatusInternalServerError && status != http.StatusTooManyRequests && status != http.StatusRequestTimeout
}

// recordAnswer records that the instance has begun to answer the request, and is still there.
func (s *requestState) recordAnswer() {
	if s.answered {
		return
	}
	s.answered = true
	s.g.recordAnswer(s.content(), s.call.ID)
}

// recordEnd records that a response has ended as it should. One without a length or chunks is known to be whole once the
// instance is known not to have crashed.
func (s *requestState) recordEnd(lease *pool.Lease, resp *backend.Response) {
	if !framed(resp.Response) {
		s.reportUnframedEnd(lease, resp.StatusCode)
		return
	}
	if answersPrompt(resp.StatusCode) {
		s.recordAnswer()
	}
	if answersRequest(resp.StatusCode) {
		s.g.recordCompletion(s.content(), s.call.ID)
	}
}

// recordAnswer records that an instance has begun to answer a request.
func (g *Gateway) recordAnswer(r poison.Request, id string) {
	unblocked := g.poison.RecordAnswer(r)
	if len(unblocked) == 0 {
		return
	}
	g.log.Info("prompt parts unblocked", "parts", formatParts(unblocked), "id", id)
	g.peers.Changed()
}

// recordCompletion records that an instance has answered a request completely.
func (g *Gateway) recordCompletion(r poison.Request, id string) {
	if !g.poison.RecordCompletion(r) {
		return
	}
	g.log.Info("request unblocked", "fingerprint", formatID(r.Fingerprint), "id", id)
	g.peers.Changed()
}

// formatID returns the ID of a part as in the header of requests, or a fingerprint as in log lines.
func formatID(id uint64) string { return strconv.FormatUint(id, 16) }

// formatParts returns the IDs of parts as in the header of requests.
func formatParts(parts []uint64) string {
	text := make([]string, 0, len(parts))
	for _, id := range parts {
		text = append(text, formatID(id))
	}
	return strings.Join(text, ",")
}
