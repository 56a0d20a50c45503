package batch

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/teaselcleat/teaselcleat/jobs"
	"github.com/teaselcleat/teaselcleat/logstream"
	"github.com/teaselcleat/teaselcleat/placing"
)

const (
	// minOrderTimeout is how long a start or a stop may go unanswered before it is retried. A worker
	// answers within some milliseconds. Where answers take longer because this instance is slow,
	// the timeout is four times the usual latency.
	minOrderTimeout = 300 * time.Millisecond
	// maxOrderAttempts is how often an order is sent. A late copy is harmless: the worker answers it
	// like the first one, or refuses it once the run is over. Nine tenths of a second in all leave a
	// gang time to become complete; its members wait three seconds for that.
	maxOrderAttempts = 3
	// reportMargin is added to the time that a stop takes before a report of its end is requested.
	reportMargin = 100 * time.Millisecond
)

// errWithdrawn is returned for an order that was withdrawn before it was sent.
var errWithdrawn = eris.New("order withdrawn before it was sent")

// errZoneEvacuated is returned for a start into a zone that is evacuated, or whose evacuation state
// was read too long ago.
var errZoneEvacuated = eris.New("availability zone is evacuated, or its evacuation state is unknown")

// startRun sends a start and reports the answer. No further attempt is sent once withdrawn is
// closed: on a slow instance an attempt may wait for a slot until long after its job was
// cancelled. maybeSent means that another instance may have an attempt in flight.
func (l *link) startRun(ctx context.Context, order placing.Start, maybeSent bool, withdrawn <-chan struct{}) {
	defer l.removeStart(order)
	sent := l.env.clock.Now()
	var clock clockReading
	unanswered, err := l.sendOrder(ctx, classOfStart(order.Priority), withdrawn, func(ctx context.Context) error {
		if !l.env.startsAllowed(l.worker().Zone) {
			return errZoneEvacuated
		}
		clock.sent = l.env.clock.Now()
		var err error
		clock.workerMS, err = l.env.workers.Start(ctx, l.worker(), StartOrder{
			Task:         order.Task,
			Run:          order.Run,
			Spec:         order.Spec,
			Checkpoint:   order.Checkpoint,
			Ticket:       order.Ticket,
			LeaseUntilMS: l.leaseForStart(l.env.clock.Now()),
			Epoch:        l.env.epoch,
		})
		clock.received = l.env.clock.Now()
		return err
	})
	if ctx.Err() != nil {
		return // the next dispatcher of the worker sends it again
	}
	result := startResult(maybeSent || unanswered, err)
	if result == placing.StartUnknown {
		l.extendExpiry(l.env.clock.Now())
	}
	l.env.startTime.Update(l.env.clock.Now().Sub(sent).Microseconds())
	if err != nil {
		l.logLease(0).WithField("job", order.Task.Job).WithField("task", order.Task.String()).WithField("run", order.Run).
			WithField("error", err.Error()).Info("start_failed")
	}
	l.handleOrderError(ctx, err)
	origin := placing.OriginUnknown
	if err == nil {
		origin = l.originOf(clock)
	}
	if origin == placing.OriginOwn && (maybeSent || unanswered) {
		origin = placing.OriginOwnCopy
	}
	l.env.report(ctx, startReply{worker: order.Worker, task: order.Task, run: order.Run, result: result, origin: origin})
	if origin == placing.OriginOther {
		l.logLease(0).WithField("task", order.Task.String()).WithField("clock_ms", clock.workerMS).Info("start_answered_by_other_incarnation")
		l.requestReport(clock.received)
	}
}

// classOfStart returns the class of a start by its priority.
func classOfStart(priority placing.StartPriority) orderClass {
	switch priority {
	case placing.StartGuaranteed:
		return guaranteedStarts
	case placing.StartUrgent:
		return urgentStarts
	}
	return ordinaryStarts
}

// sendOrder sends an order until it is answered or the attempts are used up. unanswered is true
// if an earlier attempt went unanswered: it may still take effect, whatever a later answer says.
func (l *link) sendOrder(ctx context.Context, class orderClass, withdrawn <-chan struct{}, send func(context.Context) error) (unanswered bool, err error) {
	for range maxOrderAttempts {
		err = l.sendOnce(ctx, class, withdrawn, send)
		if err == nil || isAnswer(err) || wasWithheld(err) || ctx.Err() != nil {
			return unanswered, err
		}
		unanswered = true
	}
	return unanswered, err
}

// wasWithheld reports whether an order was withheld on purpose and never sent.
func wasWithheld(err error) bool {
	return errors.Is(err, errWithdrawn) || errors.Is(err, errNoGrant) || errors.Is(err, errZoneEvacuated)
}

// isAnswer reports whether an error is an answer of the worker, so that the order is not retried.
func isAnswer(err error) bool {
	var refused *OrderError
	var other *OtherIncarnationError
	return errors.As(err, &refused) || errors.As(err, &other)
}

// handleOrderError reports answers that concern more than the refused order.
func (l *link) handleOrderError(ctx context.Context, err error) {
	var refused *OrderError
	if errors.As(err, &refused) {
		l.handleRefusal(ctx, refused)
		return
	}
	l.reportIncarnation(ctx, 0, err)
}

func (l *link) sendOnce(ctx context.Context, class orderClass, withdrawn <-chan struct{}, send func(context.Context) error) error {
	if err := l.env.orderSlots.acquire(ctx, class, withdrawn); err != nil {
		return err
	}
	defer l.env.orderSlots.release()
	select {
	case <-withdrawn:
		return errWithdrawn
	default:
	}
	if !l.env.ordersAllowed() {
		return errNoGrant
	}
	ctx, cancel := context.WithTimeout(ctx, l.env.timeout.currentIgnoringUnanswered())
	defer cancel()
	sent := l.env.clock.Now()
	err := send(ctx)
	if err == nil {
		latency := l.env.clock.Now().Sub(sent)
		l.env.timeout.observe(latency)
		l.env.orderSlots.observe(latency)
	}
	return err
}

// startResult derives the result of a start. A refusal says nothing about an earlier attempt that
// went unanswered.
func startResult(maybeSent bool, err error) placing.StartResult {
	if err == nil {
		return placing.StartAccepted
	}
	if !maybeSent && errors.Is(err, errWithdrawn) {
		return placing.StartRefused
	}
	if !maybeSent && errors.Is(err, errZoneEvacuated) {
		return placing.StartEvacuated
	}
	var refused *OrderError
	if maybeSent || !errors.As(err, &refused) {
		return placing.StartUnknown
	}
	switch refused.Refusal {
	case RefusedTicket:
		return placing.StartNoTicket
	case RefusedCapacity:
		return placing.StartNoCapacity
	case RefusedUnhealthy:
		return placing.StartBusy
	}
	return placing.StartRefused
}

// stop sends a stop. The engine repeats one that is not answered.
func (l *link) stop(ctx context.Context, order placing.Stop) {
	_, err := l.sendOrder(ctx, stopOrders, nil, func(ctx context.Context) error {
		_, err := l.env.workers.Stop(ctx, l.worker(), StopOrder{Task: order.Task, Run: order.Run, Epoch: l.env.epoch})
		return err
	})
	if err == nil {
		answeredAt := l.env.clock.Now()
		l.env.report(ctx, stopReply{worker: order.Worker, task: order.Task, run: order.Run})
		logstream.Sleep(ctx, l.env.bounds.latest().MaxStopTime+reportMargin)
		l.requestReport(answeredAt)
		return
	}
	l.handleOrderError(ctx, err)
}

// pace sends a pace. The engine repeats one that is not answered.
func (l *link) pace(ctx context.Context, order placing.Pace) {
	_, err := l.sendOrder(ctx, stopOrders, nil, func(ctx context.Context) error {
		return l.env.workers.Pace(ctx, l.worker(), PaceOrder{Task: order.Task, Run: order.Run, Percent: order.Percent, Epoch: l.env.epoch})
	})
	if err == nil {
		l.env.report(ctx, paceReply{pace: order})
		return
	}
	l.handleOrderError(ctx, err)
}

// paceReply signals that a worker accepted a pace.
type paceReply struct {
	pace placing.Pace
}

func (p paceReply) apply(l *leader, _ time.Time) { l.engine.PaceAcknowledged(p.pace) }

// startKey identifies a start at a worker.
type startKey struct {
	task jobs.TaskKey
	run  int
}

// registerStart registers a start in flight and returns the channel that is closed to withdraw it.
func (l *link) registerStart(order placing.Start) <-chan struct{} {
	l.lock.Lock()
	defer l.lock.Unlock()
	withdrawn := make(chan struct{})
	l.pendingStarts[startKey{task: order.Task, run: order.Run}] = withdrawn
	return withdrawn
}

// removeStart removes a start that is no longer in flight.
func (l *link) removeStart(order placing.Start) {
	l.lock.Lock()
	defer l.lock.Unlock()
	delete(l.pendingStarts, startKey{task: order.Task, run: order.Run})
}

func (l *link) withdrawStart(key startKey) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if withdrawn := l.pendingStarts[key]; withdrawn != nil {
		close(withdrawn)
		delete(l.pendingStarts, key)
	}
}

// startReply delivers the answer to a start.
type startReply struct {
	worker string
	task   jobs.TaskKey
	run    int
	result placing.StartResult
	origin placing.AnswerOrigin
}

func (s startReply) apply(l *leader, now time.Time) {
	l.dispatchers.clearStart(s.worker, startKey{task: s.task, run: s.run})
	l.engine.SetStartOrigin(s.worker, s.task, s.run, s.origin)
	l.engine.StartAnswered(s.worker, s.task, s.run, s.result, now)
}

// stopReply signals that a worker accepted a stop.
type stopReply struct {
	worker string
	task   jobs.TaskKey
	run    int
}

func (s stopReply) apply(l *leader, now time.Time) {
	l.engine.StopAcknowledged(s.worker, s.task, s.run, now)
}
