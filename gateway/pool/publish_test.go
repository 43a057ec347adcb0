package pool

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against an entry that is written late and brings an instance back into use, and against a
// new start that is taken for the old one.
func TestPublicationsAreOrdered(t *testing.T) {
	is := is.New(t)
	r, _ := testRegistry()
	i := engine(1)
	i.Sequence = 5
	is.Equal(r.Publish(i), Joined)
	leaving := i
	leaving.Leaving, leaving.Sequence = true, 6
	is.Equal(r.Publish(leaving), Left)
	is.Equal(r.Publish(i), Stale)
	is.True(r.Choose(prompt(1)) == nil)
	is.Equal(r.Remove(i.ID), Removed)
	is.Equal(r.Publish(i), Stale)
	restarted := i
	restarted.Born, restarted.Sequence = 2, 1
	is.Equal(r.Publish(restarted), Joined)
	again := restarted
	again.Born = 3
	is.Equal(r.Publish(again), Restarted)
	is.Equal(r.Publish(restarted), Stale)
}

// Guards against a pool that is emptied because entries lapse while the store is away, and against
// instances that stay in use although they did not come back.
func TestLapsedEntriesHaveAGrace(t *testing.T) {
	is := is.New(t)
	r, c := testRegistry()
	is.Equal(r.Publish(engine(1)), Joined)
	is.Equal(r.Publish(engine(2)), Joined)
	r.StoreReturned()
	is.Equal(r.Remove("i-01"), Unchanged)
	is.Equal(r.Remove("i-02"), Unchanged)
	is.True(r.Choose(prompt(1)) != nil)
	back := engine(1)
	back.Sequence = 9
	is.Equal(r.Publish(back), Returned) // peers that know of the lapse are told
	read := c.now()
	c.advance(DefaultSettings().LapseGrace)
	is.Equal(len(r.Sweep(read)), 0) // nothing was read since, the entry may be back
	is.Equal(r.Sweep(c.now()), []string{"i-02"})
	is.Equal(r.Choose(prompt(1)).Instance.ID, "i-01")
	is.Equal(r.Remove("i-01"), Removed) // the store is sound, so that the removal counts at once
}
