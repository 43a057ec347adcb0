// Package httplist implements the adapter for an instance list with an HTTP/JSON interface. It registers as
// kernel.KindInstances "httplist".
package httplist

import (
	"context"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/kernel/settings"
	"jacinthfork.example/jacinthfork/plugin/instances/internal/entry"
	"jacinthfork.example/jacinthfork/plugin/internal/platformhttp"
	"jacinthfork.example/jacinthfork/services"
)

func init() {
	kernel.Register(kernel.KindInstances, "httplist", func() any { return New() })
}

// List implements services.InstanceList by reading a list over HTTP. It is safe for concurrent use after
// Provision.
type List struct {
	// URL is the base URL of the service.
	URL settings.URL `toml:"url" required:"true"`
	// Timeout bounds one read.
	Timeout time.Duration `toml:"timeout" min:"10ms" max:"1m"`

	// cached is the most recent list and cachedTag its entity tag. Conditional requests avoid the transfer of
	// an unchanged list, which has about 200 KB at the target fleet size.
	mu        sync.Mutex
	cachedTag string
	cached    []services.Instance

	client *http.Client
	// reader is the ID of this instance; each request carries it as a query parameter.
	reader         string
	readFailures   *expvar.Int
	invalidEntries *expvar.Int
}

var _ services.InstanceList = (*List)(nil)

// New returns an adapter with default settings. URL has no default and must be set.
func New() *List { return &List{Timeout: 2 * time.Second} }

// Provision implements kernel.Provisioner.
func (l *List) Provision(ctx *kernel.Context) error {
	l.client = platformhttp.NewClient(nil)
	l.reader = ctx.Instance
	l.readFailures = ctx.Counters.Int("instance_list_failures")
	l.invalidEntries = ctx.Counters.Int("instance_list_invalid_entries")
	return nil
}

// SetDialer replaces the dial function, for example to count the bytes of connections. It must be called
// after Provision and before the first request.
func (l *List) SetDialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	l.client = platformhttp.NewClient(dial)
}

type listResponse struct {
	// Instances is a pointer to distinguish a response without this field from an empty list.
	Instances *[]services.Instance `json:"instances"`
}

// List implements services.InstanceList. Invalid entries and duplicate IDs are skipped and counted.
func (l *List) List(ctx context.Context) ([]services.Instance, error) {
	all, err := l.read(ctx)
	if err != nil {
		l.readFailures.Add(1)
		return nil, fmt.Errorf("instance list: %w", err)
	}
	valid := make([]services.Instance, 0, len(all))
	seen := make(map[string]bool, len(all))
	for _, instance := range all {
		if entry.Validate(instance) != nil || seen[instance.ID] {
			l.invalidEntries.Add(1)
			continue
		}
		seen[instance.ID] = true
		valid = append(valid, instance)
	}
	return valid, nil
}

func (l *List) read(ctx context.Context) ([]services.Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, l.Timeout)
	defer cancel()
	query := url.Values{"reader": {l.reader}}
	address := strings.TrimSuffix(string(l.URL), "/") + "/instances?" + query.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, err
	}
	tag, cached := l.cachedList()
	if tag != "" {
		request.Header.Set("If-None-Match", tag)
	}
	var response listResponse
	header, err := platformhttp.DoConditional(l.client, request, &response)
	if err != nil {
		return nil, err
	}
	if header == nil {
		return cached, nil
	}
	if response.Instances == nil {
		return nil, fmt.Errorf("response has no instances field")
	}
	l.store(header.Get("ETag"), *response.Instances)
	return *response.Instances, nil
}

// cachedList returns the entity tag and the most recent list. The tag is empty when the service sent none.
func (l *List) cachedList() (string, []services.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cachedTag, l.cached
}

func (l *List) store(tag string, list []services.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cachedTag, l.cached = tag, list
}
