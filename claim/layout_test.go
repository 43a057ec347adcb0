package claim

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jacinthfork.example/jacinthfork/verdict"
)

// Sidecars with different partitions or buckets look for a key in different streams. The second
// layout must not run a key that the first may have run, neither in a rollout nor in a race.
func TestOtherLayoutIsRefused(t *testing.T) {
	for name, change := range map[string]func(o *Options){
		"partitions": func(o *Options) { o.Partitions++ },
		"bucket":     func(o *Options) { o.Bucket *= 2 },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				log, svc := newMemLog(), &service{}
				log.retention = 48 * time.Hour
				opts := testOptions(log, "a")
				old := newKeeper(t, opts)
				change(&opts)
				opts.Instance = "b"
				rolled := newKeeper(t, opts)
				start := time.Now()
				var action Action
				// The old layout stays in use and is renewed.
				for range 30 {
					action = testAction(1, "pay")
					_, _, err := within(old, time.Second, action, svc)
					is.NoErr(err)
					_, _, err = within(rolled, time.Second, action, svc)
					expect(t, err, verdict.NotRun, verdict.ReasonNotReady)
					time.Sleep(2 * time.Hour)
				}
				is.True(time.Since(start) > opts.Retention)
				is.Equal(svc.runs.Load(), int64(30))
				// The new layout may start only when no key of the old one is accepted any more.
				for {
					_, _, err := within(rolled, time.Second, testAction(2, "pay"), svc)
					if err == nil {
						break
					}
					time.Sleep(time.Hour)
				}
				_, _, err := within(rolled, time.Second, action, svc)
				expect(t, err, verdict.Unknown, verdict.ReasonKeyExpired)
				_, _, err = within(old, time.Second, testAction(3, "pay"), svc)
				expect(t, err, verdict.NotRun, verdict.ReasonNotReady)
			})
		})
	}
}

// Two layouts that start on an empty log at the same time must not both run.
func TestLayoutRace(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, log *memLog, svc *service) {
		log.latency = 5 * time.Millisecond
		opts := testOptions(log, "a")
		a := newKeeper(t, opts)
		opts.Instance, opts.Partitions = "b", 7
		b := newKeeper(t, opts)
		action := testAction(1, "pay")
		go func() { _, _, _ = within(a, time.Second, action, svc) }()
		_, _, _ = within(b, time.Second, action, svc)
		time.Sleep(time.Second)
		is.True(svc.runs.Load() <= 1)
	})
}

// An outage that outlasts the slack must stop the layout, because its record may have expired.
func TestLayoutOutlivedByOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := newMemLog()
		k := newKeeper(t, testOptions(log, "a"))
		is.NoErr(k.checkLayout(t.Context()))
		log.set(func(l *memLog) { l.down = true })
		// Retention - Window - Skew - ClockError of testOptions.
		const slack = 24*time.Hour - time.Minute - time.Second
		time.Sleep(slack - time.Second)
		is.NoErr(k.checkLayout(t.Context()))
		time.Sleep(time.Second)
		expect(t, k.checkLayout(t.Context()), verdict.NotRun, verdict.ReasonLogUnavailable)
	})
}

// Another layout that is appended between the last read and the append must still be seen.
func TestLayoutIsReadAfterTheAppend(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, log *memLog, _ *service) {
		k := newKeeper(t, testOptions(log, "a"))
		log.latency, log.loseAppends = 5*time.Millisecond, 1
		go func() {
			// Reads end after 5 and 15 ms, appends after 10 (lost) and 20 ms.
			time.Sleep(17 * time.Millisecond)
			log.set(func(l *memLog) { l.store(k.layoutStream(), []byte{8, 9}) })
		}()
		expect(t, k.checkLayout(t.Context()), verdict.NotRun, verdict.ReasonNotReady)
	})
}
