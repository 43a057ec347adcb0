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

// statusCommand is "jacinthfork status".
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
	o, err := s.settings.open()
	if err != nil {
		return err
	}
	nodes, err := o.nodes(ctx, "")
	if err != nil {
		return err
	}
	status := newFleetStatus(readAll[kernel.Status](ctx, o, nodes, "/debug/fleet"))
	if s.json {
		err = printJSON(out.out, status)
	} else {
		err = status.table(out.out)
	}
	if err != nil {
		return err
	}
	if status.Unreachable > 0 {
		return fmt.Errorf("%d of %d nodes gave no status", status.Unreachable, len(nodes))
	}
	return nil
}

// fleetStatus is what all nodes said.
type fleetStatus struct {
	// Revision is the highest revision that a node has.
	Revision    uint64         `json:"revision"`
	Behind      int            `json:"behind"`
	Unreachable int            `json:"unreachable"`
	Nodes       []nodeStatus   `json:"nodes"`
	Members     []memberStatus `json:"members"`
}

// nodeStatus is one node. Status is zero when Fault is set.
type nodeStatus struct {
	ID     string        `json:"id"`
	Role   services.Role `json:"role"`
	Behind bool          `json:"behind"`
	Fault  string        `json:"fault,omitempty"`
	Status kernel.Status `json:"status"`
}

// memberStatus is one sidecar as the routers see it.
type memberStatus struct {
	Pool     string `json:"pool"`
	Instance string `json:"instance"`
	// KnownBy, ReadyBy and LeavingBy count routers.
	KnownBy   int `json:"known_by"`
	ReadyBy   int `json:"ready_by"`
	LeavingBy int `json:"leaving_by"`
	// Incarnations has more than one entry while routers disagree.
	Incarnations []uint64 `json:"incarnations"`
}

func newFleetStatus(answers []answer[kernel.Status]) *fleetStatus {
	f := new(fleetStatus)
	for _, a := range answers {
		node := nodeStatus{ID: a.node.ID, Role: a.node.Role, Status: a.value}
		if a.err == nil && a.value.Instance != a.node.ID {
			a.err = fmt.Errorf("%s answered at its address", a.value.Instance)
		}
		if a.err != nil {
			node.Fault = a.err.Error()
			f.Unreachable++
		}
		f.Revision = max(f.Revision, node.Status.ConfigRevision)
		f.Nodes = append(f.Nodes, node)
	}
	for i := range f.Nodes {
		node := &f.Nodes[i]
		if node.Fault == "" && node.Status.ConfigRevision < f.Revision {
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

func (f *fleetStatus) table(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NODE\tROLE\tPOOL\tREVISION\tSTATE")
	for _, n := range f.Nodes {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", n.ID, n.Role, n.Status.Pool, n.Status.ConfigRevision, n.state())
	}
	fmt.Fprintln(w, "\nPOOL\tMEMBER\tKNOWN BY\tREADY BY\tLEAVING BY\tINCARNATIONS")
	for _, m := range f.Members {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\n", m.Pool, m.Instance, m.KnownBy, m.ReadyBy, m.LeavingBy, len(m.Incarnations))
	}
	fmt.Fprintf(w, "\nrevision %d, %d behind, %d without status\n", f.Revision, f.Behind, f.Unreachable)
	return w.Flush()
}

// state describes the node in one cell.
func (n *nodeStatus) state() string {
	if n.Fault != "" {
		return n.Fault
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
