package admission

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"jacinthfork.example/jacinthfork/verdict"
)

// A pool with one request on each engine must be able to take a second one somewhere, and still
// must not put it on an engine that is above the mean.
func TestPoolOfFewRequestsCanGrow(t *testing.T) {
	is := is.New(t)
	controller := func(others uint64) *Controller {
		c, err := NewController(DefaultSettings(), &fixedPool{others, 6}, nil)
		is.NoErr(err)
		_, err = c.Admit(context.Background(), Request{Organisation: "o", DecodeTokens: 1000})
		is.NoErr(err)
		return c
	}
	level := controller(5000)
	_, err := level.Admit(context.Background(), Request{Organisation: "o", DecodeTokens: 1000})
	is.Equal(verdict.As(err).Reason, verdict.ReasonOverBound)
	_, err = level.Admit(context.Background(), Request{Organisation: "o", DecodeTokens: 1000, AtMean: true})
	is.NoErr(err)

	above := controller(1000)
	_, err = above.Admit(context.Background(), Request{Organisation: "o", DecodeTokens: 1000, AtMean: true})
	is.Equal(verdict.As(err).Reason, verdict.ReasonOverBound)
}

// A pool that prefers an even load sets the size of a large request instead: engines take work up
// to it without news of the others, and nothing beyond the bound.
func TestLoadUpToOneRequestIsTaken(t *testing.T) {
	is := is.New(t)
	settings := DefaultSettings()
	settings.OneRequestTokens = 2000
	c, err := NewController(settings, &fixedPool{0, 6}, nil)
	is.NoErr(err)
	for range 2 {
		_, err = c.Admit(context.Background(), Request{Organisation: "o", DecodeTokens: 1000})
		is.NoErr(err)
	}
	_, err = c.Admit(context.Background(), Request{Organisation: "o", DecodeTokens: 1000})
	is.Equal(verdict.As(err).Reason, verdict.ReasonOverBound)
}
