package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"jacinthfork.example/jacinthfork/gateway/pool"
	"jacinthfork.example/jacinthfork/verdict"
)

const (
	// maxQuestionBytes bounds a question. A prompt of maxQuestionParts parts fits.
	maxQuestionBytes = 64 << 10
	maxQuestionParts = 1024
	// maxQuestionTokens bounds the length of a prompt and of a part, so that sums do not overflow.
	maxQuestionTokens = 1 << 30
	// maxLeftOut bounds the instances named that were left out.
	maxLeftOut = 32
)

// HexID is an ID that is written as a hexadecimal number, as in log lines: JSON numbers of 64 bits lose digits in many programs.
type HexID uint64

// MarshalText implements encoding.TextMarshaler.
func (id HexID) MarshalText() ([]byte, error) { return []byte(formatID(uint64(id))), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (id *HexID) UnmarshalText(text []byte) error {
	n, err := strconv.ParseUint(string(text), 16, 64)
	if err != nil {
		return fmt.Errorf("%q is not a hexadecimal number of 64 bits", text)
	}
	*id = HexID(n)
	return nil
}

// WhereQuestion asks where a request would go.
type WhereQuestion struct {
	// Route is the name of the route. Without it, Host and Path select the route.
	Route string `json:"route,omitempty"`
	Host  string `json:"host,omitempty"`
	Path  string `json:"path,omitempty"`
	// Key is the caller's API key. Organisation names its owner instead.
	Key          string `json:"key,omitempty"`
	Organisation string `json:"organisation,omitempty"`
	// Priority overrides that of the route and of the organisation.
	Priority *int `json:"priority,omitempty"`
	// RequestID selects the pool of a route with several pools if the prompt has no parts that others share.
	RequestID string `json:"request_id,omitempty"`
	// Parts are the parts of the prompt, and Tokens is its length: the sum of the parts if it is 0.
	Parts  []WherePart `json:"parts,omitempty"`
	Tokens int         `json:"tokens,omitempty"`
	// TimeoutMillis is how long the caller waits, 0 if it does not say.
	TimeoutMillis int64 `json:"timeout_ms,omitempty"`
	// Fingerprint is that of the request, see Fingerprint. 0 means that it is not known.
	Fingerprint HexID `json:"fingerprint,omitempty"`
}

// WherePart is a part of a prompt.
type WherePart struct {
	ID     HexID `json:"id"`
	Tokens int   `json:"tokens"`
}

// call returns the request that the question is about.
func (q *WhereQuestion) call() (RequestInfo, error) {
	call := RequestInfo{ID: q.RequestID, PromptTokens: q.Tokens, Timeout: time.Duration(q.TimeoutMillis) * time.Millisecond}
	switch {
	case q.Route == "" && (q.Host == "" || q.Path == ""):
		return call, errors.New("a question needs a route, or a host and a path")
	case q.Priority != nil && (*q.Priority < 0 || *q.Priority >= limitLevels):
		return call, fmt.Errorf("the priority is %d, must be from 0 to %d", *q.Priority, limitLevels-1)
	case len(q.Parts) > maxQuestionParts:
		return call, fmt.Errorf("the prompt has %d parts, must have at most %d", len(q.Parts), maxQuestionParts)
	case q.Tokens < 0 || q.Tokens > maxQuestionTokens:
		return call, fmt.Errorf("the prompt has %d tokens, must have from 0 to %d", q.Tokens, maxQuestionTokens)
	case q.TimeoutMillis < 0 || q.TimeoutMillis > math.MaxInt64/int64(time.Millisecond):
		return call, fmt.Errorf("timeout_ms is %d, which is not a time", q.TimeoutMillis)
	}
	sum := 0
	for n, p := range q.Parts {
		if p.Tokens < 0 || p.Tokens > maxQuestionTokens {
			return call, fmt.Errorf("part %d has %d tokens, must have from 0 to %d", n+1, p.Tokens, maxQuestionTokens)
		}
		sum += p.Tokens
		call.Prompt = append(call.Prompt, pool.PromptPart{ID: uint64(p.ID), Tokens: p.Tokens})
	}
	if call.PromptTokens == 0 {
		call.PromptTokens = sum
	}
	return call, nil
}

// WhereAnswer says where a request would go now. Times are in ms, and -1 if not known. It holds no key and nothing of a prompt.
type WhereAnswer struct {
	Node  string `json:"node"`
	Route string `json:"route"`
	// Pool is that which the request would be served by, PoolBy what selects it: "route" if the route has only one, otherwise
	// "prompt" or "request-id".
	Pool         string `json:"pool"`
	PoolBy       string `json:"pool_by"`
	Organisation string `json:"organisation"`
	Priority     int    `json:"priority"`
	// Outcome is what would become of the request. Provisional is set if another gateway, the keeper of the instance, decides
	// on the place: it was not asked.
	Outcome     Outcome `json:"outcome"`
	Provisional bool    `json:"provisional"`
	// Random is set if random choices among tied instances led to the outcome. The request may then get another one.
	Random bool `json:"random,omitempty"`
	// OverloadRefused is the part of new requests, chosen at random, that the gateway refuses now for want of processor time. The
	// outcome is that of a request that is not among them.
	OverloadRefused float64 `json:"overload_refused,omitempty"`
	// WaitMillis is the estimated wait, 0 if it is not known, and LongestWaitMillis how long the request may wait.
	WaitMillis        int64         `json:"wait_ms,omitempty"`
	LongestWaitMillis int64         `json:"longest_wait_ms,omitempty"`
	Refusal           *WhereRefusal `json:"refusal,omitempty"`
	// Suspect is what of the request is blocked because it crashes engines: "request", or a part by its number. Trial is set if
	// the request would be sent nevertheless, to find out whether it is sound.
	Suspect string `json:"suspect,omitempty"`
	Trial   bool   `json:"trial,omitempty"`
	// Instance is the one that the request would be sent to or wait at, Full are those that are asked before and known to be
	// full, and Next would follow if Instance could not be used.
	Instance *WhereInstance  `json:"instance,omitempty"`
	Full     []WhereInstance `json:"full,omitempty"`
	Next     []WhereInstance `json:"next,omitempty"`
	// LeftOut are the first maxLeftOut of LeftOutCount instances that the request could not go to, or only if there were no
	// others.
	LeftOut      []WhereLeftOut `json:"left_out,omitempty"`
	LeftOutCount int            `json:"left_out_count"`
	Load         WherePool      `json:"load"`
	Data         WhereData      `json:"data"`
}

// WhereRefusal is the refusal that the caller would get.
type WhereRefusal struct {
	Status           int    `json:"status"`
	Reason           string `json:"reason"`
	Detail           string `json:"detail"`
	RetryAfterMillis int64  `json:"retry_after_ms"`
}

// WhereInstance is an instance with what counts in the choice.
type WhereInstance struct {
	Instance string `json:"instance"`
	Domain   string `json:"domain"`
	// Class and Rule say why the instance is chosen, TiedWith which others the same random choice may give.
	Class    string   `json:"class"`
	Rule     string   `json:"rule"`
	TiedWith []string `json:"tied_with,omitempty"`
	// CachedTokens of the prompt are thought to be cached there, by the requests of all gateways if this one is the keeper and
	// by its own otherwise. FetchFrom is the instance from which the rest would be copied.
	CachedTokens int    `json:"cached_tokens"`
	CachedKnown  string `json:"cached_known_by"`
	FetchFrom    string `json:"fetch_from,omitempty"`
	// Load is the estimated number of requests in flight, Own that of this gateway, Mean the mean of the pool, and Bound the load
	// above which the instance gets no prompts. Keeper counts the requests in flight, "" if that is this gateway.
	Load          float64 `json:"load"`
	Own           int     `json:"own"`
	Mean          float64 `json:"mean"`
	Bound         float64 `json:"bound"`
	Keeper        string  `json:"keeper"`
	LoadAgeMillis int64   `json:"load_age_ms"`
	// Limit is the number of requests that it may have: Slots, or what it serves in time if Limited is set, which it is while the
	// pool is contended. Pace is in percent, and PaceFactor the factor of its work in placement, 1 if Limited is not set.
	Slots         int     `json:"slots"`
	Limit         int     `json:"limit"`
	Limited       bool    `json:"limited"`
	Full          bool    `json:"full"`
	Pace          float64 `json:"pace"`
	PaceFactor    float64 `json:"pace_factor"`
	PaceAgeMillis int64   `json:"pace_age_ms"`
	// The remaining fields say what speaks against the instance.
	RefusedLately         bool  `json:"refused_lately,omitempty"`
	EjectedMillis         int64 `json:"ejected_ms,omitempty"`
	EjectedByKeeperMillis int64 `json:"ejected_by_keeper_ms,omitempty"`
	Unreachable           bool  `json:"unreachable,omitempty"`
	Probing               bool  `json:"probing,omitempty"`
	Stalled               bool  `json:"stalled,omitempty"`
	Lapsed                bool  `json:"lapsed,omitempty"`
	ColdMillis            int64 `json:"cold_ms,omitempty"`
	CrashSuspected        bool  `json:"crash_suspected,omitempty"`
}

// WhereLeftOut is an instance that was left out, with the reason.
type WhereLeftOut struct {
	Instance string `json:"instance"`
	Reason   string `json:"reason"`
}

// WherePool is the state of the pool.
type WherePool struct {
	Members int `json:"members"`
	Usable  int `json:"usable"`
	Leaving int `json:"leaving"`
	Ejected int `json:"ejected"`
	Slots   int `json:"slots"`
	Own     int `json:"own"`
	Peers   int `json:"peers"`
}

// WhereData is the age of what the gateway knows. Gateways is the number of those that it knows to be alive.
type WhereData struct {
	ConfigurationVersion   uint64 `json:"configuration_version"`
	ConfigurationAgeMillis int64  `json:"configuration_age_ms"`
	InstancesAgeMillis     int64  `json:"instances_age_ms"`
	TotalsAgeMillis        int64  `json:"totals_age_ms"`
	Gateways               int    `json:"gateways"`
}

// WhereError says why a question has no answer. Its fields tell it from the refusal of a caller.
type WhereError struct {
	Status int    `json:"-"`
	Reason string `json:"error"`
	Detail string `json:"detail"`
}

// Error implements the error interface.
func (e *WhereError) Error() string { return e.Reason + ": " + e.Detail }

func whereError(status int, err *verdict.Error) *WhereError {
	return &WhereError{Status: status, Reason: string(err.Reason), Detail: err.Detail}
}

func badQuestion(err error) *WhereError {
	return &WhereError{Status: http.StatusBadRequest, Reason: string(verdict.ReasonBadRequest), Detail: err.Error()}
}

// classNames are the classes of instances in answers.
var classNames = map[pool.Class]string{
	pool.Healthy: "healthy", pool.RefusedLately: "refused-lately", pool.Degraded: "degraded", pool.Unavailable: "ejected",
}

func leftOut(o pool.PassedOver) WhereLeftOut {
	if o.Exclusion != "" {
		return WhereLeftOut{Instance: o.Instance, Reason: string(o.Exclusion)}
	}
	return WhereLeftOut{Instance: o.Instance, Reason: classNames[o.Class]}
}

func ageMillis(d time.Duration) int64 {
	if d < 0 {
		return -1
	}
	return d.Milliseconds()
}

// instance describes an instance.
func (w *whereDecision) instance(c pool.Considered) WhereInstance {
	known := "this-gateway"
	if c.Keeper == "" {
		known = "all-gateways"
	}
	return WhereInstance{
		Instance: c.Instance.ID, Domain: c.Instance.FailureDomain, Class: classNames[c.Class], Rule: string(c.Rule), TiedWith: c.Ties,
		CachedTokens: c.CachedTokens, CachedKnown: known, FetchFrom: c.FetchFrom,
		Load: c.Load, Own: c.Own, Mean: c.Mean, Bound: c.Bound, Keeper: c.Keeper, LoadAgeMillis: ageMillis(c.LoadAge),
		Slots: c.Instance.Slots, Limit: c.Limit, Limited: c.Contended, Full: c.Full(), Pace: c.Pace, PaceFactor: c.PaceFactor, PaceAgeMillis: ageMillis(c.PaceAge),
		RefusedLately: c.Denied, EjectedMillis: c.EjectedFor.Milliseconds(), EjectedByKeeperMillis: c.EjectedByKeeperFor.Milliseconds(),
		Unreachable: c.Unreachable, Probing: c.Probing, Stalled: c.Stalled, Lapsed: c.Lapsed, ColdMillis: c.ColdFor.Milliseconds(),
		CrashSuspected: w.state.g.crashes.suspects(c.Instance.ID),
	}
}

// WhereHandler answers questions where a request would go: a WhereQuestion in the body of a POST request, answered with a
// WhereAnswer or a WhereError. It is for a port that callers cannot reach. Questions are answered one at a time, so that many of
// them delay requests as little as one does.
func (g *Gateway) WhereHandler() http.Handler {
	turn := make(chan struct{}, 1)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			w.Header().Set("Allow", http.MethodPost)
			g.writeWhere(w, nil, &WhereError{Status: http.StatusMethodNotAllowed, Reason: "method-not-allowed", Detail: "questions are sent with POST"})
			return
		}
		q, err := readQuestion(w, r)
		if err != nil {
			g.writeWhere(w, nil, err)
			return
		}
		select {
		case turn <- struct{}{}:
		case <-r.Context().Done():
			return
		}
		defer func() { <-turn }()
		answer, err := g.Where(q)
		g.writeWhere(w, answer, err)
	})
}

// readQuestion reads the question in the body of a request.
func readQuestion(w http.ResponseWriter, r *http.Request) (*WhereQuestion, *WhereError) {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxQuestionBytes))
	decoder.DisallowUnknownFields()
	q := new(WhereQuestion)
	err := decoder.Decode(q)
	if err == nil {
		if _, end := decoder.Token(); end != io.EOF {
			err = errors.New("the body holds more than one question")
		}
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &WhereError{Status: http.StatusRequestEntityTooLarge, Reason: string(verdict.ReasonTooLarge),
			Detail: fmt.Sprintf("a question has at most %d bytes", maxQuestionBytes)}
	}
	if err != nil {
		return nil, badQuestion(errors.New("the body is not a question"))
	}
	return q, nil
}

// writeWhere writes an answer, or the reason why there is none, and counts it.
func (g *Gateway) writeWhere(w http.ResponseWriter, answer *WhereAnswer, err *WhereError) {
	var body any = answer
	status, outcome := http.StatusOK, ""
	if err != nil {
		body, status, outcome = err, err.Status, err.Reason
	} else {
		outcome = string(answer.Outcome)
	}
	g.metrics.questions.Add(outcome, 1)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failure means that the connection has ended.
	_ = json.NewEncoder(w).Encode(body)
}
