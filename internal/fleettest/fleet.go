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

// Pool specifies the backend servers of one pool.
type Pool struct {
	Name string
	// Kind is the kind of stand-in: engine or service.
	Kind  string
	Count int
	// Settings is the content of the settings file of each stand-in.
	Settings string
}

// FleetSpec specifies a fleet of processes.
type FleetSpec struct {
	Pools   []Pool
	Routers int
	// ConfigureRouter and ConfigureSidecar modify the settings of each router or sidecar before it starts.
	ConfigureRouter  func(settings.Table)
	ConfigureSidecar func(settings.Table)
}

// Fleet is a fleet of processes with a Relay on each connection that tests interrupt.
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
	// OperatorURL is the base URL of the sidecar's /readyz and /debug.
	OperatorURL string
	// InboundRelay carries connections from routers and other sidecars to this sidecar.
	InboundRelay *Relay
	// ServerRelay carries connections from the sidecar to its backend server.
	ServerRelay *Relay
	// LogRelay carries connections from the sidecar to the log service.
	LogRelay *Relay
}

// Router is a router process.
type Router struct {
	*Process
	ID          string
	URL         string
	OperatorURL string
	// LogRelay carries connections from the router to the log service.
	LogRelay *Relay
}

// StartFleet starts a fleet and waits until each router has read an instance list with all of its instances.
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
	f.WaitInstanceList()
	return f
}

// failureDomain distributes instances over three failure domains.
func failureDomain(i int) string { return fmt.Sprintf("domain-%d", i%3+1) }

// waitReady waits until all processes are ready. They must all be started first, because a sidecar is not
// ready until it has received the reports of crashing requests from others.
func (f *Fleet) waitReady() {
	f.t.Helper()
	for _, b := range f.Backends {
		b.Sidecar.WaitReady()
	}
	for _, r := range f.Routers {
		r.WaitReady()
	}
}

// AddBackend starts a backend server and its sidecar, registers the sidecar and waits until both are ready.
func (f *Fleet) AddBackend(pool Pool, id string) *Backend {
	f.t.Helper()
	b := f.launchBackend(pool, id)
	b.Sidecar.WaitReady()
	return b
}

func (f *Fleet) launchBackend(pool Pool, id string) *Backend {
	f.t.Helper()
	server := StartStandin(f.t, pool.Kind, pool.Settings)
	host := LoopbackIP(f.t)
	b := &Backend{ID: id, Pool: pool.Name, Server: server}
	listen, operatorAddress := FreeAddress(f.t, host), FreeAddress(f.t, host)
	b.InboundRelay = NewRelay(f.t, LoopbackIP(f.t), listen)
	b.ServerRelay = NewRelay(f.t, host, server.Address)
	b.LogRelay = NewRelay(f.t, host, f.Log.Address)
	b.OperatorURL = "http://" + operatorAddress
	table := f.commonSettings(id, failureDomain(len(f.Backends)), listen, operatorAddress, b.LogRelay)
	table["pool"] = pool.Name
	table["dialect"] = dialect(pool.Kind, b.ServerRelay.Address())
	if f.spec.ConfigureSidecar != nil {
		f.spec.ConfigureSidecar(table)
	}
	b.Sidecar = f.launchProcess(SidecarProgram, id, operatorAddress, table)
	f.Backends = append(f.Backends, b)
	f.register(services.Instance{
		ID: id, Role: services.RoleSidecar, Pool: pool.Name, Address: b.InboundRelay.Address(),
		OperatorAddress: operatorAddress, FailureDomain: table["failure_domain"].(string), Region: region,
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
	host := LoopbackIP(f.t)
	listen, operatorAddress := FreeAddress(f.t, host), FreeAddress(f.t, host)
	r := &Router{ID: id, URL: "http://" + listen, OperatorURL: "http://" + operatorAddress}
	r.LogRelay = NewRelay(f.t, host, f.Log.Address)
	table := f.commonSettings(id, failureDomain(len(f.Routers)), listen, operatorAddress, r.LogRelay)
	table["balancer_delay"] = "0s"
	table["list_interval"] = "100ms"
	table["placement"] = settings.Table{"token_keys": []string{tokenKey}}
	if f.spec.ConfigureRouter != nil {
		f.spec.ConfigureRouter(table)
	}
	r.Process = f.launchProcess(RouterProgram, id, operatorAddress, table)
	f.Routers = append(f.Routers, r)
	f.register(services.Instance{
		ID: id, Role: services.RoleRouter, OperatorAddress: operatorAddress,
		FailureDomain: table["failure_domain"].(string), Region: region,
	})
	return r
}

// commonSettings returns the settings that routers and sidecars have in common.
func (f *Fleet) commonSettings(id, domain, listen, operatorAddress string, log *Relay) settings.Table {
	return settings.Table{
		"instance":        id,
		"region":          region,
		"failure_domain":  domain,
		"listen":          listen,
		"operator_listen": operatorAddress,
		"log":             settings.Table{"use": "httplog", "httplog": settings.Table{"url": "http://" + log.Address()}},
		"instances":       settings.Table{"use": "httplist", "httplist": settings.Table{"url": f.List.URL}},
	}
}

func (f *Fleet) launchProcess(program, id, operatorAddress string, table settings.Table) *Process {
	f.t.Helper()
	var text bytes.Buffer
	if err := toml.NewEncoder(&text).Encode(table); err != nil {
		f.t.Fatal(err)
	}
	return Launch(f.t, Spec{
		Program:  program,
		Name:     id,
		Args:     []string{"--settings", WriteFile(f.t, id+".toml", text.String())},
		ReadyURL: "http://" + operatorAddress + "/readyz",
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

// MarkLeaving marks an instance as leaving in the instance list.
func (f *Fleet) MarkLeaving(id string) {
	f.t.Helper()
	Call(f.t, http.MethodPost, f.List.URL+"/instances/"+id+"/leaving", "", nil)
}

// Remove removes an instance from the instance list.
func (f *Fleet) Remove(id string) {
	f.t.Helper()
	Call(f.t, http.MethodDelete, f.List.URL+"/instances/"+id, "", nil)
}

// WaitInstanceList waits until each running router has applied the current instance list. A read that is in
// progress at the call may return an older list, so it waits for three more reads: the second begins after
// the call, and its result is applied before the third begins.
func (f *Fleet) WaitInstanceList() {
	f.t.Helper()
	const reads = 3
	before := f.listReads()
	for _, r := range f.Routers {
		deadline := time.Now().Add(readyTimeout)
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
