package gateway

import (
	"errors"
	"fmt"
	"net"
	"time"

	"jacinthfork.example/jacinthfork/gateway/extrawork"
	"jacinthfork.example/jacinthfork/gateway/feed"
	"jacinthfork.example/jacinthfork/gateway/overload"
	"jacinthfork.example/jacinthfork/gateway/pool"
)

// Settings holds the settings of a Gateway. Start from DefaultSettings and fill in the addresses.
type Settings struct {
	// Node names the router. The name stays the same across restarts.
	Node          string
	FailureDomain string
	// CallerAddress serves callers, ReadyAddress serves the load balancer's health check at ReadyPath,
	// PeerAddress serves other routers, and MetricsAddress serves counters unless it is empty.
	CallerAddress  string
	ReadyAddress   string
	ReadyPath      string
	PeerAddress    string
	MetricsAddress string
	// PeerAdvertise is the host:port at which other routers reach PeerAddress, if it differs, for example
	// behind NAT. It defaults to PeerAddress.
	PeerAdvertise string
	// Seeds are addresses of other routers for discovery.
	Seeds []string
	// FirstStart is set when the whole fleet starts for the first time and no callers wait yet.
	FirstStart bool
	// StartHold is how long after its start the router lets requests wait for the first configuration and instances.
	StartHold time.Duration
	// GracePeriod is the time from the request to stop until the process is killed.
	GracePeriod time.Duration
	// DrainDelay is how long new connections may still arrive after the request to stop.
	DrainDelay time.Duration
	// RetryRatio and RetrySlack bound the retries that all routers together send to one pool within
	// RetryWindow: a ratio of the requests and a fixed number.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// MemoryBytes bounds what is held on behalf of callers and instances: connections, headers, bodies, buffered responses
	// and what waits in the kernel.
	MemoryBytes int64
	// CallerConnections bounds callers' connections, PeerConnections those of other routers and ReadyConnections those of
	// the health check.
	CallerConnections, PeerConnections, ReadyConnections int
	// ServingConnections bounds callers' connections and those to instances together. Idle ones to instances are closed first.
	ServingConnections int
	// HeaderTimeout is how long the header of a request may take to arrive, HeaderBytes bounds its size. The limits of the
	// configuration are checked in addition, except for its timeout.
	HeaderTimeout time.Duration
	HeaderBytes   int
	// BodyStall is how long a body may make no progress, ResponseStall how long a caller may not read its response.
	BodyStall, ResponseStall time.Duration
	// ReceiveBuffer and SendBuffer are the sizes in bytes of the kernel's buffers of a caller's connection. 0 leaves them to
	// the system.
	ReceiveBuffer, SendBuffer int
	// ConfigurationPollPolicy and InstancesPollPolicy set how the feeds are read.
	ConfigurationPollPolicy feed.PollPolicy
	InstancesPollPolicy     feed.PollPolicy
	Pool                    pool.Settings
	// ExtraWork limits the work of second instances that are asked because a response is late.
	ExtraWork extrawork.Settings
	// Overload sets whether new requests are refused while the process has no processor time left.
	Overload overload.Settings
}

// DefaultSettings returns the default settings. Addresses are empty.
func DefaultSettings() Settings {
	return Settings{
		ReadyPath: "/readyz",
		// A start takes a fraction of it unless the store is away.
		StartHold:   500 * time.Millisecond,
		GracePeriod: 8 * time.Second,
		// The load balancer checks once a second and removes a router after two failed checks.
		DrainDelay:  2500 * time.Millisecond,
		RetryRatio:  0.2,
		RetrySlack:  50,
		RetryWindow: 10 * time.Second,
		// Twice what 4 MB bodies of 16 callers take.
		MemoryBytes: 128 << 20,
		// Kept connections of some thousand callers.
		CallerConnections: 4000,
		// Each caller may need one at an instance, and few requests are sent to a second one.
		ServingConnections: 10000,
		// A fleet has 390 routers, of which each may have a former and a new connection.
		PeerConnections: 1024,
		// The load balancer checks once a second.
		ReadyConnections: 64,
		// Callers pause for some seconds at most.
		HeaderTimeout: 10 * time.Second,
		// Four times the limit of a typical configuration.
		HeaderBytes:   64 << 10,
		BodyStall:     10 * time.Second,
		ResponseStall: 6 * time.Second,
		// 32 KB in each round trip of 5 ms are 50 Mbit/s. A prompt of 72 KB takes three round trips, as with larger buffers,
		// because a connection starts with about 14 KB in the first one.
		ReceiveBuffer: 32 << 10,
		// Most responses fit, so that their instance is free before the caller has read them.
		SendBuffer: 128 << 10,
		// A long-poll read returns as soon as a change is made. A lost response is noticed when the wait
		// expires. The other routers take the records from the one that reads, and read themselves when these
		// grow old.
		ConfigurationPollPolicy: feed.PollPolicy{Wait: 700 * time.Millisecond, MaxAge: 700 * time.Millisecond},
		// Instance entries are published continuously, so a long-poll read would return for each of them. The
		// departure of an instance must be known within two seconds.
		InstancesPollPolicy: feed.PollPolicy{MaxAge: 700 * time.Millisecond},
		Pool:                pool.DefaultSettings(),
	}
}

// Validate returns all errors in the settings, joined.
func (s Settings) Validate() error {
	var faults []error
	need := func(value, name string) {
		if value == "" {
			faults = append(faults, errors.New(name+" is missing"))
		}
	}
	need(s.Node, "node")
	need(s.CallerAddress, "caller address")
	need(s.ReadyAddress, "ready address")
	need(s.PeerAddress, "peer address")
	if s.PeerAdvertise != "" {
		if _, _, err := net.SplitHostPort(s.PeerAdvertise); err != nil {
			faults = append(faults, fmt.Errorf("advertised peer address: %w", err))
		}
	}
	if s.RetryRatio < 0 || s.RetryRatio > 1 {
		faults = append(faults, fmt.Errorf("retry ratio %g is not between 0 and 1", s.RetryRatio))
	}
	for _, policy := range []feed.PollPolicy{s.ConfigurationPollPolicy, s.InstancesPollPolicy} {
		if policy.Wait < 0 || policy.MaxAge <= 0 {
			faults = append(faults, fmt.Errorf("a feed needs a positive maximum age and no negative wait, not %s and %s", policy.MaxAge, policy.Wait))
		}
	}
	faults = append(faults, s.ExtraWork.Validate()...)
	if s.StartHold < 0 {
		faults = append(faults, fmt.Errorf("start hold %s is negative", s.StartHold))
	}
	faults = append(faults, s.validateLimits()...)
	if s.GracePeriod <= 0 {
		faults = append(faults, fmt.Errorf("grace period %s must be positive", s.GracePeriod))
	}
	return errors.Join(faults...)
}

const (
	// minMemoryBytes holds one body of 4 MB in the part that large bodies may use.
	minMemoryBytes = 8 << 20
	// minStall and minHeaderTimeout are longer than the pauses and disturbances of callers within the limits.
	minStall         = 5 * time.Second
	minHeaderTimeout = 3 * time.Second
	// minHeaderBytes is the limit of a typical configuration.
	minHeaderBytes = 16 << 10
	// minBuffer is the smallest size of a buffer of the kernel with which a connection makes reasonable progress.
	minBuffer = 16 << 10
)

// validateLimits returns the errors in the limits of callers.
func (s Settings) validateLimits() (faults []error) {
	atLeast := func(name string, value, least int64) {
		if value < least {
			faults = append(faults, fmt.Errorf("%s %d is less than %d", name, value, least))
		}
	}
	atLeast("memory bytes", s.MemoryBytes, minMemoryBytes)
	atLeast("caller connections", int64(s.CallerConnections), 1)
	atLeast("serving connections", int64(s.ServingConnections), int64(s.CallerConnections)+1)
	atLeast("peer connections", int64(s.PeerConnections), 1)
	atLeast("ready connections", int64(s.ReadyConnections), 1)
	atLeast("header bytes", int64(s.HeaderBytes), minHeaderBytes)
	atLeast("header timeout in ms", s.HeaderTimeout.Milliseconds(), minHeaderTimeout.Milliseconds())
	atLeast("body stall in ms", s.BodyStall.Milliseconds(), minStall.Milliseconds())
	atLeast("response stall in ms", s.ResponseStall.Milliseconds(), minStall.Milliseconds())
	for _, size := range []int{s.ReceiveBuffer, s.SendBuffer} {
		if size != 0 {
			atLeast("buffer of a connection", int64(size), minBuffer)
		}
	}
	return faults
}
