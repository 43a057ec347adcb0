package extrawork

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// tree is a fleet of routers that exchange sums, as package peer does.
type tree struct {
	routers []*Decider
	// traffic are the bytes that each router has sent and received.
	traffic []int
}

func newTree(n int) *tree {
	t := &tree{traffic: make([]int, n)}
	for range n {
		t.routers = append(t.routers, New(Settings{Share: 0.02}))
	}
	return t
}

func (t *tree) count(from, to int, told []Told) {
	for _, k := range told {
		t.traffic[from] += k.Size()
		t.traffic[to] += k.Size()
	}
}

// exchange sends what is due along the tree.
func (t *tree) exchange(now time.Time) {
	for n, d := range t.routers {
		if n > 0 {
			up := d.TakeUp(now)
			t.count(n, (n-1)/replayDegree, up)
			t.routers[(n-1)/replayDegree].MergeUp(up)
		}
		down := d.TakeDown(n == 0, now)
		for c := n*replayDegree + 1; c <= (n+1)*replayDegree && c < len(t.routers); c++ {
			t.count(n, c, down)
			t.routers[c].MergeDown(down, now)
		}
	}
}

// maxTraffic is the limit for what one router sends and receives about response times, in bytes per second.
const maxTraffic = 512

// Guards against sums that take more than their part of the control traffic at the busiest router of the largest fleet, with
// more kinds of requests than fit into one message, and against routers that are not told of the kinds that do fit.
func TestTrafficOfSumsIsBounded(t *testing.T) {
	for _, kinds := range []int{4, 8, 24} {
		t.Run(fmt.Sprint(kinds), func(t *testing.T) { checkTraffic(t, kinds) })
	}
}

func checkTraffic(t *testing.T, kinds int) {
	t.Parallel()
	is := is.New(t)
	const routers, seconds, toldKinds = 390, 60, 8
	fleet, random := newTree(routers), rand.New(rand.NewPCG(1, 1))
	for ms := 0; ms < seconds*1000; ms += 500 {
		now := start().Add(time.Duration(ms) * time.Millisecond)
		for _, d := range fleet.routers {
			for range 5 {
				k := Kind{Pool: fmt.Sprint("pool ", random.IntN(kinds/4)), Mode: 1, Size: uint8(random.IntN(4))}
				d.RecordAnswer(k, "i", time.Duration(float64(200*time.Millisecond)*(0.3+random.ExpFloat64())), now)
			}
		}
		fleet.exchange(now)
	}
	highest, mean := 0, 0
	for _, bytes := range fleet.traffic {
		highest, mean = max(highest, bytes), mean+bytes/routers
	}
	t.Logf("highest %d, mean %d B/s", highest/seconds, mean/seconds)
	is.True(highest <= maxTraffic*seconds)
	unknown := 0
	for _, d := range fleet.routers {
		sums := d.Sums(start().Add(seconds * time.Second))
		unknown += kinds - len(sums)
		for _, s := range sums {
			is.True(s.Answers >= minAnswers)
		}
	}
	if kinds <= toldKinds {
		is.Equal(unknown, 0)
	}
}

// Guards against answers that count twice: in the sums, because a router changes its parent, restarts, or loses a message, or
// at the router itself, which has them as well. Each router has a bucket of its own.
func TestNoAnswerCountsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const routers = 5
		fleet, now := newTree(routers), start()
		var recorded [routers]uint32
		draw := func(n int, label string) int { return rapid.IntRange(0, n-1).Draw(t, label) }
		root := 0
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(draw(3000, "ms")) * time.Millisecond)
			n := draw(routers, "router")
			d := fleet.routers[n]
			switch draw(12, "step") {
			case 0:
				fleet.routers[n] = New(Settings{Share: 0.02})
			case 1:
				root = draw(routers, "root")
			case 2, 3, 4, 5:
				for range 60 {
					d.RecordAnswer(testKind, "i", time.Duration(upperBound(20+n)), now)
					recorded[n]++
				}
			case 6, 7, 8:
				if n == root {
					break
				}
				// Any parent; the message may be lost.
				parent := draw(routers, "parent")
				if told := d.TakeUp(now); parent != n {
					fleet.routers[parent].MergeUp(told)
				}
			default:
				if told := d.TakeDown(n == root, now); n != root || len(told) > 0 {
					if child := draw(routers, "child"); child != n {
						fleet.routers[child].MergeDown(told, now)
					}
				}
			}
			for n, d := range fleet.routers {
				s := d.sumOf(d.key(testKind))
				all := s.fleet
				all.add(&s.unsent)
				for r := range routers {
					if counted := all.answered[20+r]; counted > recorded[r] {
						t.Fatalf("router %d counts %d of %d answers of router %d", n, counted, recorded[r], r)
					}
				}
			}
		}
	})
}

// summed returns a decider that knows the fleet's sums, as learned.
func summed(told func(*Told)) *Decider {
	root, d := learned(0.2), New(Settings{Share: 0.2})
	root.sums.down.open(start().Add(-time.Minute)) // begins to save up what may be told
	for _, t := range root.TakeDown(true, start().Add(time.Second)) {
		told(&t)
		d.MergeDown([]Told{t}, start().Add(time.Second))
	}
	return d
}

// Guards against a router that goes on with the fleet's sums after it has lost its parent, or does without them before.
func TestSumsExpire(t *testing.T) {
	is := is.New(t)
	d := summed(func(*Told) {})
	_, ok := d.Delay(testKind, "i", 0, start().Add(2*time.Second))
	is.True(ok)
	_, ok = d.Delay(testKind, "i", 0, start().Add(time.Second+sumsTTL))
	is.True(!ok)
}

// Guards against a root that reports the fleet's times of a kind as known although no router has had an answer for a while.
func TestSumsOfNothingAreNotKnown(t *testing.T) {
	is := is.New(t)
	d := learned(0.2)
	d.TakeDown(true, start())
	is.Equal(len(d.Sums(start())), 1)
	late := start().Add(3 * generation)
	d.TakeDown(true, late)
	is.Equal(len(d.Sums(late)), 0)
}

// Guards against sums that no router has made, or that are too old, and are used all the same.
func TestImplausibleSumsAreIgnored(t *testing.T) {
	many := make([]byte, 0, maxEncoded+1)
	for range maxEncoded + 1 {
		many = append(many, 1)
	}
	for name, change := range map[string]func(*Told){
		"unknown mode":         func(t *Told) { t.Kind = 200 },
		"unknown size":         func(t *Told) { t.Kind |= 7 },
		"old":                  func(t *Told) { t.Age = sumsTTL },
		"negative age":         func(t *Told) { t.Age = -time.Second },
		"bucket out of range":  func(t *Told) { t.Answered = []byte{67, 1, 1} },
		"empty range too long": func(t *Told) { t.Answered = []byte{0, 200, 1, 0, 255, 255, 255, 255, 255, 255, 255, 255, 255, 1, 1} },
		"unfinished":           func(t *Told) { t.Answered = []byte{10, 200} },
		"too long":             func(t *Told) { t.Answered = many },
		"too many":             func(t *Told) { t.Answered = []byte{10, 255, 255, 255, 255, 1} },
		"more cut than asked":  func(t *Told) { t.Cut = []byte{10, 255, 255, 3} },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, ok := summed(change).Delay(testKind, "i", 0, start().Add(2*time.Second))
			is.True(!ok)
		})
	}
}

// Guards against false sums that a router uses although its own answers contradict them.
func TestOwnAnswersContradictFalseSums(t *testing.T) {
	is := is.New(t)
	usual := learned(0.2)
	want, ok := usual.Delay(testKind, "i", 0, start())
	is.True(ok)
	for _, bucket := range []byte{0, bucketCount - 1} {
		d := learned(0.2)
		is.Equal(d.MergeDown([]Told{{Pool: d.key(testKind).pool, Kind: uint32(testKind.Mode) << 3, Answered: []byte{bucket, 255, 255, 3}}}, start()), 0)
		got, ok := d.Delay(testKind, "i", 0, start())
		is.True(ok)
		is.Equal(got, want)
	}
}

// Guards against a message that ends the process, and counts that are not those that were sent.
func TestCountsAreEncoded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var in, out [bucketCount]uint32
		_, _ = decodeCounts(rapid.SliceOf(rapid.Byte()).Draw(t, "bytes"), &out)
		out = [bucketCount]uint32{}
		sum := uint64(0)
		for range rapid.IntRange(0, 40).Draw(t, "counts") {
			b := rapid.IntRange(0, bucketCount-1).Draw(t, "bucket")
			in[b] = uint32(rapid.IntRange(0, 5000).Draw(t, "count"))
		}
		for _, n := range in {
			sum += uint64(n)
		}
		got, ok := decodeCounts(encodeCounts(&in), &out)
		if !ok || got != sum || in != out {
			t.Fatalf("%v became %v", in, out)
		}
	})
}

// Guards against memory that grows with what others tell.
func TestSumsAreBounded(t *testing.T) {
	is := is.New(t)
	d := New(Settings{Share: 0.02})
	for n := range uint32(3 * maxKinds) {
		d.MergeUp([]Told{{Pool: n, Kind: 8, Answered: []byte{10, 1}}})
		d.RecordAnswer(Kind{Pool: fmt.Sprint(n)}, fmt.Sprint(n), time.Second, start())
	}
	is.True(len(d.sums.byKind) <= maxKinds)
	is.True(len(d.sums.hashes) <= maxKinds)
	d = learned(0.2)
	for n := range 2 * maxInstances {
		d.recordInstance(testKind, fmt.Sprint(n), time.Second, true, start())
	}
	is.True(len(d.instances) <= maxInstances)
}

// Guards against answers that are dropped before they are sent, because the kinds in use replace each other once as many others
// were told, and not those that nobody uses any more.
func TestKindsInUseAreKept(t *testing.T) {
	is := is.New(t)
	d := New(Settings{Share: 0.02})
	for n := range maxKinds {
		d.MergeDown([]Told{{Pool: uint32(n), Kind: 2 << 3, Answered: []byte{20, 5}, Age: time.Second}}, start())
	}
	const answers = 100
	used := []Kind{{Pool: "a"}, {Pool: "b"}}
	for range answers {
		for _, k := range used {
			d.RecordAnswer(k, "i", time.Second, start())
		}
	}
	for _, k := range used {
		is.Equal(d.unsentOf(k).answers(), answers)
	}
	is.Equal(len(d.sums.byKind), maxKinds)
}

// Guards against a slow instance that is waited for like others, or that seems fast because its late requests are cancelled,
// and against one late answer, or a pool that is slow everywhere, that is taken for a slow instance.
func TestSlowInstanceIsLateSooner(t *testing.T) {
	usual, _ := learned(0.2).Delay(testKind, "other", 0, start())
	for name, c := range map[string]struct {
		change func(d *Decider)
		pace   float64
		sooner bool
	}{
		"usual":            {func(*Decider) {}, 1, false},
		"reported pace":    {func(*Decider) {}, 4, true},
		"a little slower":  {func(*Decider) {}, 1.4, false},
		"not a number":     {func(*Decider) {}, nan(), false},
		"cancelled":        {func(d *Decider) { cutAt(d, "slow", 10) }, 0, true},
		"one late answer":  {func(d *Decider) { d.RecordAnswer(testKind, "slow", time.Minute, start()) }, 0, false},
		"all are as slow":  {func(d *Decider) { cutAt(d, "slow", 10); cutAt(d, "other", 2000) }, 0, false},
		"slow a while ago": {func(d *Decider) { d.instances["slow"] = &pacing{waited: 100, answers: 1, at: start().Add(-time.Hour)} }, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := learned(0.2)
			c.change(d)
			d.mu.Lock()
			slowdown := d.slowdown("p", "slow", c.pace, start())
			d.mu.Unlock()
			is.Equal(slowdown > 1, c.sooner)
			got, ok := d.Delay(testKind, "slow", c.pace, start())
			is.True(ok)
			if c.sooner {
				is.True(got < usual)
			}
		})
	}
}

func nan() float64 { zero := 0.0; return zero / zero }

// cutAt records requests that were cancelled after 300 ms.
func cutAt(d *Decider, instance string, n int) {
	for range n {
		d.Settle(Cancelled{Kind: testKind, Instance: instance, After: 300 * time.Millisecond}, 0, start())
	}
}
