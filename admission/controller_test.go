package admission

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jacinthfork.example/jacinthfork/verdict"
)

// fixedPool is a pool with a constant total load of the other members, in tokens.
type fixedPool struct {
	others  uint64
	members int
}

func (p *fixedPool) Mean(own uint64) (uint64, int) { return p.others + own, p.members }

func newController(t testing.TB, change func(*Settings), pool Pool, limiter *Limiter) *Controller {
	t.Helper()
	settings := DefaultSettings()
	settings.CapacityTokens = 1000
	settings.CapacityRequests = 4
	settings.QueueRequests = 4
	if change != nil {
		change(&settings)
	}
	c, err := NewController(settings, pool, limiter)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func decodeRequest(organisation string, tokens uint64) Request {
	return Request{Organisation: organisation, DecodeTokens: tokens}
}

// Neither a second call of Done nor progress beyond the estimated tokens may release work twice.
func TestGrantReleasesWorkOnce(t *testing.T) {
	is := is.New(t)
	c := newController(t, nil, SingleMember{}, nil)
	g, err := c.Admit(context.Background(), Request{Organisation: "a", PromptTokens: 100, CachedTokens: 40, DecodeTokens: 50})
	is.NoErr(err)
	is.Equal(c.Load().Work, uint64(110))
	g.Progress(60, 0)
	is.Equal(c.Load().Work, uint64(50))
	g.Progress(60, 80)
	is.Equal(c.Load().Work, uint64(1)) // a running request counts for at least one token
	g.Done()
	g.Done()
	is.Equal(c.Load().Work, uint64(0))
	is.Equal(c.Load().InFlight, 0)
}

// A request over the load bound must be refused with verdict not-run. An idle engine must admit any request.
func TestRequestOverBoundIsRefused(t *testing.T) {
	is := is.New(t)
	c := newController(t, nil, &fixedPool{others: 0, members: 4}, nil)
	_, err := c.Admit(context.Background(), decodeRequest("a", 100))
	is.NoErr(err)
	_, err = c.Admit(context.Background(), decodeRequest("a", 1))
	is.Equal(verdict.As(err).Reason, verdict.ReasonOverBound)
	is.Equal(verdict.Of(err), verdict.NotRun)
}

// A queued request must leave the queue at its deadline and must not be granted later.
func TestQueuedRequestIsRefusedAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newController(t, func(s *Settings) { s.CapacityRequests = 1 }, SingleMember{}, nil)
		running, err := c.Admit(context.Background(), decodeRequest("a", 10))
		is.NoErr(err)
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, err = c.Admit(ctx, decodeRequest("a", 10))
		is.Equal(verdict.As(err).Reason, verdict.ReasonDeadline)
		is.Equal(c.Load().Waiting, 0)
		running.Done()
		is.Equal(c.Load().InFlight, 0)
	})
}

// Work admitted before an engine crash must not be counted after it, and its grants must not release work
// that was admitted after it.
func TestResetInvalidatesEarlierGrants(t *testing.T) {
	is := is.New(t)
	c := newController(t, nil, SingleMember{}, nil)
	old, err := c.Admit(context.Background(), decodeRequest("a", 10))
	is.NoErr(err)
	c.Reset()
	_, err = c.Admit(context.Background(), decodeRequest("a", 10))
	is.Equal(verdict.As(err).Reason, verdict.ReasonNotReady)
	c.Resume()
	_, err = c.Admit(context.Background(), decodeRequest("a", 20))
	is.NoErr(err)
	old.Done()
	is.Equal(c.Load().Work, uint64(20))
}

// Drain must refuse queued requests at once and close its channel only when the last request has ended.
func TestDrainRefusesQueuedAndWaitsForInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newController(t, func(s *Settings) { s.CapacityRequests = 1 }, SingleMember{}, nil)
		running, err := c.Admit(context.Background(), decodeRequest("a", 10))
		is.NoErr(err)
		waited := make(chan error)
		go func() {
			_, err := c.Admit(context.Background(), decodeRequest("a", 10))
			waited <- err
		}()
		synctest.Wait()
		drained := c.Drain()
		is.Equal(verdict.As(<-waited).Reason, verdict.ReasonLeaving)
		select {
		case <-drained:
			t.Fatal("drained channel closed with a request in flight")
		default:
		}
		running.Done()
		<-drained
	})
}

// An isolated request must run alone, and requests that arrive after it must not be admitted before it.
func TestIsolatedRequestRunsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newController(t, nil, SingleMember{}, nil)
		first, err := c.Admit(context.Background(), decodeRequest("a", 10))
		is.NoErr(err)
		granted := make(chan *Grant)
		go func() {
			g, _ := c.Admit(context.Background(), Request{Organisation: "a", DecodeTokens: 5, Isolate: true})
			granted <- g
		}()
		synctest.Wait()
		_, err = c.Admit(context.Background(), decodeRequest("b", 1))
		is.Equal(verdict.As(err).Reason, verdict.ReasonIsolation)
		first.Done()
		alone := <-granted
		is.Equal(c.Load().InFlight, 1)
		_, err = c.Admit(context.Background(), decodeRequest("b", 1))
		is.Equal(verdict.As(err).Reason, verdict.ReasonIsolation)
		alone.Done()
		_, err = c.Admit(context.Background(), decodeRequest("b", 1))
		is.NoErr(err)
	})
}

// A request must not wait behind the earlier backlog of another organisation.
func TestQueueOrderIsFair(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newController(t, func(s *Settings) { s.CapacityRequests = 1 }, SingleMember{}, nil)
		running, err := c.Admit(context.Background(), decodeRequest("backlog", 10))
		is.NoErr(err)
		granted := make(chan string, 4)
		for _, organisation := range []string{"backlog", "backlog", "backlog", "other"} {
			go func() {
				g, err := c.Admit(context.Background(), decodeRequest(organisation, 10))
				is.NoErr(err)
				granted <- organisation
				time.Sleep(100 * time.Millisecond)
				g.Done()
			}()
			synctest.Wait()
		}
		running.Done()
		is.Equal(<-granted, "other")
		for range 3 {
			is.Equal(<-granted, "backlog")
		}
		time.Sleep(time.Second)
	})
}

// Guards against capacity that is given away although requests use it that were admitted elsewhere.
func TestCountedRequestsTakeCapacity(t *testing.T) {
	is := is.New(t)
	c := newController(t, func(s *Settings) { s.CapacityRequests = 2 }, SingleMember{}, nil)
	running := []*Grant{c.Count(Request{DecodeTokens: 1}), c.Count(Request{DecodeTokens: 1}), c.Count(Request{DecodeTokens: 1})}
	is.Equal(c.Load().InFlight, 3)
	now := Request{Organisation: "a", DecodeTokens: 1, MaxWait: -1}
	for n, g := range running {
		_, err := c.Admit(t.Context(), now)
		is.Equal(err == nil, n >= 2)
		g.Done()
	}
}
