package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"jacinthfork.example/jacinthfork/kernel"
)

// pollInterval is the delay between two reads of all nodes' status.
const pollInterval = 200 * time.Millisecond

// waitForRevision waits until every node in the instance list has the configuration revision. It reads the
// list again before each poll, so that it does not wait for a node that was removed meanwhile. The error
// names the nodes that lack the revision.
func (c *fleetClient) waitForRevision(ctx context.Context, revision uint64, out output) error {
	missing := "no node status was read"
	for {
		count, behind, err := c.nodesBehind(ctx, revision)
		switch {
		case ctx.Err() != nil:
			return fmt.Errorf("not every node has revision %d: %s", revision, missing)
		case err != nil:
			missing = err.Error()
		case len(behind) == 0:
			fmt.Fprintf(out.stdout, "all %d nodes have revision %d\n", count, revision)
			return nil
		default:
			missing = strings.Join(behind, "; ")
		}
		select {
		case <-ctx.Done():
		case <-time.After(pollInterval):
		}
	}
}

// nodesBehind returns the number of nodes and a description of each node that lacks the revision.
func (c *fleetClient) nodesBehind(ctx context.Context, revision uint64) (int, []string, error) {
	nodes, err := c.nodes(ctx, "")
	if err != nil {
		return 0, nil, err
	}
	var behind []string
	for _, response := range fetchAll[kernel.Status](ctx, c, nodes, "/debug/fleet") {
		switch {
		case response.err != nil:
			behind = append(behind, fmt.Sprintf("%s: %v", response.node.ID, response.err))
		case response.value.Instance != response.node.ID:
			behind = append(behind, fmt.Sprintf("%s: its address is served by instance %s", response.node.ID, response.value.Instance))
		case response.value.ConfigRevision < revision:
			behind = append(behind, fmt.Sprintf("%s has revision %d", response.node.ID, response.value.ConfigRevision))
		}
	}
	return len(nodes), behind, nil
}
