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

// explainCommand implements "jacinthfork explain".
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

// explainedEntry is a journal entry with the ID of the node that recorded it.
type explainedEntry struct {
	Node string `json:"node"`
	journal.Entry
}

func (e *explainCommand) run(ctx context.Context, out output) error {
	if len(e.logs) > 0 {
		return explainLogs(e.logs, e.subject, e.json, os.Stdin, out)
	}
	client, err := e.settings.open()
	if err != nil {
		return err
	}
	nodes, err := client.nodes(ctx, "")
	if err != nil {
		return err
	}
	path := "/debug/journal?" + url.Values{"subject": {e.subject}}.Encode()
	entries, failed := mergeEntries(fetchAll[[]journal.Entry](ctx, client, nodes, path), out)
	if len(entries) == 0 {
		return fmt.Errorf("%d of %d journals were read, and none has an entry about %q", len(nodes)-failed, len(nodes), e.subject)
	}
	if e.json {
		return printJSON(out.stdout, entries)
	}
	printEntries(out.stdout, entries)
	return nil
}

// mergeEntries returns the entries of all nodes ordered by time, and the number of nodes whose journals could
// not be read.
func mergeEntries(responses []nodeResponse[[]journal.Entry], out output) (entries []explainedEntry, failed int) {
	for _, response := range responses {
		if response.err != nil {
			out.warn("%s: %v", response.node.ID, response.err)
			failed++
		}
		for _, entry := range response.value {
			entries = append(entries, explainedEntry{response.node.ID, entry})
		}
	}
	slices.SortStableFunc(entries, func(a, b explainedEntry) int { return a.Time.Compare(b.Time) })
	return entries, failed
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
