package httplog

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/kernel/settings"
	"jacinthfork.example/jacinthfork/services"
	"jacinthfork.example/jacinthfork/standin/logservice"
)

func newTestLog(t *testing.T, url string) *Log {
	t.Helper()
	ctx := kernel.NewContext("n1", kernel.NewLogger(io.Discard, slog.LevelInfo, "n1"))
	log, err := kernel.Load[services.Log](ctx, kernel.KindLog, "httplog",
		settings.Table{"url": url, "append_timeout": "1m"})
	if err != nil {
		t.Fatal(err)
	}
	return log.(*Log)
}

func startStore(t *testing.T, s logservice.Settings) *logservice.Store {
	t.Helper()
	store := logservice.New(s)
	if err := store.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = store.Close() })
	return store
}

func TestStreamNameAndBinaryPayloadRoundTrip(t *testing.T) {
	is := is.New(t)
	store := startStore(t, logservice.Settings{})
	log := newTestLog(t, store.URL())
	const stream = "claims/pedidos/0/a b%2F"
	offset, err := log.Append(t.Context(), stream, []byte{0, 1, 255})
	is.NoErr(err)
	is.Equal(offset, uint64(0))
	is.Equal(store.Streams()[0].Name, stream)
	page, err := log.Read(t.Context(), stream, 0, 10, 0)
	is.NoErr(err)
	is.Equal(page.Records[0].Payload, []byte{0, 1, 255})
	is.Equal(page.Next, uint64(1))
}

// Guards against a long poll that returns at the end of its wait instead of when the record arrives.
func TestReadReturnsWhenRecordArrives(t *testing.T) {
	is := is.New(t)
	store := startStore(t, logservice.Settings{})
	log := newTestLog(t, store.URL())
	got := make(chan services.Page, 1)
	go func() {
		page, _ := log.Read(t.Context(), "config", 0, 10, time.Minute)
		got <- page
	}()
	for store.Counters().Reads == 0 {
		time.Sleep(time.Millisecond)
	}
	_, err := store.Append(t.Context(), "config", []byte("x"))
	is.NoErr(err)
	is.Equal(len((<-got).Records), 1)
}

// Guards against reporting an append as not stored when it is stored, which lets an action run twice. The
// opposite error only costs a read.
func TestAppendErrorReportsMayBeStored(t *testing.T) {
	cases := []struct {
		name     string
		settings logservice.Settings
		want     bool
	}{
		{"outage", logservice.Settings{Outage: logservice.OutageRefuse}, false},
		{"hang", logservice.Settings{Outage: logservice.OutageHang}, true},
		{"lost reply", logservice.Settings{LoseResponses: 1}, true},
		{"late", logservice.Settings{LateAppends: 1}, true},
		{"too large", logservice.Settings{MaxRecordBytes: 1}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			store := startStore(t, c.settings)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if c.settings.Outage == logservice.OutageHang {
				go cancelOnArrival(store, cancel)
			}
			_, err := newTestLog(t, store.URL()).Append(ctx, "s", []byte("record"))
			is.True(err != nil)
			is.Equal(services.MayBeStored(err), c.want)
		})
	}
}

// cancelOnArrival cancels once the store has received an append.
func cancelOnArrival(store *logservice.Store, cancel func()) {
	for store.Counters().Appends == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
}

// Guards against trusting a response that the log service did not send: it proves nothing unless its status does.
func TestResponsesNotFromLogService(t *testing.T) {
	cases := []struct {
		status int
		body   string
		want   bool
	}{
		{http.StatusBadGateway, "<html>", true},
		{http.StatusServiceUnavailable, `{"error":"x"}`, true},
		{http.StatusInternalServerError, `{"may_be_stored":false}`, false},
		{http.StatusTooManyRequests, "", false},
		{http.StatusTooManyRequests, `{"may_be_stored":true}`, true},
		{http.StatusCreated, "{}", true},
		{http.StatusCreated, "{", true},
		{http.StatusTemporaryRedirect, "", true},
	}
	for _, c := range cases {
		is := is.New(t)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(c.status)
			_, _ = io.WriteString(w, c.body)
		}))
		_, err := newTestLog(t, server.URL).Append(t.Context(), "s", nil)
		is.True(err != nil)
		is.Equal(services.MayBeStored(err), c.want) // cleared only by may_be_stored or by the status
		server.Close()
	}
}

// Guards against reporting an append as possibly stored when its request was never sent, whatever the reason.
func TestUnsentAppendIsNotStored(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	log := newTestLog(t, "http://"+address)
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	for name, f := range map[string]func() error{
		"connection refused": func() error { _, err := log.Append(t.Context(), "s", nil); return err },
		"cancelled":          func() error { _, err := log.Append(cancelled, "s", nil); return err },
		"name":               func() error { _, err := log.Append(t.Context(), "a//b", nil); return err },
		"size":               func() error { _, err := log.Append(t.Context(), "s", make([]byte, 2<<20)); return err },
	} {
		t.Run(name, func(t *testing.T) {
			err := f()
			if err == nil || services.MayBeStored(err) {
				t.Fatalf("want an error that proves the record is not stored, got %v", err)
			}
		})
	}
}

// Guards against a page with invalid offsets, which would corrupt the state that is built from it.
func TestInvalidPageIsRejected(t *testing.T) {
	is := is.New(t)
	for _, a := range []pageResponse{
		{Records: []recordResponse{{Offset: 1}}, Next: 5},
		{Records: []recordResponse{{Offset: 3}, {Offset: 3}}, Next: 5},
		{Records: []recordResponse{{Offset: 5}}, Next: 5},
		{Records: []recordResponse{{Offset: 2}}, Earliest: 3, Next: 5},
	} {
		_, err := a.page(2)
		is.True(err != nil)
	}
}
