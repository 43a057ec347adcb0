package gateway

import (
	"bytes"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"jacinthfork.example/jacinthfork/gateway/routes"
	"jacinthfork.example/jacinthfork/internal/daemon"
)

// panickingProtocol is a Protocol with a fault.
type panickingProtocol struct{ Protocol }

func (panickingProtocol) ParseRequest(*http.Request) (RequestInfo, error) { panic("a fault") }

func (panickingProtocol) SetResponseHeader(http.Header, *RequestInfo) {}

// Guards against a request that ends with its connection, without an answer and without a word in the log, because
// serving it panics.
func TestPanicIsAnsweredAndLogged(t *testing.T) {
	is := is.New(t)
	g := newPlainFleet(1, nil)[0]
	table, err := routes.New(routes.Spec{Version: 1, Pools: []*routes.Pool{{Name: "plain"}}, Routes: []*routes.Route{
		{Name: "r", Host: "h", Prefix: "/", MaxAttempts: 1, Targets: []routes.Target{{Pool: "plain", Weight: 1}}},
	}})
	is.NoErr(err)
	g.table.Store(table)
	var log bytes.Buffer
	g.log = slog.New(slog.NewTextHandler(&log, nil))
	g.env.Protocol = panickingProtocol{}
	g.started = make(chan struct{})
	close(g.started)
	server := httptest.NewUnstartedServer(http.HandlerFunc(g.serveCaller))
	server.Config.ErrorLog = slog.NewLogLogger(daemon.NewDiscardLogger("").Handler(), slog.LevelDebug)
	server.Start()
	defer server.Close()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/x", strings.NewReader("body"))
	is.NoErr(err)
	request.Host = "h"
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	defer response.Body.Close()
	is.Equal(response.StatusCode, http.StatusBadGateway) // it may have run
	is.True(strings.Contains(log.String(), "a fault"))
}
