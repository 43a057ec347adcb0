// Package platformhttp holds what the HTTP adapters for the platform share.
package platformhttp

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Limits of the client.
const (
	// MaxAnswerBytes bounds the memory that one answer takes.
	MaxAnswerBytes = 64 << 20
	// maxErrorBytes bounds the part of an error answer that is read.
	maxErrorBytes = 16 << 10

	dialTimeout     = 2 * time.Second
	idleConnections = 4
	idleTimeout     = 90 * time.Second
)

// Dialer opens a connection; it has the signature of net.Dialer.DialContext. It is an alias, so that
// callers outside can name the interface of SetDialer.
type Dialer = func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client that uses neither the environment's proxy nor redirects. A nil dial is
// replaced by a plain dialer.
func NewClient(dial Dialer) *http.Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dial,
			MaxIdleConnsPerHost: idleConnections,
			IdleConnTimeout:     idleTimeout,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// StatusError is the error of an answer with an unexpected status.
type StatusError struct {
	Status int
	// Body is the beginning of the answer's body.
	Body []byte
}

// Error implements the error interface.
func (e *StatusError) Error() string {
	return fmt.Sprintf("answer %d %s: %.200s", e.Status, http.StatusText(e.Status), e.Body)
}

// Do sends a request and decodes the JSON answer into target. An answer with a status other than
// want is a *StatusError.
func Do(client *http.Client, request *http.Request, want int, target any) error {
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != want {
		body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
		return &StatusError{response.StatusCode, body}
	}
	decoder := json.NewDecoder(io.LimitReader(response.Body, MaxAnswerBytes))
	if err := decoder.Decode(target); err != nil {
		return fmt.Errorf("answer is not understood: %w", err)
	}
	// A connection is reused only when its answer was read to the end.
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxErrorBytes))
	return nil
}

// DoTagged is Do for a conditional request. When the service answers that nothing has changed (304),
// the returned header is nil and target is left as it is.
func DoTagged(client *http.Client, request *http.Request, target any) (http.Header, error) {
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
	decoder := json.NewDecoder(io.LimitReader(response.Body, MaxAnswerBytes))
	if err := decoder.Decode(target); err != nil {
		return nil, fmt.Errorf("answer is not understood: %w", err)
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxErrorBytes))
	return response.Header, nil
}
