package httplist

import (
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/kernel/settings"
	"jacinthfork.example/jacinthfork/services"
	"jacinthfork.example/jacinthfork/standin/instances"
)

func load(t *testing.T, ctx *kernel.Context, url string) services.InstanceList {
	t.Helper()
	list, err := kernel.Load[services.InstanceList](ctx, kernel.KindInstances, "httplist", settings.Table{"url": url})
	if err != nil {
		t.Fatal(err)
	}
	return list
}

func testContext() *kernel.Context {
	return kernel.NewContext("n1", kernel.NewLogger(io.Discard, slog.LevelInfo, "n1"))
}

// Requests must carry the instance's own ID as the reader, and an invalid entry must not hide the valid ones.
func TestListSkipsInvalidEntries(t *testing.T) {
	is := is.New(t)
	source := instances.New(instances.Settings{ReaderLag: map[string]time.Duration{"n2": time.Hour}})
	is.NoErr(source.Start("127.0.0.1:0"))
	defer source.Close()
	valid := services.Instance{ID: "s1", Role: services.RoleSidecar, Pool: "scribe", Address: "127.0.0.2:70", Leaving: true}
	source.Register(valid)
	for _, invalid := range []services.Instance{
		{ID: "s2", Role: services.RoleSidecar, Pool: "scribe"},
		{ID: "s3", Role: "boss"},
		{ID: "s4", Role: services.RoleRouter, OperatorAddress: "name:80"},
	} {
		source.Register(invalid)
	}
	ctx := testContext()
	got, err := load(t, ctx, source.URL()).List(t.Context())
	is.NoErr(err)
	is.Equal(got, []services.Instance{valid})
	is.Equal(ctx.Counters.Int("instance_list_invalid_entries").Value(), int64(3))

	other := testContext()
	other.Instance = "n2"
	got, err = load(t, other, source.URL()).List(t.Context())
	is.NoErr(err)
	is.Equal(len(got), 0)
}

// A malformed response must be an error, because an empty list would mean a fleet without members.
func TestMalformedResponsesAreErrors(t *testing.T) {
	for _, body := range []string{"{}", "[]", "", `{"instances":null}`} {
		is := is.New(t)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, body)
		}))
		_, err := load(t, testContext(), server.URL).List(t.Context())
		is.True(err != nil)
		server.Close()
	}
}
