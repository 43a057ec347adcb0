package logservice

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"jacinthfork.example/jacinthfork/services"
)

// An injected fault without effect would let failure tests pass although nothing failed.
func TestAppendFaultsTakeEffect(t *testing.T) {
	cases := []struct {
		name        string
		settings    Settings
		mayBeStored bool
		stored      int64
	}{
		{"refuse", Settings{Outage: OutageRefuse}, false, 0},
		{"hang", Settings{Outage: OutageHang}, true, 0},
		{"lost answer", Settings{LoseResponses: 1}, true, 1},
		{"late", Settings{LateAppends: 1, LateBy: time.Minute}, true, 0},
		{"too large", Settings{MaxRecordBytes: 1}, false, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := New(c.settings)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				_, err := s.Append(ctx, "a", []byte("record"))
				is.True(err != nil)
				is.Equal(services.MayBeStored(err), c.mayBeStored)
				is.Equal(s.Counters().Stored, c.stored)
			})
		})
	}
}

// A late append must be stored after its caller got the error, and only once.
func TestLateAppendIsStoredOnceAfterError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := New(Settings{LateAppends: 1, LateBy: time.Minute})
		_, err := s.Append(t.Context(), "a", []byte("late"))
		is.True(services.MayBeStored(err))
		offset, err := s.Append(t.Context(), "a", []byte("prompt"))
		is.NoErr(err)
		is.Equal(offset, uint64(0))
		page, err := s.Read(t.Context(), "a", 1, 10, 2*time.Minute)
		is.NoErr(err)
		is.Equal(string(page.Records[0].Payload), "late")
		is.Equal(page.Next, uint64(2))
	})
}

// Readers detect lost records by Earliest, so expiry must advance it and leave offsets unchanged.
func TestExpiryMovesEarliestAndKeepsOffsets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := New(Settings{Retention: time.Hour})
		for range 3 {
			_, err := s.Append(t.Context(), "a", []byte("x"))
			is.NoErr(err)
		}
		s.Expire("a", 1)
		page, err := s.Read(t.Context(), "a", 0, 1, 0)
		is.NoErr(err)
		is.Equal(page.Records[0].Offset, uint64(1))
		is.Equal(page.Earliest, uint64(1))
		time.Sleep(2 * time.Hour)
		is.Equal(s.Streams(), []StreamRange{{"a", 3, 3}})
	})
}

// The rate limit must recover; otherwise one burst would block all later appends.
func TestRateLimitRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := New(Settings{AppendsPerSecond: 100})
		refused := 0
		for range 2000 {
			if _, err := s.Append(t.Context(), "a", nil); errors.Is(err, ErrRateLimited) {
				refused++
			}
			time.Sleep(time.Millisecond)
		}
		stored := 2000 - refused // in 2 seconds about 200 at 100 per second, and a burst of up to 10
		is.True(stored >= 199 && stored <= 211)
	})
}

// A fault on the streams of one prefix must not affect other streams. Reads must fail in an outage as well.
func TestFaultPrefixLeavesOtherStreamsAlone(t *testing.T) {
	is := is.New(t)
	s := New(Settings{Outage: OutageRefuse, FaultPrefix: "claims/"})
	_, err := s.Read(t.Context(), "claims/pedidos/0/1", 0, 1, 0)
	is.True(errors.Is(err, ErrOutage))
	_, err = s.Append(t.Context(), "config", []byte("x"))
	is.NoErr(err)
}

// Operators inject faults over HTTP; a misspelt key or an invalid value must be rejected.
func TestInspectSettingsRejectsWrongKeys(t *testing.T) {
	is := is.New(t)
	s := New(Settings{Retention: time.Hour})
	is.NoErr(s.Start("127.0.0.1:0"))
	defer s.Close()
	put := func(body string) int {
		req, err := http.NewRequest("PUT", s.URL()+"/inspect/settings", strings.NewReader(body))
		is.NoErr(err)
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		return resp.StatusCode
	}
	is.Equal(put(`{"outage":"hang","append_delay":"5ms","lose_answers":2}`), 200)
	is.Equal(s.Settings(), Settings{Outage: OutageHang, AppendDelay: 5 * time.Millisecond, LoseResponses: 2, Retention: time.Hour})
	for _, body := range []string{`{"outtage":"hang"}`, `{"outage":"broken"}`, `[]`, `{"append_delay":5}`} {
		is.Equal(put(body), 400)
	}
}
