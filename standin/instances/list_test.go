package instances

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"jacinthfork.example/jacinthfork/services"
)

// Failure tests need readers that see different lists at the same time.
func TestLagDiffersByReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := New(Settings{Lag: time.Second, ReaderLag: map[string]time.Duration{"slow": 5 * time.Second}})
		l.Register(services.Instance{ID: "a"})
		size := func(reader string) int {
			list, err := l.ListFor(t.Context(), reader)
			is.NoErr(err)
			return len(list)
		}
		is.Equal(size("fast"), 0)
		time.Sleep(2 * time.Second)
		is.Equal([]int{size("fast"), size("slow")}, []int{1, 0})
		is.True(l.Remove("a"))
		time.Sleep(3 * time.Second)
		is.Equal([]int{size("fast"), size("slow")}, []int{0, 1})
		time.Sleep(2 * time.Second)
		is.Equal(size("slow"), 0)
	})
}

// Changes older than the longest lag are merged into the baseline and must stay in force.
func TestCompactedChangesStayInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := New(Settings{})
		l.Register(services.Instance{ID: "a"})
		time.Sleep(2 * maxLag)
		l.Register(services.Instance{ID: "b"})
		is.Equal(len(l.changes), 1)
		is.True(l.Leave("a"))
		is.Equal(l.Current(), []services.Instance{{ID: "a", Leaving: true}, {ID: "b"}})
	})
}

// The adapter of the instance list and operators use the HTTP interface.
func TestHTTPAppliesChangesAndFaults(t *testing.T) {
	is := is.New(t)
	l := New(Settings{})
	call := func(method, path, body string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		l.Handler.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
		return w
	}
	is.Equal(call("POST", "/instances", `{"id":"a","role":"router"}`).Code, http.StatusNoContent)
	is.Equal(call("POST", "/instances", `{}`).Code, http.StatusBadRequest)
	is.Equal(call("POST", "/instances/a/leaving", "").Code, http.StatusNoContent)
	is.True(strings.Contains(call("GET", "/instances", "").Body.String(), `"leaving":true`))
	is.Equal(call("DELETE", "/instances/a", "").Code, http.StatusNoContent)
	is.Equal(call("DELETE", "/instances/a", "").Code, http.StatusNotFound)
	is.Equal(call("PUT", "/inspect/settings", `{"outage":true,"reader_lag":{"x":"1s"}}`).Code, http.StatusOK)
	is.Equal(call("GET", "/instances", "").Code, http.StatusServiceUnavailable)
}
