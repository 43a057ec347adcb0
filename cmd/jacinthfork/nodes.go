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

	"jacinthfork.example/jacinthfork/services"
)

const (
	// maxParallel bounds the nodes that are read at the same time.
	maxParallel = 32
	// maxPage bounds the page of one node in bytes.
	maxPage = 64 << 20
)

// answer is what one node said.
type answer[T any] struct {
	node  services.Instance
	value T
	err   error
}

// readAll reads a page of every node as JSON. The answers are ordered by instance ID.
func readAll[T any](ctx context.Context, o *operator, nodes []services.Instance, page string) []answer[T] {
	answers := make([]answer[T], len(nodes))
	slots := make(chan struct{}, maxParallel)
	var work sync.WaitGroup
	for i, node := range nodes {
		work.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			answers[i].node = node
			answers[i].err = o.read(ctx, node, page, &answers[i].value)
		})
	}
	work.Wait()
	slices.SortFunc(answers, func(a, b answer[T]) int { return cmp.Compare(a.node.ID, b.node.ID) })
	return answers
}

func (o *operator) read(ctx context.Context, node services.Instance, page string, into any) error {
	if node.OperatorAddress == "" {
		return errors.New("the instance list has no operators' address for it")
	}
	ctx, cancel := context.WithTimeout(ctx, o.settings.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node.OperatorAddress+page, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", page, response.Status)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxPage)).Decode(into); err != nil {
		return fmt.Errorf("%s: %w", page, err)
	}
	return nil
}
