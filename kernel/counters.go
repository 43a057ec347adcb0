package kernel

import (
	"expvar"
	"fmt"
	"net/http"
	"sort"
	"sync"
)

// Counters holds the expvar variables of one node (a router or a sidecar). They are not published in expvar's
// process-wide map, because one process can run several nodes.
type Counters struct {
	mu   sync.Mutex
	vars map[string]expvar.Var
}

// NewCounters returns an empty set of variables.
func NewCounters() *Counters {
	return &Counters{vars: make(map[string]expvar.Var)}
}

// Int returns the integer variable of the given name, creating it with the value 0 if needed.
func (c *Counters) Int(name string) *expvar.Int {
	return getOrCreate(c, name, func() *expvar.Int { return new(expvar.Int) })
}

// Map returns the map variable of the given name, creating it empty if needed.
func (c *Counters) Map(name string) *expvar.Map {
	return getOrCreate(c, name, func() *expvar.Map { return new(expvar.Map).Init() })
}

// Func publishes a value that is computed at each read. Another call with the same name replaces it.
func (c *Counters) Func(name string, f func() any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.vars[name] = expvar.Func(f)
}

// ServeHTTP writes all variables as one JSON object, in the format of expvar's handler.
func (c *Counters) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	fmt.Fprint(w, "{")
	for i, name := range c.names() {
		if i > 0 {
			fmt.Fprint(w, ",")
		}
		fmt.Fprintf(w, "\n%q: %s", name, c.lookup(name))
	}
	fmt.Fprint(w, "\n}\n")
}

func (c *Counters) names() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	names := make([]string, 0, len(c.vars))
	for name := range c.vars {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (c *Counters) lookup(name string) expvar.Var {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.vars[name]
}

// getOrCreate returns the variable of the given name. It panics when the name is used with another type,
// which is a programming error.
func getOrCreate[V expvar.Var](c *Counters, name string, create func() V) V {
	c.mu.Lock()
	defer c.mu.Unlock()
	if v, ok := c.vars[name]; ok {
		return v.(V)
	}
	v := create()
	c.vars[name] = v
	return v
}
