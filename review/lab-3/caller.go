package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var requestNumber atomic.Int64

// call is one request of a caller and what became of it.
type call struct {
	id, path, method string
	prompt           string
	output           int
	body             string
	deadline         time.Duration
	patience         time.Duration
	dialer           *net.Dialer

	status   int
	stamp    bool
	events   []string
	longest  time.Duration
	complete bool
	failure  string
	took     time.Duration
	text     string
}

func newCall(method, path string) *call {
	return &call{id: fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, requestNumber.Add(1)), method: method, path: path, deadline: 15 * time.Second}
}

// do sends the request on a connection of its own.
func (c *call) do(front string) {
	begin := time.Now()
	defer func() { c.took = time.Since(begin) }()
	dialer := net.Dialer{}
	if c.dialer != nil {
		dialer = *c.dialer
	}
	dialer.Timeout = time.Second
	conn, err := dialer.Dial("tcp", front)
	if err != nil {
		c.failure = "no connection"
		return
	}
	defer conn.Close()
	c.on(conn, bufio.NewReader(conn))
}

// on sends the request on a connection and reads the answer.
func (c *call) on(conn net.Conn, in *bufio.Reader) {
	end := time.Now().Add(c.deadline)
	_ = conn.SetDeadline(end)
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nApi-Key: %s\r\n", c.method, c.path, callerHost, c.id, c.deadline.Milliseconds(), apiKey)
	if c.prompt != "" {
		fmt.Fprintf(&head, "X-Model: m\r\nX-Token-Count: 800,%d\r\nX-Prompt-Prefix: %s\r\n", c.output, c.prompt)
	}
	if c.method == "POST" {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(c.body))
	}
	head.WriteString("\r\n" + c.body)
	if _, err := io.WriteString(conn, head.String()); err != nil {
		c.failure = "write: " + err.Error()
		return
	}
	if c.patience > 0 {
		_ = conn.SetReadDeadline(time.Now().Add(c.patience))
	}
	resp, err := http.ReadResponse(in, &http.Request{Method: c.method})
	if err != nil {
		c.failure = "read: " + err.Error()
		return
	}
	defer resp.Body.Close()
	c.status, c.stamp = resp.StatusCode, resp.Header.Get("X-Response-Stamp") != ""
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		text, err := io.ReadAll(resp.Body)
		c.text = string(text)
		if c.complete = err == nil; err != nil {
			c.failure = "body: " + err.Error()
		}
		return
	}
	events := bufio.NewReader(resp.Body)
	last := time.Now()
	for {
		if c.patience > 0 {
			_ = conn.SetReadDeadline(minTime(end, time.Now().Add(c.patience)))
		}
		line, err := events.ReadString('\n')
		if err == io.EOF {
			c.complete = true
			return
		}
		if err != nil {
			c.failure = "stream: " + err.Error()
			return
		}
		if id, ok := strings.CutPrefix(strings.TrimSpace(line), "id: "); ok {
			c.events = append(c.events, id)
			c.longest = max(c.longest, time.Since(last))
			last = time.Now()
		}
	}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
