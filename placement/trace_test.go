package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"jacinthfork.example/jacinthfork/placement"
)

// workload holds the parameters of a trace and of its replay. Times are in seconds, sizes in tokens.
type workload struct {
	name                     string
	engineCount, domainCount int
	routerCount              int
	boundFactor, spread      float64 // settings of sidecars and affinity
	oneRequest               float64 // tokens, see loadBound
	rate                     float64 // requests per second
	orgs, docsPerOrg         int
	docMin, docMax           int
	cacheTokens              int // tokens per engine
	warmup, duration         float64
	churnInterval            float64
	atMean                   bool // see loadBound
	secondRound              bool // if all engines refuse, they are tried again with loadBound.atMean
	noTokens                 bool
	exportCache              bool // leaving engines transfer their cache to their replacement
	hints                    hintSource
	seed, seeds              uint64 // the results of seeds 1 to seeds are added up
}

// hintSource is where routers learn about the engines' caches, besides tokens.
type hintSource int

const (
	hintsEvents     hintSource = iota // from engine cache events, which arrive late and incompletely
	hintsOwnTraffic                   // from responses that the router forwarded
	hintsNone
)

// turn is one request of a chat in the trace.
type turn struct {
	at                 float64
	doc, chat, router  int
	docTokens, history int
	question, decode   int
	returning          bool
	group, chatHash    uint64
}

const (
	meanTurns    = 8
	meanQuestion = 80
	meanDecode   = 400
	maxDecode    = 1600
	prefillRate  = 10000.0 // tokens per second of an engine
	decodeRate   = 32.0    // tokens per second of one request
	// chatLeadTime is how long before the trace the first chats start, so that old chats return in it.
	chatLeadTime = 4 * 3600.0
)

// generateTrace returns the turns in order of time. Chats that began before the trace return with a
// history that no engine has cached.
func (w *workload) generateTrace() []turn {
	rng := rand.New(rand.NewPCG(w.seed, 1))
	docs := newDocuments(w, rng)
	var turns []turn
	end := w.warmup + w.duration
	gap := meanTurns / w.rate
	for chat, start := 0, -chatLeadTime; start < end; chat, start = chat+1, start+rng.ExpFloat64()*gap {
		turns = w.addChat(turns, docs, rng, chat, start, end)
	}
	slices.SortStableFunc(turns, func(a, b turn) int {
		if a.at < b.at {
			return -1
		}
		return 1
	})
	return turns
}

// traceCache keeps generated traces, because generating one takes longer than replaying it.
var traceCache = make(map[string][]turn)

func (w *workload) sharedTrace() []turn {
	key := fmt.Sprint(w.name, w.seed)
	if traceCache[key] == nil {
		traceCache[key] = w.generateTrace()
	}
	return traceCache[key]
}

func (w *workload) addChat(turns []turn, docs *documents, rng *rand.Rand, chat int, at, end float64) []turn {
	doc := docs.pick(rng)
	history := 0
	for i := 0; at < end; i++ {
		t := turn{
			at: at, doc: doc, chat: chat, router: rng.IntN(w.routerCount),
			docTokens: docs.tokens[doc], history: history,
			question: 10 + int(rng.ExpFloat64()*meanQuestion), decode: min(maxDecode, 20+int(rng.ExpFloat64()*meanDecode)),
			returning: i > 0, group: groupHash(doc), chatHash: placement.Score(uint64(chat)+1, 2),
		}
		if at >= 0 {
			turns = append(turns, t)
		}
		history += t.question + t.decode
		at += float64(t.decode)/decodeRate + thinkTime(rng)
		if rng.IntN(meanTurns) == 0 {
			break
		}
	}
	return turns
}

func groupHash(doc int) uint64 { return placement.Score(uint64(doc)+1, 1) }

// thinkTime returns a random time until a chat returns: usually minutes, sometimes hours.
func thinkTime(rng *rand.Rand) float64 {
	switch p := rng.Float64(); {
	case p < 0.85:
		return 5 + rng.ExpFloat64()*120
	case p < 0.97:
		return rng.ExpFloat64() * 1200
	default:
		return rng.ExpFloat64() * 2 * 3600
	}
}

// documents is a Zipf distribution with a few large organisations and many small ones: organisation i has
// weight 1/(i+1), and likewise document i within an organisation.
type documents struct {
	tokens     []int
	cumulative []float64
}

func newDocuments(w *workload, rng *rand.Rand) *documents {
	d := &documents{}
	sum := 0.0
	for org := range w.orgs {
		for doc := range w.docsPerOrg {
			d.tokens = append(d.tokens, w.docMin+rng.IntN(w.docMax-w.docMin))
			sum += 1 / float64((org+1)*(doc+1))
			d.cumulative = append(d.cumulative, sum)
		}
	}
	return d
}

func (d *documents) pick(rng *rand.Rand) int {
	i, _ := slices.BinarySearch(d.cumulative, rng.Float64()*d.cumulative[len(d.cumulative)-1])
	return i
}
