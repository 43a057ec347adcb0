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

// maxLogLine bounds one line of a log, in bytes.
const maxLogLine = 1 << 20

// logLine is one structured line of a process's log.
type logLine struct {
	time time.Time
	// raw is the JSON object as written.
	raw json.RawMessage
}

// explainLogs prints the lines of log files that mention a subject, over all processes in the order of
// their clocks. Clocks of machines differ by milliseconds, so lines of two processes that are as close
// may be in the wrong order; those of one process never are. What stands before the JSON object of a
// line, as a collector may add it, is passed over.
func explainLogs(files []string, subject string, asJSON bool, standard io.Reader, out output) error {
	var lines []logLine
	for _, file := range files {
		found, err := linesAbout(file, subject, standard)
		if err != nil {
			return err
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return fmt.Errorf("no line of %d logs mentions %q", len(files), subject)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.time.Compare(b.time) })
	if asJSON {
		raw := make([]json.RawMessage, len(lines))
		for i, line := range lines {
			raw[i] = line.raw
		}
		return printJSON(out.out, raw)
	}
	for _, line := range lines {
		fmt.Fprintln(out.out, line.text())
	}
	return nil
}

// linesAbout returns the structured lines of a file that mention a subject.
func linesAbout(file, subject string, standard io.Reader) ([]logLine, error) {
	in := standard
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
		begin := bytes.IndexByte(text, '{')
		if begin < 0 || !bytes.Contains(text, []byte(subject)) {
			continue
		}
		raw := bytes.Clone(text[begin:])
		var head struct {
			Time time.Time `json:"time"`
		}
		// A line that is cut off or of another program is no line of a process's log.
		if err := json.Unmarshal(raw, &head); err == nil {
			lines = append(lines, logLine{time: head.Time, raw: raw})
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return lines, nil
}

// text is the line as time, node, message and the other fields in the order of their writing.
func (l logLine) text() string {
	var node, message string
	var fields strings.Builder
	decoder := json.NewDecoder(bytes.NewReader(l.raw))
	// The object was decoded before, so that its tokens are sound.
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
