package journal

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// A full journal must keep its capacity and return the newest entries in order.
func TestFullJournalKeepsNewestEntries(t *testing.T) {
	is := is.New(t)
	j := New(3)
	for i := range 5 {
		j.Add(KindRoute, "r", fmt.Sprint(i))
	}
	got := j.Entries("r")
	is.Equal(len(got), 3)
	for i, e := range got {
		is.Equal(e.Text, fmt.Sprint(i+2))
	}
	is.Equal(len(j.Entries("other")), 0)
}

// Users of the packages may pass no journal, so the methods of a nil journal must not panic.
func TestNilJournalDiscardsEntries(t *testing.T) {
	is := is.New(t)
	var j *Journal
	j.Add(KindRoute, "r", "x")
	is.Equal(len(j.Entries("")), 0)
}
