package batch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/teaselcleat/teaselcleat/logstream"
	"github.com/teaselcleat/teaselcleat/relay"
	"github.com/teaselcleat/teaselcleat/relay/relaypb"
)

const (
	// heartbeatInterval is the longest time between two messages from either side of a session.
	heartbeatInterval = 300 * time.Millisecond
	// grantDuration is how long a delegate keeps sending orders to workers without a message from
	// the leader: six heartbeats, so that a slow instance may miss some. It ends well within a
	// lease, so the dispatcher that takes over finds all runs still running.
	grantDuration = 2 * time.Second
	// sendDelay batches answers that arrive together into one message: a message costs about as
	// much CPU as ten more entries in it. Urgent work tolerates a delay of a second.
	sendDelay = 5 * time.Millisecond
	// loadTimeout is how long a new session waits until this instance has loaded the work stream,
	// which contains the term. It is shorter than delegateTimeout, after which the leader gives
	// the session up. loadCheckInterval is the polling interval.
	loadTimeout       = time.Second
	loadCheckInterval = 20 * time.Millisecond
)

// delegation is a session in which this instance is a delegate: it dispatches to some workers on
// behalf of the leader of a term. Messages and logs have the names keep, kept, keeper and keeping.
type delegation struct {
	clock  *Clock
	log    *logrus.Entry
	epoch  int64
	stream *relay.Stream
	links  *linkSet
	outbox *outbox
	cancel context.CancelFunc

	lock        sync.Mutex
	leaderClock int64     // newest received, in nanoseconds of the leader's clock
	receivedAt  time.Time // when leaderClock was received
	grantExpiry time.Time // orders are allowed until then; zero before the first grant
	fenced      bool      // a later term has been observed
	workerCount int
	leaseUntil  int64 // leases may be requested until then, in nanoseconds of this instance's clock; 0 for no limit

	leases leaseState // used by receiveLoop
}

// ServeDelegation serves a session opened by the leader of a term, until the session ends. The
// log calls the leader the holder (of the term).
func (i *Instance) ServeDelegation(ctx context.Context, request *relaypb.Keep, stream *relay.Stream) {
	log := i.log.WithField("epoch", request.Epoch).WithField("holder", request.Holder)
	i.awaitLoaded(ctx)
	if !request.Lives || i.draining.Load() || !i.work.isLoaded() || i.leading.Load() && i.term().Epoch >= request.Epoch {
		log.WithField("lives", request.Lives).Info("keeping_refused")
		_ = stream.Send(&relaypb.Kept{Refused: true}) // the session ends whether or not this is sent
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d := i.newDelegation(ctx, cancel, request.Epoch, stream, log)
	if !i.delegations.add(d, i.term().Epoch) {
		_ = stream.Send(&relaypb.Kept{Fenced: true})
		return
	}
	defer i.delegations.remove(d)
	log.Info("keeping_began")
	d.run(ctx, &i.draining)
	log.Info("keeping_ended")
}

// awaitLoaded waits up to loadTimeout until this instance has loaded the work stream. After a loss
// of all instances, many are called while they are still reading.
func (i *Instance) awaitLoaded(ctx context.Context) {
	for begin := i.clock.Now(); !i.work.isLoaded() && i.clock.Now().Sub(begin) < loadTimeout; {
		if !logstream.Sleep(ctx, loadCheckInterval) {
			return
		}
	}
}

func (i *Instance) newDelegation(ctx context.Context, cancel context.CancelFunc, epoch int64, stream *relay.Stream, log *logrus.Entry) *delegation {
	d := &delegation{clock: i.clock, log: log, epoch: epoch, stream: stream, cancel: cancel, outbox: newOutbox()}
	env := i.newLinkEnv(epoch, log)
	env.report = d.report
	env.hasGrant = d.hasGrant
	env.leasesAllowed = d.leasesAllowed
	d.links = newLinkSet(ctx, env, &sync.WaitGroup{})
	return d
}

// run serves the session until it ends. draining is set once this instance is about to stop.
func (d *delegation) run(ctx context.Context, draining *atomic.Bool) {
	var sending sync.WaitGroup
	sending.Add(1)
	go func() {
		defer sending.Done()
		defer d.cancel()
		defer d.stream.Close()
		d.sendLoop(ctx, draining)
	}()
	d.receiveLoop()
	d.cancel()
	sending.Wait()
	d.links.wg.Wait()
}

// receiveLoop applies the leader's messages until the stream ends.
func (d *delegation) receiveLoop() {
	for {
		orders := &relaypb.Orders{}
		if err := d.stream.Receive(orders); err != nil {
			return
		}
		d.applyOrders(orders)
	}
}

func (d *delegation) applyOrders(orders *relaypb.Orders) {
	d.renewGrant(orders)
	d.updateLeases()
	for _, order := range orders.List {
		d.execute(order)
	}
	d.lock.Lock()
	defer d.lock.Unlock()
	d.workerCount = len(d.links.links)
}

// renewGrant records the times of a message. The grant counts from the time at which this
// instance sent the message that the leader echoes, so the leader knows when it ends.
func (d *delegation) renewGrant(orders *relaypb.Orders) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.leaderClock = orders.Clock
	d.receivedAt = d.clock.Now()
	d.leaseUntil = orders.LeaseUntil
	if orders.Echo > 0 {
		d.grantExpiry = time.Unix(0, orders.Echo).Add(grantDuration)
	}
}

// execute executes an order of the leader. Watch adds a worker and Forget removes it.
func (d *delegation) execute(order *relaypb.Order) {
	switch body := order.Body.(type) {
	case *relaypb.Order_Watch:
		d.links.addWorker(workerFromPB(body.Watch))
	case *relaypb.Order_Release:
		d.links.release(body.Release, func(expiry time.Time) {
			d.outbox.forget(body.Release)
			d.outbox.put(release{worker: body.Release, expiry: expiry})
		})
	case *relaypb.Order_Forget:
		d.links.removeWorker(body.Forget)
		d.outbox.forget(body.Forget)
	case *relaypb.Order_Start:
		d.outbox.recordActivity(body.Start.Run.GetWorker(), d.clock.Now())
		d.links.start(startFromPB(body.Start), body.Start.Open)
	case *relaypb.Order_Stop:
		d.outbox.recordActivity(body.Stop.GetWorker(), d.clock.Now())
		d.links.stop(stopFromPB(body.Stop))
	case *relaypb.Order_Pace:
		d.links.pace(paceFromPB(body.Pace))
	case *relaypb.Order_Ack:
		d.links.acknowledge(body.Ack.Worker, body.Ack.Number)
	}
}

// report queues an answer for the leader.
func (d *delegation) report(_ context.Context, answer event) {
	switch answer := answer.(type) {
	case startReply:
		d.outbox.recordActivity(answer.worker, d.clock.Now())
	case stopReply:
		d.outbox.recordActivity(answer.worker, d.clock.Now())
	case termFencedEvent:
		d.fence()
		return
	}
	d.outbox.put(answer)
}

// fence marks the session as ended by a later term. sendLoop reports that to the leader with the
// next message and ends the session.
func (d *delegation) fence() {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.fenced = true
	d.outbox.wake()
}

func (d *delegation) isFenced() bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.fenced
}

// hasGrant reports whether this instance may send orders now.
func (d *delegation) hasGrant() bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	return !d.fenced && d.clock.Now().Before(d.grantExpiry)
}

// grantExpired reports whether the grant has ended without a renewal by the leader.
func (d *delegation) grantExpired() bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	return !d.grantExpiry.IsZero() && !d.clock.Now().Before(d.grantExpiry)
}

// sendLoop sends queued answers, and a heartbeat if there are none.
func (d *delegation) sendLoop(ctx context.Context, draining *atomic.Bool) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		message := d.nextMessage(draining.Load())
		if err := d.stream.Send(message); err != nil {
			d.log.WithField("error", err.Error()).Info("holder_unreachable")
			return
		}
		if message.Fenced {
			return
		}
		if d.grantExpired() {
			d.log.Warn("holder_silent")
			return
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-d.outbox.signal:
			time.Sleep(sendDelay)
		}
	}
}

// nextMessage returns the next message to the leader. Lives says that this version distinguishes
// incarnations of a worker, Bounded that it limits its requests of leases.
func (d *delegation) nextMessage(draining bool) *relaypb.Kept {
	now := d.clock.Now()
	message := &relaypb.Kept{Clock: now.UnixNano(), Draining: draining, Fenced: d.isFenced(), Lives: true, Bounded: true}
	d.lock.Lock()
	// Added to a time of this instance's clock, the offset gives that of the leader's clock.
	clockOffset := time.Duration(d.leaderClock - d.receivedAt.UnixNano())
	d.lock.Unlock()
	for _, answer := range d.outbox.take() {
		addAnswer(message, answer, now, clockOffset)
	}
	return message
}

// delegations holds the open sessions of an instance.
type delegations struct {
	lock   sync.Mutex
	active map[*delegation]bool
}

// add registers a session, and fences those of former terms, whose orders workers would
// refuse. It returns false if a later term has been observed.
func (ds *delegations) add(d *delegation, epoch int64) bool {
	ds.lock.Lock()
	defer ds.lock.Unlock()
	for other := range ds.active {
		epoch = max(epoch, other.epoch)
	}
	if d.epoch < epoch {
		return false
	}
	for other := range ds.active {
		if other.epoch < d.epoch {
			other.fence()
		}
	}
	if ds.active == nil {
		ds.active = map[*delegation]bool{}
	}
	ds.active[d] = true
	return true
}

// fenceBefore fences the sessions of all terms before epoch.
func (ds *delegations) fenceBefore(epoch int64) {
	ds.lock.Lock()
	defer ds.lock.Unlock()
	for d := range ds.active {
		if d.epoch < epoch {
			d.fence()
		}
	}
}

func (ds *delegations) remove(d *delegation) {
	ds.lock.Lock()
	defer ds.lock.Unlock()
	delete(ds.active, d)
}

// workerCount returns the number of workers that this instance dispatches to for leaders.
func (ds *delegations) workerCount() int {
	ds.lock.Lock()
	defer ds.lock.Unlock()
	total := 0
	for d := range ds.active {
		d.lock.Lock()
		total += d.workerCount
		d.lock.Unlock()
	}
	return total
}
