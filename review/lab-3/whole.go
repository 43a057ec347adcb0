package main

import (
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// whole: clients that the users don't control send many whole bodies of legal size at once.
func whole(w *world) (broken bool, err error) {
	for i := range 18 {
		one, err := w.addWorker(fmt.Sprintf("i-m%d", i), modelPool, 64)
		if err != nil {
			return false, err
		}
		one.eventInterval = 250 * time.Millisecond
	}
	for i := range 3 {
		if _, err := w.addWorker(fmt.Sprintf("i-p%d", i), plainPool, 6); err != nil {
			return false, err
		}
	}
	w.configure(7,
		route("r-print", "/print/", "non_idempotent", map[string]any{"backend": plainPool, "timeout-ms": 1500, "slo-ms": 300}),
		route("r-rep", "/rep/", "streaming", map[string]any{"attempts": 2, "resumable": true, "priority": 0}))
	if err := w.addGateways(1, nil); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	g := w.gateways[0]
	var mu sync.Mutex
	seen := map[string]int{}
	count := func(key string) {
		mu.Lock()
		seen[key]++
		mu.Unlock()
	}
	var group sync.WaitGroup
	if trouble {
		for i := range 1130 {
			size := 128000
			if i >= 640 {
				size = 6000
			}
			group.Go(func() {
				time.Sleep(time.Duration(i) * 2 * time.Millisecond)
				c := newCall("POST", "/rep/2f")
				c.prompt, c.output, c.body = fmt.Sprintf("%x:400,%x:400", i, i+100000), 290, strings.Repeat("x", size)
				d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 99, byte(1+i%200))}}
				c.dialer = &d
				c.do(g.front)
				count(fmt.Sprintf("whole bodies: %d complete %v %.70s", c.status, c.complete, c.text))
			})
		}
	}
	// try is one request of an ordinary consumer, on a new connection.
	type try struct {
		at       time.Time
		consumer int
		taken    bool
	}
	var tries []try
	// The gateway is asked whether it is ready as often as the platform asks it, and more.
	notReady := []time.Time{}
	begin := time.Now()
	top, asked := 0, 0
	for i := 0; time.Since(begin) < 20*time.Second; i++ {
		group.Go(func() {
			at, consumer := time.Now(), 1+i%25
			c := newCall("POST", "/print/2f")
			c.body, c.deadline = "order", 1500*time.Millisecond
			c.dialer = &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 88, byte(consumer))}}
			c.do(g.front)
			mu.Lock()
			tries = append(tries, try{at, consumer, c.status != 0})
			mu.Unlock()
			count(fmt.Sprintf("ordinary request sent at %2d s: status %d %s", int(at.Sub(begin).Seconds()/2)*2, c.status, c.failure[max(0, len(c.failure)-13):]))
		})
		time.Sleep(40 * time.Millisecond)
		if i%10 == 0 {
			asked++
			top = max(top, rss(g.cmd.Process.Pid))
			if !g.isReady() {
				notReady = append(notReady, time.Now())
			}
		}
	}
	group.Wait()
	var lines []string
	for k, n := range seen {
		lines = append(lines, fmt.Sprintf("%s: %d", k, n))
	}
	slices.Sort(lines)
	for _, line := range lines {
		w.printf("%s", line)
	}
	w.printf("ready %d of %d times; peak resident memory %d MB of 284 MB", asked-len(notReady), asked, top)
	// The longest span in which consumers tried and none of their connections was answered.
	slices.SortFunc(tries, func(a, b try) int { return a.at.Compare(b.at) })
	var longest time.Duration
	consumers := map[int]bool{}
	var from time.Time
	for _, t := range tries {
		if t.taken {
			clear(consumers)
			from = time.Time{}
			continue
		}
		if from.IsZero() {
			from = t.at
		}
		consumers[t.consumer] = true
		ready := !slices.ContainsFunc(notReady, func(at time.Time) bool { return at.After(from) && at.Before(t.at) })
		if span := t.at.Sub(from); ready && len(consumers) >= 7 {
			longest = max(longest, span)
		}
	}
	w.printf("longest span in which the gateway said that it is ready and answered no new connection, while seven consumers or more tried: %.1f s", longest.Seconds())
	return longest > stableTime, nil
}

// rss returns the resident memory of a process in MB.
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
