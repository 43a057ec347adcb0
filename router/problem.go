package router

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"jacinthfork.example/jacinthfork/verdict"
)

// Header field names used in the HTTP interface for callers.
const (
	headerOrganisation   = "Jacinthfork-Organisation"
	headerChat           = "Jacinthfork-Chat"
	headerPlacement      = "Jacinthfork-Placement"
	headerTimeout        = "Jacinthfork-Timeout"
	headerVerdict        = "Jacinthfork-Verdict"
	headerRoute          = "Jacinthfork-Route"
	headerRequestID      = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
	headerLastEvent      = "Last-Event-Id"
)

// problem is a problem details document (RFC 9457).
type problem struct {
	Type      string `json:"type"`
	Title     string `json:"title"`
	Status    int    `json:"status"`
	Detail    string `json:"detail,omitempty"`
	Verdict   string `json:"verdict"`
	Reason    string `json:"reason"`
	RequestID string `json:"request_id"`
}

// statusByReason maps reasons to HTTP status codes; a reason that is not listed gives 502.
var statusByReason = map[verdict.Reason]int{
	verdict.ReasonBadRequest:          http.StatusBadRequest,
	verdict.ReasonTooLarge:            http.StatusRequestEntityTooLarge,
	verdict.ReasonUnknownPool:         http.StatusNotFound,
	verdict.ReasonMissingOrganisation: http.StatusBadRequest,
	verdict.ReasonUnauthorised:        http.StatusForbidden,
	verdict.ReasonNoCandidate:         http.StatusServiceUnavailable,
	verdict.ReasonOverBound:           http.StatusServiceUnavailable,
	verdict.ReasonOverCapacity:        http.StatusServiceUnavailable,
	verdict.ReasonOverShare:           http.StatusTooManyRequests,
	verdict.ReasonOrganisationLimit:   http.StatusTooManyRequests,
	verdict.ReasonLeaving:             http.StatusServiceUnavailable,
	verdict.ReasonNotReady:            http.StatusServiceUnavailable,
	verdict.ReasonDeadline:            http.StatusGatewayTimeout,
	verdict.ReasonCancelled:           http.StatusServiceUnavailable,
	verdict.ReasonRetryBudget:         http.StatusServiceUnavailable,
	verdict.ReasonUnreachable:         http.StatusServiceUnavailable,
	verdict.ReasonNotATarget:          http.StatusServiceUnavailable,
	verdict.ReasonIsolation:           http.StatusServiceUnavailable,
	verdict.ReasonCrashSuspect:        http.StatusServiceUnavailable,
	verdict.ReasonCrashRefused:        http.StatusUnprocessableEntity,
	verdict.ReasonKeyInvalid:          http.StatusBadRequest,
	verdict.ReasonKeyExpired:          http.StatusBadRequest,
	verdict.ReasonKeyFromFuture:       http.StatusBadRequest,
	verdict.ReasonKeyMismatch:         http.StatusUnprocessableEntity,
	verdict.ReasonKeyInProgress:       http.StatusConflict,
	verdict.ReasonKeyOutcomeUnknown:   http.StatusConflict,
	verdict.ReasonKeyHistoryLost:      http.StatusConflict,
	verdict.ReasonKeyAnswerNotKept:    http.StatusConflict,
	verdict.ReasonLogUnavailable:      http.StatusServiceUnavailable,
	verdict.ReasonInternal:            http.StatusInternalServerError,
}

func httpStatus(reason verdict.Reason) int {
	if code, ok := statusByReason[reason]; ok {
		return code
	}
	return http.StatusBadGateway
}

func problemJSON(err *verdict.Error, headers http.Header) []byte {
	code := httpStatus(err.Reason)
	text, _ := json.Marshal(problem{
		Type: "about:blank", Title: http.StatusText(code), Status: code, Detail: err.Detail,
		Verdict: err.Verdict.String(), Reason: string(err.Reason), RequestID: headers.Get(headerRequestID),
	})
	return text
}

// writeProblem answers with err as a problem document and sets the verdict field.
func writeProblem(w http.ResponseWriter, err *verdict.Error, headers http.Header) {
	for name, values := range headers {
		w.Header()[name] = values
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.Header().Set(headerVerdict, err.Verdict.String())
	if err.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(err.RetryAfter.Seconds()))))
	}
	w.WriteHeader(httpStatus(err.Reason))
	_, _ = w.Write(problemJSON(err, headers))
}
