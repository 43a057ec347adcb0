package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	memoryMB = 284
	// promptParts and partTokens make a prompt of 5,600 tokens in a header of about 15 KB. The limit is 16,384 bytes.
	promptParts = 1400
	partTokens  = 4
	// faultEnds is how often a process has to end by itself for a fault, on two machines or more.
	faultEnds = 3
)

// parts: requests inside all limits whose prompts have many short parts. The platform kills a process that exceeds its memory and
// starts it again.
func parts(w *world) (broken bool, err error) {
	for i := range 18 {
		one, err := w.addWorker(fmt.Sprintf("i-m%d", i), modelPool, 64)
		if err != nil {
			return false, err
		}
		one.eventInterval = 20 * time.Millisecond
	}
	w.configure(7, route("r-rep", "/rep/", "streaming", map[string]any{"attempts": 2, "resumable": true, "priority": 0}))
	if err := w.addGateways(2, nil); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	seen := map[string]int{}
	ends, top := map[string]int{}, map[string]int{}
	var group sync.WaitGroup
	stop := make(chan struct{})
	for _, g := range w.gateways {
		group.Go(func() {
			for number := 0; ; number++ {
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond):
				}
				c := newCall("POST", "/rep/2f")
				c.prompt, c.output, c.body = fmt.Sprintf("5c1e07a2:5470,%08x:130", rand.Uint32()), 25, "question"
				if trouble {
					c.prompt = manyParts()
				}
				group.Go(func() {
					c.do(g.front)
					mu.Lock()
					seen[fmt.Sprintf("status %d, complete %v %s", c.status, c.complete, c.failure[max(0, len(c.failure)-13):])]++
					mu.Unlock()
				})
			}
		})
	}
	begin := time.Now()
	for time.Since(begin) < 80*time.Second && (len(ends) < 2 || ends[w.gateways[0].name] < faultEnds || ends[w.gateways[1].name] < faultEnds) {
		time.Sleep(100 * time.Millisecond)
		for _, g := range w.gateways {
			used := rss(g.cmd.Process.Pid)
			top[g.name] = max(top[g.name], used)
			if used <= memoryMB && g.running() {
				continue
			}
			ends[g.name]++
			w.printf("%s has %d MB resident, of %d MB: the platform kills it and starts it again, %.1f s after the requests began", g.name, used, memoryMB, time.Since(begin).Seconds())
			g.signal(syscall.SIGKILL)
			<-g.exited
			time.Sleep(200 * time.Millisecond)
			if err := w.start(g); err != nil {
				return false, err
			}
		}
	}
	close(stop)
	group.Wait()
	for k, n := range seen {
		w.printf("%s: %d", k, n)
	}
	faults := 0
	for _, g := range w.gateways {
		w.printf("%s: most resident memory %d MB, ended %d times", g.name, top[g.name], ends[g.name])
		if ends[g.name] >= faultEnds {
			faults++
		}
	}
	return faults >= 2, nil
}

func manyParts() string {
	var text strings.Builder
	for n := range promptParts {
		if n > 0 {
			text.WriteByte(',')
		}
		fmt.Fprintf(&text, "%x:%d", rand.Uint32(), partTokens)
	}
	return text.String()
}
