package gateway

import (
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"jacinthfork.example/jacinthfork/gateway/backend"
	"jacinthfork.example/jacinthfork/gateway/poison"
	"jacinthfork.example/jacinthfork/gateway/pool"
	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/suspect"
)

// Guards against a sound request that is refused because two backend servers crashed while they were answering it: at a
// router with few requests it is the only one in flight, whoever else's request is the cause. One that had not been answered
// is refused.
func TestRequestBeingAnsweredIsNotBlamedAlone(t *testing.T) {
	for name, answered := range map[string]bool{"answered": true, "not answered": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const fingerprint = 5
			is := is.New(t)
			g := &Gateway{
				registry: pool.NewRegistry(pool.DefaultSettings(), "a"), connections: backend.NewPool(), metrics: newMetrics(kernel.NewCounters()),
				log: slog.New(slog.DiscardHandler), poison: poison.NewTable(),
			}
			var err error
			g.suspects, err = newSuspects()
			is.NoErr(err)
			crashed := make(chan struct{})
			g.crashes = newCrashDetector(func(i pool.Instance, failed []failedRequest) {
				g.recordCrash(i, failed)
				crashed <- struct{}{}
			})
			for _, id := range []string{"e-0", "e-1"} {
				s := &requestState{g: g, fingerprint: fingerprint, answered: answered}
				s.reportFailedConnection(&pool.Lease{Instance: pool.Instance{ID: id, Address: "127.0.0.1:1", StartedAt: 1}})
				select {
				case <-crashed:
				case <-time.After(5 * time.Second):
					t.Fatal("the crash was not found")
				}
			}
			refused := g.suspects.Check(suspect.Request{Fingerprint: fingerprint}).Err != nil
			is.Equal(refused, !answered)
		})
	}
}
