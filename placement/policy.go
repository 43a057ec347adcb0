package placement

import (
	"fmt"
	"strings"
	"time"
)

// Request is what a policy knows about one request.
type Request struct {
	// Organisation is the caller's organisation.
	Organisation string
	// Chat identifies the chat: the hash of the chat header, or else Grouping.Chat. 0 when unknown.
	Chat uint64
	// Group is the document group, Grouping.Group. 0 when there is no document worth caching.
	Group uint64
	// GroupShare is the share of the pool's recent work that the group carries, from Heat. A group
	// with a large share is spread over several instances.
	GroupShare float64
	// Work is the expected work in tokens when nothing is cached: prompt and decode.
	Work int64
	// DocumentWork is the part of Work that is saved where the document is cached, and ChatWork
	// the part that is saved where the whole chat is cached, document included.
	DocumentWork int64
	ChatWork     int64
	// Token is the verified placement token, or nil. TokenAge is the time since its issue.
	Token    *Token
	TokenAge time.Duration
	// Returning is true when the chat has had a response, the inverse of Grouping.FirstTurn.
	Returning bool
	// Holders are the hashes of instances that probably cache the document, from CacheHints.
	Holders []uint64
	// Retention is the time for which engines keep a chat cached, from Retention. 0 when unknown.
	Retention time.Duration
	// KeyHash is the hash of the idempotency key of a non-idempotent action, otherwise 0.
	KeyHash uint64
	// FailureDomain is the router's own failure domain.
	FailureDomain string
}

// Policy chooses instances. Policies are safe for concurrent use. Order neither allocates nor
// blocks when dst has room for every candidate.
type Policy interface {
	// Order appends the indices of the candidates to dst[:0], best first, and returns it. Leaving
	// instances are left out; instances that are not ready come last. An empty result means that
	// the pool has no instance to try. With req.KeyHash set every policy returns KeyOrder.
	Order(dst []int, req *Request, pool *Pool) []int
	// Explain describes in one short line how Order came to the given order. It may allocate.
	Explain(req *Request, pool *Pool, order []int) string
}

// TokenState says how a policy uses the token of a request.
type TokenState string

// Token states.
const (
	TokenNone       TokenState = "none"
	TokenUsed       TokenState = "used"
	TokenOld        TokenState = "older-than-retention"
	TokenOtherGroup TokenState = "other-group"
	TokenGone       TokenState = "instance-gone"
	TokenRestarted  TokenState = "instance-restarted"
	TokenLeaving    TokenState = "instance-leaving"
	TokenNotReady   TokenState = "instance-not-ready"
)

// TokenTarget returns the index of the instance that the request's token names, or -1 with the
// reason why the token does not count. A token of another document group, of an earlier
// incarnation or older than the retention names an instance that no longer caches the prefix.
func TokenTarget(req *Request, pool *Pool) (int, TokenState) {
	if req.Token == nil {
		return -1, TokenNone
	}
	if req.Token.Group != req.Group {
		return -1, TokenOtherGroup
	}
	i := pool.Find(req.Token.Instance)
	if i < 0 {
		return -1, TokenGone
	}
	c := pool.At(i)
	switch {
	case c.Leaving:
		return -1, TokenLeaving
	case !c.Ready:
		return -1, TokenNotReady
	case c.Incarnation != 0 && req.Token.Incarnation != 0 && c.Incarnation != req.Token.Incarnation:
		return -1, TokenRestarted
	case req.Retention > 0 && req.TokenAge > req.Retention:
		return -1, TokenOld
	}
	return i, TokenUsed
}

// explainLimit is the number of candidates that an explanation lists, to fit a response header.
const explainLimit = 4

// Explain formats an explanation: the policy, its details and the first candidates with their
// loads in tokens.
func Explain(policy, details string, pool *Pool, order []int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s; %s; mean=%d; candidates=%d:", policy, details, pool.Mean(), len(order))
	for _, i := range order[:min(len(order), explainLimit)] {
		c := pool.At(i)
		if c.LoadAge < 0 {
			fmt.Fprintf(&b, " %s(load unknown)", c.ID)
			continue
		}
		fmt.Fprintf(&b, " %s(load %d, %s old)", c.ID, c.Load, c.LoadAge)
	}
	return b.String()
}
