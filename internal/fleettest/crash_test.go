package fleettest

import (
	"fmt"
	"sync"
	"testing"

	"github.com/matryer/is"

	"jacinthfork.example/jacinthfork/standin/engine"
	"jacinthfork.example/jacinthfork/suspect"
)

// Guards against a request that crashes every engine that runs it and so takes down the whole pool. Its
// caller sends it under new ids to every router, concurrently and then one at a time, first with the log
// available and then without. Other requests must be answered afterwards.
func TestCrashingRequestStaysWithinEngineLimit(t *testing.T) {
	runParallel(t)
	f := StartFleet(t, FleetSpec{Routers: 3, Pools: []Pool{{Name: "llm", Kind: "engine", Count: 10}}})
	f.crashEngines(t, engine.DefaultCrashMarker+" with log")
	f.Log.Set(`{"outage":"refuse"}`)
	f.crashEngines(t, engine.DefaultCrashMarker+" without log")
}

func (f *Fleet) crashEngines(t *testing.T, question string) {
	t.Helper()
	is := is.New(t)
	before := f.crashes()
	body := ChatBody("llm", question, true)
	const concurrent, sequential = 6, 6
	var group sync.WaitGroup
	for i := range concurrent {
		group.Go(func() { wantNoAnswer(t, f.Routers[i%len(f.Routers)].Chat(t.Context(), body)) })
	}
	group.Wait()
	for i := range sequential {
		wantNoAnswer(t, f.Routers[i%len(f.Routers)].Chat(t.Context(), body))
	}
	runs, engines := int64(0), 0
	for i, count := range f.crashes() {
		runs += count - before[i]
		if count > before[i] {
			engines++
		}
	}
	t.Logf("%q: %d crashes of %d engines", question, runs, engines)
	is.True(runs > 0)                                              // nothing crashed
	is.True(engines <= suspect.DefaultSettings().MaxEngines())     // engines lost to one request
	is.True(runs <= int64(suspect.DefaultSettings().MaxEngines())) // crashes by one request
	f.wantChatsAnswered(t)
}

func wantNoAnswer(t *testing.T, reply Reply) {
	t.Helper()
	if _, complete := reply.Content(); complete {
		t.Error("a request that crashes engines got an answer")
	}
}

// wantChatsAnswered sends four chats through each router and fails the test unless all get complete answers.
func (f *Fleet) wantChatsAnswered(t *testing.T) {
	t.Helper()
	for i, r := range f.Routers {
		for j := range 4 {
			body := ChatBody("llm", fmt.Sprintf("harmless %d %d", i, j), true)
			reply := r.Chat(t.Context(), body)
			if text, complete := reply.Content(); !complete || text != engine.ExpectedContent([]byte(body)) {
				t.Errorf("%s: no complete answer: %d %s %v", r.ID, reply.Status, reply.Body, reply.Err)
			}
		}
	}
}

func (f *Fleet) crashes() []int64 {
	var counts []int64
	for _, b := range f.PoolBackends("llm") {
		counts = append(counts, b.counts().Crashes)
	}
	return counts
}
