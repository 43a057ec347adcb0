// Package buffer bounds the memory that buffered responses take: of one response by a limit, and of all
// responses of the process together by a budget. A backend server may send bytes without end, and many callers
// may wait for one such server.
package buffer

import (
	"fmt"
	"io"
	"sync/atomic"
)

// freeBytes is the size up to which a buffer takes nothing from the budget, so that small responses are relayed
// while large ones have used it up.
const freeBytes = 4 << 10

// firstBytes is the least size of a buffer with content. Most events, and many responses, need no other one.
const firstBytes = 512

// LimitError says that a backend server sent more than a limit allows.
type LimitError struct {
	// What names the part of a response that was too large. It is a label of a counter.
	What string
	// Limit is the limit in units of Unit.
	Limit int64
	Unit  string
}

// Error implements the error interface.
func (e *LimitError) Error() string {
	return fmt.Sprintf("the backend server's %s exceeds %d %s", e.What, e.Limit, e.Unit)
}

// Budget is the memory that all buffers of a process may take together. It is safe for concurrent use.
type Budget struct {
	limit   int64
	account Account
	used    atomic.Int64
}

// Account is the memory that a process holds on behalf of others, of which a budget is a part.
type Account interface {
	// Take takes n bytes and reports whether the account allows it. Give gives them back.
	Take(n int64) bool
	Give(n int64)
}

// NewBudget returns a budget of limit bytes that is a part of an account, which may be nil.
func NewBudget(limit int64, account Account) *Budget { return &Budget{limit: limit, account: account} }

// Used returns the number of bytes taken.
func (b *Budget) Used() int64 { return b.used.Load() }

func (b *Budget) take(n int64) bool {
	if b.used.Add(n) > b.limit || b.account != nil && !b.account.Take(n) {
		b.used.Add(-n)
		return false
	}
	return true
}

func (b *Budget) give(n int64) {
	b.used.Add(-n)
	if b.account != nil {
		b.account.Give(n)
	}
}

// Buffer collects bytes up to a limit. It must be used by one goroutine at a time, and closed.
type Buffer struct {
	budget *Budget
	what   string
	limit  int
	data   []byte
	taken  int64
}

// New returns an empty buffer for the part of a response named what, of at most limit bytes.
func (b *Budget) New(what string, limit int) *Buffer {
	return &Buffer{budget: b, what: what, limit: limit}
}

// Write implements io.Writer. It writes all of p, or nothing and fails with a *LimitError.
func (b *Buffer) Write(p []byte) (int, error) {
	if len(b.data)+len(p) > b.limit {
		return 0, &LimitError{What: b.what, Limit: int64(b.limit), Unit: "bytes"}
	}
	if !b.grow(len(p)) {
		return 0, &LimitError{What: "buffered responses", Limit: b.budget.limit, Unit: "bytes of all requests together"}
	}
	b.data = append(b.data, p...)
	return len(p), nil
}

// grow makes room for n more bytes and reports whether the budget allows it.
func (b *Buffer) grow(n int) bool {
	need := len(b.data) + n
	if need <= cap(b.data) {
		return true
	}
	size := min(max(need, 2*cap(b.data), firstBytes), max(b.limit, need))
	if size > freeBytes {
		if !b.budget.take(int64(size) - b.taken) {
			return false
		}
		b.taken = int64(size)
	}
	grown := make([]byte, len(b.data), size)
	copy(grown, b.data)
	b.data = grown
	return true
}

// Expect makes room for a response of n bytes, as far as that takes nothing from the budget. It must be empty.
func (b *Buffer) Expect(n int64) {
	if n > 0 && n <= min(freeBytes, int64(b.limit)) {
		b.data = make([]byte, 0, n)
	}
}

// Fill reads until the end of r and reports whether it was reached. If it was not, because the limit or the
// budget is used up, the buffer holds what was read so far and the rest can be read from r. An error is one of r.
func (b *Buffer) Fill(r io.Reader) (complete bool, err error) {
	for {
		if len(b.data) == b.limit || !b.grow(1) {
			return false, nil
		}
		room := min(cap(b.data), b.limit)
		n, err := r.Read(b.data[len(b.data):room])
		b.data = b.data[:len(b.data)+n]
		if err == io.EOF {
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
}

// Bytes returns the content, which is valid until the next call of another method.
func (b *Buffer) Bytes() []byte { return b.data }

// Len returns the number of bytes in the buffer.
func (b *Buffer) Len() int { return len(b.data) }

// Reset empties the buffer. A large one gives its memory back.
func (b *Buffer) Reset() {
	if b.taken > 0 {
		b.Close()
		return
	}
	b.data = b.data[:0]
}

// Close empties the buffer and gives its memory back.
func (b *Buffer) Close() {
	b.budget.give(b.taken)
	b.taken = 0
	b.data = nil
}
