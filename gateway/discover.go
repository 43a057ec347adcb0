package gateway

import (
	"context"
	"time"
)

const (
	// directoryDelay is the time from the start to the first call to the directory. Seeds answer sooner.
	directoryDelay = 500 * time.Millisecond
	// directoryInterval is how often the first router of the fleet reads the directory.
	directoryInterval = 30 * time.Second
	// directoryRetryInterval is the pause after the first call and after a failed one. It doubles once this router is
	// registered, up to directoryInterval.
	directoryRetryInterval = 2 * time.Second
	// directoryTimeout bounds one call to the directory.
	directoryTimeout = 2 * time.Second
	// registrars is the number of routers that publish their addresses. One that is reached is enough to find the rest,
	// and others take over when those are gone.
	registrars = 8
)

// directoryCalls decides which calls to the directory a router makes. The first in an order that mixes failure domains
// publish their addresses, and the root of the tree reads those of the others: a fleet that was cut in two must find
// its other half. One that has reached no other does both, because the seeds may all be out of date.
func directoryCalls(registered, contacted bool, rank, mixedRank int) (register, read bool) {
	return !registered && (!contacted || mixedRank < registrars), !contacted || rank == 0
}

// discoverPeers makes the calls to the directory as long as ctx lasts.
func (g *Gateway) discoverPeers(ctx context.Context) {
	if g.env.Directory == nil {
		return
	}
	registered := false
	for wait := directoryDelay; sleep(ctx, wait); {
		wait = min(directoryInterval, max(directoryRetryInterval, 2*wait))
		if !registered {
			// The routers before this one may go at any time.
			wait = directoryRetryInterval
		}
		if err := g.useDirectory(ctx, &registered); err != nil {
			g.log.Warn("directory unavailable", "error", err)
			wait = directoryRetryInterval
		}
	}
}

// useDirectory makes the calls to the directory that are due.
func (g *Gateway) useDirectory(ctx context.Context, registered *bool) error {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	register, read := directoryCalls(*registered, g.peers.Contacted(), g.peers.Rank(), g.peers.MixedRank())
	if register {
		if err := g.env.Directory.Register(ctx, g.settings.Node, g.peers.Address()); err != nil {
			return err
		}
		*registered = true
	}
	if !read {
		return nil
	}
	addresses, err := g.env.Directory.Routers(ctx)
	if err != nil {
		return err
	}
	g.peers.Add(addresses...)
	return nil
}

// sleep waits and reports false if ctx is done before.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
