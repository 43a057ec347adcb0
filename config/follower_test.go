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

// Guards against two operators that publish concurrently with the same base and are both told that their
// change was accepted.
func TestOneOfConcurrentPublishersIsAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := newFakeLog()
		log.loseAnswers = 3 // the responses of the first appends are lost as well
		results := make(chan PublishResult, 8)
		for range cap(results) {
			go func() {
				p, err := NewPublisher(log).Publish(t.Context(), poolChange(0, poolBody))
				is.NoErr(err)
				results <- p
			}()
		}
		accepted := map[uint64]int{}
		for range cap(results) {
			p := <-results
			is.True(p.Outcome != PublishUnknown)
			if p.Outcome == PublishAccepted {
				accepted[p.Revision]++
				continue
			}
			accepted[p.Revision] += 0
		}
		is.Equal(len(accepted), 1) // every conflict reports the revision of the accepted change
		for _, n := range accepted {
			is.Equal(n, 1)
		}
	})
}

// Guards against a change whose append response was lost being reported as failed or published twice. Its
// outcome follows from the nonce.
func TestPublishResolvesLostAnswerByNonce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := newFakeLog()
		publisher := NewPublisher(log)
		log.loseAnswers = 2
		p, err := publisher.Publish(t.Context(), poolChange(0, poolBody))
		is.NoErr(err)
		is.Equal(p.Outcome, PublishAccepted)
		again := poolChange(0, poolBody)
		again.Nonce = p.Nonce
		q, err := publisher.Publish(t.Context(), again)
		is.NoErr(err)
		is.Equal(q, p) // a repeat with the same nonce is the same change
		other, err := NewPublisher(log).Publish(t.Context(), poolChange(0, poolBody))
		is.NoErr(err)
		is.Equal(other, PublishResult{PublishConflict, p.Revision, other.Nonce})
	})
}

// Guards against a wrong outcome during an outage: a change whose response was lost must be reported as
// unknown, and a change that the log refused as not published.
func TestPublishDuringOutageReportsUnknownOrRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := newFakeLog()
		publisher := NewPublisher(log)
		first, err := publisher.Publish(t.Context(), poolChange(0, poolBody))
		is.NoErr(err)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		log.loseAnswers = 1
		outage := &outageAfterAppendLog{fakeLog: log}
		publisher.logService = outage
		p, err := publisher.Publish(ctx, poolChange(first.Revision, poolBody))
		is.NoErr(err)
		is.Equal(p.Outcome, PublishUnknown)
		log.locked(func() { log.down = true })
		_, err = NewPublisher(log).Publish(t.Context(), poolChange(0, poolBody))
		is.True(errors.Is(err, errDown))
	})
}

// outageAfterAppendLog becomes unavailable after the first append.
type outageAfterAppendLog struct{ *fakeLog }

func (l *outageAfterAppendLog) Append(ctx context.Context, stream string, payload []byte) (uint64, error) {
	offset, err := l.fakeLog.Append(ctx, stream, payload)
	l.locked(func() { l.down = true })
	return offset, err
}

// Guards against publishing without knowing the current revision of the object.
func TestPublishAfterExpiryNeedsImportedState(t *testing.T) {
	is := is.New(t)
	log := newFakeLog()
	first, err := NewPublisher(log).Publish(t.Context(), poolChange(0, poolBody))
	is.NoErr(err)
	store := newTestStore()
	page, _, _ := log.page(0, 10)
	store.ApplyPage(page)
	log.earliest = uint64(len(log.records))
	secondPublisher := NewPublisher(log)
	_, err = secondPublisher.Publish(t.Context(), poolChange(first.Revision, poolBody))
	is.Equal(err, ErrIncomplete)
	is.NoErr(secondPublisher.Import(store.Export(0)))
	second, err := secondPublisher.Publish(t.Context(), poolChange(first.Revision, poolBody))
	is.NoErr(err)
	is.Equal(second.Outcome, PublishAccepted)
}

// Guards against slow propagation: a change must reach every node within 2 s while the log is healthy, and
// within 16 s after an outage of any length. After the outage the test requires maxBackoff, a quarter of that.
func TestFollowersReceiveChangeWithinTargetTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := newFakeLog()
		ctx, cancel := context.WithCancel(t.Context())
		stores := startFollowers(ctx, log, 40, 24*time.Hour)
		p, err := NewPublisher(log).Publish(ctx, poolChange(0, poolBody))
		is.NoErr(err)
		is.True(timeToReachAll(stores, p.Revision) < 2*time.Second)
		log.locked(func() { log.down = true })
		time.Sleep(10 * time.Minute)
		log.locked(func() { log.down = false })
		p, err = NewPublisher(log).Publish(ctx, poolChange(p.Revision, poolBody))
		is.NoErr(err)
		is.True(timeToReachAll(stores, p.Revision) <= maxBackoff)
		cancel()
		synctest.Wait()
	})
}

// restatingNodes can be set to the target size of 990 nodes, which takes half a minute:
//
//	go test ./config -run TestRestatementsAreTimelyAndFew -v -args -restating-nodes 990
var restatingNodes = flag.Int("restating-nodes", 60, "number of nodes in TestRestatementsAreTimelyAndFew")

// Guards against a burst of writes by all nodes when the clock of the log is far behind, which makes every
// object appear overdue.
func TestNodesDoNotRestateTogetherWhenLogClockIsBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := newFakeLog()
		log.clockBehind = 48 * time.Hour
		_, err := NewPublisher(log).Publish(t.Context(), poolChange(0, poolBody))
		is.NoErr(err)
		ctx, cancel := context.WithCancel(t.Context())
		startFollowers(ctx, log, 60, 24*time.Hour)
		time.Sleep(shortRestateDelay)
		log.locked(func() { is.Equal(log.appends, 2) }) // the empty first record and the change
		time.Sleep(time.Hour)
		cancel()
		synctest.Wait()
		is.True(log.appends < 2*60)
	})
}

// Guards against restatements that come too late or from too many nodes: each copy costs bandwidth at every
// node.
func TestRestatementsAreTimelyAndFew(t *testing.T) {
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
		// Once soon after the change, and once or twice because of its age.
		is.Equal(len(restated), objects)
		for _, n := range restated {
			is.True(n >= 2 && n <= 4)
		}
		is.True(censuses >= 4 && censuses <= 16)
	})
}

// startFollowers starts n nodes that follow the log and returns their stores.
func startFollowers(ctx context.Context, log *fakeLog, n int, retention time.Duration) []*Store {
	stores := make([]*Store, n)
	for i := range stores {
		stores[i] = newTestStore()
		go NewFollower(stores[i], log, fmt.Sprint("node", i), retention).Run(ctx)
	}
	return stores
}

// timeToReachAll waits until all stores have the revision and returns the time that this took, at most about
// one minute in total.
func timeToReachAll(stores []*Store, revision uint64) time.Duration {
	start := time.Now()
	for _, s := range stores {
		for s.Revision() < revision && time.Since(start) < time.Minute {
			time.Sleep(10 * time.Millisecond)
		}
	}
	return time.Since(start)
}
