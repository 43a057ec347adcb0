package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"jacinthfork.example/jacinthfork/standin/engine"
	"jacinthfork.example/jacinthfork/verdict"
)

// Load is the work that the demo sends.
type Load struct {
	Chats   int
	Turns   int
	Actions int
	Seed    uint64
}

// DefaultLoad is that of the demo.
func DefaultLoad() Load { return Load{Chats: 360, Turns: 4, Actions: 60, Seed: 20261204} }

const (
	organisations = 10
	documents     = 8
	documentWords = 120
	answerTokens  = 128
	// requestTokens is about the work of one request without cached tokens.
	requestTokens = 650
	// pauseLimit bounds the pause of a chat between two turns.
	pauseLimit = 300 * time.Millisecond
	// startLimit spreads the starts of the chats.
	startLimit = 3 * time.Second
)

// tally counts what callers saw.
type tally struct {
	mu          sync.Mutex
	requests    int
	whole       int
	wrong       int
	failed      int
	actionsSent int
	cacheable   int
	cached      int
	notRun      []string
	problems    []string
}

func (t *tally) note(problem string) {
	if len(t.problems) < 5 {
		t.problems = append(t.problems, problem)
	}
}

// drive sends the load through all routers and returns what its callers saw.
func (f *Fleet) drive(ctx context.Context, load Load) *tally {
	t := &tally{}
	c := newClient()
	defer c.close()
	var work sync.WaitGroup
	for i := range load.Chats {
		work.Go(func() { f.driveChat(ctx, c, t, rand.New(rand.NewPCG(load.Seed, uint64(i))), load.Turns) })
	}
	for i := range load.Actions {
		work.Go(func() { f.driveAction(ctx, c, t, rand.New(rand.NewPCG(load.Seed+1, uint64(i))), i) })
	}
	work.Wait()
	return t
}

// organisation draws one of ten; the first three are large.
func organisation(random *rand.Rand) string {
	if random.IntN(10) < 7 {
		return fmt.Sprintf("org-%d", random.IntN(3))
	}
	return fmt.Sprintf("org-%d", 3+random.IntN(organisations-3))
}

// document returns the long text that chats of one organisation share.
func document(name string) string {
	words := make([]string, documentWords)
	for i := range words {
		words[i] = fmt.Sprintf("%s-%d", name, i)
	}
	return strings.Join(words, " ")
}

func (f *Fleet) driveChat(ctx context.Context, c *client, t *tally, random *rand.Rand, turns int) {
	org := organisation(random)
	name := fmt.Sprintf("%s-guide-%d", org, random.IntN(documents))
	messages := []Message{{Role: "system", Content: document(name)}}
	usesToken := random.IntN(2) == 0
	token, seen := "", 0
	sleep(ctx, time.Duration(random.Int64N(int64(startLimit))))
	for turn := range turns {
		question := Message{Role: "user", Content: fmt.Sprintf("question %d of %s, %x", turn, name, random.Uint64())}
		messages = append(messages, question)
		body := ChatBody{Model: ModelPool, Messages: messages, MaxTokens: answerTokens, Stream: random.IntN(2) == 0}
		router := f.Routers[random.IntN(len(f.Routers))]
		reply, err := c.chat(ctx, router.Address(), org, token, body)
		if !t.chat(body, reply, err, seen) {
			return
		}
		if usesToken {
			token = reply.Placement
		}
		seen = reply.Prompt
		messages = append(messages, Message{Role: "assistant", Content: reply.Content})
		sleep(ctx, time.Duration(random.Int64N(int64(pauseLimit))))
	}
}

// chat counts one turn; seen is the length of the prompt of the turn before. It returns false when
// the chat cannot go on.
func (t *tally) chat(body ChatBody, reply Reply, err error, seen int) bool {
	text, _ := json.Marshal(body)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests++
	if err != nil || !reply.Whole {
		t.failed++
		t.note(fmt.Sprintf("chat: status %d, error %v, %s", reply.Status, err, reply.Problem))
		return false
	}
	t.whole++
	if reply.Content != engine.Answer(text) {
		t.wrong++
		return false
	}
	if seen > 0 {
		t.cacheable += seen
		t.cached += min(reply.Cached, seen)
	}
	return true
}

// driveAction sends one action through two routers at once and once more afterwards, as a caller
// does that lost the answer.
func (f *Fleet) driveAction(ctx context.Context, c *client, t *tally, random *rand.Rand, i int) {
	sleep(ctx, time.Duration(random.Int64N(int64(time.Second))))
	key, err := uuid.NewV7()
	if err != nil {
		t.note(err.Error())
		return
	}
	org := organisation(random)
	body := fmt.Sprintf(`{"order":%d,"sleeves":%d}`, i, 100+random.IntN(900))
	first := random.IntN(len(f.Routers))
	replies := make(chan Reply, 2)
	for n := range 2 {
		go func() {
			router := f.Routers[(first+n)%len(f.Routers)]
			replies <- f.sendAction(ctx, c, t, router.Address(), org, key.String(), body)
		}()
	}
	a, b := <-replies, <-replies
	last := f.sendAction(ctx, c, t, f.Routers[first].Address(), org, key.String(), body)
	t.compare(key.String(), a, b, last)
}

func (f *Fleet) sendAction(ctx context.Context, c *client, t *tally, address, org, key, body string) Reply {
	reply, err := c.action(ctx, address, org, key, body)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests++
	t.actionsSent++
	if err != nil || !reply.Whole {
		t.failed++
		t.note(fmt.Sprintf("action: status %d, error %v, %s", reply.Status, err, reply.Problem))
		return reply
	}
	t.whole++
	return reply
}

// compare checks that all whole answers of one action are the same, and remembers keys of which
// every caller was told that the action was not run.
func (t *tally) compare(key string, replies ...Reply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	notRun := true
	answer := ""
	for _, reply := range replies {
		notRun = notRun && !reply.Whole && reply.Verdict == verdict.NotRun
		if !reply.Whole {
			continue
		}
		if answer != "" && answer != reply.Content {
			t.wrong++
		}
		answer = reply.Content
	}
	if notRun {
		t.notRun = append(t.notRun, key)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
