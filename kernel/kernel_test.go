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

type testPlugin struct {
	Size        int `toml:"size" min:"1"`
	provisioned bool
}

func (p *testPlugin) Provision(*Context) error {
	p.provisioned = true
	return nil
}

func (p *testPlugin) Validate() error {
	if p.Size == 13 {
		return errors.New("size 13 is not allowed")
	}
	return nil
}

const kindTest Kind = "probe"

func init() {
	Register(kindTest, "sized", func() any { return &testPlugin{Size: 5} })
}

func testContext() *Context {
	return NewContext("n1", NewLogger(io.Discard, slog.LevelInfo, "n1"))
}

func TestLoadProvisionsAndKeepsDefaults(t *testing.T) {
	is := is.New(t)
	p, err := Load[*testPlugin](testContext(), kindTest, "sized", nil)
	is.NoErr(err)
	is.Equal(p.Size, 5)
	is.True(p.provisioned)
}

// A plug-in with invalid settings must not be loaded.
func TestLoadRejectsInvalidSettings(t *testing.T) {
	is := is.New(t)
	for _, table := range []settings.Table{{"size": int64(13)}, {"size": int64(0)}, {"colour": "red"}} {
		_, err := Load[*testPlugin](testContext(), kindTest, "sized", table)
		is.True(err != nil)
	}
	_, err := Load[*testPlugin](testContext(), kindTest, "none", nil)
	is.True(strings.Contains(err.Error(), "sized"))
	_, err = Load[io.Writer](testContext(), kindTest, "sized", nil)
	is.True(err != nil)
}

// Two plug-ins with the same name would make the settings ambiguous.
func TestRegisterTwicePanics(t *testing.T) {
	is := is.New(t)
	defer func() { is.True(recover() != nil) }()
	Register(kindTest, "sized", func() any { return nil })
}

// Tools parse /debug/vars, so its output must be valid JSON for every type of variable.
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
