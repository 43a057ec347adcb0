// Package memory keeps one account of the memory that a gateway holds on behalf of others: connections and headers of
// callers, request bodies as they arrive, responses, and what waits in the kernel on callers' connections. It decides what is
// dropped when memory is short, without I/O: whoever holds the memory is told and lets go of it.
package memory

import (
	"sync"
	"time"
)

// Kind says what memory is held for.
type Kind uint8

// Kinds of memory, each with a share of the account.
const (
	// Connections are callers' connections with the headers that arrive on them.
	Connections Kind = iota
	// Bodies are request bodies.
	Bodies
	// Responses are buffered responses and events.
	Responses
	// Kernel is what has arrived on callers' connections and was not read, and what callers have not taken yet.
	Kernel
	kinds
)

// kindNames are labels of counters.
var kindNames = [kinds]string{"connections", "bodies", "responses", "kernel"}

const (
	// connectionShare bounds connections, so that requests on them can be served. A machine of 184 MB has 1,600 connections of
	// well-behaved callers under heavy load, and with half of the account it refused some.
	connectionShare = 0.75
	// kernelShare is the most that counts of what waits in the kernel. Connections are closed to keep it below; see Unread.
	kernelShare = 0.25
	// largeShare bounds what large bodies may take of the whole account, so that small ones are served beside them.
	largeShare = 0.75
	// SmallBody is the size in bytes up to which a body may use the whole account. Ordinary prompts have 72 KB.
	SmallBody = 128 << 10
	// progressBytes must arrive of a body within the time limit. A caller behind a link of 10 Mbit/s that is 36 times
	// narrower sends as much in 0.12 s.
	progressBytes = 4 << 10
	// slowBytes must arrive of a body in each slowWindow, or it is dropped before others when memory is short: a client that
	// drips holds its memory for longest.
	slowBytes  = 32 << 10
	slowWindow = time.Second
	// maxTick is the longest time that one Tick counts. A longer one means that this process did not run.
	maxTick = 400 * time.Millisecond
)

// Reason says why a body was dropped.
type Reason uint8

// Reasons. The zero value means that the body was not dropped.
const (
	// Short means that memory was short.
	Short Reason = iota + 1
	// Stalled means that the body made no progress for the time limit.
	Stalled
)

// Settings are the limits of an account.
type Settings struct {
	// Limit is in bytes.
	Limit int64
	// BodyStall is how long a body may make no progress.
	BodyStall time.Duration
}

// Account is the memory that a process holds on behalf of others. It is safe for concurrent use.
type Account struct {
	settings Settings

	mu   sync.Mutex
	used [kinds]int64
	// arriving are the bodies that are not complete, clients their bytes by client.
	arriving map[*Body]struct{}
	clients  map[string]int64
	opened   uint64
	dropped  map[string]int64
}

// New returns an account on which nothing is held.
func New(s Settings) *Account {
	return &Account{settings: s, arriving: make(map[*Body]struct{}), clients: make(map[string]int64), dropped: make(map[string]int64)}
}

// Take takes n bytes for a kind other than Bodies, if necessary from bodies that are not complete. It reports whether the
// limit allows it.
func (a *Account) Take(kind Kind, n int64) bool {
	var drops []func()
	defer func() { runAll(drops) }()
	a.mu.Lock()
	defer a.mu.Unlock()
	if kind == Connections && a.used[kind]+n > int64(connectionShare*float64(a.settings.Limit)) {
		a.dropped["connection"]++
		return false
	}
	for a.total()+n > a.settings.Limit {
		victim := a.heaviest((*Body).holdsMemory)
		if victim == nil {
			a.dropped[kindNames[kind]]++
			return false
		}
		drops = append(drops, a.drop(victim, Short))
	}
	a.used[kind] += n
	return true
}

// Give gives back what Take has taken.
func (a *Account) Give(kind Kind, n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.used[kind] -= n
}

// SetKernel sets how much waits in the kernel. It counts up to its share; bodies that are not complete make room for it.
func (a *Account) SetKernel(n int64) {
	var drops []func()
	defer func() { runAll(drops) }()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.used[Kernel] = min(n, a.KernelLimit())
	for a.total() > a.settings.Limit {
		victim := a.heaviest((*Body).holdsMemory)
		if victim == nil {
			return
		}
		drops = append(drops, a.drop(victim, Short))
	}
}

// KernelLimit returns the most that may wait in the kernel.
func (a *Account) KernelLimit() int64 { return int64(kernelShare * float64(a.settings.Limit)) }

// LargestBody returns the size in bytes of the largest body that the account can hold.
func (a *Account) LargestBody() int64 { return int64(largeShare * float64(a.settings.Limit)) }

// Tick notes that time has passed and drops the bodies that have made no progress for the time limit. Time in which the
// process did not run does not count.
func (a *Account) Tick(elapsed time.Duration) {
	elapsed = min(elapsed, maxTick)
	var drops []func()
	defer func() { runAll(drops) }()
	a.mu.Lock()
	defer a.mu.Unlock()
	for b := range a.arriving {
		if b.pass(elapsed); b.idle >= a.settings.BodyStall {
			drops = append(drops, a.drop(b, Stalled))
		}
	}
}

// DropSlow drops the body that is dropped next if it makes little progress, because its connection is needed. It reports
// whether there was one.
func (a *Account) DropSlow() bool {
	var drops []func()
	defer func() { runAll(drops) }()
	a.mu.Lock()
	defer a.mu.Unlock()
	victim := a.heaviest((*Body).holdsMemory)
	if victim == nil || !victim.slow {
		return false
	}
	drops = append(drops, a.drop(victim, Short))
	return true
}

// Held is what an account holds, in bytes by kind, and what was refused or dropped, by reason.
type Held struct {
	Limit   int64            `json:"limit"`
	Bytes   map[string]int64 `json:"bytes"`
	Bodies  int              `json:"unfinished_bodies"`
	Dropped map[string]int64 `json:"dropped"`
}

// Held returns what the account holds.
func (a *Account) Held() Held {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := Held{Limit: a.settings.Limit, Bytes: make(map[string]int64), Bodies: len(a.arriving), Dropped: make(map[string]int64)}
	for kind, n := range a.used {
		out.Bytes[kindNames[kind]] = n
	}
	for reason, n := range a.dropped {
		out.Dropped[reason] = n
	}
	return out
}

// total returns what is held. The caller holds mu.
func (a *Account) total() (n int64) {
	for _, used := range a.used {
		n += used
	}
	return n
}

// heaviest returns the body that is dropped next, or nil: one that makes little progress before all others, then one of the
// client whose unfinished bodies take most. Among those the largest is dropped, except that large bodies that make progress
// keep what the older ones have: if the largest gave way, hardly any would ever be complete. Only bodies for which
// givesWay is true count. The caller holds mu.
func (a *Account) heaviest(givesWay func(*Body) bool) *Body {
	var out *Body
	for b := range a.arriving {
		if givesWay(b) && (out == nil || b.outweighs(out)) {
			out = b
		}
	}
	return out
}

// drop takes a body out of the account and returns the function that tells its owner. The caller holds mu.
func (a *Account) drop(b *Body, reason Reason) func() {
	b.dropped = reason
	a.dropped[dropNames[reason]]++
	a.remove(b)
	a.used[Bodies] -= b.size
	b.size = 0
	return b.onDrop
}

// dropNames are labels of counters.
var dropNames = map[Reason]string{Short: "body", Stalled: "stalled body"}

// remove takes a body out of those that are not complete. The caller holds mu.
func (a *Account) remove(b *Body) {
	if _, ok := a.arriving[b]; !ok {
		return
	}
	delete(a.arriving, b)
	if a.clients[b.client] -= b.size; a.clients[b.client] <= 0 {
		delete(a.clients, b.client)
	}
}

func runAll(all []func()) {
	for _, do := range all {
		do()
	}
}

// Part is the memory of one kind in an account.
type Part struct {
	account *Account
	kind    Kind
}

// Part returns the part of an account that is held for a kind.
func (a *Account) Part(kind Kind) Part { return Part{a, kind} }

// Take is Account.Take for the kind.
func (p Part) Take(n int64) bool { return p.account.Take(p.kind, n) }

// Give is Account.Give for the kind.
func (p Part) Give(n int64) { p.account.Give(p.kind, n) }
