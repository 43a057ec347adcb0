package config

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jacinthfork.example/jacinthfork/wire"
)

func poolChange(base uint64, body string) Change {
	return Change{Key: poolKey, Base: base, Body: []byte(body), Author: "operator"}
}

// Two operators that race on one base must not both be told that they won.
func TestRacingPublishersHaveOneWinner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := newFakeLog()
		log.lose = 3 // The answers get lost as well.
		results := make(chan Published, 8)
		for range cap(results) {
			go func() {
				p, err := NewPublisher(log).Publish(t.Context(), poolChange(0, poolBody))
				is.NoErr(err)
				results <- p
			}()
		}
		winners := map[uint64]int{}
		for range cap(results) {
			p := <-results
			is.True(p.Settlement != SettledUnknown)
			if p.Settlement == SettledAccepted {
				winners[p.Revision]++
				continue
			}
			winners[p.Revision] += 0
		}
		is.Equal(len(winners), 1) // All losers are told the winner's revision.
		for _, n := range winners {
			is.Equal(n, 1)
		}
	})
}

// A lost answer must be settled by the nonce, not reported as a failure or published twice.
func TestPublishSettlesLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := newFakeLog()
		publisher := NewPublisher(log)
		log.lose = 2
		p, err := publisher.Publish(t.Context(), poolChange(0, poolBody))
		is.NoErr(err)
		is.Equal(p.Settlement, SettledAccepted)
		again := poolChange(0, poolBody)
		again.Nonce = p.Nonce
		q, err := publisher.Publish(t.Context(), again)
		is.NoErr(err)
		is.Equal(q, p) // The same change again is the same change.
		other, err := NewPublisher(log).Publish(t.Context(), poolChange(0, poolBody))
		is.NoErr(err)
		is.Equal(other, Published{SettledConflict, p.Revision, other.Nonce})
	})
}

// A change whose answer is lost while the log stays down must be reported as unknown, and one that
// the log refused as not published.
func TestPublishDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := newFakeLog()
		publisher := NewPublisher(log)
		first, err := publisher.Publish(t.Context(), poolChange(0, poolBody))
		is.NoErr(err)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		log.lose = 1
		cut := &cutLog{fakeLog: log}
		publisher.platform = cut
		p, err := publisher.Publish(ctx, poolChange(first.Revision, poolBody))
		is.NoErr(err)
		is.Equal(p.Settlement, SettledUnknown)
		log.set(func() { log.down = true })
		_, err = NewPublisher(log).Publish(t.Context(), poolChange(0, poolBody))
		is.True(errors.Is(err, errDown))
	})
}

// cutLog goes down with the first append.
type cutLog struct{ *fakeLog }

func (l *cutLog) Append(ctx context.Context, stream string, payload []byte) (uint64, error) {
	offset, err := l.fakeLog.Append(ctx, stream, payload)
	l.set(func() { l.down = true })
	return offset, err
}

// A publisher that can't know the revision must not publish.
func TestPublishAfterExpiryNeedsAState(t *testing.T) {
	is := is.New(t)
	log := newFakeLog()
	first, err := NewPublisher(log).Publish(t.Context(), poolChange(0, poolBody))
	is.NoErr(err)
	store := newTestStore()
	page, _, _ := log.page(0, 10)
	store.ApplyPage(page)
	log.earliest = uint64(len(log.records))
	late := NewPublisher(log)
	_, err = late.Publish(t.Context(), poolChange(first.Revision, poolBody))
	is.Equal(err, ErrIncomplete)
	is.NoErr(late.Import(store.Export(0)))
	second, err := late.Publish(t.Context(), poolChange(first.Revision, poolBody))
	is.NoErr(err)
	is.Equal(second.Settlement, SettledAccepted)
}

// The time until every node has a change must stay below 2 s with the log healthy and below 16 s
// after an outage of any length.
func TestFollowersMeetTheTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := newFakeLog()
		ctx, cancel := context.WithCancel(t.Context())
		stores := startFollowers(ctx, log, 40, 24*time.Hour)
		p, err := NewPublisher(log).Publish(ctx, poolChange(0, poolBody))
		is.NoErr(err)
		is.True(untilAll(stores, p.Revision) < 2*time.Second)
		log.set(func() { log.down = true })
		time.Sleep(10 * time.Minute)
		log.set(func() { log.down = false })
		p, err = NewPublisher(log).Publish(ctx, poolChange(p.Revision, poolBody))
		is.NoErr(err)
		is.True(untilAll(stores, p.Revision) <= maxBackoff)
		cancel()
		synctest.Wait()
	})
}

// restatingNodes can be set to the target size of 990 nodes, which takes half a minute:
//
//	go test ./config -run FewNodesRestate -v -args -restating-nodes 990
var restatingNodes = flag.Int("restating-nodes", 60, "nodes in TestFewNodesRestate")

// Nodes must not write together when the log's clock is far behind, so that all seems overdue.
func TestNoBurstWithWrongClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := newFakeLog()
		log.behind = 48 * time.Hour
		_, err := NewPublisher(log).Publish(t.Context(), poolChange(0, poolBody))
		is.NoErr(err)
		ctx, cancel := context.WithCancel(t.Context())
		startFollowers(ctx, log, 60, 24*time.Hour)
		time.Sleep(promptDelay)
		log.set(func() { is.Equal(log.appends, 2) }) // The opening record and the change.
		time.Sleep(time.Hour)
		cancel()
		synctest.Wait()
		is.True(log.appends < 2*60)
	})
}

// Restatements must be written in time, and by few nodes: every copy costs bytes at each node.
func TestFewNodesRestate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const objects = 10
		log := newFakeLog()
		ctx, cancel := context.WithCancel(t.Context())
		startFollowers(ctx, log, *restatingNodes, 24*time.Hour)
		for i := range objects {
			c := poolChange(0, poolBody)
			c.Name = fmt.Sprint("pool", i)
			_, err := NewPublisher(log).Publish(ctx, c)
			is.NoErr(err)
		}
		time.Sleep(24 * time.Hour)
		cancel()
		synctest.Wait()
		restated, censuses, size := map[string]int{}, 0, 0
		for _, record := range log.records {
			size += len(record.Payload)
			r := decodeRecord(record.Payload)
			if r.Operation == wire.ConfigOperation_CONFIG_CENSUS {
				censuses++
			}
			for _, o := range r.Objects {
				restated[o.Name]++
			}
		}
		t.Logf("%d nodes wrote %d records, %d bytes in 24 h: %v", *restatingNodes, len(log.records), size, restated)
		// Once soon after the change, and once or twice because of age.
		is.Equal(len(restated), objects)
		for _, n := range restated {
			is.True(n >= 2 && n <= 4)
		}
		is.True(censuses >= 4 && censuses <= 16)
	})
}

func startFollowers(ctx context.Context, log *fakeLog, n int, retention time.Duration) []*Store {
	stores := make([]*Store, n)
	for i := range stores {
		stores[i] = newTestStore()
		go NewFollower(stores[i], log, fmt.Sprint("node", i), retention).Run(ctx)
	}
	return stores
}

// untilAll waits until all stores have the revision and returns how long it took.
func untilAll(stores []*Store, revision uint64) time.Duration {
	start := time.Now()
	for _, s := range stores {
		for s.Revision() < revision && time.Since(start) < time.Minute {
			time.Sleep(10 * time.Millisecond)
		}
	}
	return time.Since(start)
}
