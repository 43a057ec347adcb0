package peer

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"jacinthfork.example/jacinthfork/gateway/peer/peerpb"
)

// Guards against a busy router that loses its link because several questions that were open at once time out before its first
// late answer.
func TestLateAnswersKeepTheLink(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const questions = 8
	all := startFleet(t, 2)
	a, b := all[0], all[1]
	b.mu.Lock()
	b.late = make(chan struct{})
	b.mu.Unlock()
	var before []*link
	eventually(t, func() bool {
		a.fleet.Tell(b.fleet.node, &peerpb.Message{})
		before = a.fleet.openLinks(b.fleet.node)
		return len(before) > 0
	})
	var asked sync.WaitGroup
	for range questions {
		asked.Go(func() {
			a.fleet.Reserve(t.Context(), b.fleet.node, &peerpb.Reserve{Sequence: a.fleet.NextSequence(), Instance: 9})
		})
	}
	asked.Wait()
	close(b.late)
	for _, l := range before {
		is.NoErr(l.ctx.Err()) // the link is open after the questions of one moment have timed out
	}
	is.True(slices.Equal(before, a.fleet.openLinks(b.fleet.node)))
}

// Guards against a link that has gone silent for good and stays in use.
func TestSilentLinkIsClosed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	a := start(t, 0, listenAddress())
	a.fleet.merge([]*peerpb.Member{{Node: "node-001", Address: "127.0.0.1:1", Incarnation: 1, Status: peerpb.Status_ALIVE}})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	silent := &link{node: "node-001", out: make(chan *peerpb.Message, linkQueue), ctx: ctx, close: cancel}
	a.fleet.mu.Lock()
	a.fleet.links["node-001"] = []*link{silent}
	a.fleet.mu.Unlock()
	for round := range silentRounds {
		is.NoErr(silent.ctx.Err()) // open before the last round
		a.fleet.mu.Lock()
		delete(a.fleet.avoidUntil, "node-001")
		a.fleet.mu.Unlock()
		_, ok := a.fleet.Reserve(t.Context(), "node-001", &peerpb.Reserve{Sequence: uint64(round + 1)})
		is.True(!ok)
	}
	is.True(silent.ctx.Err() != nil)
}

// Guards against questions that time out together being taken for several rounds, and against a late answer that does not end
// the count.
func TestSilenceCountsRounds(t *testing.T) {
	is := is.New(t)
	at := func(ms int) time.Time { return time.UnixMilli(int64(1000 + ms)) }
	s := &silence{}
	is.True(!s.timedOut(at(0), at(40)))
	is.True(!s.timedOut(at(1), at(41)))   // the same round
	is.True(!s.timedOut(at(39), at(230))) // asked before the first time-out, with a wait
	is.True(s.timedOut(at(540), at(580)))

	s = &silence{}
	is.True(!s.timedOut(at(0), at(40)))
	s.heard(at(300))
	is.True(!s.timedOut(at(290), at(330))) // heard since it was asked
	is.True(!s.timedOut(at(540), at(580)))
	is.True(s.timedOut(at(1080), at(1120)))
}

// Guards against a request that waits at a silent keeper for all its time, after which it is too late for another one, and against
// one that gives up its wait at a keeper which is alive.
func TestWaitAtASilentKeeperEnds(t *testing.T) {
	t.Parallel()
	const wait = 10 * time.Second
	for name, alive := range map[string]bool{"silent": false, "alive": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			a := start(t, 0, listenAddress())
			a.fleet.merge([]*peerpb.Member{{Node: "node-001", Address: "127.0.0.1:1", Incarnation: 1, Status: peerpb.Status_ALIVE}})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			l := &link{node: "node-001", out: make(chan *peerpb.Message, linkQueue), ctx: ctx, close: cancel}
			a.fleet.mu.Lock()
			a.fleet.links["node-001"] = []*link{l}
			a.fleet.mu.Unlock()
			signs := 0
			var answering sync.WaitGroup
			answering.Go(func() {
				for {
					select {
					case <-ctx.Done():
						return
					case m := <-l.out:
						if q := m.GetLocate(); q != nil && alive {
							signs++
							a.fleet.receive(l, &peerpb.Message{Located: &peerpb.Located{Sequence: q.GetSequence()}})
						}
					}
				}
			})
			begin := time.Now()
			asking, give := context.WithTimeout(t.Context(), time.Second)
			defer give()
			_, ok := a.fleet.Reserve(asking, "node-001", &peerpb.Reserve{Sequence: a.fleet.NextSequence(), WaitMs: uint32(wait.Milliseconds())})
			took := time.Since(begin)
			cancel()
			answering.Wait()
			is.True(!ok)
			t.Logf("ended after %v, %d signs of life", took, signs)
			is.Equal(asking.Err() != nil, alive) // only a silent keeper ends the wait before its caller does
			is.True(signs <= int(took/probeInterval)+1)
		})
	}
}

// Guards against a keeper that is taken for silent because this process did not run, or because nobody has waited for a while.
func TestSignsOfLifeCountOnlyWhileLookedFor(t *testing.T) {
	is := is.New(t)
	at := func(ms int) time.Time { return time.UnixMilli(int64(1000 + ms)) }
	check := func(s *silence, ms int, wantAsk, wantSilent bool) {
		t.Helper()
		ask, silent := s.check(at(ms))
		is.Equal(ask, wantAsk)
		is.Equal(silent, wantSilent)
	}
	s := &silence{}
	check(s, 0, true, false)
	check(s, 50, false, false)
	check(s, 2050, false, false) // a pause
	check(s, 2100, false, false)
	check(s, 2150, false, true)
	s.heard(at(2160)) // it was late
	check(s, 2190, false, false)
	check(s, 2200, true, false)
	s.heard(at(2260))
	check(s, 60_000, true, false)
	check(s, 60_050, false, false)
}
