package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"

	"jacinthfork.example/jacinthfork/internal/httpcheck"
	"jacinthfork.example/jacinthfork/services"
)

const (
	// maxConcurrentRequests limits the number of nodes that are read concurrently.
	maxConcurrentRequests = 32
	// maxResponseBytes limits the size of one node's response body.
	maxResponseBytes = 64 << 20
)

// nodeClient reads from the operators' addresses of nodes.
var nodeClient = &http.Client{Transport: httpcheck.Transport(http.DefaultTransport.(*http.Transport).Clone())}

// nodeResponse is the decoded response of one node, or the error of its request.
type nodeResponse[T any] struct {
	node  services.Instance
	value T
	err   error
}

// fetchAll sends a GET request for the path to the operators' address of every node and decodes the JSON
// responses. They are ordered by instance ID.
func fetchAll[T any](ctx context.Context, client *fleetClient, nodes []services.Instance, path string) []nodeResponse[T] {
	responses := make([]nodeResponse[T], len(nodes))
	semaphore := make(chan struct{}, maxConcurrentRequests)
	var wg sync.WaitGroup
	for i, node := range nodes {
		wg.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			responses[i].node = node
			responses[i].err = client.fetch(ctx, node, path, &responses[i].value)
		})
	}
	wg.Wait()
	slices.SortFunc(responses, func(a, b nodeResponse[T]) int { return cmp.Compare(a.node.ID, b.node.ID) })
	return responses
}

func (c *fleetClient) fetch(ctx context.Context, node services.Instance, path string, target any) error {
	if node.OperatorAddress == "" {
		return errors.New("the instance list contains no operators' address for this node")
	}
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node.OperatorAddress+path, nil)
	if err != nil {
		return err
	}
	response, err := nodeClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", path, response.Status)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(target); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}
