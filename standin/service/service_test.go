package service

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// At-most-once tests rely on the difference between a connection that breaks before the execution and one
// that breaks after it.
func TestFaultsApplyBeforeOrAfterExecution(t *testing.T) {
	cases := []struct {
		fault    Fault
		answered bool
		executed int
	}{
		{FaultNone, true, 1},
		{FaultRefuse, true, 0},
		{FaultDropBefore, false, 0},
		{FaultDropAfter, false, 1},
	}
	for _, c := range cases {
		t.Run(string(c.fault), func(t *testing.T) {
			is := is.New(t)
			s := New(Settings{Fault: c.fault, FaultCount: 1, FaultBody: "marked"})
			is.NoErr(s.Start("127.0.0.1:0"))
			defer s.Close()
			is.NoErr(post(s, "other", "plain"))
			err := post(s, "k", "marked")
			is.Equal(err == nil, c.answered)
			is.Equal(s.Executions("k"), c.executed)
			is.NoErr(post(s, "k", "marked"))
			is.Equal(s.Executions("k"), c.executed+1)
			is.Equal(s.Counters().RepeatedActions, int64(c.executed))
		})
	}
}

// noKeepAliveClient opens a connection for each request. On a reused connection, net/http retries a request
// with an Idempotency-Key after the connection breaks.
var noKeepAliveClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func post(s *Service, key, body string) error {
	req, err := http.NewRequest("POST", s.URL()+"/orders", strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Idempotency-Key", key)
	resp, err := noKeepAliveClient.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// Executions must be counted separately by key and body; otherwise a duplicate could be hidden by another
// request.
func TestExecutionsAreCountedByKeyAndBody(t *testing.T) {
	is := is.New(t)
	s := New(Settings{Status: 201})
	is.NoErr(s.Start("127.0.0.1:0"))
	defer s.Close()
	for _, body := range []string{"a", "a", "b"} {
		is.NoErr(post(s, "k", body))
	}
	all := s.AllExecutions()
	is.Equal(len(all), 2)
	is.Equal(all[0], Execution{Key: "k", Method: "POST", Path: "/orders", Body: BodyHash([]byte("a")), Count: 2})
	is.Equal(all[1].Count, 1)
}
