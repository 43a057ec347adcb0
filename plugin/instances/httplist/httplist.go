// Package httplist is the adapter for an instance list with an HTTP/JSON interface. It registers as
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

// List is the adapter. It is safe for concurrent use after Provision.
type List struct {
	// URL is the base address of the list.
	URL settings.URL `toml:"url" required:"true"`
	// Timeout bounds one read.
	Timeout time.Duration `toml:"timeout" min:"10ms" max:"1m"`

	// tag and known are the newest list, which the service need not send again: at the target size a
	// list is some 200 KB.
	mu    sync.Mutex
	tag   string
	known []services.Instance

	client   *http.Client
	reader   string
	failures *expvar.Int
	invalid  *expvar.Int
}

var _ services.InstanceList = (*List)(nil)

// New returns the adapter with its default settings; URL is left to be set.
func New() *List { return &List{Timeout: 2 * time.Second} }

// Provision implements kernel.Provisioner.
func (l *List) Provision(ctx *kernel.Context) error {
	l.client = platformhttp.NewClient(nil)
	l.reader = ctx.Instance
	l.failures = ctx.Counters.Int("instance_list_failures")
	l.invalid = ctx.Counters.Int("instance_list_invalid_entries")
	return nil
}

// SetDialer replaces how connections are opened, for example to count their bytes. It is called
// after Provision and before the first request.
func (l *List) SetDialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	l.client = platformhttp.NewClient(dial)
}

type listAnswer struct {
	// Instances is a pointer, so that an answer of another kind is not taken for an empty list.
	Instances *[]services.Instance `json:"instances"`
}

// List implements services.InstanceList. Invalid entries and repeated IDs are left out and counted.
func (l *List) List(ctx context.Context) ([]services.Instance, error) {
	all, err := l.read(ctx)
	if err != nil {
		l.failures.Add(1)
		return nil, fmt.Errorf("instance list: %w", err)
	}
	valid := make([]services.Instance, 0, len(all))
	known := make(map[string]bool, len(all))
	for _, instance := range all {
		if entry.Check(instance) != nil || known[instance.ID] {
			l.invalid.Add(1)
			continue
		}
		known[instance.ID] = true
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
	tag, known := l.last()
	if tag != "" {
		request.Header.Set("If-None-Match", tag)
	}
	var answer listAnswer
	header, err := platformhttp.DoTagged(l.client, request, &answer)
	if err != nil {
		return nil, err
	}
	if header == nil {
		return known, nil
	}
	if answer.Instances == nil {
		return nil, fmt.Errorf("answer has no instances")
	}
	l.keep(header.Get("ETag"), *answer.Instances)
	return *answer.Instances, nil
}

// last returns the newest list with its entity tag, which is empty when the service gives none.
func (l *List) last() (string, []services.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tag, l.known
}

func (l *List) keep(tag string, list []services.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tag, l.known = tag, list
}
