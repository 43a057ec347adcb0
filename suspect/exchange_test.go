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

// suspects draws messages about a few fingerprints and crashes, so that they overlap.
var suspects = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) *wire.Suspect {
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

// evidence is the part of an entry that is joined.
func evidence(t *testing.T, messages []*wire.Suspect) map[uint64]entry {
	table := newTable(t, newClock(), DefaultSettings(), "a", []string{"a"})
	out := make(map[uint64]entry)
	for _, s := range messages {
		e := out[s.GetFingerprint()]
		e.join(fromWire(s.GetEvidence()), table.now().Add(-time.Duration(s.GetAgeS())*time.Second))
		out[s.GetFingerprint()] = e
	}
	return out
}

// The order and repetition of news must not matter, or sidecars could disagree for ever.
func TestJoin(t *testing.T) {
	proptest.Check(t, func(rt *rapid.T) {
		messages := suspects.Draw(rt, "messages")
		shuffled := rapid.Permutation(append(messages, messages...)).Draw(rt, "shuffled")
		if want, got := evidence(t, messages), evidence(t, shuffled); !reflect.DeepEqual(want, got) {
			rt.Fatalf("%+v, after another order and repeats %+v", want, got)
		}
	})
}

// The table must stay within MaxEntries and must not drop a refusal for a mere suspect; an entry
// sent back and forth must not be kept beyond Retention.
func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	c := newClock()
	settings := everywhere()
	settings.MaxEntries = 4
	a := newTable(t, c, settings, "a", []string{"a"})
	b := newTable(t, c, settings, "b", []string{"b"})
	start(t, a, 1, false)
	a.Crash()
	start(t, a, 1, true)
	a.Crash()
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
