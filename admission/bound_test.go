package admission

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"jacinthfork.example/jacinthfork/verdict"
)

// With one request on each engine, a second one exceeds the bound on every engine. With AtMean an engine at
// the mean must admit it, and an engine above the mean must still refuse it.
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

// OneRequestTokens is the alternative to AtMean for a pool that needs an even load: an engine must admit
// work up to that size even when the load of the other members is unknown, and nothing more beyond the bound.
func TestLoadUpToOneRequestTokensIsAdmitted(t *testing.T) {
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
