package poison

import "time"

const (
	// answerProtection is how long after an answer to a request no crash is held against it. A request that crashes the
	// servers which begin to run it has no answers.
	answerProtection = 3 * time.Second
	// answerMemory is how long an answer is remembered at least: a crash is found, and told by other routers, later.
	answerMemory = 2 * answerProtection
)

// answers holds the times of the last answers to requests with each suspect. An answer is forgotten after answerMemory to
// twice that time.
type answers struct {
	recent, older map[suspect]time.Time
	// begin is the time of the first of the recent ones.
	begin time.Time
}

// add records an answer.
func (a *answers) add(s suspect, now time.Time) {
	if a.recent == nil || now.Sub(a.begin) > answerMemory {
		a.recent, a.older, a.begin = make(map[suspect]time.Time), a.recent, now
	}
	a.recent[s] = now
}

// clears reports whether an answer to a request with the suspect shows that a crash at the given time was not its fault.
func (a *answers) clears(s suspect, crash time.Time) bool {
	last, ok := a.recent[s]
	if !ok {
		last, ok = a.older[s]
	}
	return ok && last.After(crash.Add(-answerProtection))
}
