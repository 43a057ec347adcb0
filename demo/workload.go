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

// Workload is the number of chats and actions that the demo sends. Seed initialises the random choices.
type Workload struct {
	Chats   int
	Turns   int
	Actions int
	Seed    uint64
}

// DefaultWorkload returns the workload of "jacinthfork demo".
func DefaultWorkload() Workload { return Workload{Chats: 360, Turns: 4, Actions: 60, Seed: 20261204} }

const (
	organisations = 10
	// documents is the number of different system prompts of each organisation, documentWords their length.
	documents     = 8
	documentWords = 120
	answerTokens  = 128
	// tokensPerRequest approximates the work of one request without cached tokens.
	tokensPerRequest = 650
	// maxPause is the maximum pause between two turns of a chat.
	maxPause = 300 * time.Millisecond
	// startWindow is the period over which the starts of the chats are distributed.
	startWindow = 3 * time.Second
)

// callerStats counts the responses that callers got.
type callerStats struct {
	mu              sync.Mutex
	requests        int
	complete        int
	wrong           int
	failed          int
	actionsSent     int
	cacheableTokens int
	cachedTokens    int
	notRun          []string // keys of the actions that all callers were told were not run
	problems        []string
}

// addProblem keeps the first five problems. It does not lock mu.
func (s *callerStats) addProblem(problem string) {
	if len(s.problems) < 5 {
		s.problems = append(s.problems, problem)
	}
}

// runWorkload sends the workload through all routers and returns the callers' counts.
func (f *Fleet) runWorkload(ctx context.Context, workload Workload) *callerStats {
	s := &callerStats{}
	c := newClient()
	defer c.close()
	var wg sync.WaitGroup
	for i := range workload.Chats {
		wg.Go(func() { f.runChat(ctx, c, s, rand.New(rand.NewPCG(workload.Seed, uint64(i))), workload.Turns) })
	}
	for i := range workload.Actions {
		wg.Go(func() { f.runAction(ctx, c, s, rand.New(rand.NewPCG(workload.Seed+1, uint64(i))), i) })
	}
	wg.Wait()
	return s
}

// organisation picks one of ten organisations at random. The first three get most of the traffic.
func organisation(random *rand.Rand) string {
	if random.IntN(10) < 7 {
		return fmt.Sprintf("org-%d", random.IntN(3))
	}
	return fmt.Sprintf("org-%d", 3+random.IntN(organisations-3))
}

// document returns a long system prompt that several chats of one organisation share.
func document(name string) string {
	words := make([]string, documentWords)
	for i := range words {
		words[i] = fmt.Sprintf("%s-%d", name, i)
	}
	return strings.Join(words, " ")
}

func (f *Fleet) runChat(ctx context.Context, c *client, s *callerStats, random *rand.Rand, turns int) {
	org := organisation(random)
	name := fmt.Sprintf("%s-guide-%d", org, random.IntN(documents))
	messages := []Message{{Role: "system", Content: document(name)}}
	usesToken := random.IntN(2) == 0
	token, previousPrompt := "", 0
	sleep(ctx, time.Duration(random.Int64N(int64(startWindow))))
	for turn := range turns {
		question := Message{Role: "user", Content: fmt.Sprintf("question %d of %s, %x", turn, name, random.Uint64())}
		messages = append(messages, question)
		body := ChatRequest{Model: ModelPool, Messages: messages, MaxTokens: answerTokens, Stream: random.IntN(2) == 0}
		router := f.Routers[random.IntN(len(f.Routers))]
		response, err := c.chat(ctx, router.Address(), org, token, body)
		if !s.recordChat(body, response, err, previousPrompt) {
			return
		}
		if usesToken {
			token = response.Placement
		}
		previousPrompt = response.PromptTokens
		messages = append(messages, Message{Role: "assistant", Content: response.Content})
		sleep(ctx, time.Duration(random.Int64N(int64(maxPause))))
	}
}

// recordChat counts one turn of a chat. previousPrompt is the number of prompt tokens of the previous turn,
// all of which could have been cached. It returns false if the chat cannot continue.
func (s *callerStats) recordChat(body ChatRequest, response Response, err error, previousPrompt int) bool {
	text, _ := json.Marshal(body)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	if err != nil || !response.Complete {
		s.failed++
		s.addProblem(fmt.Sprintf("chat: status %d, error %v, %s", response.Status, err, response.Problem))
		return false
	}
	s.complete++
	if response.Content != engine.ExpectedContent(text) {
		s.wrong++
		return false
	}
	if previousPrompt > 0 {
		s.cacheableTokens += previousPrompt
		s.cachedTokens += min(response.CachedTokens, previousPrompt)
	}
	return true
}

// runAction sends one action through two routers concurrently and once more afterwards, like a caller that
// lost the response.
func (f *Fleet) runAction(ctx context.Context, c *client, s *callerStats, random *rand.Rand, i int) {
	sleep(ctx, time.Duration(random.Int64N(int64(time.Second))))
	key, err := uuid.NewV7()
	if err != nil {
		s.addProblem(err.Error())
		return
	}
	org := organisation(random)
	body := fmt.Sprintf(`{"order":%d,"sleeves":%d}`, i, 100+random.IntN(900))
	first := random.IntN(len(f.Routers))
	responses := make(chan Response, 2)
	for n := range 2 {
		go func() {
			router := f.Routers[(first+n)%len(f.Routers)]
			responses <- f.sendAction(ctx, c, s, router.Address(), org, key.String(), body)
		}()
	}
	a, b := <-responses, <-responses
	last := f.sendAction(ctx, c, s, f.Routers[first].Address(), org, key.String(), body)
	s.compareActions(key.String(), a, b, last)
}

func (f *Fleet) sendAction(ctx context.Context, c *client, s *callerStats, address, org, key, body string) Response {
	response, err := c.action(ctx, address, org, key, body)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	s.actionsSent++
	if err != nil || !response.Complete {
		s.failed++
		s.addProblem(fmt.Sprintf("action: status %d, error %v, %s", response.Status, err, response.Problem))
		return response
	}
	s.complete++
	return response
}

// compareActions checks that all complete responses of one action are equal, and records the key if every
// caller was told that the action was not run.
func (s *callerStats) compareActions(key string, responses ...Response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	notRun := true
	content := ""
	for _, response := range responses {
		notRun = notRun && !response.Complete && response.Verdict == verdict.NotRun
		if !response.Complete {
			continue
		}
		if content != "" && content != response.Content {
			s.wrong++
		}
		content = response.Content
	}
	if notRun {
		s.notRun = append(s.notRun, key)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
