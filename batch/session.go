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
	// openTimeout bounds the opening of a session; the way there takes milliseconds.
	openTimeout = 500 * time.Millisecond
	// keeperSilence is how long an instance that keeps workers may say nothing
	// before its share is given to others: four beats. A lease of six seconds, last
	// renewed up to two before, has three left then.
	keeperSilence = 1200 * time.Millisecond
	// sessionOrders bound what waits to be sent to one instance: ten orders for each
	// worker of a share. One that takes them so slowly cannot give them in time.
	sessionOrders = 1200
	// messageOrders bound one message; a start has up to 4 KB.
	messageOrders = 128
)

// session is how the holder of the term reaches the workers that another
// instance keeps.
type session struct {
	name   string // of that instance
	clock  *Clock
	stream *relay.Stream
	events func(ctx context.Context, next event)
	term   context.Context // ends with the term
	ctx    context.Context
	cancel context.CancelFunc

	draining bool // used by the holder's loop alone, as is workers
	workers  int  // kept there
	most     int  // above which some are given to others

	heardAt atomic.Int64 // when the newest message came, on this instance's clock
	echo    atomic.Int64 // its clock

	lock   sync.Mutex
	orders []*relaypb.Order
	full   bool
	signal chan struct{}
}

func newSession(ctx context.Context, name string, stream *relay.Stream, clock *Clock, events func(context.Context, event)) *session {
	s := &session{name: name, clock: clock, stream: stream, events: events, term: ctx, signal: make(chan struct{}, 1)}
	s.ctx, s.cancel = context.WithCancel(ctx)
	s.heardAt.Store(clock.Now().UnixNano())
	return s
}

// run receives until the session ends, and sends beside.
func (s *session) run() {
	var sending sync.WaitGroup
	sending.Add(1)
	go func() {
		defer sending.Done()
		defer s.stream.Close()
		s.send()
	}()
	reason := s.receive()
	s.cancel()
	sending.Wait()
	s.events(s.term, sessionEnded{session: s, reason: reason})
}

func (s *session) receive() string {
	for {
		message := &relaypb.Kept{}
		if err := s.stream.Receive(message); err != nil {
			return err.Error()
		}
		if !message.Lives && !message.Refused && !message.Fenced {
			return "an earlier version, which does not tell workers' lives apart"
		}
		now := s.clock.Now()
		s.heardAt.Store(now.UnixNano())
		first := s.echo.Swap(message.Clock) == 0
		if first && !message.Refused && !message.Fenced {
			s.events(s.ctx, sessionOpened{session: s})
			s.rouse()
		}
		s.events(s.ctx, kept{session: s, message: message, at: now})
		if message.Refused {
			return "refused"
		}
	}
}

// send sends orders as they come, and a beat if there are none.
func (s *session) send() {
	beat := time.NewTicker(keepBeat)
	defer beat.Stop()
	for s.ctx.Err() == nil {
		select {
		case <-s.ctx.Done():
			return
		case <-beat.C:
		case <-s.signal:
		}
		if s.clock.Now().Sub(time.Unix(0, s.heardAt.Load())) > keeperSilence || s.overfull() {
			return
		}
		if s.echo.Load() == 0 {
			continue // it has not accepted yet
		}
		if err := s.stream.Send(s.message()); err != nil {
			return
		}
	}
}

// message is what is to be sent now. Its grant lasts until keepGrant after the
// other instance sent what is echoed, so no longer than keepGrant from now on.
func (s *session) message() *relaypb.Orders {
	s.lock.Lock()
	defer s.lock.Unlock()
	count := min(messageOrders, len(s.orders))
	message := &relaypb.Orders{Clock: s.clock.Now().UnixNano(), Echo: s.echo.Load(), List: s.orders[:count:count]}
	s.orders = s.orders[count:]
	if len(s.orders) > 0 {
		s.rouse()
	}
	return message
}

func (s *session) rouse() {
	select {
	case s.signal <- struct{}{}:
	default:
	}
}

// put takes an order. If too many wait, the session ends.
func (s *session) put(order *relaypb.Order) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if len(s.orders) >= sessionOrders {
		s.full = true
	} else {
		s.orders = append(s.orders, order)
	}
	s.rouse()
}

func (s *session) overfull() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.full
}

func (s *session) watch(entry placing.WorkerEntry) {
	s.put(&relaypb.Order{Body: &relaypb.Order_Watch{Watch: &relaypb.Watch{Worker: entry.ID, Address: entry.Address,
		Name: entry.Name, BornMs: entry.BornMS, Zone: entry.Zone}}})
}

func (s *session) release(worker string) {
	s.put(&relaypb.Order{Body: &relaypb.Order_Release{Release: worker}})
}

func (s *session) forget(worker string) {
	s.put(&relaypb.Order{Body: &relaypb.Order_Forget{Forget: worker}})
}

func (s *session) start(order placing.Start, open bool) {
	s.put(&relaypb.Order{Body: &relaypb.Order_Start{Start: startPB(order, open)}})
}

func (s *session) stop(order placing.Stop) {
	s.put(&relaypb.Order{Body: &relaypb.Order_Stop{Stop: runPB(order.Worker, order.Task, order.Run)}})
}

func (s *session) pace(order placing.Pace) {
	s.put(&relaypb.Order{Body: &relaypb.Order_Pace{Pace: pacePB(order)}})
}

func (s *session) acknowledge(worker string, number int64) {
	s.put(&relaypb.Order{Body: &relaypb.Order_Ack{Ack: &relaypb.Ack{Worker: worker, Number: number}}})
}

// sessionOpened says that an instance has accepted to keep workers.
type sessionOpened struct {
	session *session
}

func (o sessionOpened) apply(l *leader, _ time.Time) { l.drivers.opened(o.session) }

// sessionEnded says that nothing comes from an instance any more.
type sessionEnded struct {
	session *session
	reason  string
}

func (e sessionEnded) apply(l *leader, now time.Time) { l.drivers.ended(e.session, e.reason, now) }

// sessionFailed says that an instance was not reached.
type sessionFailed struct {
	name   string
	reason string
}

func (f sessionFailed) apply(l *leader, now time.Time) { l.drivers.failed(f.name, f.reason, now) }

// kept is what an instance that keeps workers has told.
type kept struct {
	session *session
	message *relaypb.Kept
	at      time.Time // when it came
}

func (k kept) apply(l *leader, now time.Time) {
	if k.message.Fenced {
		l.depose("another instance knows a later term")
		return
	}
	if !l.drivers.current(k.session) {
		return
	}
	for _, answer := range k.answers() {
		if l.drivers.drives(k.session.name, answer.about()) {
			answer.apply(l, now)
		}
	}
	if k.message.Draining {
		l.drivers.drain(k.session)
	}
}

// answers are the events of a message, answers to orders before reports.
func (k kept) answers() []workerEvent {
	var list []workerEvent
	for _, started := range k.message.Started {
		list = append(list, startAnswered{worker: started.Run.GetWorker(), task: taskOf(started.Run), run: int(started.Run.GetNumber()),
			result: placing.StartResult(started.Result)})
	}
	for _, run := range k.message.Stopped {
		list = append(list, stopAnswered{worker: run.Worker, task: taskOf(run), run: int(run.Number)})
	}
	for _, pace := range k.message.Paced {
		list = append(list, paceAnswered{pace: paceOf(pace)})
	}
	for _, report := range k.message.Reports {
		list = append(list, reportOf(report, k.at))
	}
	for _, silence := range k.message.Silent {
		list = append(list, unreachable{worker: silence.Worker, lapseAt: lapseAfter(silence.LapseIn, k.at)})
	}
	for _, life := range k.message.Reborn {
		list = append(list, reborn{worker: life.Worker, bornMS: life.BornMs})
	}
	for _, silence := range k.message.Released {
		list = append(list, released{worker: silence.Worker, lapseAt: lapseAfter(silence.LapseIn, k.at)})
	}
	return list
}
