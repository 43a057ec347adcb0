package gateway

import (
	"context"
	"net"
	"sync"
	"time"

	"jacinthfork.example/jacinthfork/gateway/pool"
)

const (
	// crowdedCrashes is the number of crashes after which a request is refused although others ran
	// beside it each time. Two of them are within chance when many backend servers restart.
	crowdedCrashes = 3
	// suspectRetention is how long a crash counts. A request that keeps coming renews it.
	suspectRetention = 5 * time.Minute
	// crashWindow joins the connections that one crash breaks.
	crashWindow = 150 * time.Millisecond
	// probeTimeout bounds the connection that tells a crash from a broken connection.
	probeTimeout = 300 * time.Millisecond
)

// crashWatch tells crashes of backend servers from connections that broke: a crashed one does not
// take a new connection just after. It collects the requests whose connections broke.
type crashWatch struct {
	confirm func(i pool.Instance, fingerprints []uint64)
	mu      sync.Mutex
	broken  map[string][]uint64
}

func newCrashWatch(confirm func(pool.Instance, []uint64)) *crashWatch {
	return &crashWatch{confirm: confirm, broken: make(map[string][]uint64)}
}

// note takes a request whose connection broke before its answer was whole.
func (w *crashWatch) note(i pool.Instance, fingerprint uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	first := len(w.broken[i.ID]) == 0
	w.broken[i.ID] = append(w.broken[i.ID], fingerprint)
	if first {
		time.AfterFunc(crashWindow, func() { w.examine(i) })
	}
}

func (w *crashWatch) examine(i pool.Instance) {
	w.mu.Lock()
	fingerprints := w.broken[i.ID]
	delete(w.broken, i.ID)
	w.mu.Unlock()
	if !reachable(i.Address) {
		w.confirm(i, fingerprints)
	}
}

func reachable(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// confirmCrash notes that a backend server crashed with requests of this router in flight.
func (g *Gateway) confirmCrash(i pool.Instance, fingerprints []uint64) {
	g.connections.Forget(serverName(i))
	known := g.suspects.NoteCrash(fingerprints)
	g.metrics.crashes.Add(1)
	g.log.Warn("backend server crashed", "instance", i.ID, "in_flight", len(fingerprints), "suspects", known)
}
