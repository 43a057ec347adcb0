package kernel

import (
	"expvar"
	"fmt"
	"net/http"
	"sort"
	"sync"
)

// Counters are the expvar variables of one node. Several nodes can live in one process, so they
// are not published in expvar's process-wide map.
type Counters struct {
	mu   sync.Mutex
	vars map[string]expvar.Var
}

// NewCounters returns an empty set.
func NewCounters() *Counters {
	return &Counters{vars: make(map[string]expvar.Var)}
}

// Int returns the integer counter of the given name, creating it at 0.
func (c *Counters) Int(name string) *expvar.Int {
	return variable(c, name, func() *expvar.Int { return new(expvar.Int) })
}

// Map returns the map of counters of the given name, creating it empty.
func (c *Counters) Map(name string) *expvar.Map {
	return variable(c, name, func() *expvar.Map { return new(expvar.Map).Init() })
}

// Func publishes a value that is computed when read. A later call replaces it.
func (c *Counters) Func(name string, f func() any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.vars[name] = expvar.Func(f)
}

// ServeHTTP writes all variables as one JSON object, in the form of expvar's own handler.
func (c *Counters) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	fmt.Fprint(w, "{")
	for i, name := range c.names() {
		if i > 0 {
			fmt.Fprint(w, ",")
		}
		fmt.Fprintf(w, "\n%q: %s", name, c.get(name))
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

func (c *Counters) get(name string) expvar.Var {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.vars[name]
}

// variable returns the variable of the given name. A name in use with another type is a mistake in
// the program and panics.
func variable[V expvar.Var](c *Counters, name string, create func() V) V {
	c.mu.Lock()
	defer c.mu.Unlock()
	if v, ok := c.vars[name]; ok {
		return v.(V)
	}
	v := create()
	c.vars[name] = v
	return v
}
