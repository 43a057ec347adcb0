package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"jacinthfork.example/jacinthfork/kernel"
)

// waitInterval is the time between two reads of the fleet.
const waitInterval = 200 * time.Millisecond

// waitForRevision returns when every node of the instance list has the revision. The list is read
// each time, so that a node that is gone is not waited for. The error names the nodes that lack it.
func (o *operator) waitForRevision(ctx context.Context, revision uint64, out output) error {
	missing := "no node was read"
	for {
		count, behind, err := o.behind(ctx, revision)
		switch {
		case ctx.Err() != nil:
			return fmt.Errorf("not every node has revision %d: %s", revision, missing)
		case err != nil:
			missing = err.Error()
		case len(behind) == 0:
			fmt.Fprintf(out.out, "all %d nodes have revision %d\n", count, revision)
			return nil
		default:
			missing = strings.Join(behind, "; ")
		}
		select {
		case <-ctx.Done():
		case <-time.After(waitInterval):
		}
	}
}

// behind returns the number of nodes and a text for each that lacks the revision.
func (o *operator) behind(ctx context.Context, revision uint64) (int, []string, error) {
	nodes, err := o.nodes(ctx, "")
	if err != nil {
		return 0, nil, err
	}
	var behind []string
	for _, a := range readAll[kernel.Status](ctx, o, nodes, "/debug/fleet") {
		switch {
		case a.err != nil:
			behind = append(behind, fmt.Sprintf("%s: %v", a.node.ID, a.err))
		case a.value.Instance != a.node.ID:
			behind = append(behind, fmt.Sprintf("%s: %s answered at its address", a.node.ID, a.value.Instance))
		case a.value.ConfigRevision < revision:
			behind = append(behind, fmt.Sprintf("%s has %d", a.node.ID, a.value.ConfigRevision))
		}
	}
	return len(nodes), behind, nil
}
