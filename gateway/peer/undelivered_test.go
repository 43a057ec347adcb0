package peer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jacinthfork.example/jacinthfork/gateway/peer/peerpb"
)

// Guards against places that stay taken until the time limits of requests that have ended, because the link to the keeper was
// closed before it had sent all: each end is received, refused by Tell or reported as undelivered.
func TestEndsOnAClosedLinkAreReported(t *testing.T) {
	t.Parallel()
	const ends = 200
	all := startFleet(t, 2)
	a, b := all[0], all[1]
	eventually(t, func() bool { return len(a.fleet.openLinks(b.fleet.node)) > 0 })
	refused := 0
	for sequence := uint64(1); sequence <= ends; sequence++ {
		if !a.fleet.Tell(b.fleet.node, &peerpb.Message{Released: sequence}) {
			refused++
		}
		if sequence == ends/2 {
			for _, l := range a.fleet.openLinks(b.fleet.node) {
				l.close()
			}
		}
	}
	accounted := func() bool {
		received := b.get(func() int { return b.released })
		return refused+received+a.get(func() int { return len(a.undelivered) }) >= ends
	}
	eventually(t, accounted)
}

// Guards against ends that count as received only because they were sent long ago, when a link to a keeper that has not read them is
// given up late, and against messages that are kept for ever.
func TestEndsAreKeptUntilTheyAreReceived(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	told := func(receipts bool, ends int) *link {
		l := newLink(t.Context(), &peerpb.Member{Node: "node-001"})
		t.Cleanup(l.close)
		l.receipts = receipts
		for n := range ends {
			l.recordTold(&peerpb.Message{Released: uint64(n + 1)}, now)
			l.recordTold(&peerpb.Message{Reserved: &peerpb.Reserved{}}, now) // needs no receipt
		}
		return l
	}
	late := now.Add(4 * receiptTime)
	is.Equal(len(told(true, 5).end(late)), 5)
	l := told(true, 5)
	l.confirm(2)
	l.confirm(1) // overtaken
	left := l.end(late)
	is.Equal(len(left), 3)
	is.Equal(left[0].GetReleased(), uint64(3))
	l = told(true, 5)
	l.confirm(1000) // absurd
	is.Equal(len(l.end(late)), 0)
	is.Equal(len(told(true, 2*maxTold).end(late)), maxTold)
	is.Equal(len(told(false, 5).end(late)), 0) // a router of an older version does not tell
}

// Guards against receipts that are never sent: all ends would be told again when the link ends.
func TestReceiptsAreSent(t *testing.T) {
	t.Parallel()
	const ends = 50
	all := startFleet(t, 2)
	a, b := all[0], all[1]
	eventually(t, func() bool { return len(a.fleet.openLinks(b.fleet.node)) > 0 })
	kept := func() (n int) {
		for _, l := range a.fleet.openLinks(b.fleet.node) {
			l.mu.Lock()
			n += len(l.told)
			l.mu.Unlock()
		}
		return n
	}
	for sequence := uint64(1); sequence <= ends; sequence++ {
		a.fleet.Tell(b.fleet.node, &peerpb.Message{Released: sequence})
	}
	eventually(t, func() bool { return b.get(func() int { return b.released }) >= ends })
	eventually(t, func() bool { return kept() == 0 })
}
