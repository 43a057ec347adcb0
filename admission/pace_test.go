package admission

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against waiting requests that no completion wakes while the pace holds them back, and against a pace
// that outlives its reason.
func TestPaceKeepsGrantsApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		settings := DefaultSettings()
		settings.QueueWait = time.Second
		c, err := NewController(settings, Alone{}, nil)
		is.NoErr(err)
		const pause = 100 * time.Millisecond
		c.SetPace(pause)
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
		c.SetPace(0)
		is.Equal(admit(), 3*pause)
		is.Equal(admit(), 3*pause)
		c.SetPace(2 * settings.QueueWait)
		_, err = c.Admit(context.Background(), Request{Organisation: "a", DecodeTokens: 1})
		is.True(err != nil)
		is.Equal(time.Since(begin), 3*pause+settings.QueueWait)
	})
}
