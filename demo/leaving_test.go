package demo

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// drainDeadline is the target time within which routers must stop sending new work to a leaving instance.
const drainDeadline = 3 * time.Second

// An instance that is marked as leaving only in the instance list must get no new work after the target time
// and must finish its running requests. New chats must go to other instances.
func TestListedLeavingInstanceGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	options := DefaultOptions()
	options.Size = Size{Routers: 2, Engines: 3, Services: 1}
	options.Engine.TokenInterval = 100 * time.Millisecond
	fleet, err := Start(options)
	is.NoErr(err)
	defer fleet.Close()
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	is.NoErr(fleet.WaitReady(ctx))
	c := newClient()
	defer c.close()
	send := func(i, tokens int) (Response, error) {
		body := ChatRequest{Model: ModelPool, MaxTokens: tokens, Stream: true, Messages: []Message{{Role: "user", Content: fmt.Sprint("question ", i)}}}
		return c.chat(ctx, fleet.Routers[i%2].Address(), "org", "", body)
	}
	long := make(chan Response, 12)
	for i := range cap(long) {
		go func() {
			response, err := send(i, 60)
			if err != nil {
				response.Problem = err.Error()
			}
			long <- response
		}()
	}
	for _, e := range fleet.Engines {
		for e.Load().Running == 0 {
			is.NoErr(ctx.Err()) // each engine must be running one of the long chats
			time.Sleep(readyPollInterval)
		}
	}
	is.True(fleet.InstanceList.Leave("limon-01"))
	time.Sleep(drainDeadline)
	accepted := fleet.Engines[0].Counters().Accepted
	for i := range 12 {
		response, err := send(100+i, 2)
		is.NoErr(err)
		is.True(response.Complete)
	}
	is.Equal(fleet.Engines[0].Counters().Accepted, accepted)
	for range cap(long) {
		response := <-long
		is.Equal(response.Problem, "")
		is.True(response.Complete)
	}
}
