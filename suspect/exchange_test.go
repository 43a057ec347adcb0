package suspect

import (
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"jacinthfork.example/jacinthfork/internal/proptest"
	"jacinthfork.example/jacinthfork/wire"
)

// suspectMessages generates messages about a few fingerprints and crash IDs, so that they overlap.
var suspectMessages = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) *wire.Suspect {
	s := &wire.Suspect{
		Fingerprint: rapid.Uint64Range(1, 3).Draw(t, "fingerprint"),
		AgeS:        rapid.Uint32Range(0, 400).Draw(t, "age"),
	}
	for range rapid.IntRange(1, 6).Draw(t, "crashes") {
		s.Evidence = append(s.Evidence, &wire.CrashEvidence{
			Id:      rapid.Uint64Range(1, 40).Draw(t, "id"),
			Alone:   rapid.Bool().Draw(t, "alone"),
			Excused: rapid.Bool().Draw(t, "excused"),
			Cleared: rapid.Bool().Draw(t, "cleared"),
		})
	}
	return s
}), 1, 12)

// mergedEntries returns the entries that result from merging the messages in order.
func mergedEntries(t *testing.T, messages []*wire.Suspect) map[uint64]entry {
	table := newTable(t, newClock(), DefaultSettings(), "a", []string{"a"})
	out := make(map[uint64]entry)
	for _, s := range messages {
		e := out[s.GetFingerprint()]
		e.merge(fromWire(s.GetEvidence()), table.now().Add(-time.Duration(s.GetAgeS())*time.Second))
		out[s.GetFingerprint()] = e
	}
	return out
}

// Guards against sidecars that disagree permanently because the result depends on the order or the number of
// the messages that they received.
func TestMergeIgnoresOrderAndDuplicates(t *testing.T) {
	proptest.Check(t, func(rt *rapid.T) {
		messages := suspectMessages.Draw(rt, "messages")
		shuffled := rapid.Permutation(append(messages, messages...)).Draw(rt, "shuffled")
		if want, got := mergedEntries(t, messages), mergedEntries(t, shuffled); !reflect.DeepEqual(want, got) {
			rt.Fatalf("merged entries %+v, with messages shuffled and repeated %+v", want, got)
		}
	})
}

// Guards against a table that grows beyond MaxEntries, evicts a refused request in favour of a suspect, or
// keeps an entry beyond Retention because two sidecars keep sending it to each other.
func TestTableStaysWithinMaxEntriesAndRetention(t *testing.T) {
	is := is.New(t)
	c := newClock()
	settings := unlimitedExposure()
	settings.MaxEntries = 4
	a := newTable(t, c, settings, "a", []string{"a"})
	b := newTable(t, c, settings, "b", []string{"b"})
	mustStart(t, a, 1, false)
	a.RecordCrash()
	mustStart(t, a, 1, true)
	a.RecordCrash()
	for fingerprint := uint64(2); fingerprint < 20; fingerprint++ {
		c.at = c.at.Add(time.Millisecond)
		a.Merge([]*wire.Suspect{{Fingerprint: fingerprint, Evidence: []*wire.CrashEvidence{{Id: fingerprint}}}})
	}
	is.Equal(len(a.entries), settings.MaxEntries)
	is.Equal(a.State(1), Refused)
	for end := c.at.Add(settings.Retention + time.Hour); c.at.Before(end); c.at = c.at.Add(900 * time.Millisecond) {
		fromA, fromB := a.Export(2), b.Export(2)
		c.at = c.at.Add(10 * time.Millisecond)
		b.Merge(fromA)
		a.Merge(fromB)
	}
	is.Equal(len(a.Export(10)), 0)
}
