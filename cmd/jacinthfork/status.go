package main

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/integrii/flaggy"
	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/services"
)

// statusCommand implements "jacinthfork status".
type statusCommand struct {
	settings settingsFlag
	json     bool
}

func (s *statusCommand) attach(parser *flaggy.Parser) *flaggy.Subcommand {
	command := flaggy.NewSubcommand("status")
	command.Description = "Show every node's configuration revision and the members that routers see."
	s.settings.attach(command)
	command.Bool(&s.json, "j", "json", "print one JSON object")
	parser.AttachSubcommand(command, 1)
	return command
}

func (s *statusCommand) run(ctx context.Context, out output) error {
	client, err := s.settings.open()
	if err != nil {
		return err
	}
	nodes, err := client.nodes(ctx, "")
	if err != nil {
		return err
	}
	status := newFleetStatus(fetchAll[kernel.Status](ctx, client, nodes, "/debug/fleet"))
	if s.json {
		err = printJSON(out.stdout, status)
	} else {
		err = status.writeTable(out.stdout)
	}
	if err != nil {
		return err
	}
	if status.Unreachable > 0 {
		return fmt.Errorf("%d of %d nodes returned no valid status", status.Unreachable, len(nodes))
	}
	return nil
}

// fleetStatus aggregates the status of all nodes.
type fleetStatus struct {
	// Revision is the highest configuration revision of any node.
	Revision uint64 `json:"revision"`
	// Behind counts the nodes with a lower revision, Unreachable those that returned no valid status.
	Behind      int            `json:"behind"`
	Unreachable int            `json:"unreachable"`
	Nodes       []nodeStatus   `json:"nodes"`
	Members     []memberStatus `json:"members"`
}

// nodeStatus is the status of one node. If Error is set, Status may be zero,
// incomplete or that of another instance.
type nodeStatus struct {
	ID     string        `json:"id"`
	Role   services.Role `json:"role"`
	Behind bool          `json:"behind"`
	Error  string        `json:"fault,omitempty"`
	Status kernel.Status `json:"status"`
}

// memberStatus aggregates what the routers know about one sidecar.
type memberStatus struct {
	Pool     string `json:"pool"`
	Instance string `json:"instance"`
	// KnownBy counts the routers that know the instance, ReadyBy those that consider it ready and LeavingBy
	// those that consider it leaving.
	KnownBy   int `json:"known_by"`
	ReadyBy   int `json:"ready_by"`
	LeavingBy int `json:"leaving_by"`
	// Incarnations has more than one entry while the routers disagree about the current incarnation.
	Incarnations []uint64 `json:"incarnations"`
}

func newFleetStatus(responses []nodeResponse[kernel.Status]) *fleetStatus {
	f := new(fleetStatus)
	for _, response := range responses {
		node := nodeStatus{ID: response.node.ID, Role: response.node.Role, Status: response.value}
		if response.err == nil && response.value.Instance != response.node.ID {
			response.err = fmt.Errorf("its address is served by instance %s", response.value.Instance)
		}
		if response.err != nil {
			node.Error = response.err.Error()
			f.Unreachable++
		}
		f.Revision = max(f.Revision, node.Status.ConfigRevision)
		f.Nodes = append(f.Nodes, node)
	}
	for i := range f.Nodes {
		node := &f.Nodes[i]
		if node.Error == "" && node.Status.ConfigRevision < f.Revision {
			node.Behind = true
			f.Behind++
		}
		f.addMembers(node.Status.Members)
	}
	slices.SortFunc(f.Members, func(a, b memberStatus) int {
		return strings.Compare(a.Pool+" "+a.Instance, b.Pool+" "+b.Instance)
	})
	return f
}

func (f *fleetStatus) addMembers(members []kernel.MemberStatus) {
	for _, seen := range members {
		m := f.member(seen.Pool, seen.Instance)
		m.KnownBy++
		if seen.Ready {
			m.ReadyBy++
		}
		if seen.Leaving {
			m.LeavingBy++
		}
		if !slices.Contains(m.Incarnations, seen.Incarnation) {
			m.Incarnations = append(m.Incarnations, seen.Incarnation)
		}
	}
}

func (f *fleetStatus) member(pool, instance string) *memberStatus {
	for i := range f.Members {
		if f.Members[i].Pool == pool && f.Members[i].Instance == instance {
			return &f.Members[i]
		}
	}
	f.Members = append(f.Members, memberStatus{Pool: pool, Instance: instance})
	return &f.Members[len(f.Members)-1]
}

func (f *fleetStatus) writeTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NODE\tROLE\tPOOL\tREVISION\tSTATE")
	for _, n := range f.Nodes {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", n.ID, n.Role, n.Status.Pool, n.Status.ConfigRevision, n.stateText())
	}
	fmt.Fprintln(w, "\nPOOL\tMEMBER\tKNOWN BY\tREADY BY\tLEAVING BY\tINCARNATIONS")
	for _, m := range f.Members {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\n", m.Pool, m.Instance, m.KnownBy, m.ReadyBy, m.LeavingBy, len(m.Incarnations))
	}
	fmt.Fprintf(w, "\nrevision %d, %d behind, %d without status\n", f.Revision, f.Behind, f.Unreachable)
	return w.Flush()
}

// stateText returns the text of the STATE column.
func (n *nodeStatus) stateText() string {
	if n.Error != "" {
		return n.Error
	}
	var parts []string
	if n.Behind {
		parts = append(parts, "behind")
	}
	if n.Status.Leaving {
		parts = append(parts, "leaving")
	}
	if n.Status.Ready {
		parts = append(parts, "ready")
	} else {
		parts = append(parts, "not ready")
	}
	return strings.Join(parts, ", ")
}
