package claim

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jacinthfork.example/jacinthfork/verdict"
)

// Guards against a second execution during a rollout that changes the layout: sidecars with different
// partitions or buckets look for a key in different streams.
func TestOtherLayoutIsRejected(t *testing.T) {
	for name, change := range map[string]func(o *Options){
		"partitions": func(o *Options) { o.Partitions++ },
		"bucket":     func(o *Options) { o.Bucket *= 2 },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				log, svc := newMemLog(), &countingService{}
				log.retention = 48 * time.Hour
				opts := testOptions(log, "a")
				old := newExecutor(t, opts)
				change(&opts)
				opts.Instance = "b"
				updated := newExecutor(t, opts)
				start := time.Now()
				var action Action
				// The old layout stays in use and its record is renewed.
				for range 30 {
					action = testAction(1, "pay")
					_, _, err := runWithTimeout(old, time.Second, action, svc)
					is.NoErr(err)
					_, _, err = runWithTimeout(updated, time.Second, action, svc)
					expectVerdict(t, err, verdict.NotRun, verdict.ReasonNotReady)
					time.Sleep(2 * time.Hour)
				}
				is.True(time.Since(start) > opts.Retention)
				is.Equal(svc.runs.Load(), int64(30))
				// The new layout may be used only when no key of the old one is accepted any more.
				for {
					_, _, err := runWithTimeout(updated, time.Second, testAction(2, "pay"), svc)
					if err == nil {
						break
					}
					time.Sleep(time.Hour)
				}
				_, _, err := runWithTimeout(updated, time.Second, action, svc)
				expectVerdict(t, err, verdict.Unknown, verdict.ReasonKeyExpired)
				_, _, err = runWithTimeout(old, time.Second, testAction(3, "pay"), svc)
				expectVerdict(t, err, verdict.NotRun, verdict.ReasonNotReady)
			})
		})
	}
}

// Guards against a second execution when sidecars with two layouts start on an empty log at the same time.
func TestConcurrentLayoutsExecuteOnce(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, is *is.I, log *memLog, svc *countingService) {
		log.latency = 5 * time.Millisecond
		opts := testOptions(log, "a")
		a := newExecutor(t, opts)
		opts.Instance, opts.Partitions = "b", 7
		b := newExecutor(t, opts)
		action := testAction(1, "pay")
		go func() { _, _, _ = runWithTimeout(a, time.Second, action, svc) }()
		_, _, _ = runWithTimeout(b, time.Second, action, svc)
		time.Sleep(time.Second)
		is.True(svc.runs.Load() <= 1)
	})
}

// Guards against use of a layout after a log outage longer than its validity, when its record may have expired.
func TestLayoutExpiresInLongOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := newMemLog()
		k := newExecutor(t, testOptions(log, "a"))
		is.NoErr(k.checkLayout(t.Context()))
		log.update(func(l *memLog) { l.down = true })
		// Retention - Window - Skew - ClockError of testOptions.
		const validity = 24*time.Hour - time.Minute - time.Second
		time.Sleep(validity - time.Second)
		is.NoErr(k.checkLayout(t.Context()))
		time.Sleep(time.Second)
		expectVerdict(t, k.checkLayout(t.Context()), verdict.NotRun, verdict.ReasonLogUnavailable)
	})
}

// Guards against missing a record of another layout that is appended between the last read and the append.
func TestLayoutIsReadAfterAppend(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, is *is.I, log *memLog, _ *countingService) {
		k := newExecutor(t, testOptions(log, "a"))
		log.latency, log.loseAppends = 5*time.Millisecond, 1
		go func() {
			// Reads end after 5 and 15 ms, appends after 10 (lost) and 20 ms.
			time.Sleep(17 * time.Millisecond)
			// The encoding of a claimpb.Layout with 9 partitions.
			log.update(func(l *memLog) { l.store(k.layoutStream(), []byte{8, 9}) })
		}()
		expectVerdict(t, k.checkLayout(t.Context()), verdict.NotRun, verdict.ReasonNotReady)
	})
}
