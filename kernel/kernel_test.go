package kernel

import (
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"jacinthfork.example/jacinthfork/kernel/settings"
)

type probe struct {
	Size        int `toml:"size" min:"1"`
	provisioned bool
}

func (p *probe) Provision(*Context) error {
	p.provisioned = true
	return nil
}

func (p *probe) Validate() error {
	if p.Size == 13 {
		return errors.New("size 13 is refused")
	}
	return nil
}

const kindProbe Kind = "probe"

func init() {
	Register(kindProbe, "sized", func() any { return &probe{Size: 5} })
}

func testContext() *Context {
	return NewContext("n1", NewLogger(io.Discard, slog.LevelInfo, "n1"))
}

func TestLoadProvisionsAndKeepsDefaults(t *testing.T) {
	is := is.New(t)
	p, err := Load[*probe](testContext(), kindProbe, "sized", nil)
	is.NoErr(err)
	is.Equal(p.Size, 5)
	is.True(p.provisioned)
}

// A plug-in whose settings are wrong must not start.
func TestLoadRefusesFaults(t *testing.T) {
	is := is.New(t)
	for _, table := range []settings.Table{{"size": int64(13)}, {"size": int64(0)}, {"colour": "red"}} {
		_, err := Load[*probe](testContext(), kindProbe, "sized", table)
		is.True(err != nil)
	}
	_, err := Load[*probe](testContext(), kindProbe, "none", nil)
	is.True(strings.Contains(err.Error(), "sized"))
	_, err = Load[io.Writer](testContext(), kindProbe, "sized", nil)
	is.True(err != nil)
}

// Two plug-ins under one name would make settings ambiguous.
func TestRegisterTwicePanics(t *testing.T) {
	is := is.New(t)
	defer func() { is.True(recover() != nil) }()
	Register(kindProbe, "sized", func() any { return nil })
}

// Tools parse /debug/vars, so the output must be valid JSON for every kind of variable.
func TestCountersAreJSON(t *testing.T) {
	is := is.New(t)
	c := NewCounters()
	c.Int("requests").Add(2)
	c.Map("verdicts").Add("ran", 1)
	c.Func("state", func() any { return map[string]string{"a": "b"} })
	w := httptest.NewRecorder()
	c.ServeHTTP(w, httptest.NewRequest("GET", "/debug/vars", nil))
	var got struct {
		Requests int            `json:"requests"`
		Verdicts map[string]int `json:"verdicts"`
	}
	is.NoErr(json.Unmarshal(w.Body.Bytes(), &got))
	is.Equal(got.Requests, 2)
	is.Equal(got.Verdicts["ran"], 1)
}
