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

// useTestClock makes a clock follow the virtual time of the test: time.Now is virtual in a synctest
// bubble.
func useTestClock(clock *Clock) { clock.readTime = func() time.Time { return time.Now().Round(0) } }

// testFleet is a leader and instances that may be its delegates, whose names begin with "keeper". The
// work stream has 8 parts. An instance can be frozen (it does nothing), muted (frozen, or its
// sessions carry no messages), hanging (calls to it block) and killed (frozen, sessions cut).
type testFleet struct {
	t            *testing.T
	ctx          context.Context
	cancel       context.CancelFunc
	workers      *simWorkers
	leader       *leader
	endTerm      context.CancelFunc // ends the leader's term
	loopDone     chan struct{}
	instances    map[string]*Instance
	lock         sync.Mutex
	closeStreams map[string][]func() // functions that cut the streams to an instance, by name
	killed       map[string]bool
	hanging      map[string]bool // instances to which calls block without an answer
	sessions     sync.WaitGroup
}

var simBounds = Bounds{MaxLease: simLease, MaxStopTime: 200 * time.Millisecond}

// newTestFleet returns a fleet that is not started. Each instance has read one job, which no test
// submits.
func newTestFleet(t *testing.T, workers *simWorkers, instances int) *testFleet {
	f := &testFleet{t: t, workers: workers, instances: map[string]*Instance{}, closeStreams: map[string][]func(){}, killed: map[string]bool{}, hanging: map[string]bool{}, loopDone: make(chan struct{})}
	f.ctx, f.cancel = context.WithCancel(t.Context())
	for number := range instances {
		name := fmt.Sprintf("keeper-%d", number)
		instance := newLoadedInstance(t, &tailStore{}, "none")
		instance.settings.Name = name
		instance.bounds = newBounds(simBounds)
		instance.workers = &simClient{fleet: workers, instance: name}
		useTestClock(instance.clock)
		f.instances[name] = instance
	}
	f.leader = f.newLeader(5)
	return f
}

func (f *testFleet) newLeader(epoch int64) *leader {
	ctx, cancel := context.WithCancel(f.ctx)
	f.endTerm = cancel
	l := newTestLeader(ctx, newPartitionedStore(), epoch)
	i := l.instance
	i.bounds = newBounds(simBounds)
	i.workers = &simClient{fleet: f.workers, instance: "a"}
	useTestClock(i.clock)
	l.engine = placing.New(i.limits(), epoch, i.clock.WallMS)
	l.writer.confirmedAt = i.clock.Now()
	l.loadEngine(placing.FormerLeaderReleased)
	l.engine.MarkJobsComplete()
	l.dispatchers = newDispatchers(l)
	l.dispatchers.dial = f.dial
	l.workerList = l.newWorkerListFollower()
	l.entries = f.workers.entries()
	l.pools["pool"] = true
	f.registerInstances(i, func(string) string { return "" })
	return l
}

// registerInstances registers the instances with the leader, each in an availability zone and with
// the usual CPU share, so of the usual weight for the choice of delegates.
func (f *testFleet) registerInstances(leader *Instance, zone func(name string) string) {
	for name := range f.instances {
		record, err := jobs.InstanceRecord(name, jobs.Instance{Address: name, Zone: zone(name), CPUShare: 0.4})
		leader.applyRecord(f.t, partOf(record.Subject(), 8), record, err)
	}
}

func (f *testFleet) start() {
	l, loopDone, endTerm := f.leader, f.loopDone, f.endTerm
	go func() {
		defer close(loopDone)
		defer endTerm() // Instance.lead does the same when its loop ends
		l.loop(l.ctx)
	}()
	f.leader.offer(listChangedEvent{})
}

func (f *testFleet) stop() {
	f.cancel()
	<-f.loopDone
	f.leader.wg.Wait()
	f.sessions.Wait()
}

// dial connects the leader to an instance over two pipes. It fails if the instance is killed or
// frozen; messages on open sessions wait while the instance is muted.
func (f *testFleet) dial(ctx context.Context, address string, request *relaypb.Keep) (*relay.Stream, error) {
	if f.hangs(address) {
		<-ctx.Done() // the connection is neither accepted nor refused
		return nil, relay.ErrNotSent
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.killed[address] || f.workers.isFrozen(address) {
		return nil, relay.ErrNotSent
	}
	leaderEnd, toLeader := relay.Pipe()
	toDelegate, delegateEnd := relay.Pipe()
	stop := func() {
		toLeader.Close()
		toDelegate.Close()
	}
	f.closeStreams[address] = append(f.closeStreams[address], stop)
	f.sessions.Go(func() { f.pump(address, toLeader, toDelegate, func() proto.Message { return &relaypb.Orders{} }, stop) })
	f.sessions.Go(func() { f.pump(address, toDelegate, toLeader, func() proto.Message { return &relaypb.Kept{} }, stop) })
	f.sessions.Go(func() {
		f.instances[address].ServeDelegation(f.ctx, request, delegateEnd)
		delegateEnd.Close()
	})
	return leaderEnd, nil
}

// pump forwards messages in one direction. While the instance is muted they wait, as in the
// buffers of a connection, unnoticed by the sender.
func (f *testFleet) pump(name string, from, to *relay.Stream, newMessage func() proto.Message, closeBoth func()) {
	defer closeBoth()
	buffered := make(chan proto.Message, 1000)
	f.sessions.Go(func() {
		defer close(buffered)
		for {
			message := newMessage()
			if from.Receive(message) != nil {
				return
			}
			buffered <- message
		}
	})
	for message := range buffered {
		time.Sleep(time.Millisecond)
		for f.workers.isMuted(name) && f.ctx.Err() == nil && !f.isKilled(name) {
			time.Sleep(10 * time.Millisecond)
		}
		if to.Send(message) != nil {
			return
		}
	}
}

// hang makes calls to an instance block without an answer, as after the loss of its machine.
func (f *testFleet) hang(name string) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.hanging[name] = true
}

func (f *testFleet) hangs(name string) bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.hanging[name]
}

func (f *testFleet) isKilled(name string) bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.killed[name]
}

// kill ends an instance: its sessions break and it accepts no new one.
func (f *testFleet) kill(name string) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.killed[name] = true
	f.workers.setFrozen(name, true)
	for _, closeStream := range f.closeStreams[name] {
		closeStream()
	}
}

// busiestInstance returns the instance that dispatches to the most workers.
func (f *testFleet) busiestInstance() string {
	best, highest := "", 0
	for name, count := range f.workers.dispatchedBy(3 * time.Second) {
		if count > highest {
			best, highest = name, count
		}
	}
	return best
}

// submit submits a job of consecutive steps with the given numbers of tasks. It is due after three
// times the length of its critical path (Stretch) plus a second (TargetMS).
func (f *testFleet) submit(id string, tasks ...int) {
	submission := &jobs.Submission{ID: id, Queue: jobs.Queue{Name: "q", Pool: "pool", MaxAttempts: 4, Stretch: 3, TargetMS: 1000}}
	for index, count := range tasks {
		step := jobs.Step{Tasks: count, EstimateMS: f.workers.taskTime.Milliseconds(), Need: jobs.Resources{MilliCores: 1000, MemoryMB: 100, Accelerators: 8}}
		if index > 0 {
			step.After = []int{index - 1}
		}
		submission.Steps = append(submission.Steps, step)
	}
	record, err := jobs.SubmissionRecord(submission)
	f.leader.instance.applyRecord(f.t, partOf(id, 8), record, err)
}

func (f *testFleet) decisionCount(name string) int64 {
	return metrics.GetOrRegisterCounter("decisions."+name, f.leader.instance.metrics.registry).Count()
}
