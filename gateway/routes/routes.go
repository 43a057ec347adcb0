// Package routes holds one accepted configuration in the form that the request path needs: which route
// a request takes, which pools may run it, whose key it carries and what the caller may send.
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

// The zero value is NonIdempotent, so that a mode nobody set never allows a second run.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Mode = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered by a series of events. They run once unless Route.Resumable.
	Streaming
)

// Target is a pool that a route sends a share of its requests to.
type Target struct {
	Pool   string
	Weight int
}

// Route describes the requests of one host and path prefix.
type Route struct {
	Name string
	// Host is in lower case and without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Mode   Mode
	// Timeout is the longest time from the request to the end of its answer. 0 is no limit.
	Timeout time.Duration
	// Objective is the time to the answer, or to the first event of a stream, that callers want.
	Objective time.Duration
	// Gap is the longest pause between two events that callers want.
	Gap time.Duration
	// Priority is the urgency, 0 is the most urgent.
	Priority int
	Targets  []Target
	// Attempts is the largest number of backend servers that may run one request, at least 1.
	Attempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another backend server after the last event that was forwarded.
	Resumable bool
}

// Repeatable reports whether a request that may have run may be sent again.
func (r *Route) Repeatable() bool {
	return r.Mode == Idempotent || (r.Mode == Streaming && r.Resumable)
}

// Organisation is the owner of keys.
type Organisation struct {
	Name string
	// Priority replaces the route's when HasPriority is set.
	Priority    int
	HasPriority bool
}

// Engine describes the model engines of a pool.
type Engine struct {
	// Slots is the number of requests that one engine runs at once.
	Slots int
	// CacheTokens is the memory for prompts of one engine.
	CacheTokens int
}

// Pool is a set of backend servers that run the same software.
type Pool struct {
	Name string
	// MaxConnections is what one backend server accepts from all callers together.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Limits bound what a caller may send. 0 is no limit.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration
	// IdleTimeout is how long a kept connection may stay without a request.
	IdleTimeout time.Duration
}

// Table is one configuration.
type Table struct {
	// Version orders configurations; a higher one replaces a lower one.
	Version uint64
	Pools   map[string]*Pool
	Limits  Limits
	// hosts has the routes of each host, the longest prefix first.
	hosts map[string][]*Route
	keys  map[string]*Organisation
	// needsKeys is set when the configuration names organisations.
	needsKeys bool
}

// Spec is the content of a Table.
type Spec struct {
	Version uint64
	Routes  []*Route
	Pools   []*Pool
	Limits  Limits
	// Organisations is nil when the configuration names none; requests then need no key.
	Organisations []*Organisation
	// Keys gives the owner of each key.
	Keys map[string]*Organisation
}

// New checks a configuration and builds its Table.
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
		if err := t.check(r); err != nil {
			return nil, err
		}
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, list := range t.hosts {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return t, nil
}

func (t *Table) check(r *Route) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return fmt.Errorf("route %q: the prefix %q does not begin and end with a slash", r.Name, r.Prefix)
	}
	if len(r.Targets) == 0 {
		return fmt.Errorf("route %q names no pool", r.Name)
	}
	for _, target := range r.Targets {
		if t.Pools[target.Pool] == nil {
			return fmt.Errorf("route %q names the unknown pool %q", r.Name, target.Pool)
		}
	}
	return nil
}

// Match returns the route of a request, or nil. host may carry a port.
func (t *Table) Match(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Authorise returns the owner of the key that a request on route r carries. ok is false when the
// route needs a key and this one is unknown. A public route, or a configuration without organisations,
// gives ok with the owner of the key when there is one.
func (t *Table) Authorise(r *Route, key string) (owner *Organisation, ok bool) {
	owner = t.keys[key]
	if key == "" {
		owner = nil
	}
	return owner, owner != nil || r.Public || !t.needsKeys
}

// Order returns the pools of a route in the order to try them. The first is drawn by weight from
// key; the others follow so that a request is served while any of its pools has a backend server.
func (r *Route) Order(key uint64) []string {
	if len(r.Targets) == 1 {
		return []string{r.Targets[0].Pool}
	}
	first := r.draw(key)
	out := make([]string, 0, len(r.Targets))
	for i := range r.Targets {
		target := r.Targets[(first+i)%len(r.Targets)]
		if target.Weight > 0 {
			out = append(out, target.Pool)
		}
	}
	return out
}

func (r *Route) draw(key uint64) int {
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

// TightestObjective returns the shortest objective of the routes to a pool, 0 when none names one.
func (t *Table) TightestObjective(pool string) time.Duration {
	var tightest time.Duration
	for _, list := range t.hosts {
		for _, r := range list {
			for _, target := range r.Targets {
				if target.Pool == pool && r.Objective > 0 && (tightest == 0 || r.Objective < tightest) {
					tightest = r.Objective
				}
			}
		}
	}
	return tightest
}
