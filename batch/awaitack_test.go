package batch

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/placing"
)

// endListingWorkers lists the same end in each answer, after some latency.
type endListingWorkers struct {
	Workers
	latency time.Duration
	holds   atomic.Int64
}

func (w *endListingWorkers) Hold(context.Context, placing.WorkerEntry, HoldOrder) (HoldReport, error) {
	w.holds.Add(1)
	time.Sleep(w.latency)
	return HoldReport{ClockMS: time.Now().UnixMilli(), Ended: []placing.EndedTask{{Number: 1, Kind: placing.EndStopped}}}, nil
}

func withEndListingWorker(t *testing.T, latency time.Duration, test func(is *is.I, l *link, workers *endListingWorkers)) {
	synctest.Test(t, func(t *testing.T) {
		l, _, _ := scriptedLink()
		workers := &endListingWorkers{latency: latency}
		l.env.workers = workers
		l.env.report = func(context.Context, event) {}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			l.run(ctx)
		}()
		test(is.New(t), l, workers)
		cancel()
		<-done
	})
}

// Guards against capacity that is noticed late: the end of a run that was stopped is fetched at once,
// also while earlier ends are being recorded.
func TestEndOfAStoppedRunIsFetchedWhileEndsAreRecorded(t *testing.T) {
	withEndListingWorker(t, time.Millisecond, func(is *is.I, l *link, workers *endListingWorkers) {
		time.Sleep(100 * time.Millisecond)
		before := workers.holds.Load()
		l.requestReport(l.env.clock.Now())
		time.Sleep(10 * time.Millisecond)
		is.Equal(workers.holds.Load(), before+1)
	})
}

// While ends are being recorded they are listed again as often as the latency of answers allows.
func TestUnrecordedEndsAreListedLessOftenOnACongestedLink(t *testing.T) {
	for latency, maxHolds := range map[time.Duration]int64{time.Millisecond: 17, 600 * time.Millisecond: 5} {
		withEndListingWorker(t, latency, func(is *is.I, _ *link, workers *endListingWorkers) {
			time.Sleep(20 * time.Second)
			before := workers.holds.Load()
			time.Sleep(10 * time.Second)
			is.True(workers.holds.Load()-before <= maxHolds)
			is.True(workers.holds.Load()-before >= maxHolds-2)
		})
	}
}
