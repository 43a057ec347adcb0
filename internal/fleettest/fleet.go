package fleettest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/BurntSushi/toml"

	"jacinthfork.example/jacinthfork/kernel/settings"
	"jacinthfork.example/jacinthfork/services"
	"jacinthfork.example/jacinthfork/standin/instances"
)

// Programs of the fleet.
const (
	RouterProgram  = "jacinthfork-router"
	SidecarProgram = "jacinthfork-sidecar"
)

const (
	region   = "test"
	tokenKey = "fleettest-key-for-placement-tokens"
)

// Pool describes the backend servers of one pool.
type Pool struct {
	Name string
	// Kind is the stand-in: engine or service.
	Kind  string
	Count int
	// Settings is the settings file of each stand-in.
	Settings string
}

// FleetSpec describes a fleet of processes.
type FleetSpec struct {
	Pools   []Pool
	Routers int
	// Router and Sidecar change the settings of each instance, as a table of the settings file.
	Router  func(settings.Table)
	Sidecar func(settings.Table)
}

// Fleet is a fleet of processes with a relay on each connection that tests cut.
type Fleet struct {
	Log      *Standin
	List     *Standin
	Backends []*Backend
	Routers  []*Router

	t    testing.TB
	spec FleetSpec
}

// Backend is a backend server with its sidecar.
type Backend struct {
	ID      string
	Pool    string
	Server  *Standin
	Sidecar *Process
	// OperatorURL is the base of /readyz and /debug of the sidecar.
	OperatorURL string
	// FromFleet is between routers and other sidecars, and this sidecar.
	FromFleet *Relay
	// ToServer is between the sidecar and its backend server.
	ToServer *Relay
	// ToLog is between the sidecar and the log service.
	ToLog *Relay
}

// Router is a router process.
type Router struct {
	*Process
	ID          string
	URL         string
	OperatorURL string
	// ToLog is between the router and the log service.
	ToLog *Relay
}

// StartFleet starts a fleet and waits until each router has read the list of all its instances.
func StartFleet(t testing.TB, spec FleetSpec) *Fleet {
	t.Helper()
	f := &Fleet{t: t, spec: spec, Log: StartStandin(t, "log", ""), List: StartStandin(t, "instances", "")}
	for _, pool := range spec.Pools {
		for i := range pool.Count {
			f.launchBackend(pool, fmt.Sprintf("%s-%d", pool.Name, i+1))
		}
	}
	for i := range spec.Routers {
		f.launchRouter(fmt.Sprintf("router-%d", i+1))
	}
	f.waitReady()
	f.WaitListed()
	return f
}

// domain spreads instances over three failure domains.
func domain(i int) string { return fmt.Sprintf("domain-%d", i%3+1) }

// waitReady waits for all processes. They start together, because each sidecar waits for news of
// crashing requests before it is ready.
func (f *Fleet) waitReady() {
	f.t.Helper()
	for _, b := range f.Backends {
		b.Sidecar.WaitReady()
	}
	for _, r := range f.Routers {
		r.WaitReady()
	}
}

// AddBackend starts a backend server and its sidecar, registers them and waits until they are ready.
func (f *Fleet) AddBackend(pool Pool, id string) *Backend {
	f.t.Helper()
	b := f.launchBackend(pool, id)
	b.Sidecar.WaitReady()
	return b
}

func (f *Fleet) launchBackend(pool Pool, id string) *Backend {
	f.t.Helper()
	server := StartStandin(f.t, pool.Kind, pool.Settings)
	host := Host(f.t)
	b := &Backend{ID: id, Pool: pool.Name, Server: server}
	listen, operators := Address(f.t, host), Address(f.t, host)
	b.FromFleet = NewRelay(f.t, Host(f.t), listen)
	b.ToServer = NewRelay(f.t, host, server.Address)
	b.ToLog = NewRelay(f.t, host, f.Log.Address)
	b.OperatorURL = "http://" + operators
	table := f.common(id, domain(len(f.Backends)), listen, operators, b.ToLog)
	table["pool"] = pool.Name
	table["dialect"] = dialect(pool.Kind, b.ToServer.Address())
	if f.spec.Sidecar != nil {
		f.spec.Sidecar(table)
	}
	b.Sidecar = f.start(SidecarProgram, id, operators, table)
	f.Backends = append(f.Backends, b)
	f.register(services.Instance{
		ID: id, Role: services.RoleSidecar, Pool: pool.Name, Address: b.FromFleet.Address(),
		OperatorAddress: operators, FailureDomain: table["failure_domain"].(string), Region: region,
	})
	return b
}

func dialect(kind, address string) settings.Table {
	name := "plain"
	if kind == "engine" {
		name = "chat"
	}
	return settings.Table{"use": name, name: settings.Table{"base_url": "http://" + address}}
}

// AddRouter starts a router, registers it and waits until it is ready.
func (f *Fleet) AddRouter(id string) *Router {
	f.t.Helper()
	r := f.launchRouter(id)
	r.WaitReady()
	return r
}

func (f *Fleet) launchRouter(id string) *Router {
	f.t.Helper()
	host := Host(f.t)
	listen, operators := Address(f.t, host), Address(f.t, host)
	r := &Router{ID: id, URL: "http://" + listen, OperatorURL: "http://" + operators}
	r.ToLog = NewRelay(f.t, host, f.Log.Address)
	table := f.common(id, domain(len(f.Routers)), listen, operators, r.ToLog)
	table["balancer_delay"] = "0s"
	table["list_interval"] = "100ms"
	table["placement"] = settings.Table{"token_keys": []string{tokenKey}}
	if f.spec.Router != nil {
		f.spec.Router(table)
	}
	r.Process = f.start(RouterProgram, id, operators, table)
	f.Routers = append(f.Routers, r)
	f.register(services.Instance{
		ID: id, Role: services.RoleRouter, OperatorAddress: operators,
		FailureDomain: table["failure_domain"].(string), Region: region,
	})
	return r
}

// common returns the settings that routers and sidecars share.
func (f *Fleet) common(id, domain, listen, operators string, log *Relay) settings.Table {
	return settings.Table{
		"instance":        id,
		"region":          region,
		"failure_domain":  domain,
		"listen":          listen,
		"operator_listen": operators,
		"log":             settings.Table{"use": "httplog", "httplog": settings.Table{"url": "http://" + log.Address()}},
		"instances":       settings.Table{"use": "httplist", "httplist": settings.Table{"url": f.List.URL}},
	}
}

func (f *Fleet) start(program, id, operators string, table settings.Table) *Process {
	f.t.Helper()
	var text bytes.Buffer
	if err := toml.NewEncoder(&text).Encode(table); err != nil {
		f.t.Fatal(err)
	}
	return Launch(f.t, Spec{
		Program:  program,
		Name:     id,
		Args:     []string{"--settings", WriteFile(f.t, id+".toml", text.String())},
		ReadyURL: "http://" + operators + "/readyz",
	})
}

func (f *Fleet) register(instance services.Instance) {
	f.t.Helper()
	body, err := json.Marshal(instance)
	if err != nil {
		f.t.Fatal(err)
	}
	Call(f.t, http.MethodPost, f.List.URL+"/instances", string(body), nil)
}

// Leave marks an instance as leaving in the instance list.
func (f *Fleet) Leave(id string) {
	f.t.Helper()
	Call(f.t, http.MethodPost, f.List.URL+"/instances/"+id+"/leaving", "", nil)
}

// Remove takes an instance out of the instance list.
func (f *Fleet) Remove(id string) {
	f.t.Helper()
	Call(f.t, http.MethodDelete, f.List.URL+"/instances/"+id, "", nil)
}

// WaitListed waits until each running router has taken over the list as it is now. Of two more reads
// of a router the second begins after the call, and the result of the first is in force by then.
func (f *Fleet) WaitListed() {
	f.t.Helper()
	const reads = 3
	before := f.listReads()
	for _, r := range f.Routers {
		deadline := time.Now().Add(readyLimit)
		for r.Running() && f.listReads()[r.ID] < before[r.ID]+reads {
			if time.Now().After(deadline) {
				f.t.Fatalf("%s does not read the instance list", r.ID)
			}
			time.Sleep(pollInterval)
		}
	}
}

func (f *Fleet) listReads() map[string]int64 {
	var counters instances.Counters
	f.List.Counts(&counters)
	return counters.ReadsBy
}

// PoolBackends returns the backends of a pool.
func (f *Fleet) PoolBackends(pool string) []*Backend {
	var found []*Backend
	for _, b := range f.Backends {
		if b.Pool == pool {
			found = append(found, b)
		}
	}
	return found
}
