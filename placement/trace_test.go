package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"jacinthfork.example/jacinthfork/placement"
)

// workload describes one trace. Times are in seconds, sizes in tokens.
type workload struct {
	name             string
	engines, domains int
	routers          int
	factor, spread   float64 // settings of sidecars and affinity
	oneRequest       float64 // tokens, see bound
	rate             float64 // requests per second
	orgs, docsPerOrg int
	docMin, docMax   int
	cache            int // tokens per engine
	warmup, duration float64
	churnEvery       float64
	atMean           bool // see bound
	secondRound      bool // engines that all refused are asked again with bound.atMean
	noTokens         bool
	export           bool // leaving engines hand their cache to their replacement
	hints            hintSource
	seed, seeds      uint64 // the traces of seeds 1 to seeds are measured together
}

// hintSource is what routers know of the engines' caches besides tokens.
type hintSource int

const (
	hintsEvents     hintSource = iota // from late and gappy engine cache events
	hintsOwnTraffic                   // from responses that the router passed on
	hintsNone
)

// A turn is one request of a chat in the trace.
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
	// prehistory is how long before the trace chats start, so that old chats return in it.
	prehistory = 4 * 3600.0
)

// trace returns the turns in order of time. Chats that began in the prehistory return with their
// history, which no engine has cached.
func (w *workload) trace() []turn {
	rng := rand.New(rand.NewPCG(w.seed, 1))
	docs := newDocuments(w, rng)
	var turns []turn
	end := w.warmup + w.duration
	gap := meanTurns / w.rate
	for chat, start := 0, -prehistory; start < end; chat, start = chat+1, start+rng.ExpFloat64()*gap {
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

// traces keeps the traces of the tests, because drawing one takes longer than replaying it.
var traces = make(map[string][]turn)

func (w *workload) sharedTrace() []turn {
	key := fmt.Sprint(w.name, w.seed)
	if traces[key] == nil {
		traces[key] = w.trace()
	}
	return traces[key]
}

func (w *workload) addChat(turns []turn, docs *documents, rng *rand.Rand, chat int, at, end float64) []turn {
	doc := docs.draw(rng)
	history := 0
	for i := 0; at < end; i++ {
		t := turn{
			at: at, doc: doc, chat: chat, router: rng.IntN(w.routers),
			docTokens: docs.tokens[doc], history: history,
			question: 10 + int(rng.ExpFloat64()*meanQuestion), decode: min(maxDecode, 20+int(rng.ExpFloat64()*meanDecode)),
			returning: i > 0, group: groupHash(doc), chatHash: placement.Score(uint64(chat)+1, 2),
		}
		if at >= 0 {
			turns = append(turns, t)
		}
		history += t.question + t.decode
		at += float64(t.decode)/decodeRate + pause(rng)
		if rng.IntN(meanTurns) == 0 {
			break
		}
	}
	return turns
}

func groupHash(doc int) uint64 { return placement.Score(uint64(doc)+1, 1) }

// pause draws the time until a chat returns: most within minutes, some after hours.
func pause(rng *rand.Rand) float64 {
	switch p := rng.Float64(); {
	case p < 0.85:
		return 5 + rng.ExpFloat64()*120
	case p < 0.97:
		return rng.ExpFloat64() * 1200
	default:
		return rng.ExpFloat64() * 2 * 3600
	}
}

// documents has a few large organisations and many small ones: organisation i has weight 1/(i+1),
// and so have the documents within one.
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

func (d *documents) draw(rng *rand.Rand) int {
	i, _ := slices.BinarySearch(d.cumulative, rng.Float64()*d.cumulative[len(d.cumulative)-1])
	return i
}
