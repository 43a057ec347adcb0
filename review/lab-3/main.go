// Command lab-3 runs cases of the review against gateway processes: a small deployment with stand-ins for the platform's store, for
// workers and for consumers.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// trouble is false if the case is to run without its disruption.
var trouble = os.Getenv("TROUBLE") != "0"

func main() {
	cases := map[string]func(w *world) (broken bool, err error){"parts": parts, "silent": silent, "whole": whole}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab-3 CASE RECORD")
		os.Exit(2)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		w.killGateways()
		os.Exit(2)
	}()
	broken, err := cases[os.Args[1]](w)
	w.printf("sent: %d requests", requestNumber.Load())
	w.recordRuns()
	w.close()
	switch {
	case err != nil:
		w.printf("the case could not run: %v", err)
		os.Exit(2)
	case broken:
		w.printf("result: the rule is broken")
		os.Exit(1)
	}
	w.printf("result: the rule held")
}
