// Package httplog is the adapter for a log service with an HTTP/JSON interface. It registers as
// kernel.KindLog "httplog".
package httplog

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/kernel/settings"
	"jacinthfork.example/jacinthfork/plugin/internal/platformhttp"
	"jacinthfork.example/jacinthfork/services"
)

func init() {
	kernel.Register(kernel.KindLog, "httplog", func() any { return New() })
}

// Log is the adapter. It is safe for concurrent use after Provision.
type Log struct {
	// URL is the base address of the log service.
	URL settings.URL `toml:"url" required:"true"`
	// AppendTimeout bounds one append.
	AppendTimeout time.Duration `toml:"append_timeout" min:"10ms" max:"1m"`
	// ReadTimeout bounds one read in addition to its wait.
	ReadTimeout time.Duration `toml:"read_timeout" min:"10ms" max:"1m"`
	// MaxRecordBytes is the payload size above which an append is refused here.
	MaxRecordBytes int `toml:"max_record_bytes" min:"1"`

	client   *http.Client
	appends  outcomes
	failures *expvar.Int
}

// outcomes counts appends by what the caller was told.
type outcomes struct {
	stored, notStored, unknown *expvar.Int
}

var _ services.Log = (*Log)(nil)

// New returns the adapter with its default settings; URL is left to be set.
func New() *Log {
	return &Log{AppendTimeout: 2 * time.Second, ReadTimeout: 5 * time.Second, MaxRecordBytes: 1 << 20}
}

// Provision implements kernel.Provisioner.
func (l *Log) Provision(ctx *kernel.Context) error {
	l.client = platformhttp.NewClient(nil)
	l.appends = outcomes{
		stored:    ctx.Counters.Int("log_appends_stored"),
		notStored: ctx.Counters.Int("log_appends_not_stored"),
		unknown:   ctx.Counters.Int("log_appends_unknown"),
	}
	l.failures = ctx.Counters.Int("log_read_failures")
	return nil
}

// SetDialer replaces how connections are opened, for example to count their bytes. It is called
// after Provision and before the first request.
func (l *Log) SetDialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	l.client = platformhttp.NewClient(dial)
}

type appendAnswer struct {
	Offset *uint64 `json:"offset"`
}

// errorAnswer is the service's own error. An answer without may_be_stored proves nothing, because
// something between may have written it.
type errorAnswer struct {
	MayBeStored *bool `json:"may_be_stored"`
}

var (
	errTooLarge = errors.New("record is too large")
	errStream   = errors.New("stream name has an empty, . or .. segment")
	errNoOffset = errors.New("answer has no offset")
)

// Append implements services.Log. Each failure is an *services.AppendError.
func (l *Log) Append(ctx context.Context, stream string, payload []byte) (uint64, error) {
	offset, sent, err := l.append(ctx, stream, payload)
	if err == nil {
		l.appends.stored.Add(1)
		return offset, nil
	}
	mayBeStored := sent && !provesRefusal(err)
	if mayBeStored {
		l.appends.unknown.Add(1)
	} else {
		l.appends.notStored.Add(1)
	}
	return 0, &services.AppendError{MayBeStored: mayBeStored, Err: err}
}

// append reports in sent whether any byte may have reached the service.
func (l *Log) append(ctx context.Context, stream string, payload []byte) (offset uint64, sent bool, err error) {
	if len(payload) > l.MaxRecordBytes {
		return 0, false, errTooLarge
	}
	address, err := l.address(stream)
	if err != nil {
		return 0, false, err
	}
	ctx, cancel := context.WithTimeout(ctx, l.AppendTimeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(payload))
	if err != nil {
		return 0, false, err
	}
	request.Header.Set("Content-Type", "application/octet-stream")
	var answer appendAnswer
	err = platformhttp.Do(l.client, request, http.StatusCreated, &answer)
	if err == nil && answer.Offset == nil {
		err = errNoOffset
	}
	if err != nil {
		return 0, connected.Load(), err
	}
	return *answer.Offset, true, nil
}

// provesRefusal reports whether an answer proves that the record is not stored: the service says so,
// or the status says that the request was not processed.
func provesRefusal(err error) bool {
	var status *platformhttp.StatusError
	if !errors.As(err, &status) {
		return false
	}
	var answer errorAnswer
	if json.Unmarshal(status.Body, &answer) == nil && answer.MayBeStored != nil {
		return !*answer.MayBeStored
	}
	switch status.Status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound,
		http.StatusMethodNotAllowed, http.StatusRequestEntityTooLarge, http.StatusTooManyRequests:
		return true
	}
	return false
}

type pageAnswer struct {
	Records  []recordAnswer `json:"records"`
	Earliest uint64         `json:"earliest"`
	Next     uint64         `json:"next"`
}

type recordAnswer struct {
	Offset  uint64    `json:"offset"`
	Time    time.Time `json:"time"`
	Payload []byte    `json:"payload"`
}

// Read implements services.Log. The wait is done by the service.
func (l *Log) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (services.Page, error) {
	page, err := l.read(ctx, stream, from, limit, wait)
	if err != nil {
		l.failures.Add(1)
		return services.Page{}, fmt.Errorf("read %s from %d: %w", stream, from, err)
	}
	return page, nil
}

func (l *Log) read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (services.Page, error) {
	address, err := l.address(stream)
	if err != nil {
		return services.Page{}, err
	}
	query := url.Values{
		"from":  {strconv.FormatUint(from, 10)},
		"limit": {strconv.Itoa(limit)},
		"wait":  {wait.String()},
	}
	ctx, cancel := context.WithTimeout(ctx, l.ReadTimeout+wait)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address+"?"+query.Encode(), nil)
	if err != nil {
		return services.Page{}, err
	}
	var answer pageAnswer
	if err := platformhttp.Do(l.client, request, http.StatusOK, &answer); err != nil {
		return services.Page{}, err
	}
	return answer.page(from)
}

// page checks what later code relies on: offsets in order, none below from, none at or above next.
func (a pageAnswer) page(from uint64) (services.Page, error) {
	page := services.Page{Earliest: a.Earliest, Next: a.Next}
	lowest := max(from, a.Earliest)
	for _, record := range a.Records {
		if record.Offset < lowest || record.Offset >= a.Next {
			return services.Page{}, fmt.Errorf("offset %d is outside of %d to %d", record.Offset, lowest, a.Next)
		}
		lowest = record.Offset + 1
		page.Records = append(page.Records, services.Record(record))
	}
	return page, nil
}

// address returns the address of a stream.
func (l *Log) address(stream string) (string, error) {
	segments := strings.Split(stream, "/")
	for i, segment := range segments {
		if segment == "" || segment == "." || segment == ".." {
			return "", fmt.Errorf("%w: %q", errStream, stream)
		}
		segments[i] = url.PathEscape(segment)
	}
	return strings.TrimSuffix(string(l.URL), "/") + "/streams/" + strings.Join(segments, "/"), nil
}
