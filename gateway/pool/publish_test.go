package pool

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a late publication that brings an instance back into use, and against a restart that is
// mistaken for the previous incarnation of the instance.
func TestStalePublicationsAreIgnored(t *testing.T) {
	is := is.New(t)
	r, _ := testRegistry()
	i := testInstance(1)
	i.Sequence = 5
	is.Equal(r.ApplyEntry(i), Joined)
	leaving := i
	leaving.Leaving, leaving.Sequence = true, 6
	is.Equal(r.ApplyEntry(leaving), Leaving)
	is.Equal(r.ApplyEntry(i), Stale)
	is.True(r.Acquire(testPrompt(1)) == nil)
	is.Equal(r.Remove(i.ID), Removed)
	is.Equal(r.ApplyEntry(i), Stale)
	restarted := i
	restarted.StartedAt, restarted.Sequence = 2, 1
	is.Equal(r.ApplyEntry(restarted), Joined)
	again := restarted
	again.StartedAt = 3
	is.Equal(r.ApplyEntry(again), Restarted)
	is.Equal(r.ApplyEntry(restarted), Ended)
}

// Guards against entries that expire during an outage of the store and empty the pool, and against instances
// that stay in use although they were not published again.
func TestExpiredEntriesStayUsableDuringGracePeriod(t *testing.T) {
	is := is.New(t)
	r, c := testRegistry()
	is.Equal(r.ApplyEntry(testInstance(1)), Joined)
	is.Equal(r.ApplyEntry(testInstance(2)), Joined)
	r.RecordStoreRecovery()
	is.Equal(r.Remove("i-01"), Unchanged)
	is.Equal(r.Remove("i-02"), Unchanged)
	is.True(r.Acquire(testPrompt(1)) != nil)
	republished := testInstance(1)
	republished.Sequence = 9
	is.Equal(r.ApplyEntry(republished), Returned) // peers that know of the expiry are told
	read := c.now()
	c.advance(DefaultSettings().ExpiryGrace)
	is.Equal(len(r.Sweep(read)), 0) // nothing was read since, so the entry may have been published again
	is.Equal(r.Sweep(c.now()), []string{"i-02"})
	is.Equal(r.Acquire(testPrompt(1)).Instance.ID, "i-01")
	is.Equal(r.Remove("i-01"), Removed) // the store is available, so the removal applies at once
}
