package batch

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/teaselcleat/teaselcleat/logstream"
	"github.com/teaselcleat/teaselcleat/placing"
)

const (
	// holdWait is how long a worker may keep a hold open for an end; the
	// workers allow two seconds. A lease of six lasts three of these.
	holdWait = 1900 * time.Millisecond
	// holdSlack is added before a hold counts as unanswered.
	holdSlack = 600 * time.Millisecond
	// holdPauseFirst and holdPauseMost bound the pause after such a hold.
	holdPauseFirst = 100 * time.Millisecond
	holdPauseMost  = 600 * time.Millisecond
	// ackPatience is how long a link waits for ends to be durable before it
	// looks again: an append takes milliseconds unless the store is away.
	ackPatience = 600 * time.Millisecond
	// lifeTrust is for how long after its last answer a life counts as the one that takes
	// the next order: a worker takes longer than this to start again.
	lifeTrust = 250 * time.Millisecond
	// leaseLow is the rest of a lease below which a start extends it.
	leaseLow = 3 * time.Second
)

// link is the connection to one worker: it renews leases, brings ends and passes
// orders on.
type link struct {
	host    *linkHost
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup // its hold and its orders
	wake    chan struct{}  // an acknowledgement has come

	lock      sync.Mutex
	entry     placing.WorkerEntry
	acked     int64     // ends that the worker may forget
	ackTaken  int64     // of these, up to where it was told so
	clockMS   int64     // of the worker, at clockAt; 0 while unknown
	clockAt   time.Time //
	untilMS   int64     // lease granted, on the worker's clock
	lapseAt   time.Time // when it has lapsed for certain
	answering bool
	holdSent  time.Time                  // of the newest hold
	holdEnd   context.CancelCauseFunc    // gives that hold up
	waiting   map[startKey]chan struct{} // starts under way, closed to withdraw one
}

func newLink(host *linkHost, entry placing.WorkerEntry) *link {
	return &link{host: host, wake: make(chan struct{}, 1), entry: entry, waiting: map[startKey]chan struct{}{}}
}

func (k *link) setEntry(entry placing.WorkerEntry) {
	k.lock.Lock()
	defer k.lock.Unlock()
	k.entry = entry
}

// errLook ends a hold in favour of a newer one.
var errLook = eris.New("a newer look at the worker is needed")

// errNotGranted says that this instance may not give orders any more.
var errNotGranted = eris.New("the holder of the term has not been heard of")

// run holds the worker until ctx ends.
func (k *link) run(ctx context.Context) {
	pause := holdPauseFirst
	wait := time.Duration(0)
	for ctx.Err() == nil {
		report, sent, err := k.hold(ctx, wait)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errLook) {
			wait = 0
			continue
		}
		if err != nil {
			k.failed(ctx, err)
			logstream.Sleep(ctx, pause)
			pause = min(holdPauseMost, 2*pause)
			wait = 0
			continue
		}
		pause = holdPauseFirst
		k.host.report(ctx, holdAnswered{worker: k.worker().ID, report: report, sent: sent, lapseAt: k.lapse()})
		wait = k.afterReport(ctx, report, wait)
	}
}

// afterReport waits until the ends that came are durable, and returns how long
// the next hold may wait: not at all if it would only bring the same ends.
func (k *link) afterReport(ctx context.Context, report HoldReport, waited time.Duration) time.Duration {
	if len(report.Ended) == 0 {
		return holdWait
	}
	newest := report.Ended[len(report.Ended)-1].Number
	timer := time.NewTimer(ackPatience)
	defer timer.Stop()
	for k.acknowledged() < newest {
		select {
		case <-ctx.Done():
			return 0
		case <-timer.C:
			return 0
		case <-k.wake:
		}
	}
	return holdWait
}

func (k *link) hold(ctx context.Context, wait time.Duration) (HoldReport, time.Time, error) {
	if !k.host.mayOrder() {
		return HoldReport{}, time.Time{}, errNotGranted
	}
	sent := k.host.clock.Now()
	order := HoldOrder{UntilMS: k.extend(sent), Epoch: k.host.epoch, Wait: wait}
	if !k.nextAck(sent, &order) {
		order.Wait = 0
	}
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	k.holding(sent, end)
	call, cancel := context.WithTimeout(ctx, wait+holdSlack)
	defer cancel()
	report, err := k.host.workers.Hold(call, k.worker(), order)
	if err != nil && errors.Is(context.Cause(ctx), errLook) {
		return report, sent, errLook
	}
	if err != nil {
		return report, sent, err
	}
	k.answered(report.ClockMS)
	k.tookAck(order.Ack)
	return report, sent, nil
}

// nextAck has an order let the worker forget its newest ends, once. While the life that
// takes the order may be a later one it carries no such number: a later life's own ends
// would be forgotten unseen. It returns false if there is a number to send that has to
// wait for an answer of this life.
func (k *link) nextAck(sent time.Time, order *HoldOrder) bool {
	k.lock.Lock()
	defer k.lock.Unlock()
	if k.acked <= k.ackTaken {
		return true
	}
	if k.entry.BornMS != 0 && (!k.answering || sent.Sub(k.clockAt) > lifeTrust) {
		return false
	}
	order.Ack = k.acked
	return true
}

func (k *link) tookAck(number int64) {
	k.lock.Lock()
	defer k.lock.Unlock()
	k.ackTaken = max(k.ackTaken, number)
}

// holding notes the hold on its way, for look.
func (k *link) holding(sent time.Time, end context.CancelCauseFunc) {
	k.lock.Lock()
	defer k.lock.Unlock()
	k.holdSent = sent
	k.holdEnd = end
}

// look makes sure that a report is asked for after some moment: a hold sent
// earlier, which may have been lost, is given up for a new one.
func (k *link) look(after time.Time) {
	k.lock.Lock()
	defer k.lock.Unlock()
	if k.holdEnd != nil && !k.holdSent.After(after) {
		k.holdEnd(errLook)
	}
}

// extend returns the lease to ask for. While the worker does not answer, it is
// not extended, so that the time at which all has lapsed stands fast.
func (k *link) extend(now time.Time) int64 {
	k.lock.Lock()
	defer k.lock.Unlock()
	if k.clockMS == 0 || !k.answering {
		return k.untilMS
	}
	lease := k.host.bounds.askedLease(now)
	k.untilMS = max(k.untilMS, k.clockMS+now.Sub(k.clockAt).Milliseconds()+lease.Milliseconds())
	// A lease that was asked for under a longer bound is not shortened by this one.
	if lapseAt := now.Add(placing.LeaseLapse(lease)); lapseAt.After(k.lapseAt) {
		k.lapseAt = lapseAt
	}
	return k.untilMS
}

// leaseForStart returns the lease that a start carries.
func (k *link) leaseForStart(now time.Time) int64 {
	k.lock.Lock()
	left := k.untilMS - k.clockMS - now.Sub(k.clockAt).Milliseconds()
	until := k.untilMS
	k.lock.Unlock()
	if left > leaseLow.Milliseconds() {
		return until
	}
	return k.extend(now)
}

func (k *link) answered(clockMS int64) {
	k.lock.Lock()
	defer k.lock.Unlock()
	k.clockMS = clockMS
	k.clockAt = k.host.clock.Now()
	k.answering = true
}

func (k *link) failed(ctx context.Context, err error) {
	k.lock.Lock()
	was := k.answering
	k.answering = false
	k.lock.Unlock()
	if was {
		k.host.log.WithField("worker", k.worker().ID).WithField("error", err.Error()).Info("worker_silent")
	}
	var refused *OrderError
	if errors.As(err, &refused) {
		k.refused(ctx, refused)
		return
	}
	k.host.report(ctx, unreachable{worker: k.worker().ID, lapseAt: k.lapse()})
	k.outlived(ctx, err)
}

// outlived passes on that an answer came from another life of the worker.
func (k *link) outlived(ctx context.Context, err error) {
	var other *OtherLifeError
	if !errors.As(err, &other) {
		return
	}
	k.host.log.WithField("worker", k.worker().ID).WithField("born", other.BornMS).Info("worker_life")
	k.host.report(ctx, reborn{worker: k.worker().ID, bornMS: other.BornMS})
}

// refused passes on refusals that say more than that an order was not taken.
func (k *link) refused(ctx context.Context, refused *OrderError) {
	switch refused.Refusal {
	case RefusedFence:
		k.host.report(ctx, fencedOff{})
	case RefusedReborn:
		k.host.report(ctx, reborn{worker: k.worker().ID})
	}
}

func (k *link) worker() placing.WorkerEntry {
	k.lock.Lock()
	defer k.lock.Unlock()
	return k.entry
}

// mayLapseFrom takes that a start was sent at some moment and not answered. A later life of
// the worker may have taken it, and shortens the lease, which is on the clock of the
// former one, to the longest that it grants from then on.
func (k *link) mayLapseFrom(sent time.Time) {
	k.lock.Lock()
	defer k.lock.Unlock()
	if k.entry.BornMS == 0 {
		return
	}
	if lapseAt := sent.Add(placing.LeaseLapse(k.host.bounds.grantedLease(sent))); lapseAt.After(k.lapseAt) {
		k.lapseAt = lapseAt
	}
}

func (k *link) lapse() time.Time {
	k.lock.Lock()
	defer k.lock.Unlock()
	return k.lapseAt
}

func (k *link) acknowledged() int64 {
	k.lock.Lock()
	defer k.lock.Unlock()
	return k.acked
}

func (k *link) acknowledge(number int64) {
	k.lock.Lock()
	k.acked = max(k.acked, number)
	k.lock.Unlock()
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// holdAnswered brings a worker's report.
type holdAnswered struct {
	worker  string
	report  HoldReport
	sent    time.Time
	lapseAt time.Time
}

func (h holdAnswered) apply(l *leader, now time.Time) {
	l.engine.Report(h.worker, h.sent, h.report.Running, h.report.Ended, l.drivers.lapse(h.worker, h.lapseAt), now)
}

// unreachable says that a hold was not answered.
type unreachable struct {
	worker  string
	lapseAt time.Time
}

func (u unreachable) apply(l *leader, now time.Time) {
	l.engine.Unreachable(u.worker, l.drivers.lapse(u.worker, u.lapseAt), now)
	l.drivers.silent(u.worker, now)
}

// reborn says that another life answers in place of a worker's.
type reborn struct {
	worker string
	bornMS int64 // of a later life of the same worker; 0 for another worker at the address
}

func (r reborn) apply(l *leader, now time.Time) {
	next, watch := l.engine.Reborn(r.worker, r.bornMS, now)
	if watch {
		l.drivers.list([]placing.WorkerEntry{next}, now)
	}
}
