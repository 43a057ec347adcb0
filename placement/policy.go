package placement

import (
	"fmt"
	"strings"
	"time"
)

// Request describes a request to a policy.
type Request struct {
	// Organisation is the caller's organisation.
	Organisation string
	// Chat identifies the chat: the hash of the Jacinthfork-Chat header or, without one, Grouping.Chat.
	// 0 when unknown.
	Chat uint64
	// Group is the document group from Grouping.Group; 0 when there is no document worth caching.
	Group uint64
	// GroupShare is the group's estimated share of the pool's recent work. A group with a large share is
	// spread over several instances.
	GroupShare float64
	// Work is the expected work in tokens when nothing is cached: prompt and decode tokens.
	Work int64
	// DocumentWork is the part of Work that an instance saves if it caches the document, and ChatWork
	// the part that it saves if it caches the whole chat including the document.
	DocumentWork int64
	ChatWork     int64
	// Token is the verified placement token, or nil. TokenAge is the time since it was issued.
	Token    *Token
	TokenAge time.Duration
	// Returning is true when the chat already has a response; the inverse of Grouping.FirstTurn.
	Returning bool
	// Holders contains the hashes of the instances that probably cache the document, from CacheHints.
	Holders []uint64
	// Retention is the estimated time for which engines keep a chat cached; 0 when unknown.
	Retention time.Duration
	// KeyHash is the hash of the idempotency key of a non-idempotent action, otherwise 0.
	KeyHash uint64
	// FailureDomain is the router's own failure domain.
	FailureDomain string
}

// Policy orders the instances of a pool for a request. Policies are safe for concurrent use. Order does
// not block, and does not allocate when dst has capacity for every candidate.
type Policy interface {
	// Order appends the indices of the candidates to dst[:0], best first, and returns the result.
	// Leaving instances are omitted; instances that are not ready come last. An empty result means
	// that the pool has no instance to try. If req.KeyHash is set, every policy returns KeyOrder.
	Order(dst []int, req *Request, pool *Pool) []int
	// Explain describes in one short line why Order returned the given order. It may allocate.
	Explain(req *Request, pool *Pool, order []int) string
}

// TokenState tells whether a policy uses the token of a request and, if not, why.
type TokenState string

// States of a request's placement token.
const (
	TokenNone               TokenState = "none"
	TokenUsed               TokenState = "used"
	TokenOlderThanRetention TokenState = "older-than-retention"
	TokenOtherGroup         TokenState = "other-group"
	TokenInstanceGone       TokenState = "instance-gone"
	TokenInstanceRestarted  TokenState = "instance-restarted"
	TokenInstanceLeaving    TokenState = "instance-leaving"
	TokenInstanceNotReady   TokenState = "instance-not-ready"
)

// TokenTarget returns the index of the instance named by the request's token, or -1 and the reason why
// the token is not used. A token of another document group, of another incarnation of the instance or
// older than req.Retention names an instance that probably does not cache the prefix.
func TokenTarget(req *Request, pool *Pool) (int, TokenState) {
	if req.Token == nil {
		return -1, TokenNone
	}
	if req.Token.Group != req.Group {
		return -1, TokenOtherGroup
	}
	i := pool.Find(req.Token.Instance)
	if i < 0 {
		return -1, TokenInstanceGone
	}
	c := pool.At(i)
	switch {
	case c.Leaving:
		return -1, TokenInstanceLeaving
	case !c.Ready:
		return -1, TokenInstanceNotReady
	case c.Incarnation != 0 && req.Token.Incarnation != 0 && c.Incarnation != req.Token.Incarnation:
		return -1, TokenInstanceRestarted
	case req.Retention > 0 && req.TokenAge > req.Retention:
		return -1, TokenOlderThanRetention
	}
	return i, TokenUsed
}

// maxExplained limits the candidates listed in an explanation, so that it fits a response header.
const maxExplained = 4

// Explain formats an explanation from the policy's name, its details and the first candidates with
// their loads in tokens.
func Explain(policy, details string, pool *Pool, order []int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s; %s; mean=%d; candidates=%d:", policy, details, pool.MeanLoad(), len(order))
	for _, i := range order[:min(len(order), maxExplained)] {
		c := pool.At(i)
		if c.LoadAge < 0 {
			fmt.Fprintf(&b, " %s(load unknown)", c.ID)
			continue
		}
		fmt.Fprintf(&b, " %s(load %d, %s old)", c.ID, c.Load, c.LoadAge)
	}
	return b.String()
}
