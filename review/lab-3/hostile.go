package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// hostile: clients that the users don't control send many bodies of legal size at once, most of which stop just short of their end.
func hostile(w *world) (broken bool, err error) {
	for i := range 3 {
		if _, err := w.addWorker(fmt.Sprintf("i-p%d", i), plainPool, 6); err != nil {
			return false, err
		}
	}
	if _, err := w.addWorker("i-m1", modelPool, 64); err != nil {
		return false, err
	}
	w.configure(7,
		route("r-print", "/print/", "non_idempotent", map[string]any{"backend": plainPool, "timeout-ms": 1500, "slo-ms": 300}),
		route("r-rep", "/rep/", "streaming", map[string]any{"attempts": 2, "resumable": true, "priority": 0}))
	edit := func(settings map[string]any) {
		limits := settings["limits"].(map[string]any)
		if m, err := strconv.Atoi(os.Getenv("MEM")); err == nil {
			limits["memory-mb"] = m
		}
		if m, err := strconv.Atoi(os.Getenv("FDS")); err == nil {
			limits["max-fds"] = m
		}
	}
	if err := w.addGateways(1, edit); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	g := w.gateways[0]
	var sent atomic.Int64
	stop := make(chan struct{})
	n, _ := strconv.Atoi(os.Getenv("N"))
	size, _ := strconv.Atoi(os.Getenv("SIZE"))
	piece, _ := strconv.Atoi(os.Getenv("PIECE"))
	pause, _ := strconv.Atoi(os.Getenv("PAUSE"))
	back := os.Getenv("BACK") != ""
	if trouble {
		for i := range n {
			go func() {
				for attempt := 0; attempt == 0 || back; attempt++ {
					select {
					case <-stop:
						return
					default:
					}
					d := net.Dialer{Timeout: 2 * time.Second, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 99, byte(1+i%200))}}
					conn, err := d.Dial("tcp", g.front)
					if err != nil {
						time.Sleep(100 * time.Millisecond)
						continue
					}
					_, _ = io.WriteString(conn, fmt.Sprintf("POST /rep/2f HTTP/1.1\r\nHost: %s\r\nX-Request-Id: h%d-%d\r\nX-Deadline-Ms: 15000\r\nApi-Key: %s\r\nX-Model: m\r\nX-Token-Count: 10,10\r\nX-Prompt-Prefix: %x:10,%x:10\r\nContent-Length: %d\r\n\r\n", callerHost, i, attempt, apiKey, i, i+1000000, size))
					buf := []byte(strings.Repeat("x", piece))
					for left := size - 1; left > 0; {
						k, err := conn.Write(buf[:min(left, piece)])
						sent.Add(int64(k))
						left -= k
						if err != nil {
							break
						}
						time.Sleep(time.Duration(pause) * time.Millisecond)
					}
					done := make(chan struct{})
					go func() { _, _ = io.Copy(io.Discard, conn); close(done) }()
					select {
					case <-stop:
					case <-done:
						time.Sleep(time.Second)
					}
					_ = conn.Close()
				}
			}()
		}
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	kinds := map[string]int{}
	begin := time.Now()
	top := 0
	for i := 0; time.Since(begin) < 25*time.Second; i++ {
		c := newCall("POST", "/print/2f")
		c.body, c.deadline = strings.Repeat("o", 600), 1500*time.Millisecond
		group.Go(func() {
			c.do(g.front)
			key := fmt.Sprintf("%2d s: %d %.10s %s", int(time.Since(begin).Seconds()/5)*5, c.status, c.failure, c.failure[max(0, len(c.failure)-12):])
			mu.Lock()
			kinds[key]++
			mu.Unlock()
		})
		time.Sleep(40 * time.Millisecond)
		if i%10 == 0 {
			top = max(top, rss(g.cmd.Process.Pid))
			if !g.running() {
				w.printf("the gateway has ended")
				broken = true
				break
			}
		}
	}
	close(stop)
	group.Wait()
	for k, v := range kinds {
		w.printf("%s: %d", k, v)
	}
	w.printf("peak resident memory %d MB, %d MB sent", top, sent.Load()>>20)
	return broken, nil
}

func rss(pid int) int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10
		}
	}
	return 0
}
