package verdict

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// An error that nobody classified must never be reported as not-run.
func TestUnclassifiedErrorIsUnknown(t *testing.T) {
	is := is.New(t)
	is.Equal(Of(errors.New("reset")), Unknown)
	is.Equal((&Error{}).Verdict, Unknown)
}

// Wrapping with fmt.Errorf must not lose the verdict.
func TestVerdictSurvivesWrapping(t *testing.T) {
	is := is.New(t)
	err := fmt.Errorf("attempt 2: %w", New(NotRun, ReasonLeaving, "sidecar is leaving"))
	is.Equal(Of(err), NotRun)
	is.Equal(As(err).Reason, ReasonLeaving)
}

// A typo in a header must not parse as a verdict.
func TestParseRejectsOtherText(t *testing.T) {
	is := is.New(t)
	for _, v := range []Verdict{Unknown, NotRun, Ran} {
		got, err := Parse(v.String())
		is.NoErr(err)
		is.Equal(got, v)
	}
	_, err := Parse("notrun")
	is.True(err != nil)
}
