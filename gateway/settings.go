package gateway

import (
	"errors"
	"fmt"
	"net"
	"time"

	"jacinthfork.example/jacinthfork/gateway/feed"
	"jacinthfork.example/jacinthfork/gateway/pool"
)

// Settings of a Gateway. Start from DefaultSettings and fill in the addresses.
type Settings struct {
	// Node names the router; it is kept over restarts.
	Node          string
	FailureDomain string
	// CallerAddress serves callers, ReadyAddress the balancer's question at ReadyPath, PeerAddress
	// other routers and MetricsAddress counters. An empty MetricsAddress serves none.
	CallerAddress  string
	ReadyAddress   string
	ReadyPath      string
	PeerAddress    string
	MetricsAddress string
	// PeerAdvertise is the host:port at which other routers reach PeerAddress where that differs, as behind
	// address translation. Empty is PeerAddress.
	PeerAdvertise string
	// Seeds are addresses at which other routers may be found.
	Seeds []string
	// StopTime is the time from the request to stop until the process is killed.
	StopTime time.Duration
	// UnreadyTime is how long after the request to stop new connections may still come.
	UnreadyTime time.Duration
	// RepeatShare and RepeatBurst bound the repeats that all routers together send to one pool within
	// RepeatWindow: a share of the requests and a fixed number.
	RepeatShare  float64
	RepeatBurst  float64
	RepeatWindow time.Duration
	// ConfigurationPace and InstancesPace say how the feeds are read, and LargeFleetPace how the
	// configuration is read by more than LargeFleet routers.
	ConfigurationPace feed.Pace
	InstancesPace     feed.Pace
	LargeFleetPace    feed.Pace
	LargeFleet        int
	Pool              pool.Settings
}

// DefaultSettings returns the settings without addresses.
func DefaultSettings() Settings {
	return Settings{
		ReadyPath: "/readyz",
		StopTime:  8 * time.Second,
		// The balancer asks once a second and takes a router out after two misses.
		UnreadyTime:  2500 * time.Millisecond,
		RepeatShare:  0.2,
		RepeatBurst:  50,
		RepeatWindow: 10 * time.Second,
		// A read that waits sees a change at once. One whose answer is lost is found at the end of its wait;
		// the platform expects a router to be back three seconds after a disturbance.
		ConfigurationPace: feed.Pace{Wait: 2 * time.Second},
		// Publications come all the time, so a read that waits would return for each of them. A departure
		// is due within two seconds.
		InstancesPace: feed.Pace{MaxAge: 700 * time.Millisecond},
		// Reads that wait would come from each router all the time, half a call a second. In a large fleet one
		// router reads for all, and the others read when it tells them of a change.
		LargeFleetPace: feed.Pace{MaxAge: 700 * time.Millisecond},
		LargeFleet:     8,
		Pool:           pool.DefaultSettings(),
	}
}

// Validate returns all faults.
func (s Settings) Validate() error {
	var faults []error
	need := func(value, name string) {
		if value == "" {
			faults = append(faults, errors.New(name+" is missing"))
		}
	}
	need(s.Node, "node")
	need(s.CallerAddress, "callers' address")
	need(s.ReadyAddress, "ready address")
	need(s.PeerAddress, "peers' address")
	if s.PeerAdvertise != "" {
		if _, _, err := net.SplitHostPort(s.PeerAdvertise); err != nil {
			faults = append(faults, fmt.Errorf("advertised peers' address: %w", err))
		}
	}
	if s.RepeatShare < 0 || s.RepeatShare > 1 {
		faults = append(faults, errors.New("the share of repeats must be from 0 to 1"))
	}
	for _, pace := range []feed.Pace{s.ConfigurationPace, s.InstancesPace, s.LargeFleetPace} {
		if pace.Wait <= 0 && pace.MaxAge <= 0 {
			faults = append(faults, errors.New("a feed needs a wait or an age"))
		}
	}
	if s.StopTime <= 0 {
		faults = append(faults, errors.New("the stop time must be positive"))
	}
	return errors.Join(faults...)
}
