package fleettest

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/kernel/settings"
	_ "jacinthfork.example/jacinthfork/plugin/log/httplog"
	"jacinthfork.example/jacinthfork/services"
	"jacinthfork.example/jacinthfork/standin/logservice"
)

func TestMain(m *testing.M) { Main(m) }

// longEnough is a bound that only a hanging test reaches.
const longEnough = time.Minute

func httplog(t *testing.T, address string) services.Log {
	t.Helper()
	ctx := kernel.NewContext("test", kernel.NewLogger(io.Discard, slog.LevelInfo, "test"))
	log, err := kernel.Load[services.Log](ctx, kernel.KindLog, "httplog",
		settings.Table{"url": "http://" + address, "append_timeout": "1m"})
	if err != nil {
		t.Fatal(err)
	}
	return log
}

// Wrong usage must be told apart from a failure to run, and a signal must end a stand-in cleanly.
func TestExitStatus(t *testing.T) {
	is := is.New(t)
	bad := WriteFile(t, "bad.toml", "outage = \"broken\"\ncolour = 1")
	busy, err := net.Listen("tcp", net.JoinHostPort(Host(t), "0"))
	is.NoErr(err)
	defer busy.Close()
	for _, c := range []struct {
		args []string
		want int
	}{
		{[]string{"--help"}, 0},
		{[]string{"--version"}, 0},
		{[]string{}, 2},
		{[]string{"log", "--address", "localhost:1"}, 2},
		{[]string{"log", "--address", "0.0.0.0:0"}, 2},
		{[]string{"log", "--settings", bad}, 2},
		{[]string{"log", "--address", busy.Addr().String()}, 1},
	} {
		p := Start(t, Spec{Program: StandinProgram, Name: strings.Join(c.args, " "), Args: c.args})
		status, err := p.Wait(longEnough)
		is.NoErr(err)
		is.Equal(status, c.want) // exit status of the arguments
	}
	for _, kind := range []string{"log", "instances", "engine", "service"} {
		s := StartStandin(t, kind, "")
		s.Signal(syscall.SIGTERM)
		status, err := s.Wait(longEnough)
		is.NoErr(err)
		is.Equal(status, 0)
	}
}

// A settings file must have its effect, and a restart must keep the address and lose the state.
func TestRestart(t *testing.T) {
	is := is.New(t)
	s := StartStandin(t, "log", `max_record_bytes = 4`)
	log := httplog(t, s.Address)
	_, err := log.Append(t.Context(), "a", []byte("large"))
	is.True(err != nil && !services.MayBeStored(err))
	offset, err := log.Append(t.Context(), "a", []byte("1"))
	is.NoErr(err)
	is.Equal(offset, uint64(0))
	s.Kill()
	_, err = log.Append(t.Context(), "a", []byte("2"))
	is.True(err != nil)
	s.Restart()
	offset, err = log.Append(t.Context(), "a", []byte("3"))
	is.NoErr(err)
	is.Equal(offset, uint64(0))
}

// A paused process must hold its connections without answering, and go on after it resumes.
func TestPauseAndResume(t *testing.T) {
	is := is.New(t)
	s := StartStandin(t, "log", "")
	relay := NewRelay(t, Host(t), s.Address)
	log := httplog(t, relay.Address())
	_, err := log.Append(t.Context(), "a", []byte("1"))
	is.NoErr(err)
	s.Pause()
	sent := relay.Bytes(ToTarget)
	err = giveUp(t, log, "2", func() { waitFor(t, func() bool { return relay.Bytes(ToTarget) > sent }) })
	is.True(services.MayBeStored(err))
	is.Equal(relay.Connections(), 1)
	_, err = s.Wait(0)
	is.True(errors.Is(err, ErrStillRunning))
	s.Resume()
	_, err = httplog(t, s.Address).Append(t.Context(), "a", []byte("3"))
	is.NoErr(err)
}

// giveUp appends and cancels the append once until returns. It returns the error of the append.
func giveUp(t *testing.T, log services.Log, payload string, until func()) error {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	failed := start(ctx, log, payload)
	until()
	cancel()
	return <-failed
}

// start appends in the background.
func start(ctx context.Context, log services.Log, payload string) <-chan error {
	result := make(chan error, 1)
	go func() {
		_, err := log.Append(ctx, "a", []byte(payload))
		result <- err
	}()
	return result
}

// An answer that is stalled or cut on its way must leave the effect in place, or tests of lost
// answers would test lost requests.
func TestRelay(t *testing.T) {
	is := is.New(t)
	s := StartStandin(t, "log", "")
	relay := NewRelay(t, Host(t), s.Address)
	log := httplog(t, relay.Address())
	_, err := log.Append(t.Context(), "a", []byte("1"))
	is.NoErr(err)

	relay.Stall(FromTarget)
	err = giveUp(t, log, "2", func() { s.waitStored(2) })
	is.True(services.MayBeStored(err))
	cut := start(t.Context(), log, "3")
	s.waitStored(3)
	relay.Cut()
	is.True(services.MayBeStored(<-cut))

	relay.Unstall(FromTarget)
	relay.Refuse()
	_, err = httplog(t, relay.Address()).Append(t.Context(), "a", []byte("4"))
	is.True(err != nil && !services.MayBeStored(err))
	relay.Accept()
	offset, err := httplog(t, relay.Address()).Append(t.Context(), "a", []byte("5"))
	is.NoErr(err)
	is.Equal(offset, uint64(3))
	is.True(relay.Bytes(ToTarget) > 0 && relay.Bytes(FromTarget) > 0)
}

// waitStored waits until the log has stored n records.
func (s *Standin) waitStored(n int64) {
	s.t.Helper()
	waitFor(s.t, func() bool {
		var counters logservice.Counters
		s.Counts(&counters)
		return counters.Stored == n
	})
}

func waitFor(t testing.TB, reached func() bool) {
	t.Helper()
	for deadline := time.Now().Add(longEnough); !reached(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			t.Fatal("the state is not reached")
		}
	}
}
