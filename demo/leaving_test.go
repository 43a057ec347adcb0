package demo

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// leavingLimit is the target for the time after which a leaving instance gets no new work.
const leavingLimit = 3 * time.Second

// An instance whose departure is only known to the instance list must get no new work after the
// target time, must finish what it runs, and its chats must go elsewhere.
func TestListedDeparture(t *testing.T) {
	is := is.New(t)
	options := DefaultOptions()
	options.Size = Size{Routers: 2, Engines: 3, Services: 1}
	options.Engine.TokenInterval = 100 * time.Millisecond
	fleet, err := Start(options)
	is.NoErr(err)
	defer fleet.Close()
	ctx, cancel := context.WithTimeout(context.Background(), runLimit)
	defer cancel()
	is.NoErr(fleet.WaitReady(ctx))
	c := newClient()
	defer c.close()
	send := func(i, tokens int) (Reply, error) {
		body := ChatBody{Model: ModelPool, MaxTokens: tokens, Stream: true, Messages: []Message{{Role: "user", Content: fmt.Sprint("question ", i)}}}
		return c.chat(ctx, fleet.Routers[i%2].Address(), "org", "", body)
	}
	long := make(chan Reply, 12)
	for i := range cap(long) {
		go func() {
			reply, err := send(i, 60)
			if err != nil {
				reply.Problem = err.Error()
			}
			long <- reply
		}()
	}
	for _, e := range fleet.Engines {
		for e.Load().Running == 0 {
			is.NoErr(ctx.Err()) // each engine must get one of the long chats
			time.Sleep(readyPoll)
		}
	}
	is.True(fleet.List.Leave("limon-01"))
	time.Sleep(leavingLimit)
	accepted := fleet.Engines[0].Counters().Accepted
	for i := range 12 {
		reply, err := send(100+i, 2)
		is.NoErr(err)
		is.True(reply.Whole)
	}
	is.Equal(fleet.Engines[0].Counters().Accepted, accepted)
	for range cap(long) {
		reply := <-long
		is.Equal(reply.Problem, "")
		is.True(reply.Whole)
	}
}
