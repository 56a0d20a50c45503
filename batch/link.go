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
	// holdWait is how long a worker may keep a hold call open while it waits for an end. A hold is
	// the users' platform's name of a poll, see HoldOrder. Workers allow two seconds. A lease of six seconds outlasts three such calls.
	holdWait = 1900 * time.Millisecond
	// minHoldMargin is the shortest time added to the wait of a hold before the call times out. The
	// margin follows the latency of answers and doubles with each hold that is not answered: an answer
	// that is given up takes the ends that it lists along.
	minHoldMargin = 600 * time.Millisecond
	// minHoldBackoff and maxHoldBackoff bound the backoff after a failed hold.
	minHoldBackoff = 100 * time.Millisecond
	maxHoldBackoff = 600 * time.Millisecond
	// maxAnswerAge is how long after its last answer an incarnation of a worker is assumed to still
	// be the one that receives orders. A restart of a worker takes longer than this.
	maxAnswerAge = 250 * time.Millisecond
	// minStartLease is the remaining lease below which a start extends it.
	minStartLease = 3 * time.Second
)

// link is the connection to one worker. It polls the worker, which renews its leases and fetches its
// report, and sends orders.
type link struct {
	env    *linkEnv
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup  // the hold loop and the orders
	wake   chan struct{}   // an acknowledgement has arrived, or a report is requested
	margin adaptiveTimeout // of holds, beyond their wait

	lock          sync.Mutex
	entry         placing.WorkerEntry
	acked         int64     // newest end that the worker may forget
	ackInFlight   bool      // the newest hold acknowledges ends and is not answered yet
	ackGivenUpAt  time.Time // when a hold with an acknowledgement was given up last
	ackedByWorker int64     // newest end for which the worker has confirmed the acknowledgement
	workerClockMS int64     // clock of the worker at workerClockAt; 0 while unknown
	workerClockAt time.Time
	leaseUntilMS  int64     // granted lease, on the worker's clock
	expiry        time.Time // when the lease has expired for certain
	reachable     bool
	holdSentAt    time.Time                  // of the newest hold
	reportWanted  bool                       // a report is requested that no hold has been sent for
	cancelHold    context.CancelCauseFunc    // cancels the newest hold
	pendingStarts map[startKey]chan struct{} // starts in flight; closing the channel withdraws one
}

func newLink(env *linkEnv, entry placing.WorkerEntry) *link {
	return &link{
		env:           env,
		wake:          make(chan struct{}, 1),
		margin:        adaptiveTimeout{minimum: minHoldMargin},
		entry:         entry,
		pendingStarts: map[startKey]chan struct{}{},
	}
}

func (l *link) setEntry(entry placing.WorkerEntry) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.entry = entry
}

// errHoldSuperseded cancels a hold in favor of a newer one.
var errHoldSuperseded = eris.New("hold superseded by a newer one")

// errNoGrant is returned while this instance may not send orders.
var errNoGrant = eris.New("no valid grant from the leader")

// run sends holds to the worker until ctx ends.
func (l *link) run(ctx context.Context) {
	backoff := minHoldBackoff
	wait := time.Duration(0)
	for ctx.Err() == nil {
		report, call, err := l.hold(ctx, wait)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errHoldSuperseded) {
			wait = 0
			continue
		}
		if err != nil {
			l.handleHoldError(ctx, call, err)
			logstream.Sleep(ctx, backoff)
			backoff = min(maxHoldBackoff, 2*backoff)
			wait = 0
			continue
		}
		backoff = minHoldBackoff
		l.env.report(ctx, holdReply{worker: l.worker().ID, report: report, sent: call.sent, expiry: l.leaseExpiry()})
		wait = l.awaitAck(ctx, report)
	}
}

// awaitAck waits until the reported ends are durable or a new report is requested, and returns how
// long the worker may keep the next hold open: 0 if that hold would bring the same ends. It waits as
// long as a hold may take: on a congested link lists of the same ends would keep others from arriving.
func (l *link) awaitAck(ctx context.Context, report HoldReport) time.Duration {
	if len(report.Ended) == 0 {
		return holdWait
	}
	newest := report.Ended[len(report.Ended)-1].Number
	timer := time.NewTimer(l.margin.current())
	defer timer.Stop()
	for l.newestAck() < newest && !l.reportRequested() {
		select {
		case <-ctx.Done():
			return 0
		case <-timer.C:
			return 0
		case <-l.wake:
		}
	}
	if l.newestAck() < newest {
		return 0
	}
	return holdWait
}

// holdCall is one hold: when it was sent, and what it requested.
type holdCall struct {
	sent  time.Time
	order HoldOrder
}

func (l *link) hold(ctx context.Context, wait time.Duration) (HoldReport, holdCall, error) {
	if !l.env.ordersAllowed() {
		return HoldReport{}, holdCall{}, errNoGrant
	}
	sent := l.env.clock.Now()
	order := HoldOrder{LeaseUntilMS: l.leaseForHold(sent), Epoch: l.env.epoch, Wait: wait}
	if !l.attachAck(sent, &order) || order.Ack > 0 && l.worker().BornMS != 0 {
		// The next incarnation of a worker gets no work while an acknowledgement is unconfirmed.
		order.Wait = 0
	}
	call := holdCall{sent: sent, order: order}
	ctx, cancelCause := context.WithCancelCause(ctx)
	defer cancelCause(nil)
	l.setHold(sent, cancelCause)
	callCtx, cancel := context.WithTimeout(ctx, wait+l.margin.current())
	defer cancel()
	l.setAckInFlight(order.Ack)
	report, err := l.env.workers.Hold(callCtx, l.worker(), order)
	if err != nil {
		l.giveUpAck()
	}
	if err != nil && errors.Is(context.Cause(ctx), errHoldSuperseded) {
		return report, call, errHoldSuperseded
	}
	if err != nil {
		if callCtx.Err() != nil {
			l.margin.recordUnanswered()
		}
		return report, call, err
	}
	l.observeLatency(l.env.clock.Now().Sub(sent), order.Wait)
	l.recordAnswer(report, sent)
	l.confirmAck(order.Ack)
	return report, call, nil
}

// observeLatency records how long an answer took beyond the wait of its hold. A shorter answer says
// nothing, as the worker did not use the whole wait.
func (l *link) observeLatency(elapsed, wait time.Duration) {
	if elapsed >= wait {
		l.margin.observe(elapsed - wait)
	}
}

// attachAck adds to an order the number up to which the worker may forget its ends, once. It
// adds none while a later incarnation may receive the order, as that one would forget ends of its
// own that nobody has read. It returns false if a number has to wait for an answer of the
// current incarnation.
func (l *link) attachAck(sent time.Time, order *HoldOrder) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.acked <= l.ackedByWorker {
		return true
	}
	if l.entry.BornMS != 0 && (!l.reachable || sent.Sub(l.workerClockAt) > maxAnswerAge) {
		return false
	}
	order.Ack = l.acked
	return true
}

// setAckInFlight records that a hold with an acknowledgement is sent.
func (l *link) setAckInFlight(ack int64) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.ackInFlight = ack > 0
}

// giveUpAck records that the newest hold is given up.
func (l *link) giveUpAck() {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.ackInFlight {
		l.ackGivenUpAt = l.env.clock.Now()
	}
	l.ackInFlight = false
}

// ackUnanswered reports whether an acknowledgement that was not answered may still arrive.
func (l *link) ackUnanswered() bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.ackInFlight || !l.ackGivenUpAt.IsZero() && l.env.clock.Now().Sub(l.ackGivenUpAt) < placing.MaxOrderDelay
}

func (l *link) confirmAck(number int64) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.ackInFlight = false
	l.ackedByWorker = max(l.ackedByWorker, number)
}

// setHold records the hold in flight, for requestReport.
func (l *link) setHold(sent time.Time, cancel context.CancelCauseFunc) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.holdSentAt = sent
	l.reportWanted = false
	l.cancelHold = cancel
}

// requestReport makes sure that a report is requested after the given time. It cancels a hold that
// was sent earlier, which may have been lost, so that a new one is sent.
func (l *link) requestReport(after time.Time) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.reportWanted = true
	if l.cancelHold != nil && !l.holdSentAt.After(after) {
		l.cancelHold(errHoldSuperseded)
	}
	l.notify()
}

// reportRequested reports whether a report is requested that no hold has been sent for.
func (l *link) reportRequested() bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.reportWanted
}

// recordAnswer records the answer to a hold that was sent at the given time.
func (l *link) recordAnswer(report HoldReport, sent time.Time) {
	l.lock.Lock()
	defer l.lock.Unlock()
	now := l.env.clock.Now()
	if !l.reachable && !l.workerClockAt.IsZero() {
		l.env.log.WithField("worker", l.entry.ID).WithField("silent_ms", now.Sub(l.workerClockAt).Milliseconds()).
			WithField("answer_ms", now.Sub(sent).Milliseconds()).WithField("lease_left_ms", l.expiry.Sub(now).Milliseconds()).
			WithField("running", len(report.Running)).WithField("ended", len(report.Ended)).Info("worker_answers_again")
	}
	l.workerClockMS = report.ClockMS
	l.workerClockAt = now
	l.reachable = true
}

func (l *link) handleHoldError(ctx context.Context, call holdCall, err error) {
	l.lock.Lock()
	wasReachable := l.reachable
	l.reachable = false
	l.lock.Unlock()
	if wasReachable {
		l.logLease(call.order.LeaseUntilMS).WithField("sent_ms_ago", l.env.clock.Now().Sub(call.sent).Milliseconds()).
			WithField("ack", call.order.Ack).WithField("error", err.Error()).Info("worker_silent")
	}
	var refused *OrderError
	if errors.As(err, &refused) {
		l.handleRefusal(ctx, refused)
		return
	}
	l.env.report(ctx, holdFailure{worker: l.worker().ID, expiry: l.leaseExpiry(), ackUnanswered: l.ackUnanswered()})
	l.reportIncarnation(ctx, call.order.LeaseUntilMS, err)
}

// reportIncarnation reports that another incarnation of the worker has answered an order that requested
// a lease.
func (l *link) reportIncarnation(ctx context.Context, leaseUntilMS int64, err error) {
	var other *OtherIncarnationError
	if !errors.As(err, &other) {
		return
	}
	l.logLease(leaseUntilMS).WithField("born", other.BornMS).Info("worker_life")
	l.env.report(ctx, incarnationChange{worker: l.worker().ID, bornMS: other.BornMS, ackUnanswered: l.ackUnanswered()})
}

// handleRefusal reports refusals that concern more than the refused order.
func (l *link) handleRefusal(ctx context.Context, refused *OrderError) {
	switch refused.Refusal {
	case RefusedStaleTerm:
		l.env.report(ctx, termFencedEvent{})
	case RefusedOtherIncarnation:
		l.env.report(ctx, incarnationChange{worker: l.worker().ID})
	}
}

func (l *link) worker() placing.WorkerEntry {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.entry
}

// newestAck returns the number of the newest end that the worker may forget.
func (l *link) newestAck() int64 {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.acked
}

func (l *link) acknowledge(number int64) {
	l.lock.Lock()
	l.acked = max(l.acked, number)
	l.lock.Unlock()
	l.notify()
}

// notify ends a wait for acknowledgements, to look at what has changed.
func (l *link) notify() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// holdReply delivers the report of a worker.
type holdReply struct {
	worker string
	report HoldReport
	sent   time.Time
	expiry time.Time
}

func (r holdReply) apply(l *leader, now time.Time) {
	l.engine.Report(r.worker, r.sent, r.report.Running, r.report.Ended, l.dispatchers.effectiveExpiry(r.worker, r.expiry), now)
}

// holdFailure signals that a hold was not answered.
type holdFailure struct {
	worker        string
	expiry        time.Time
	ackUnanswered bool // an acknowledgement may still arrive
}

func (f holdFailure) apply(l *leader, now time.Time) {
	if f.ackUnanswered {
		l.engine.AckUnanswered(f.worker, now)
	}
	l.engine.WorkerUnreachable(f.worker, l.dispatchers.effectiveExpiry(f.worker, f.expiry), now)
	l.dispatchers.recordSilence(f.worker, now)
}

// incarnationChange signals that another incarnation answers at the address of a worker.
type incarnationChange struct {
	worker        string
	bornMS        int64 // of a later incarnation of the same worker; 0 for another worker at the address
	ackUnanswered bool  // an acknowledgement for the known incarnation may still arrive
}

func (c incarnationChange) apply(l *leader, now time.Time) {
	if c.ackUnanswered {
		l.engine.AckUnanswered(c.worker, now)
	}
	next, ok := l.engine.ReplaceIncarnation(c.worker, c.bornMS, now)
	if ok {
		l.dispatchers.updateWorkers([]placing.WorkerEntry{next}, now)
	}
}
