package memory

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"jacinthfork.example/jacinthfork/internal/proptest"
)

const (
	testLimit = 64 << 20
	megabyte  = 1 << 20
	tick      = 200 * time.Millisecond
)

func newAccount() *Account { return New(Settings{Limit: testLimit, BodyStall: 10 * time.Second}) }

// pass lets time pass for an account.
func pass(a *Account, d time.Duration) {
	for ; d > 0; d -= tick {
		a.Tick(tick)
	}
}

// grow makes a body arrive in steps.
func grow(b *Body, size int64) bool {
	const step = 64 << 10
	for ; size > 0; size -= step {
		b.Arrived(step)
		if !b.Grow(step) {
			return false
		}
	}
	return true
}

// Replays 240 clients that stop one byte short of 4 MB, and ordinary requests of 72 KB, 100 at a time, beside them. Guards
// against ordinary requests that are refused because bodies that never end hold the memory. The earlier decision, to hold
// whatever arrives, takes 960 MB; one that refuses what does not fit serves none of the ordinary requests.
func TestUnfinishedBodiesMakeRoomForOrdinaryRequests(t *testing.T) {
	is := is.New(t)
	a := newAccount()
	for range 240 {
		grow(a.Open("10.0.0.1", func() {}), 4*megabyte)
	}
	is.True(a.total() <= testLimit)
	is.True(a.total()+72<<10 > largeShare*testLimit) // a large body more does not fit
	pass(a, 2*time.Second)
	for range 100 {
		b := a.Open("10.0.0.1", func() {})
		is.True(grow(b, 72<<10))
		is.True(b.Complete())
	}
	is.True(a.total() <= testLimit)
}

// uploader is a client of a replay: it sends a body, waits for the answer and begins again.
type uploader struct {
	body    *Body
	left    int64
	dropped bool
	until   time.Duration
}

// replayUploads replays clients that send bodies of 4 MB in pieces of 32 KB each 20 ms, whose requests then run for 1.5 s, and
// returns how many were served and refused. All of them begin within 6 s.
func replayUploads(a *Account, clients int, duration time.Duration) (served, refused int) {
	const step, piece, runTime = 20 * time.Millisecond, 32 << 10, 1500 * time.Millisecond
	all := make([]*uploader, clients)
	for n := range all {
		all[n] = &uploader{until: time.Duration(n) * 75 * time.Millisecond}
	}
	for now := time.Duration(0); now < duration; now += step {
		if now%tick == 0 {
			a.Tick(tick)
		}
		for _, u := range all {
			switch {
			case u.dropped:
				refused++
				u.body.Close()
				*u = uploader{until: now + step}
			case now < u.until:
			case u.body == nil:
				u.body, u.left = a.Open("10.0.0.1", func() { u.dropped = true }), 4*megabyte
			case u.left > 0:
				u.body.Arrived(piece)
				u.dropped = !u.body.Grow(piece)
				if u.left -= piece; u.left == 0 && u.body.Complete() {
					u.until = now + runTime
				}
			default:
				served++
				u.body.Close()
				*u = uploader{until: now}
			}
		}
	}
	return served, refused
}

// Replays the loss of one gateway of two (review/2): 80 clients send bodies of 4 MB to a gateway of 284 MB. Guards against
// bodies that displace each other so that few are served. The earlier decision held them all, 320 MB, and the process was
// killed.
func TestLongBodiesAfterTheLossOfAGateway(t *testing.T) {
	is := is.New(t)
	const limit = 99 << 20
	a := New(Settings{Limit: limit, BodyStall: 10 * time.Second})
	served, refused := replayUploads(a, 80, 30*time.Second)
	room := largeShare * limit / (4 * megabyte) // bodies at once
	t.Logf("%d served, %d refused", served, refused)
	is.True(float64(served) >= room*30/4.1/2) // half of what the memory holds, at 4.1 s for each
	is.True(a.total() <= limit)
	calm := New(Settings{Limit: limit, BodyStall: 10 * time.Second})
	_, refused = replayUploads(calm, 12, 30*time.Second)
	is.Equal(refused, 0)
}

// Guards against the wrong body being dropped: no progress before all others, one client's many before many clients' one, and
// the largest first.
func TestOrderOfDrops(t *testing.T) {
	is := is.New(t)
	a := newAccount()
	var order []string
	open := func(name, client string, size int64) {
		grow(a.Open(client, func() { order = append(order, name) }), size)
	}
	open("stalled", "c1", 2*megabyte)
	open("small stalled", "c2", megabyte)
	pass(a, 2*time.Second)
	for n := range 5 {
		open(fmt.Sprint("one of many ", n), "c3", megabyte)
	}
	open("large", "c4", 4*megabyte)
	var taken int64
	for len(order) < 8 {
		is.True(a.Take(Responses, megabyte))
		taken += megabyte
	}
	is.Equal(order[:3], []string{"stalled", "small stalled", order[2]})
	is.Equal(order[2][:len("one of many")], "one of many") // its client holds 5 MB
	is.Equal(len(order), 8)
	is.True(taken <= testLimit)
}

// Guards against bodies that stop short of their end and keep all connections, and against one that arrives being dropped for a
// connection.
func TestSlowBodiesGiveTheirConnectionsUp(t *testing.T) {
	is := is.New(t)
	a := newAccount()
	slow := a.Open("c", func() {})
	is.True(grow(slow, 128<<10))
	is.True(!a.DropSlow()) // it has just arrived
	pass(a, 3*time.Second)
	arriving := a.Open("c", func() {})
	is.True(grow(arriving, 4*megabyte))
	is.True(a.DropSlow())
	is.Equal(slow.Dropped(), Short)
	is.True(!a.DropSlow())
	is.True(arriving.Complete())
}

// Guards against a complete body being dropped: it may have been passed on to an instance.
func TestCompleteBodiesAreKept(t *testing.T) {
	is := is.New(t)
	a := newAccount()
	b := a.Open("c", func() { t.Error("a complete body was dropped") })
	is.True(grow(b, 4*megabyte))
	is.True(b.Complete())
	for a.Take(Responses, megabyte) {
	}
	pass(a, time.Minute)
	b.Close()
	b.Close()
	is.Equal(a.Held().Bytes["bodies"], int64(0))
}

// Guards against a body that ends because this process paused, or because its caller did for some seconds, and against one
// that never ends.
func TestBodyWithoutProgressEnds(t *testing.T) {
	is := is.New(t)
	a := newAccount()
	b := a.Open("c", func() {})
	a.Tick(time.Minute) // the process did not run
	pass(a, 8*time.Second)
	is.Equal(b.Dropped(), Reason(0)) // the caller has paused for 8 s
	b.Arrived(progressBytes)
	pass(a, 8*time.Second)
	is.Equal(b.Dropped(), Reason(0))
	b.Arrived(1)
	pass(a, 4*time.Second)
	is.Equal(b.Dropped(), Stalled)
	is.True(!b.Complete())
}

// Guards against large bodies that leave no room for small ones once they are complete.
func TestLargeBodiesLeaveRoomForSmallOnes(t *testing.T) {
	is := is.New(t)
	a := newAccount()
	for {
		b := a.Open("c", func() {})
		if !grow(b, 4*megabyte) {
			break
		}
		b.Complete()
	}
	for range 100 {
		b := a.Open("d", func() {})
		is.True(grow(b, 72<<10))
		is.True(b.Complete())
	}
}

// Guards against a large body that takes the memory of small ones which arrive, because their client has more of them, and against
// small ones that stop short of their end and keep a large one out.
func TestLargeBodyDoesNotDisplaceSmallOnes(t *testing.T) {
	is := is.New(t)
	a := newAccount()
	var small []*Body
	for a.total() < largeShare*testLimit-megabyte {
		b := a.Open("many", func() {})
		is.True(grow(b, 64<<10))
		small = append(small, b)
	}
	large := a.Open("one", func() {})
	is.True(!grow(large, 4*megabyte))
	is.Equal(large.Dropped(), Short)
	for _, b := range small {
		is.Equal(b.Dropped(), Reason(0))
	}
	pass(a, 2*time.Second)
	is.True(grow(a.Open("one", func() {}), 4*megabyte)) // the small ones are slow now
}

// Guards against an account that is exceeded, or that does not return to zero.
func TestAccountHoldsItsLimit(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		a := New(Settings{Limit: megabyte, BodyStall: time.Second})
		var bodies []*Body
		var taken int64
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			n := rapid.Int64Range(1, 300<<10).Draw(t, "bytes")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				bodies = append(bodies, a.Open(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "client"), func() {}))
			case 1, 2:
				if len(bodies) > 0 {
					rapid.SampledFrom(bodies).Draw(t, "body").Grow(n)
				}
			case 3:
				if len(bodies) > 0 {
					rapid.SampledFrom(bodies).Draw(t, "body").Complete()
				}
			case 4:
				if a.Take(Connections, n) {
					taken += n
				}
			case 5:
				a.Tick(tick)
			}
			if a.total() > megabyte {
				t.Fatalf("%d bytes are held", a.total())
			}
		}
		for _, b := range bodies {
			b.Close()
		}
		a.Give(Connections, taken)
		if a.total() != 0 || len(a.clients) != 0 || len(a.arriving) != 0 {
			t.Fatalf("%d bytes of %d clients and %d bodies are left", a.total(), len(a.clients), len(a.arriving))
		}
	})
}

// Guards against a response that is cut off because this process paused or its caller is slow, and against one that nobody
// reads and that keeps its place.
func TestUnreadResponsesAreClosed(t *testing.T) {
	is := is.New(t)
	u := &Unread[string]{Limit: 6 * time.Second, KernelLimit: testLimit}
	state := map[string]Connection{"slow": {Writing: true, Unsent: 100}, "unread": {Writing: true, Unsent: 100}, "idle": {}}
	var closed []string
	for n := range 40 {
		state["slow"] = Connection{Writing: true, Unsent: 100, Acknowledged: int64(n) * 7000} // 35 KB/s
		elapsed := tick
		if n == 1 {
			elapsed = time.Minute
		}
		_, closing := u.Observe(state, elapsed)
		for _, id := range closing {
			delete(state, id)
		}
		closed = append(closed, closing...)
		if n == 20 {
			is.Equal(len(closed), 0) // 4 s of the process's own time
		}
	}
	is.Equal(closed, []string{"unread"})
}

// Guards against responses that nobody reads and that fill the kernel's buffers together.
func TestUnreadResponsesStayBelowTheirShare(t *testing.T) {
	is := is.New(t)
	u := &Unread[int]{Limit: time.Minute, KernelLimit: 5 * megabyte}
	state := make(map[int]Connection)
	for n := range 10 {
		state[n] = Connection{Writing: true, Unsent: megabyte + int64(n)}
	}
	var closed []int
	for range 10 {
		waiting, closing := u.Observe(state, tick)
		for _, id := range closing {
			delete(state, id)
		}
		closed = append(closed, closing...)
		if len(closed) > 0 {
			is.True(waiting <= 5*megabyte)
		}
	}
	is.Equal(closed, []int{9, 8, 7, 6, 5, 4}) // 10 MB wait, so those with most go
}
