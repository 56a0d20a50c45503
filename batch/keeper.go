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
	// keepBeat is how often each side of a session says something at least.
	keepBeat = 300 * time.Millisecond
	// keepGrant is how long an instance goes on driving workers for a holder that it
	// does not hear of: six beats, of which a slow instance may miss some. It ends
	// well within a lease, so that who takes over finds all still running.
	keepGrant = 2 * time.Second
	// keepDelay lets answers that come together go together: a message costs about
	// as much processor as ten more lines in it, and urgent work has a second to
	// spare.
	keepDelay = 5 * time.Millisecond
	// loadPatience is how long a session waits for this instance to have read the log,
	// within the silence that the holder bears; loadLook is how often it looks.
	loadPatience = time.Second
	loadLook     = 20 * time.Millisecond
)

// keeping is a session in which this instance drives the links to some workers
// for the holder of a term.
type keeping struct {
	clock  *Clock
	log    *logrus.Entry
	epoch  int64
	stream *relay.Stream
	links  *linkSet
	out    *keptBox
	end    context.CancelFunc

	lock        sync.Mutex
	holderClock int64     // newest that came, in nanoseconds of the holder's clock
	heardAt     time.Time // when it came
	grantEnd    time.Time // until then orders may be given; zero before the first grant
	fenced      bool      // a later term is known
	workers     int
}

// Keep serves a session of the holder of a term, until it ends.
func (i *Instance) Keep(ctx context.Context, opened *relaypb.Keep, stream *relay.Stream) {
	log := i.log.WithField("epoch", opened.Epoch).WithField("holder", opened.Holder)
	i.awaitLoaded(ctx)
	if !opened.Lives || i.draining.Load() || !i.work.isLoaded() || i.leading.Load() && i.term().Epoch >= opened.Epoch {
		log.WithField("lives", opened.Lives).Info("keeping_refused")
		_ = stream.Send(&relaypb.Kept{Refused: true}) // the session ends either way
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	k := i.newKeeping(ctx, cancel, opened.Epoch, stream, log)
	if !i.keepings.add(k, i.term().Epoch) {
		_ = stream.Send(&relaypb.Kept{Fenced: true})
		return
	}
	defer i.keepings.remove(k)
	log.Info("keeping_began")
	k.run(ctx, &i.draining)
	log.Info("keeping_ended")
}

// awaitLoaded waits until this instance knows of the terms, for some time: after a loss of
// all instances many are called while they are still reading.
func (i *Instance) awaitLoaded(ctx context.Context) {
	for begin := i.clock.Now(); !i.work.isLoaded() && i.clock.Now().Sub(begin) < loadPatience; {
		if !logstream.Sleep(ctx, loadLook) {
			return
		}
	}
}

func (i *Instance) newKeeping(ctx context.Context, end context.CancelFunc, epoch int64, stream *relay.Stream, log *logrus.Entry) *keeping {
	k := &keeping{clock: i.clock, log: log, epoch: epoch, stream: stream, end: end, out: newKeptBox()}
	host := i.newLinkHost(epoch, log)
	host.report = k.report
	host.granted = k.granted
	k.links = newLinkSet(ctx, host, &sync.WaitGroup{})
	return k
}

// run serves the session; draining tells when this instance is about to stop.
func (k *keeping) run(ctx context.Context, draining *atomic.Bool) {
	var sending sync.WaitGroup
	sending.Add(1)
	go func() {
		defer sending.Done()
		defer k.end()
		defer k.stream.Close()
		k.send(ctx, draining)
	}()
	k.receive()
	k.end()
	sending.Wait()
	k.links.running.Wait()
}

// receive takes what the holder sends until the stream ends.
func (k *keeping) receive() {
	for {
		orders := &relaypb.Orders{}
		if err := k.stream.Receive(orders); err != nil {
			return
		}
		k.take(orders)
	}
}

func (k *keeping) take(orders *relaypb.Orders) {
	k.hear(orders)
	for _, order := range orders.List {
		k.carryOut(order)
	}
	k.lock.Lock()
	defer k.lock.Unlock()
	k.workers = len(k.links.links)
}

// hear takes the times of a message. The grant counts from when this instance
// sent what the holder has answered, so that the holder knows its end.
func (k *keeping) hear(orders *relaypb.Orders) {
	k.lock.Lock()
	defer k.lock.Unlock()
	k.holderClock = orders.Clock
	k.heardAt = k.clock.Now()
	if orders.Echo > 0 {
		k.grantEnd = time.Unix(0, orders.Echo).Add(keepGrant)
	}
}

func (k *keeping) carryOut(order *relaypb.Order) {
	switch body := order.Body.(type) {
	case *relaypb.Order_Watch:
		k.links.watch(watchedWorker(body.Watch))
	case *relaypb.Order_Release:
		k.links.release(body.Release, func(lapseAt time.Time) {
			k.out.forget(body.Release)
			k.out.put(released{worker: body.Release, lapseAt: lapseAt})
		})
	case *relaypb.Order_Forget:
		k.links.forget(body.Forget)
		k.out.forget(body.Forget)
	case *relaypb.Order_Start:
		k.out.ordered(body.Start.Run.GetWorker(), k.clock.Now())
		k.links.start(startOf(body.Start), body.Start.Open)
	case *relaypb.Order_Stop:
		k.out.ordered(body.Stop.GetWorker(), k.clock.Now())
		k.links.stop(stopOf(body.Stop))
	case *relaypb.Order_Pace:
		k.links.pace(paceOf(body.Pace))
	case *relaypb.Order_Ack:
		k.links.acknowledge(body.Ack.Worker, body.Ack.Number)
	}
}

// report passes an answer on to the holder.
func (k *keeping) report(_ context.Context, answer event) {
	switch answer := answer.(type) {
	case startAnswered:
		k.out.ordered(answer.worker, k.clock.Now())
	case stopAnswered:
		k.out.ordered(answer.worker, k.clock.Now())
	case fencedOff:
		k.fence()
		return
	}
	k.out.put(answer)
}

// fence ends the session, as a later term is known.
func (k *keeping) fence() {
	k.lock.Lock()
	defer k.lock.Unlock()
	k.fenced = true
	k.out.rouse()
}

func (k *keeping) isFenced() bool {
	k.lock.Lock()
	defer k.lock.Unlock()
	return k.fenced
}

// granted reports whether orders may be given now.
func (k *keeping) granted() bool {
	k.lock.Lock()
	defer k.lock.Unlock()
	return !k.fenced && k.clock.Now().Before(k.grantEnd)
}

// abandoned reports whether the holder has been silent for too long.
func (k *keeping) abandoned() bool {
	k.lock.Lock()
	defer k.lock.Unlock()
	return !k.grantEnd.IsZero() && !k.clock.Now().Before(k.grantEnd)
}

// send sends what there is to tell, and a beat if there is nothing.
func (k *keeping) send(ctx context.Context, draining *atomic.Bool) {
	beat := time.NewTicker(keepBeat)
	defer beat.Stop()
	for ctx.Err() == nil {
		message := k.message(draining.Load())
		if err := k.stream.Send(message); err != nil {
			k.log.WithField("error", err.Error()).Info("holder_unreachable")
			return
		}
		if message.Fenced {
			return
		}
		if k.abandoned() {
			k.log.Warn("holder_silent")
			return
		}
		select {
		case <-ctx.Done():
		case <-beat.C:
		case <-k.out.signal:
			time.Sleep(keepDelay)
		}
	}
}

// message is what is to be told now.
func (k *keeping) message(draining bool) *relaypb.Kept {
	now := k.clock.Now()
	message := &relaypb.Kept{Clock: now.UnixNano(), Draining: draining, Fenced: k.isFenced(), Lives: true}
	k.lock.Lock()
	shift := time.Duration(k.holderClock - k.heardAt.UnixNano())
	k.lock.Unlock()
	for _, answer := range k.out.take() {
		addAnswer(message, answer, now, shift)
	}
	return message
}

// keepings are the sessions of an instance.
type keepings struct {
	lock sync.Mutex
	open map[*keeping]bool
}

// add enters a session unless a later term is known, and ends those of former
// terms: their orders would be refused.
func (s *keepings) add(made *keeping, term int64) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	for other := range s.open {
		term = max(term, other.epoch)
	}
	if made.epoch < term {
		return false
	}
	for other := range s.open {
		if other.epoch < made.epoch {
			other.fence()
		}
	}
	if s.open == nil {
		s.open = map[*keeping]bool{}
	}
	s.open[made] = true
	return true
}

// supersede ends the sessions of terms before one.
func (s *keepings) supersede(epoch int64) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for open := range s.open {
		if open.epoch < epoch {
			open.fence()
		}
	}
}

func (s *keepings) remove(ended *keeping) {
	s.lock.Lock()
	defer s.lock.Unlock()
	delete(s.open, ended)
}

// count is how many workers are driven for others.
func (s *keepings) count() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	total := 0
	for open := range s.open {
		open.lock.Lock()
		total += open.workers
		open.lock.Unlock()
	}
	return total
}
