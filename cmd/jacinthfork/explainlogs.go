package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"
)

// maxLogLine is the maximum length of a log line in bytes.
const maxLogLine = 1 << 20

// logLine is a parsed JSON log line.
type logLine struct {
	time time.Time
	// raw is the unmodified JSON object.
	raw json.RawMessage
}

// explainLogs prints the lines of all log files that mention the subject, sorted by their timestamps. Clocks
// of different machines differ by milliseconds, so lines of two processes that are that close together may be
// out of order; lines of one process keep their order. A prefix before the JSON object, as log collectors add
// it, is ignored.
func explainLogs(files []string, subject string, asJSON bool, stdin io.Reader, out output) error {
	var lines []logLine
	for _, file := range files {
		found, err := matchingLines(file, subject, stdin)
		if err != nil {
			return err
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return fmt.Errorf("no line in %d log files mentions %q", len(files), subject)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.time.Compare(b.time) })
	if asJSON {
		raw := make([]json.RawMessage, len(lines))
		for i, line := range lines {
			raw[i] = line.raw
		}
		return printJSON(out.stdout, raw)
	}
	for _, line := range lines {
		fmt.Fprintln(out.stdout, line.format())
	}
	return nil
}

// matchingLines returns the JSON log lines in a file that mention the subject.
func matchingLines(file, subject string, stdin io.Reader) ([]logLine, error) {
	in := stdin
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		in = f
	}
	var lines []logLine
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 || !bytes.Contains(text, []byte(subject)) {
			continue
		}
		raw := bytes.Clone(text[start:])
		var head struct {
			Time time.Time `json:"time"`
		}
		// Truncated lines and output of other programs are skipped.
		if err := json.Unmarshal(raw, &head); err == nil {
			lines = append(lines, logLine{time: head.Time, raw: raw})
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return lines, nil
}

// format returns the line as time, node, message and the other fields in their original order.
func (l logLine) format() string {
	var node, message string
	var fields strings.Builder
	decoder := json.NewDecoder(bytes.NewReader(l.raw))
	// matchingLines has decoded the object before, so that its tokens are valid.
	_, _ = decoder.Token()
	for decoder.More() {
		key, _ := decoder.Token()
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			break
		}
		switch key {
		case "time", "level":
		case "node":
			node = strings.Trim(string(value), "\"")
		case "msg":
			message = strings.Trim(string(value), "\"")
		default:
			fmt.Fprintf(&fields, " %s=%s", key, value)
		}
	}
	return fmt.Sprintf("%s %s %s:%s", l.time.UTC().Format(time.RFC3339Nano), node, message, fields.String())
}
