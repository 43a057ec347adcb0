package main

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/integrii/flaggy"
	"jacinthfork.example/jacinthfork/kernel/journal"
)

// explainCommand is "jacinthfork explain".
type explainCommand struct {
	settings settingsFlag
	subject  string
	json     bool
	logs     []string
}

func (e *explainCommand) attach(parser *flaggy.Parser) *flaggy.Subcommand {
	command := flaggy.NewSubcommand("explain")
	command.Description = "Print what the journals of all nodes, or log files, say about a request ID, instance, object or key."
	command.AddPositionalValue(&e.subject, "REQUEST-ID", 1, true, "request ID or other subject of the journal")
	e.settings.attach(command)
	command.Bool(&e.json, "j", "json", "print a JSON list")
	command.StringSlice(&e.logs, "l", "logs", "read log files instead of the nodes' journals; - is standard input; may be repeated")
	parser.AttachSubcommand(command, 1)
	return command
}

// explainedEntry is an entry with the node that has it.
type explainedEntry struct {
	Node string `json:"node"`
	journal.Entry
}

func (e *explainCommand) run(ctx context.Context, out output) error {
	if len(e.logs) > 0 {
		return explainLogs(e.logs, e.subject, e.json, os.Stdin, out)
	}
	o, err := e.settings.open()
	if err != nil {
		return err
	}
	nodes, err := o.nodes(ctx, "")
	if err != nil {
		return err
	}
	page := "/debug/journal?" + url.Values{"subject": {e.subject}}.Encode()
	entries, unread := collect(readAll[[]journal.Entry](ctx, o, nodes, page), out)
	if len(entries) == 0 {
		return fmt.Errorf("%d of %d journals were read, and none has an entry about %q", len(nodes)-unread, len(nodes), e.subject)
	}
	if e.json {
		return printJSON(out.out, entries)
	}
	printEntries(out.out, entries)
	return nil
}

// collect returns the entries of all nodes by time, and the number of nodes that were not read.
func collect(answers []answer[[]journal.Entry], out output) (entries []explainedEntry, unread int) {
	for _, a := range answers {
		if a.err != nil {
			out.warn("%s: %v", a.node.ID, a.err)
			unread++
		}
		for _, entry := range a.value {
			entries = append(entries, explainedEntry{a.node.ID, entry})
		}
	}
	slices.SortStableFunc(entries, func(a, b explainedEntry) int { return a.Time.Compare(b.Time) })
	return entries, unread
}

func printEntries(out io.Writer, entries []explainedEntry) {
	for _, entry := range entries {
		var fields strings.Builder
		for _, field := range entry.Fields {
			if field.Value != "" {
				fmt.Fprintf(&fields, " %s=%q", field.Name, field.Value)
			}
		}
		at := entry.Time.UTC().Format(time.RFC3339Nano)
		fmt.Fprintf(out, "%s %s %s: %s%s\n", at, entry.Node, entry.Kind, entry.Text, fields.String())
	}
}
