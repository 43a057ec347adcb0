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
	// The machines and engines are those of the large deployment; the smallest of its front machines have 184 MB.
	largeMemoryMB, largeEngines, largeSlots, largeKVTokens = 184, 180, 32, 391998
	// A chat has 300 turns of 30 tokens: 9,000 tokens, in a header of 4 KB of the 16 KB that are allowed.
	chatTurns, turnTokens = 300, 30
	// faultEnds is how often a process has to end by itself for a fault, on two machines or more.
	faultEnds = 3
)

// parts: prompts of chats with many short turns. The platform kills a process that exceeds its memory and starts it again.
func parts(w *world) (broken bool, err error) {
	w.slots, w.kvTokens = largeSlots, largeKVTokens
	for i := range largeEngines {
		one, err := w.addWorker(fmt.Sprintf("i-m%d", i), modelPool, largeSlots)
		if err != nil {
			return false, err
		}
		one.eventInterval = 20 * time.Millisecond
	}
	w.configure(7, route("r-rep", "/rep/", "streaming", map[string]any{"attempts": 2, "resumable": true, "priority": 0}))
	if err := w.addGateways(2, func(s map[string]any) { s["limits"].(map[string]any)["memory-mb"] = largeMemoryMB }); err != nil {
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
				case <-time.After(6 * time.Millisecond):
				}
				c := newCall("POST", "/rep/2f")
				c.prompt, c.output, c.body = fmt.Sprintf("%08x:%d,%08x:%d", rand.Uint32(), (chatTurns-1)*turnTokens, rand.Uint32(), turnTokens), 25, "question"
				if trouble {
					c.prompt = chat()
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
	for time.Since(begin) < 95*time.Second && (len(ends) < 2 || ends[w.gateways[0].name] < faultEnds || ends[w.gateways[1].name] < faultEnds) {
		time.Sleep(100 * time.Millisecond)
		for _, g := range w.gateways {
			used := rss(g.cmd.Process.Pid)
			top[g.name] = max(top[g.name], used)
			if used <= largeMemoryMB && g.running() {
				continue
			}
			ends[g.name]++
			w.printf("%s has %d MB resident, of %d MB: the platform kills it and starts it again, %.1f s after the requests began", g.name, used, largeMemoryMB, time.Since(begin).Seconds())
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

func chat() string {
	var text strings.Builder
	for n := range chatTurns {
		if n > 0 {
			text.WriteByte(',')
		}
		fmt.Fprintf(&text, "%x:%d", rand.Uint32(), turnTokens)
	}
	return text.String()
}
