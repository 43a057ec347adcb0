// Package routes holds a validated configuration in the form used by the request path: which route matches a
// request, which pools may serve it, who owns its API key and what limits apply to callers.
//
// A Table is immutable. A newer configuration is a new Table.
package routes

import (
	"fmt"
	"net"
	"sort"
	"strings"
	"time"
)

// Mode says how often a request of a route may run.
type Mode uint8

// The zero value is NonIdempotent, so that an unset mode never allows a second run.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Mode = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered with a series of events. They run at most once unless Route.Resumable is
	// set.
	Streaming
)

// Target is a pool that receives a share of a route's requests.
type Target struct {
	Pool   string
	Weight int
}

// Route describes the requests for one host and path prefix.
type Route struct {
	Name string
	// Host must be in lower case and have no port. New does not check it.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Mode   Mode
	// Timeout bounds the time from the request to the end of its response. 0 means no limit.
	Timeout time.Duration
	// LatencyObjective is the latency objective for the response, or for the first event of a stream.
	LatencyObjective time.Duration
	// EventGapObjective is the objective for the time between two events.
	EventGapObjective time.Duration
	// Priority is the priority of requests. 0 is the most urgent.
	Priority int
	Targets  []Target
	// MaxAttempts is the maximum number of backend servers that may run one request. It must be at least 1, which
	// New does not check.
	MaxAttempts int
	// Public routes require no API key.
	Public bool
	// Resumable streams may continue at another backend server after the last forwarded event.
	Resumable bool
	// onlyPool is the result of PoolOrder for a route with one target, set by New.
	onlyPool []string
}

// Retryable reports whether a request that may have run may be sent again.
func (r *Route) Retryable() bool {
	return r.Mode == Idempotent || (r.Mode == Streaming && r.Resumable)
}

// Organisation owns API keys.
type Organisation struct {
	Name string
	// Priority overrides the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Engine describes the model engines of a pool.
type Engine struct {
	// Slots is the number of requests that one engine runs concurrently.
	Slots int
	// CacheTokens is the size of one engine's prompt cache.
	CacheTokens int
}

// Pool is a set of backend servers that run the same software.
type Pool struct {
	Name string
	// MaxConnections is the number of connections that one backend server accepts from all clients together.
	MaxConnections int
	// ColdRequestsPerSecond is the number of requests a second that a cold backend server bears.
	ColdRequestsPerSecond float64
	// Engine is nil for a plain service.
	Engine *Engine
}

// Limits bound what a caller may send. 0 means no limit.
type Limits struct {
	HeaderBytes int64
	BodyBytes   int64
	// HeaderTimeout is not applied: the gateway uses a fixed timeout.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay open without a request.
	IdleTimeout time.Duration
}

// Table is a validated configuration.
type Table struct {
	// Version orders configurations. A higher version replaces a lower one.
	Version uint64
	Pools   map[string]*Pool
	Limits  Limits
	// hosts lists the routes of each host by decreasing prefix length.
	hosts map[string][]*Route
	keys  map[string]*Organisation
	// needsKeys is set if the configuration defines organisations.
	needsKeys bool
}

// Spec is the content of a Table.
type Spec struct {
	Version uint64
	Routes  []*Route
	Pools   []*Pool
	Limits  Limits
	// Organisations is nil if the configuration defines none. Requests then need no API key.
	Organisations []*Organisation
	// Keys maps each API key to its owner.
	Keys map[string]*Organisation
}

// New validates a configuration and builds its Table.
func New(spec Spec) (*Table, error) {
	t := &Table{
		Version:   spec.Version,
		Pools:     make(map[string]*Pool, len(spec.Pools)),
		Limits:    spec.Limits,
		hosts:     make(map[string][]*Route),
		keys:      spec.Keys,
		needsKeys: spec.Organisations != nil,
	}
	for _, p := range spec.Pools {
		t.Pools[p.Name] = p
	}
	for _, r := range spec.Routes {
		if err := t.validateRoute(r); err != nil {
			return nil, err
		}
		if len(r.Targets) == 1 {
			r.onlyPool = []string{r.Targets[0].Pool}
		}
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, list := range t.hosts {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return t, nil
}

func (t *Table) validateRoute(r *Route) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return fmt.Errorf("route %q: prefix %q must begin and end with a slash", r.Name, r.Prefix)
	}
	if len(r.Targets) == 0 {
		return fmt.Errorf("route %q has no targets", r.Name)
	}
	for _, target := range r.Targets {
		if t.Pools[target.Pool] == nil {
			return fmt.Errorf("route %q refers to unknown pool %q", r.Name, target.Pool)
		}
	}
	return nil
}

// Match returns the route for a request, or nil. host may include a port.
func (t *Table) Match(host, path string) *Route {
	// Without a colon there is no port, and the error would take memory.
	if strings.Contains(host, ":") {
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Named returns the route with a name, or nil.
func (t *Table) Named(name string) *Route {
	for _, list := range t.hosts {
		for _, r := range list {
			if r.Name == name {
				return r
			}
		}
	}
	return nil
}

// Organisation returns the organisation with a name, or nil if it has no key.
func (t *Table) Organisation(name string) *Organisation {
	for _, o := range t.keys {
		if o.Name == name {
			return o
		}
	}
	return nil
}

// Authorise returns the owner of the API key of a request on route r. ok is false if the route requires a key
// and this one is unknown. For a public route, or a configuration without organisations, ok is true and owner
// is nil if the key is unknown.
func (t *Table) Authorise(r *Route, key string) (owner *Organisation, ok bool) {
	owner = t.keys[key]
	if key == "" {
		owner = nil
	}
	return owner, owner != nil || r.Public || !t.needsKeys
}

// PoolOrder returns the pools of a route in the order to try them. The first is selected by weight using key.
// The others follow, so that a request is served as long as any of these pools has a backend server. If there
// are several targets, those of weight 0 are left out; if all have weight 0, the result is empty. It must not be changed.
func (r *Route) PoolOrder(key uint64) []string {
	if len(r.Targets) == 1 {
		if r.onlyPool == nil {
			return []string{r.Targets[0].Pool}
		}
		return r.onlyPool
	}
	first := r.pickTarget(key)
	out := make([]string, 0, len(r.Targets))
	for i := range r.Targets {
		target := r.Targets[(first+i)%len(r.Targets)]
		if target.Weight > 0 {
			out = append(out, target.Pool)
		}
	}
	return out
}

// pickTarget returns the index of the target that key selects by weight.
func (r *Route) pickTarget(key uint64) int {
	total := 0
	for _, target := range r.Targets {
		total += max(0, target.Weight)
	}
	if total == 0 {
		return 0
	}
	at := int(key % uint64(total))
	for i, target := range r.Targets {
		at -= max(0, target.Weight)
		if at < 0 {
			return i
		}
	}
	return 0
}

// ShortestObjective returns the shortest objective of all routes, for a response, a first event or the time between two events, 0
// if none is set.
func (t *Table) ShortestObjective() time.Duration {
	var shortest time.Duration
	for _, list := range t.hosts {
		for _, r := range list {
			for _, objective := range []time.Duration{r.LatencyObjective, r.EventGapObjective} {
				if objective > 0 && (shortest == 0 || objective < shortest) {
					shortest = objective
				}
			}
		}
	}
	return shortest
}

// TightestObjective returns the shortest latency objective of the routes to a pool, 0 if none is set.
func (t *Table) TightestObjective(pool string) time.Duration {
	var tightest time.Duration
	for _, list := range t.hosts {
		for _, r := range list {
			for _, target := range r.Targets {
				if target.Pool == pool && r.LatencyObjective > 0 && (tightest == 0 || r.LatencyObjective < tightest) {
					tightest = r.LatencyObjective
				}
			}
		}
	}
	return tightest
}
