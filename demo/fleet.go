// Package demo runs a complete fleet in one process on loopback: stand-ins for the log service, the instance
// list, model engines and plain services, one sidecar for each engine and service, and routers.
package demo

import (
	"context"
	"fmt"
	"time"

	"jacinthfork.example/jacinthfork/internal/daemon"
	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/kernel/settings"
	"jacinthfork.example/jacinthfork/router"
	"jacinthfork.example/jacinthfork/services"
	"jacinthfork.example/jacinthfork/sidecar"
	"jacinthfork.example/jacinthfork/standin/engine"
	"jacinthfork.example/jacinthfork/standin/instances"
	"jacinthfork.example/jacinthfork/standin/logservice"
	"jacinthfork.example/jacinthfork/standin/service"

	// Registers the plug-ins, which the settings select by name.
	_ "jacinthfork.example/jacinthfork/plugin/all"
)

// Names of the demo's pools.
const (
	ModelPool   = "limon-llm"
	ServicePool = "pedidos"
)

const region = "bq"

// anyPort makes the operating system choose a free port on loopback.
const anyPort = "127.0.0.1:0"

// Size is the number of instances of each kind.
type Size struct {
	Routers  int
	Engines  int
	Services int
}

// Options configures a fleet. DefaultOptions returns those of the demo.
type Options struct {
	Size   Size
	Engine engine.Settings
	// Router and Sidecar, if set, modify the settings of each instance before it starts.
	Router    func(*router.Settings)
	Sidecar   func(*sidecar.Settings)
	Intervals Intervals
}

// Intervals holds the intervals of the fleet's control traffic.
type Intervals struct {
	List     time.Duration
	Exchange time.Duration
	// Settle is how long an instance waits after its start for reports of requests that crash engines.
	Settle time.Duration
}

// shortIntervals makes a fleet of a few instances ready within seconds.
var shortIntervals = Intervals{List: 200 * time.Millisecond, Exchange: 100 * time.Millisecond, Settle: time.Second}

// DefaultOptions returns the options of "jacinthfork demo".
func DefaultOptions() Options {
	e := engine.DefaultSettings()
	e.Model = ModelPool
	e.FirstToken = 15 * time.Millisecond
	e.PrefillToken = 10 * time.Microsecond
	e.TokenInterval = 12 * time.Millisecond
	e.CacheTokens = 1 << 18
	e.Slots = 128
	return Options{Size: Size{Routers: 3, Engines: 6, Services: 3}, Engine: e, Intervals: shortIntervals}
}

// Fleet is a running fleet.
type Fleet struct {
	Log          *logservice.Store
	InstanceList *instances.List
	Engines      []*engine.Engine
	Services     []*service.Service
	Sidecars     []*sidecar.Sidecar
	Routers      []*router.Router

	options Options
	closers []func()
}

// Start starts all components. If one fails, it closes those that are already running.
func Start(options Options) (*Fleet, error) {
	f := &Fleet{options: options, Log: logservice.New(logservice.Settings{}), InstanceList: instances.New(instances.Settings{})}
	if err := f.start(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() error {
	if err := f.startStandins(f.Log, f.InstanceList); err != nil {
		return err
	}
	for i := range f.options.Size.Engines {
		if err := f.addEngine(i); err != nil {
			return err
		}
	}
	for i := range f.options.Size.Services {
		if err := f.addService(i); err != nil {
			return err
		}
	}
	for i := range f.options.Size.Routers {
		if err := f.addRouter(i); err != nil {
			return err
		}
	}
	return nil
}

// standin is a server that replaces a platform service or a backend server.
type standin interface {
	Start(address string) error
	Close() error
}

func (f *Fleet) startStandins(servers ...standin) error {
	for _, s := range servers {
		if err := s.Start(anyPort); err != nil {
			return err
		}
		f.closers = append(f.closers, func() { _ = s.Close() })
	}
	return nil
}

func (f *Fleet) addEngine(i int) error {
	e := engine.New(f.options.Engine)
	if err := f.startStandins(e); err != nil {
		return err
	}
	f.Engines = append(f.Engines, e)
	dialect := settings.Table{"use": "chat", "chat": map[string]any{"base_url": e.URL()}}
	return f.addSidecar(fmt.Sprintf("limon-%02d", i+1), ModelPool, i, dialect)
}

func (f *Fleet) addService(i int) error {
	s := service.New(service.Settings{DelayBefore: 5 * time.Millisecond})
	if err := f.startStandins(s); err != nil {
		return err
	}
	f.Services = append(f.Services, s)
	dialect := settings.Table{"use": "plain", "plain": map[string]any{"base_url": s.URL()}}
	return f.addSidecar(fmt.Sprintf("pedidos-%d", i+1), ServicePool, i, dialect)
}

func failureDomain(i int) string { return fmt.Sprintf("bq-%c", 'a'+i%3) }

func (f *Fleet) addSidecar(id, pool string, i int, dialect settings.Table) error {
	s := sidecar.DefaultSettings()
	s.Instance, s.Pool, s.Region, s.FailureDomain = id, pool, region, failureDomain(i)
	s.Listen, s.OperatorListen = anyPort, anyPort
	s.Dialect = dialect
	s.ListInterval = f.options.Intervals.List
	s.Suspects.Settle = f.options.Intervals.Settle
	s.ExchangeInterval = f.options.Intervals.Exchange
	s.Log, s.Instances = f.pluginSettings()
	if f.options.Sidecar != nil {
		f.options.Sidecar(&s)
	}
	side, err := sidecar.New("demo", s, kernel.NewContext(id, daemon.NewDiscardLogger(id)))
	if err != nil {
		return fmt.Errorf("sidecar %s: %w", id, err)
	}
	if err := side.Start(); err != nil {
		return fmt.Errorf("sidecar %s: %w", id, err)
	}
	f.Sidecars = append(f.Sidecars, side)
	f.closers = append(f.closers, side.Close)
	f.InstanceList.Register(services.Instance{
		ID: id, Role: services.RoleSidecar, Pool: pool, Address: side.Address(),
		OperatorAddress: side.OperatorAddress(), FailureDomain: s.FailureDomain, Region: region,
	})
	return nil
}

func (f *Fleet) addRouter(i int) error {
	s := router.DefaultSettings()
	s.Instance, s.Region, s.FailureDomain = fmt.Sprintf("router-%d", i+1), region, failureDomain(i)
	s.Listen, s.OperatorListen = anyPort, anyPort
	s.BalancerDelay = 0
	s.ListInterval = f.options.Intervals.List
	s.Suspects.Settle = f.options.Intervals.Settle
	s.Placement.TokenKeys = []settings.Secret{"demo-key-for-placement-tokens-0001"}
	s.Log, s.Instances = f.pluginSettings()
	if f.options.Router != nil {
		f.options.Router(&s)
	}
	r, err := router.New("demo", s, kernel.NewContext(s.Instance, daemon.NewDiscardLogger(s.Instance)))
	if err != nil {
		return fmt.Errorf("router %s: %w", s.Instance, err)
	}
	if err := r.Start(); err != nil {
		return fmt.Errorf("router %s: %w", s.Instance, err)
	}
	f.Routers = append(f.Routers, r)
	f.closers = append(f.closers, r.Close)
	f.InstanceList.Register(services.Instance{
		ID: s.Instance, Role: services.RoleRouter, OperatorAddress: r.OperatorAddress(),
		FailureDomain: s.FailureDomain, Region: region,
	})
	return nil
}

// pluginSettings returns the settings tables of the plug-ins for the log service and the instance list.
func (f *Fleet) pluginSettings() (log, list settings.Table) {
	log = settings.Table{"use": "httplog", "httplog": map[string]any{"url": f.Log.URL()}}
	list = settings.Table{"use": "httplist", "httplist": map[string]any{"url": f.InstanceList.URL()}}
	return log, list
}

// readyPollInterval is the interval at which WaitReady checks the routers.
const readyPollInterval = 20 * time.Millisecond

// WaitReady waits until every router knows all instances of both pools.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, r := range f.Routers {
		for r.ReadyInstances(ModelPool) < f.options.Size.Engines || r.ReadyInstances(ServicePool) < f.options.Size.Services {
			select {
			case <-time.After(readyPollInterval):
			case <-ctx.Done():
				return fmt.Errorf("not every router knows all instances: %w", ctx.Err())
			}
		}
	}
	return nil
}

// Close stops all components in reverse order of their start, so routers first.
func (f *Fleet) Close() {
	for i := len(f.closers) - 1; i >= 0; i-- {
		f.closers[i]()
	}
}
