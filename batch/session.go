package batch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/teaselcleat/teaselcleat/placing"
	"github.com/teaselcleat/teaselcleat/relay"
	"github.com/teaselcleat/teaselcleat/relay/relaypb"
)

const (
	// sessionOpenTimeout bounds the opening of a session; the connection takes milliseconds.
	sessionOpenTimeout = 500 * time.Millisecond
	// delegateTimeout is how long a delegate may be silent before its shard is assigned to others:
	// four heartbeats. A lease of six seconds, last renewed up to two before, has three left then.
	delegateTimeout = 1200 * time.Millisecond
	// maxQueuedOrders bounds the orders queued for one delegate: ten for each worker of a shard. A
	// delegate that receives them more slowly cannot send them to workers in time.
	maxQueuedOrders = 1200
	// maxOrdersPerMessage bounds one message; a start has up to 4 KB.
	maxOrdersPerMessage = 128
)

// session is the leader's connection to a delegate and to the workers delegated to it.
type session struct {
	name   string // of the delegate
	clock  *Clock
	stream *relay.Stream
	emit   func(ctx context.Context, next event)
	// leasesUntil returns until when leases may be requested for the leader.
	leasesUntil func() time.Time
	termCtx     context.Context // ends with the term
	ctx         context.Context
	cancel      context.CancelFunc

	draining   bool // this and workers are used only by the leader's loop
	workers    int  // workers delegated through this session
	maxWorkers int  // workers above this number are moved to other dispatchers

	receivedAt    atomic.Int64 // when the newest message arrived, on this instance's clock
	delegateClock atomic.Int64 // newest clock reading of the delegate; echoed to it

	lock       sync.Mutex
	orders     []*relaypb.Order
	overflowed bool
	signal     chan struct{}
}

func newSession(ctx context.Context, name string, stream *relay.Stream, clock *Clock, leasesUntil func() time.Time, emit func(context.Context, event)) *session {
	s := &session{name: name, clock: clock, stream: stream, emit: emit, leasesUntil: leasesUntil, termCtx: ctx, signal: make(chan struct{}, 1)}
	s.ctx, s.cancel = context.WithCancel(ctx)
	s.receivedAt.Store(clock.Now().UnixNano())
	return s
}

// run receives messages until the session ends, and sends orders concurrently.
func (s *session) run() {
	var sending sync.WaitGroup
	sending.Add(1)
	go func() {
		defer sending.Done()
		defer s.stream.Close()
		s.sendLoop()
	}()
	cause := s.receiveLoop()
	s.cancel()
	sending.Wait()
	s.emit(s.termCtx, streamEnd{session: s, cause: cause})
}

func (s *session) receiveLoop() string {
	for {
		message := &relaypb.Kept{}
		if err := s.stream.Receive(message); err != nil {
			return err.Error()
		}
		if !message.Lives && !message.Refused && !message.Fenced {
			return "an earlier version that does not distinguish incarnations of workers"
		}
		if !message.Bounded && !message.Refused && !message.Fenced {
			return "an earlier version that does not limit its requests of leases"
		}
		now := s.clock.Now()
		s.receivedAt.Store(now.UnixNano())
		first := s.delegateClock.Swap(message.Clock) == 0
		if first && !message.Refused && !message.Fenced {
			s.emit(s.ctx, sessionStart{session: s})
			s.wake()
		}
		s.emit(s.ctx, delegateMessage{session: s, message: message, receivedAt: now})
		if message.Refused {
			return "refused"
		}
	}
}

// sendLoop sends orders as they are queued, and a heartbeat if there are none.
func (s *session) sendLoop() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for s.ctx.Err() == nil {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		case <-s.signal:
		}
		if s.clock.Now().Sub(time.Unix(0, s.receivedAt.Load())) > delegateTimeout || s.hasOverflowed() {
			return
		}
		if s.delegateClock.Load() == 0 {
			continue // the delegate has not accepted yet
		}
		if err := s.stream.Send(s.nextMessage()); err != nil {
			return
		}
	}
}

// nextMessage returns the next message to send. Its grant lasts until grantDuration after the
// delegate sent the message that is echoed, so no longer than grantDuration from now.
func (s *session) nextMessage() *relaypb.Orders {
	s.lock.Lock()
	defer s.lock.Unlock()
	count := min(maxOrdersPerMessage, len(s.orders))
	now, echo := s.clock.Now(), s.delegateClock.Load()
	message := &relaypb.Orders{Clock: now.UnixNano(), Echo: echo, List: s.orders[:count:count]}
	// The delegate's clock has gone on since it sent the message that is echoed.
	message.LeaseUntil = max(1, echo+s.leasesUntil().Sub(now).Nanoseconds())
	s.orders = s.orders[count:]
	if len(s.orders) > 0 {
		s.wake()
	}
	return message
}

func (s *session) wake() {
	select {
	case s.signal <- struct{}{}:
	default:
	}
}

// enqueue queues an order. The session ends if the queue is full.
func (s *session) enqueue(order *relaypb.Order) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if len(s.orders) >= maxQueuedOrders {
		s.overflowed = true
	} else {
		s.orders = append(s.orders, order)
	}
	s.wake()
}

func (s *session) hasOverflowed() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.overflowed
}

func (s *session) addWorker(entry placing.WorkerEntry) {
	s.enqueue(&relaypb.Order{Body: &relaypb.Order_Watch{Watch: &relaypb.Watch{Worker: entry.ID, Address: entry.Address,
		Name: entry.Name, BornMs: entry.BornMS, Zone: entry.Zone}}})
}

func (s *session) release(worker string) {
	s.enqueue(&relaypb.Order{Body: &relaypb.Order_Release{Release: worker}})
}

func (s *session) removeWorker(worker string) {
	s.enqueue(&relaypb.Order{Body: &relaypb.Order_Forget{Forget: worker}})
}

func (s *session) start(order placing.Start, maybeSent bool) {
	s.enqueue(&relaypb.Order{Body: &relaypb.Order_Start{Start: startToPB(order, maybeSent)}})
}

func (s *session) stop(order placing.Stop) {
	s.enqueue(&relaypb.Order{Body: &relaypb.Order_Stop{Stop: runToPB(order.Worker, order.Task, order.Run)}})
}

func (s *session) pace(order placing.Pace) {
	s.enqueue(&relaypb.Order{Body: &relaypb.Order_Pace{Pace: paceToPB(order)}})
}

func (s *session) acknowledge(worker string, number int64) {
	s.enqueue(&relaypb.Order{Body: &relaypb.Order_Ack{Ack: &relaypb.Ack{Worker: worker, Number: number}}})
}

// sessionStart signals that a delegate has accepted a session.
type sessionStart struct {
	session *session
}

func (e sessionStart) apply(l *leader, _ time.Time) { l.dispatchers.addSession(e.session) }

// streamEnd signals that the stream of a session has ended.
type streamEnd struct {
	session *session
	cause   string
}

func (e streamEnd) apply(l *leader, now time.Time) { l.dispatchers.endSession(e.session, e.cause, now) }

// openFailure signals that no session could be opened, because the instance was not reached.
type openFailure struct {
	name  string
	cause string
}

func (f openFailure) apply(l *leader, now time.Time) { l.dispatchers.openFailed(f.name, f.cause, now) }

// delegateMessage is a message of a delegate.
type delegateMessage struct {
	session    *session
	message    *relaypb.Kept
	receivedAt time.Time // when the message arrived
}

func (m delegateMessage) apply(l *leader, now time.Time) {
	if m.message.Fenced {
		l.loseTerm("another instance has observed a later term")
		return
	}
	if !l.dispatchers.isCurrent(m.session) {
		return
	}
	for _, answer := range m.events() {
		if l.dispatchers.dispatchesTo(m.session.name, answer.workerID()) {
			answer.apply(l, now)
		}
	}
	if m.message.Draining {
		l.dispatchers.drainSession(m.session)
	}
}

// events returns the events of a message, answers to orders before reports.
func (m delegateMessage) events() []workerEvent {
	var list []workerEvent
	for _, started := range m.message.Started {
		list = append(list, startReply{worker: started.Run.GetWorker(), task: taskFromPB(started.Run), run: int(started.Run.GetNumber()),
			result: placing.StartResult(started.Result), origin: placing.AnswerOrigin(started.Origin)})
	}
	for _, run := range m.message.Stopped {
		list = append(list, stopReply{worker: run.Worker, task: taskFromPB(run), run: int(run.Number)})
	}
	for _, pace := range m.message.Paced {
		list = append(list, paceReply{pace: paceFromPB(pace)})
	}
	for _, report := range m.message.Reports {
		list = append(list, reportFromPB(report, m.receivedAt))
	}
	for _, silence := range m.message.Silent {
		list = append(list, holdFailure{worker: silence.Worker, expiry: expiryTime(silence.LapseIn, m.receivedAt), ackUnanswered: true})
	}
	for _, change := range m.message.Reborn {
		list = append(list, incarnationChange{worker: change.Worker, bornMS: change.BornMs, ackUnanswered: true})
	}
	for _, silence := range m.message.Released {
		list = append(list, release{worker: silence.Worker, expiry: expiryTime(silence.LapseIn, m.receivedAt)})
	}
	return list
}
