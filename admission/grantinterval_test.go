package admission

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Queued requests that only the minimum interval delays must be granted by its timer, because no completion
// triggers a dispatch then. Setting the interval to 0 must take effect at once, and a request whose queue wait
// ends before the interval must be refused.
func TestGrantsKeepMinimumInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		settings := DefaultSettings()
		settings.QueueWait = time.Second
		c, err := NewController(settings, SingleMember{}, nil)
		is.NoErr(err)
		const pause = 100 * time.Millisecond
		c.SetGrantInterval(pause)
		begin := time.Now()
		admit := func() time.Duration {
			grant, err := c.Admit(context.Background(), Request{Organisation: "a", DecodeTokens: 1})
			is.NoErr(err)
			grant.Done()
			return time.Since(begin)
		}
		for n := range 4 {
			is.Equal(admit(), time.Duration(n)*pause)
		}
		c.SetGrantInterval(0)
		is.Equal(admit(), 3*pause)
		is.Equal(admit(), 3*pause)
		c.SetGrantInterval(2 * settings.QueueWait)
		_, err = c.Admit(context.Background(), Request{Organisation: "a", DecodeTokens: 1})
		is.True(err != nil)
		is.Equal(time.Since(begin), 3*pause+settings.QueueWait)
	})
}
