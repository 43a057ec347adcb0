package static

import (
	"io"
	"log/slog"
	"strings"
	"testing"

	"github.com/matryer/is"
	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/kernel/settings"
	"jacinthfork.example/jacinthfork/services"
)

func load(text string) (services.InstanceList, error) {
	var file struct {
		Static settings.Table `toml:"static"`
	}
	if err := settings.Parse("f", text, &file); err != nil {
		return nil, err
	}
	ctx := kernel.NewContext("n1", kernel.NewLogger(io.Discard, slog.LevelInfo, "n1"))
	return kernel.Load[services.InstanceList](ctx, kernel.KindInstances, "static", file.Static)
}

const good = `
[[static.instance]]
id = "s1"
role = "sidecar"
pool = "ledger"
address = "127.0.0.2:70"
failure_domain = "a"
region = "gondar"
`

func TestListReturnsConfiguredInstances(t *testing.T) {
	is := is.New(t)
	list, err := load(good)
	is.NoErr(err)
	got, err := list.List(t.Context())
	is.NoErr(err)
	is.Equal(got, []services.Instance{{
		ID: "s1", Role: services.RoleSidecar, Pool: "ledger", Address: "127.0.0.2:70", FailureDomain: "a", Region: "gondar",
	}})
}

// An error in a static list must make loading fail, because the list does not change at run time.
func TestInvalidEntriesAreRejected(t *testing.T) {
	for text, want := range map[string]string{
		good + good: "twice",
		strings.Replace(good, `pool = "ledger"`, "", 1):             "needs a pool",
		strings.Replace(good, `"sidecar"`, `"boss"`, 1):             "boss",
		strings.Replace(good, `"127.0.0.2:70"`, `"host:70"`, 1):     "IP address",
		strings.Replace(good, `address = "127.0.0.2:70"`, "", 1):    "needs an address",
		strings.Replace(good, "[[static.instance]]", "[static]", 1): "unknown key",
	} {
		_, err := load(text)
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want %q, got %v", want, err)
		}
	}
}
