package verdict

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// Guards against an error without a verdict being reported as not-run.
func TestUnclassifiedErrorIsUnknown(t *testing.T) {
	is := is.New(t)
	is.Equal(Of(errors.New("reset")), Unknown)
	is.Equal((&Error{}).Verdict, Unknown)
}

// Guards against losing the verdict of an error that is wrapped with fmt.Errorf.
func TestVerdictSurvivesWrapping(t *testing.T) {
	is := is.New(t)
	err := fmt.Errorf("attempt 2: %w", New(NotRun, ReasonLeaving, "sidecar is leaving"))
	is.Equal(Of(err), NotRun)
	is.Equal(As(err).Reason, ReasonLeaving)
}

// Guards against a misspelt header value being parsed as a verdict.
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
