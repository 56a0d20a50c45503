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
	// orderTimeout is how long a start or a stop may go unanswered before it is
	// sent again; a worker answers within some milliseconds. Where answers take
	// longer, as this instance is slow, it is four times as long as they take.
	orderTimeout = 300 * time.Millisecond
	// orderSlots is how many orders are under way at once: more would only wait in a
	// slow instance, until they count as unanswered and come again.
	orderSlots = 64
	// orderTries is how often one is sent. A copy that arrives late is harmless:
	// the worker answers it like the first, or refuses it once the run is over. Nine
	// tenths of a second in all leave a gang time to become whole, for which its
	// members wait three seconds.
	orderTries = 3
	// lookSlack is added to the time that a stop takes before its end is asked for.
	lookSlack = 100 * time.Millisecond
)

// errWithdrawn ends an order that is not wanted any more before it is sent.
var errWithdrawn = eris.New("the order is not wanted any more")

// errEvacuated ends a start that is not sent as its worker's zone is evacuated, or may be.
var errEvacuated = eris.New("the availability zone is evacuated, or not known not to be")

// startRun sends a start and brings its answer to the placing duty. Once
// withdrawn is closed no further try is sent: on a slow instance one may wait
// for a slot until its job was cancelled long ago. open says that a try may be
// under way from elsewhere.
func (k *link) startRun(ctx context.Context, order placing.Start, open bool, withdrawn <-chan struct{}) {
	defer k.started(order)
	sent := k.host.clock.Now()
	opened, err := k.send(ctx, withdrawn, func(ctx context.Context) error {
		if !k.host.mayStartAt(k.worker().Zone) {
			return errEvacuated
		}
		_, err := k.host.workers.Start(ctx, k.worker(), StartOrder{
			Task:       order.Task,
			Run:        order.Run,
			Spec:       order.Spec,
			Checkpoint: order.Checkpoint,
			Ticket:     order.Ticket,
			UntilMS:    k.leaseForStart(k.host.clock.Now()),
			Epoch:      k.host.epoch,
		})
		return err
	})
	if ctx.Err() != nil {
		return // who drives the worker from now on sends it again
	}
	result := startResult(open || opened, err)
	if result == placing.StartUnknown {
		k.mayLapseFrom(k.host.clock.Now())
	}
	k.host.startTime.Update(k.host.clock.Now().Sub(sent).Microseconds())
	if err != nil {
		k.host.log.WithField("job", order.Task.Job).WithField("task", order.Task.String()).WithField("run", order.Run).
			WithField("worker", order.Worker).WithField("error", err.Error()).Info("start_failed")
	}
	k.tellRefusal(ctx, err)
	k.host.report(ctx, startAnswered{worker: order.Worker, task: order.Task, run: order.Run, result: result})
}

// send gives an order until it is answered or the tries are used up. open says
// that a try went unanswered before: it may take effect later, whatever the
// answer to another one was.
func (k *link) send(ctx context.Context, withdrawn <-chan struct{}, order func(context.Context) error) (open bool, err error) {
	for range orderTries {
		err = k.try(ctx, withdrawn, order)
		if err == nil || wasAnswered(err) || notSent(err) || ctx.Err() != nil {
			return open, err
		}
		open = true
	}
	return open, err
}

// notSent reports whether an order was kept back here, and is to be.
func notSent(err error) bool {
	return errors.Is(err, errWithdrawn) || errors.Is(err, errNotGranted) || errors.Is(err, errEvacuated)
}

// wasAnswered reports whether an order's failure is an answer, so that it is not sent again.
func wasAnswered(err error) bool {
	var refused *OrderError
	var other *OtherLifeError
	return errors.As(err, &refused) || errors.As(err, &other)
}

// tellRefusal passes on answers that say more than that an order was not taken.
func (k *link) tellRefusal(ctx context.Context, err error) {
	var refused *OrderError
	if errors.As(err, &refused) {
		k.refused(ctx, refused)
		return
	}
	k.outlived(ctx, err)
}

func (k *link) try(ctx context.Context, withdrawn <-chan struct{}, order func(context.Context) error) error {
	select {
	case k.host.orders <- struct{}{}:
	case <-withdrawn:
		return errWithdrawn
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-k.host.orders }()
	select {
	case <-withdrawn:
		return errWithdrawn
	default:
	}
	if !k.host.mayOrder() {
		return errNotGranted
	}
	ctx, cancel := context.WithTimeout(ctx, k.host.patience.usualLimit())
	defer cancel()
	sent := k.host.clock.Now()
	err := order(ctx)
	if err == nil {
		k.host.patience.answered(k.host.clock.Now().Sub(sent))
	}
	return err
}

// startResult is what is known of a start. A refusal says nothing of a try that
// went unanswered before.
func startResult(open bool, err error) placing.StartResult {
	if err == nil {
		return placing.StartAccepted
	}
	if !open && errors.Is(err, errWithdrawn) {
		return placing.StartRefused
	}
	if !open && errors.Is(err, errEvacuated) {
		return placing.StartEvacuated
	}
	var refused *OrderError
	if open || !errors.As(err, &refused) {
		return placing.StartUnknown
	}
	switch refused.Refusal {
	case RefusedTicket:
		return placing.StartNoTicket
	case RefusedRoom:
		return placing.StartNoRoom
	case RefusedBusy:
		return placing.StartBusy
	}
	return placing.StartRefused
}

// stop sends a stop; one that is not answered comes again from the engine.
func (k *link) stop(ctx context.Context, order placing.Stop) {
	_, err := k.send(ctx, nil, func(ctx context.Context) error {
		_, err := k.host.workers.Stop(ctx, k.worker(), StopOrder{Task: order.Task, Run: order.Run, Epoch: k.host.epoch})
		return err
	})
	if err == nil {
		answered := k.host.clock.Now()
		k.host.report(ctx, stopAnswered{worker: order.Worker, task: order.Task, run: order.Run})
		logstream.Sleep(ctx, k.host.bounds.newest().StopWithin+lookSlack)
		k.look(answered)
		return
	}
	k.tellRefusal(ctx, err)
}

// pace sends a pace; one that is not answered comes again from the engine.
func (k *link) pace(ctx context.Context, order placing.Pace) {
	_, err := k.send(ctx, nil, func(ctx context.Context) error {
		return k.host.workers.Pace(ctx, k.worker(), PaceOrder{Task: order.Task, Run: order.Run, Percent: order.Percent, Epoch: k.host.epoch})
	})
	if err == nil {
		k.host.report(ctx, paceAnswered{pace: order})
		return
	}
	k.tellRefusal(ctx, err)
}

// paceAnswered says that a worker took a pace.
type paceAnswered struct {
	pace placing.Pace
}

func (p paceAnswered) apply(l *leader, _ time.Time) { l.engine.PaceAnswered(p.pace) }

// startKey names a start at a worker.
type startKey struct {
	task jobs.TaskKey
	run  int
}

// starting notes a start under way; the channel is closed to withdraw it.
func (k *link) starting(order placing.Start) <-chan struct{} {
	k.lock.Lock()
	defer k.lock.Unlock()
	withdrawn := make(chan struct{})
	k.waiting[startKey{task: order.Task, run: order.Run}] = withdrawn
	return withdrawn
}

// started says that a start is not under way any more.
func (k *link) started(order placing.Start) {
	k.lock.Lock()
	defer k.lock.Unlock()
	delete(k.waiting, startKey{task: order.Task, run: order.Run})
}

func (k *link) withdraw(key startKey) {
	k.lock.Lock()
	defer k.lock.Unlock()
	if withdrawn := k.waiting[key]; withdrawn != nil {
		close(withdrawn)
		delete(k.waiting, key)
	}
}

// startAnswered brings the answer to a start.
type startAnswered struct {
	worker string
	task   jobs.TaskKey
	run    int
	result placing.StartResult
}

func (s startAnswered) apply(l *leader, now time.Time) {
	l.drivers.answered(s.worker, startKey{task: s.task, run: s.run})
	l.engine.StartAnswered(s.worker, s.task, s.run, s.result, now)
}

// stopAnswered says that a worker took a stop.
type stopAnswered struct {
	worker string
	task   jobs.TaskKey
	run    int
}

func (s stopAnswered) apply(l *leader, now time.Time) {
	l.engine.StopAnswered(s.worker, s.task, s.run, now)
}
