package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against limits that ordinary callers reach, or that switch a bound off by mistake.
func TestLimitsAreChecked(t *testing.T) {
	is := is.New(t)
	valid := DefaultSettings()
	valid.Node, valid.CallerAddress, valid.ReadyAddress, valid.PeerAddress = "n", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	is.NoErr(valid.Validate())
	for name, change := range map[string]func(*Settings){
		"memory":      func(s *Settings) { s.MemoryBytes = 0 },
		"callers":     func(s *Settings) { s.CallerConnections = 0 },
		"serving":     func(s *Settings) { s.ServingConnections = s.CallerConnections },
		"peers":       func(s *Settings) { s.PeerConnections = 0 },
		"ready":       func(s *Settings) { s.ReadyConnections = -1 },
		"header":      func(s *Settings) { s.HeaderBytes = 1000 },
		"header time": func(s *Settings) { s.HeaderTimeout = time.Second },
		"body":        func(s *Settings) { s.BodyStall = time.Second },
		"response":    func(s *Settings) { s.ResponseStall = 0 },
		"buffer":      func(s *Settings) { s.SendBuffer = 1 },
	} {
		s := valid
		change(&s)
		if s.Validate() == nil {
			t.Errorf("%s: an invalid limit was accepted", name)
		}
	}
}
