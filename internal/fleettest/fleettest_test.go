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

// testTimeout limits each wait of the tests. It is so long that only a hanging test reaches it.
const testTimeout = time.Minute

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

// Guards against an exit status that does not distinguish wrong usage from a failure to run, and against a
// stand-in that does not exit with 0 after SIGTERM.
func TestStandinExitStatus(t *testing.T) {
	is := is.New(t)
	bad := WriteFile(t, "bad.toml", "outage = \"broken\"\ncolour = 1")
	busy, err := net.Listen("tcp", net.JoinHostPort(LoopbackIP(t), "0"))
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
		status, err := p.Wait(testTimeout)
		is.NoErr(err)
		is.Equal(status, c.want) // exit status of the arguments
	}
	for _, kind := range []string{"log", "instances", "engine", "service"} {
		s := StartStandin(t, kind, "")
		s.Signal(syscall.SIGTERM)
		status, err := s.Wait(testTimeout)
		is.NoErr(err)
		is.Equal(status, 0)
	}
}

// Guards against a settings file without effect, and against a restart that changes the address or keeps the
// state.
func TestRestartKeepsAddressAndLosesState(t *testing.T) {
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

// Guards against a failed stop whose report does not tell a process that does not run from one that has lost the signal.
func TestSchedulingStateShowsPendingSignal(t *testing.T) {
	is := is.New(t)
	s := StartStandin(t, "log", "")
	s.Pause()
	s.Signal(syscall.SIGTERM)
	state := s.SchedulingState()
	is.True(strings.Contains(state, "State T"))
	is.True(strings.Contains(state, "ShdPnd 0000000000004000")) // bit of SIGTERM
	s.Resume()
	status, err := s.Wait(testTimeout)
	is.NoErr(err)
	is.Equal(status, 0)
}

// Guards against a pause that closes connections or does not stop the process, and against a process that
// does not continue after Resume.
func TestPausedProcessHoldsConnections(t *testing.T) {
	is := is.New(t)
	s := StartStandin(t, "log", "")
	relay := NewRelay(t, LoopbackIP(t), s.Address)
	log := httplog(t, relay.Address())
	_, err := log.Append(t.Context(), "a", []byte("1"))
	is.NoErr(err)
	s.Pause()
	sent := relay.Bytes(ToTarget)
	err = cancelledAppend(t, log, "2", func() { waitFor(t, func() bool { return relay.Bytes(ToTarget) > sent }) })
	is.True(services.MayBeStored(err))
	is.Equal(relay.Connections(), 1)
	_, err = s.Wait(0)
	is.True(errors.Is(err, ErrStillRunning))
	s.Resume()
	_, err = httplog(t, s.Address).Append(t.Context(), "a", []byte("3"))
	is.NoErr(err)
}

// cancelledAppend starts an append, cancels it when until returns and returns its error.
func cancelledAppend(t *testing.T, log services.Log, payload string, until func()) error {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	failed := startAppend(ctx, log, payload)
	until()
	cancel()
	return <-failed
}

// startAppend appends in the background.
func startAppend(ctx context.Context, log services.Log, payload string) <-chan error {
	result := make(chan error, 1)
	go func() {
		_, err := log.Append(ctx, "a", []byte(payload))
		result <- err
	}()
	return result
}

// Guards against a relay that loses the request when only the response is stalled or cut. Tests of lost
// responses would then test lost requests instead.
func TestRelayFaultsKeepStoredRecords(t *testing.T) {
	is := is.New(t)
	s := StartStandin(t, "log", "")
	relay := NewRelay(t, LoopbackIP(t), s.Address)
	log := httplog(t, relay.Address())
	_, err := log.Append(t.Context(), "a", []byte("1"))
	is.NoErr(err)

	relay.Stall(FromTarget)
	err = cancelledAppend(t, log, "2", func() { s.waitStored(2) })
	is.True(services.MayBeStored(err))
	cut := startAppend(t.Context(), log, "3")
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
	for deadline := time.Now().Add(testTimeout); !reached(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			t.Fatal("timeout while waiting for a condition")
		}
	}
}
