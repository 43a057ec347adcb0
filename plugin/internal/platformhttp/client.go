// Package platformhttp holds the HTTP client code that the adapters for the platform's services share.
package platformhttp

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"jacinthfork.example/jacinthfork/internal/httpcheck"
)

// Limits of the client.
const (
	// MaxResponseBytes bounds the size of one response.
	MaxResponseBytes = 64 << 20
	// maxHeaderBytes bounds the header of one response.
	maxHeaderBytes = 32 << 10
	// maxErrorBytes bounds how much of the body of an error response is read.
	maxErrorBytes = 16 << 10

	dialTimeout         = 2 * time.Second
	maxIdleConnsPerHost = 4
	idleConnTimeout     = 90 * time.Second
)

// Dialer opens a connection; it has the signature of net.Dialer.DialContext. It is an alias, so that packages
// that cannot import this one can declare an interface with the SetDialer method.
type Dialer = func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client that ignores proxy environment variables and does not follow redirects. A nil
// dial selects a default dialer.
func NewClient(dial Dialer) *http.Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &http.Client{
		Transport: httpcheck.Transport(&http.Transport{
			DialContext:         dial,
			MaxIdleConnsPerHost: maxIdleConnsPerHost,
			IdleConnTimeout:     idleConnTimeout,

			MaxResponseHeaderBytes: maxHeaderBytes,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// StatusError reports a response with an unexpected status code.
type StatusError struct {
	Status int
	// Body is the beginning of the response body, at most maxErrorBytes.
	Body []byte
}

// Error implements the error interface.
func (e *StatusError) Error() string {
	return fmt.Sprintf("answer %d %s: %.200s", e.Status, http.StatusText(e.Status), e.Body)
}

// DoJSON sends a request and decodes the JSON response into target. A status code other than want results in a
// *StatusError.
func DoJSON(client *http.Client, request *http.Request, want int, target any) error {
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != want {
		body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
		return &StatusError{response.StatusCode, body}
	}
	decoder := json.NewDecoder(io.LimitReader(response.Body, MaxResponseBytes))
	if err := decoder.Decode(target); err != nil {
		return fmt.Errorf("answer is not understood: %w", err)
	}
	// The connection is reused only if the response body was read to the end.
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxErrorBytes))
	return nil
}

// DoConditional is DoJSON for a conditional request; it returns the response header. When the resource is
// unchanged (status 304), the returned header is nil and target is not modified.
func DoConditional(client *http.Client, request *http.Request, target any) (http.Header, error) {
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotModified {
		return nil, nil
	}
	if response.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
		return nil, &StatusError{response.StatusCode, body}
	}
	decoder := json.NewDecoder(io.LimitReader(response.Body, MaxResponseBytes))
	if err := decoder.Decode(target); err != nil {
		return nil, fmt.Errorf("answer is not understood: %w", err)
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxErrorBytes))
	return response.Header, nil
}
