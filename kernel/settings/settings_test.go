package settings

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

type sample struct {
	Name    string            `toml:"name" required:"true"`
	Listen  Address           `toml:"listen"`
	Backend URL               `toml:"backend"`
	Wait    time.Duration     `toml:"wait" min:"1ms" max:"10s"`
	Factor  float64           `toml:"factor" min:"1" max:"4"`
	Count   int               `toml:"count" min:"1"`
	Keys    []Secret          `toml:"keys"`
	Labels  map[string]string `toml:"labels"`
	Inner   inner             `toml:"inner"`
	Plugin  Table             `toml:"plugin"`
}

type inner struct {
	Low  int `toml:"low"`
	High int `toml:"high"`
}

func (i *inner) Validate() []error {
	if i.Low > i.High {
		return []error{errors.New("low is above high")}
	}
	return nil
}

const goodFile = `
name = "a"
listen = "127.0.0.1:80"
backend = "http://127.0.0.2:8080"
wait = "250ms"
factor = 2
count = 3
keys = ["k1", "k2"]
labels = { zone = "a" }
inner = { low = 1, high = 2 }
[plugin]
any = [1, 2]
`

func TestParseDecodesValidFile(t *testing.T) {
	is := is.New(t)
	s := sample{Count: 9}
	is.NoErr(Parse("good.toml", goodFile, &s))
	is.Equal(s.Wait, 250*time.Millisecond)
	is.Equal(s.Factor, 2.0)
	is.Equal(s.Keys[1].Reveal(), "k2")
	is.Equal(s.Labels["zone"], "a")
	is.Equal(len(s.Plugin), 1)
}

// All errors of a file must be reported at once. Otherwise an operator needs one restart for each error.
func TestAllErrorsAreReportedAtOnce(t *testing.T) {
	is := is.New(t)
	err := Parse("bad.toml", `
listen = "localhost:80"
backend = "ftp://127.0.0.1:1"
wait = "soon"
factor = 9.5
count = "3"
colour = "red"
inner = { low = 3, high = 2, mid = 1 }
`, &sample{})
	var errs FieldErrors
	is.True(errors.As(err, &errs))
	var keys []string
	for _, f := range errs {
		is.Equal(f.File, "bad.toml")
		keys = append(keys, f.Key)
	}
	is.Equal(strings.Join(keys, " "), "name listen backend wait factor count inner.mid colour")
}

// The Validate method of a nested table must be called, and its error must name the key of that table.
func TestNestedTableIsValidated(t *testing.T) {
	is := is.New(t)
	err := Parse("f", "name = \"a\"\ninner = { low = 3, high = 2 }", &sample{})
	is.Equal(err.Error(), "f: inner: low is above high")
}

// A secret must not appear in formatted output, with any verb.
func TestSecretIsHidden(t *testing.T) {
	is := is.New(t)
	s := struct{ Key Secret }{"hunter2"}
	for _, format := range []string{"%v", "%+v", "%#v", "%s"} {
		is.True(!strings.Contains(fmt.Sprintf(format, s), "hunter2"))
	}
}

// No settings file, however malformed, may crash the decoder.
func FuzzParse(f *testing.F) {
	f.Add(goodFile)
	f.Add("name = 1\n[[plugin]]\nx=1")
	f.Fuzz(func(t *testing.T, text string) {
		var s sample
		if err := Parse("f", text, &s); err == nil && s.Name == "" && !strings.Contains(text, "name") {
			t.Fatalf("the missing required key \"name\" was not reported for %q", text)
		}
	})
}

// Guards against an optional value that cannot be told from its zero value, and against one that is set although it is invalid.
func TestOptionalValueIsNilWithoutItsKey(t *testing.T) {
	is := is.New(t)
	var s struct {
		Flag  *bool    `toml:"flag"`
		Share *float64 `toml:"share" max:"1"`
	}
	is.NoErr(Parse("none.toml", "", &s))
	is.True(s.Flag == nil)
	is.True(Parse("bad.toml", "flag = 1\nshare = 2", &s) != nil)
	is.True(s.Flag == nil && s.Share == nil)
	is.NoErr(Parse("good.toml", "flag = false\nshare = 0.5", &s))
	is.Equal(*s.Flag, false)
	is.Equal(*s.Share, 0.5)
}
