// Package httplog implements services.Log with a log service that has an HTTP/JSON API. It registers as
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

// Log is a client of the log service. It is safe for concurrent use after Provision.
type Log struct {
	// URL is the base URL of the log service.
	URL settings.URL `toml:"url" required:"true"`
	// AppendTimeout is the timeout of one append.
	AppendTimeout time.Duration `toml:"append_timeout" min:"10ms" max:"1m"`
	// ReadTimeout is the timeout of one read, in addition to its wait.
	ReadTimeout time.Duration `toml:"read_timeout" min:"10ms" max:"1m"`
	// MaxRecordBytes is the payload size above which an append is rejected without a request.
	MaxRecordBytes int `toml:"max_record_bytes" min:"1"`

	client       *http.Client
	appends      appendCounters
	readFailures *expvar.Int
}

// appendCounters count appends by the result that the caller got.
type appendCounters struct {
	stored, notStored, unknown *expvar.Int
}

var _ services.Log = (*Log)(nil)

// New returns a Log with default settings. URL has no default and must be set.
func New() *Log {
	return &Log{AppendTimeout: 2 * time.Second, ReadTimeout: 5 * time.Second, MaxRecordBytes: 1 << 20}
}

// Provision implements kernel.Provisioner.
func (l *Log) Provision(ctx *kernel.Context) error {
	l.client = platformhttp.NewClient(nil)
	l.appends = appendCounters{
		stored:    ctx.Counters.Int("log_appends_stored"),
		notStored: ctx.Counters.Int("log_appends_not_stored"),
		unknown:   ctx.Counters.Int("log_appends_unknown"),
	}
	l.readFailures = ctx.Counters.Int("log_read_failures")
	return nil
}

// SetDialer replaces the function that opens connections, for example to count their bytes. It must be called
// after Provision and before the first request.
func (l *Log) SetDialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	l.client = platformhttp.NewClient(dial)
}

type appendResponse struct {
	Offset *uint64 `json:"offset"`
}

// errorResponse is an error of the log service. A response without may_be_stored proves nothing unless its
// status means that the request was not processed, because an intermediary may have sent it.
type errorResponse struct {
	MayBeStored *bool `json:"may_be_stored"`
}

var (
	errTooLarge          = errors.New("record is too large")
	errInvalidStreamName = errors.New("stream name has an empty, . or .. segment")
	errNoOffset          = errors.New("answer has no offset")
)

// Append implements services.Log. Every error is a *services.AppendError.
func (l *Log) Append(ctx context.Context, stream string, payload []byte) (uint64, error) {
	offset, sent, err := l.append(ctx, stream, payload)
	if err == nil {
		l.appends.stored.Add(1)
		return offset, nil
	}
	mayBeStored := sent && !provesNotStored(err)
	if mayBeStored {
		l.appends.unknown.Add(1)
	} else {
		l.appends.notStored.Add(1)
	}
	return 0, &services.AppendError{MayBeStored: mayBeStored, Err: err}
}

// append also reports whether any byte may have been sent to the service.
func (l *Log) append(ctx context.Context, stream string, payload []byte) (offset uint64, sent bool, err error) {
	if len(payload) > l.MaxRecordBytes {
		return 0, false, errTooLarge
	}
	address, err := l.streamURL(stream)
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
	var response appendResponse
	err = platformhttp.DoJSON(l.client, request, http.StatusCreated, &response)
	if err == nil && response.Offset == nil {
		err = errNoOffset
	}
	if err != nil {
		return 0, connected.Load(), err
	}
	return *response.Offset, true, nil
}

// provesNotStored reports whether a response proves that the record is not stored: the service states it, or
// the status means that the request was not processed.
func provesNotStored(err error) bool {
	var status *platformhttp.StatusError
	if !errors.As(err, &status) {
		return false
	}
	var response errorResponse
	if json.Unmarshal(status.Body, &response) == nil && response.MayBeStored != nil {
		return !*response.MayBeStored
	}
	switch status.Status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound,
		http.StatusMethodNotAllowed, http.StatusRequestEntityTooLarge, http.StatusTooManyRequests:
		return true
	}
	return false
}

type pageResponse struct {
	Records  []recordResponse `json:"records"`
	Earliest uint64           `json:"earliest"`
	Next     uint64           `json:"next"`
}

type recordResponse struct {
	Offset  uint64    `json:"offset"`
	Time    time.Time `json:"time"`
	Payload []byte    `json:"payload"`
}

// Read implements services.Log. The service itself waits for records (long polling).
func (l *Log) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (services.Page, error) {
	page, err := l.read(ctx, stream, from, limit, wait)
	if err != nil {
		l.readFailures.Add(1)
		return services.Page{}, fmt.Errorf("read %s from %d: %w", stream, from, err)
	}
	return page, nil
}

func (l *Log) read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (services.Page, error) {
	address, err := l.streamURL(stream)
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
	var response pageResponse
	if err := platformhttp.DoJSON(l.client, request, http.StatusOK, &response); err != nil {
		return services.Page{}, err
	}
	return response.page(from)
}

// page validates what callers rely on: offsets in ascending order, none below from and none at or above next.
func (a pageResponse) page(from uint64) (services.Page, error) {
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

// streamURL returns the URL of a stream.
func (l *Log) streamURL(stream string) (string, error) {
	segments := strings.Split(stream, "/")
	for i, segment := range segments {
		if segment == "" || segment == "." || segment == ".." {
			return "", fmt.Errorf("%w: %q", errInvalidStreamName, stream)
		}
		segments[i] = url.PathEscape(segment)
	}
	return strings.TrimSuffix(string(l.URL), "/") + "/streams/" + strings.Join(segments, "/"), nil
}
