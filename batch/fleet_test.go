package batch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"github.com/teaselcleat/teaselcleat/jobs"
	"github.com/teaselcleat/teaselcleat/placing"
	"github.com/teaselcleat/teaselcleat/relay"
	"github.com/teaselcleat/teaselcleat/relay/relaypb"
)

// virtual gives a clock the time of the test.
func virtual(clock *Clock) { clock.steady = func() time.Time { return time.Now().Round(0) } }

// sharedFleet is a holder of the term and instances that may keep workers for it.
type sharedFleet struct {
	t        *testing.T
	ctx      context.Context
	cancel   context.CancelFunc
	workers  *simWorkers
	holder   *leader
	endTerm  context.CancelFunc // of holder
	over     chan struct{}
	others   map[string]*Instance
	lock     sync.Mutex
	ways     map[string][]func() // that cut the streams to an instance
	gone     map[string]bool
	hanging  map[string]bool // to which calls are not answered at all
	sessions sync.WaitGroup
}

var simBounds = Bounds{Lease: simLease, StopWithin: 200 * time.Millisecond}

func newSharedFleet(t *testing.T, workers *simWorkers, instances int) *sharedFleet {
	f := &sharedFleet{t: t, workers: workers, others: map[string]*Instance{}, ways: map[string][]func(){}, gone: map[string]bool{}, hanging: map[string]bool{}, over: make(chan struct{})}
	f.ctx, f.cancel = context.WithCancel(t.Context())
	for number := range instances {
		name := fmt.Sprintf("keeper-%d", number)
		made := standbyOf(t, &tailStore{}, "none")
		made.settings.Name = name
		made.bounds = newBounds(simBounds)
		made.workers = &simPort{fleet: workers, instance: name}
		virtual(made.clock)
		f.others[name] = made
	}
	f.holder = f.newHolder(5)
	return f
}

func (f *sharedFleet) newHolder(epoch int64) *leader {
	ctx, cancel := context.WithCancel(f.ctx)
	f.endTerm = cancel
	holder := leaderOn(ctx, newPartedStore(), epoch)
	i := holder.instance
	i.bounds = newBounds(simBounds)
	i.workers = &simPort{fleet: f.workers, instance: "a"}
	virtual(i.clock)
	holder.engine = placing.New(i.limits(), epoch, i.clock.WallMS)
	holder.writer.confirmedAt = i.clock.Now()
	holder.load(placing.FormerHandedOver)
	holder.engine.Complete()
	holder.drivers = newDrivers(holder)
	holder.drivers.dial = f.dial
	holder.listed = holder.newList()
	holder.entries = f.workers.entries()
	holder.pools["pool"] = true
	f.makeKnown(i, func(string) string { return "" })
	return holder
}

// makeKnown tells the holder of the instances, each in an availability zone.
func (f *sharedFleet) makeKnown(holder *Instance, zone func(name string) string) {
	for name := range f.others {
		record, err := jobs.InstanceRecord(name, jobs.Instance{Address: name, Zone: zone(name), CPUShare: 0.4})
		holder.take(f.t, partOf(record.Subject(), 8), record, err)
	}
}

func (f *sharedFleet) start() {
	holder, over, endTerm := f.holder, f.over, f.endTerm
	go func() {
		defer close(over)
		defer endTerm() // as lead does
		holder.loop(holder.ctx)
	}()
	f.holder.offer(listChanged{})
}

func (f *sharedFleet) stop() {
	f.cancel()
	<-f.over
	f.holder.running.Wait()
	f.sessions.Wait()
}

// dial joins the holder to an instance over two pipes, between which messages wait
// while the instance is frozen.
func (f *sharedFleet) dial(ctx context.Context, address string, keep *relaypb.Keep) (*relay.Stream, error) {
	if f.hangs(address) {
		<-ctx.Done() // nobody is there to refuse
		return nil, relay.ErrNotSent
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.gone[address] || f.workers.isFrozen(address) {
		return nil, relay.ErrNotSent
	}
	near, nearFar := relay.Pipe()
	farNear, far := relay.Pipe()
	end := func() {
		nearFar.Close()
		farNear.Close()
	}
	f.ways[address] = append(f.ways[address], end)
	f.sessions.Go(func() { f.pump(address, nearFar, farNear, func() proto.Message { return &relaypb.Orders{} }, end) })
	f.sessions.Go(func() { f.pump(address, farNear, nearFar, func() proto.Message { return &relaypb.Kept{} }, end) })
	f.sessions.Go(func() {
		f.others[address].Keep(f.ctx, keep, far)
		far.Close()
	})
	return near, nil
}

// pump carries messages one way. While nothing passes they wait, as in the buffers of
// a connection: who sends does not notice.
func (f *sharedFleet) pump(name string, from, to *relay.Stream, empty func() proto.Message, end func()) {
	defer end()
	waiting := make(chan proto.Message, 1000)
	f.sessions.Go(func() {
		defer close(waiting)
		for {
			message := empty()
			if from.Receive(message) != nil {
				return
			}
			waiting <- message
		}
	})
	for message := range waiting {
		time.Sleep(time.Millisecond)
		for f.workers.mute(name) && f.ctx.Err() == nil && !f.isGone(name) {
			time.Sleep(10 * time.Millisecond)
		}
		if to.Send(message) != nil {
			return
		}
	}
}

// hang takes an instance away with the ground that it stood on: calls to it meet nobody.
func (f *sharedFleet) hang(name string) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.hanging[name] = true
}

func (f *sharedFleet) hangs(name string) bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.hanging[name]
}

func (f *sharedFleet) isGone(name string) bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.gone[name]
}

// kill ends an instance: its sessions break and no new one is accepted.
func (f *sharedFleet) kill(name string) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.gone[name] = true
	f.workers.setFrozen(name, true)
	for _, end := range f.ways[name] {
		end()
	}
}

// busiest is the instance that drives most workers.
func (f *sharedFleet) busiest() string {
	best, most := "", 0
	for name, count := range f.workers.drivenBy(3 * time.Second) {
		if count > most {
			best, most = name, count
		}
	}
	return best
}

// submit hands in a job of steps that follow each other, of so many tasks each.
func (f *sharedFleet) submit(id string, tasks ...int) {
	submission := &jobs.Submission{ID: id, Queue: jobs.Queue{Name: "q", Pool: "pool", MaxAttempts: 4, Stretch: 3, TargetMS: 1000}}
	for index, count := range tasks {
		step := jobs.Step{Tasks: count, EstimateMS: f.workers.taskTime.Milliseconds(), Need: jobs.Resources{MilliCores: 1000, MemoryMB: 100, Accelerators: 8}}
		if index > 0 {
			step.After = []int{index - 1}
		}
		submission.Steps = append(submission.Steps, step)
	}
	record, err := jobs.SubmissionRecord(submission)
	f.holder.instance.take(f.t, partOf(id, 8), record, err)
}

func (f *sharedFleet) ended(name string) int64 {
	return metrics.GetOrRegisterCounter("decisions."+name, f.holder.instance.metrics.registry).Count()
}
