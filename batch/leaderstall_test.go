package batch

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"github.com/teaselcleat/teaselcleat/jobs"
	"github.com/teaselcleat/teaselcleat/placing"
)

// failoverTimeout bounds how long an instance that cannot place tasks may hold the term while
// another instance can.
const failoverTimeout = 30 * time.Second

var errConnectionReset = eris.New("connection reset")

// sharedLog is the work stream and the worker list shared by all instances.
type sharedLog struct {
	fleet  *simWorkers
	lock   sync.Mutex
	parts  map[int][]jobs.Record
	fences map[int]Fence // newest fence of each part
}

// logClient is one instance's access to the shared log.
type logClient struct {
	*sharedLog
	lock        sync.Mutex
	stuck       bool          // appends of progress are neither answered nor carried out
	readDelay   time.Duration // duration of a read of the work stream
	pageSize    int           // maximum number of callers' records in an answer to a read; 0 for no limit
	resetParts  map[int]bool  // reads of these parts of the work stream end with a reset connection
	newestDelay time.Duration // duration of a read of all progress
}

func (c *logClient) setStuck(stuck bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.stuck = stuck
}

func (c *logClient) isStuck() bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.stuck
}

// setReset makes reads of a part fail, or succeed again.
func (c *logClient) setReset(part int, reset bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.resetParts == nil {
		c.resetParts = map[int]bool{}
	}
	c.resetParts[part] = reset
}

func (c *logClient) delay() time.Duration {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.readDelay
}

// setDelay sets how long reads of the work stream take.
func (c *logClient) setDelay(delay time.Duration) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.readDelay = delay
}

func (c *logClient) isReset(stream Stream, part int) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	return stream == StreamWork && c.resetParts[part]
}

func (c *logClient) Append(ctx context.Context, part int, records []jobs.Record, fence *Fence) error {
	if part == progressPart(8) && c.isStuck() {
		<-ctx.Done()
		return ErrResultUnknown
	}
	time.Sleep(4 * time.Millisecond)
	l := c.sharedLog
	l.lock.Lock()
	defer l.lock.Unlock()
	if fence != nil {
		newest := l.fences[part]
		if fence.Epoch == newest.Epoch && fence.Sequence == newest.Sequence {
			return nil
		}
		if fence.Epoch < newest.Epoch || fence.Epoch == newest.Epoch && fence.Sequence != newest.Sequence+1 {
			return ErrFenced
		}
		l.fences[part] = *fence
	}
	l.parts[part] = append(l.parts[part], records...)
	return nil
}

func (c *logClient) Read(ctx context.Context, stream Stream, part int, from int64, wait time.Duration) (Batch, error) {
	if stream == StreamWork {
		time.Sleep(c.delay())
	}
	for until := time.Now().Add(wait); ; time.Sleep(5 * time.Millisecond) {
		if c.isReset(stream, part) {
			return Batch{}, errConnectionReset
		}
		batch := c.readFrom(stream, part, from)
		batch.End = batch.NextOffset
		if c.pageSize > 0 && part != statePart && part != progressPart(8) && len(batch.Records) > c.pageSize {
			batch.Records, batch.Offsets = batch.Records[:c.pageSize], batch.Offsets[:c.pageSize]
			batch.NextOffset = from + int64(c.pageSize)
		}
		if len(batch.Records) > 0 || !time.Now().Before(until) || ctx.Err() != nil {
			time.Sleep(time.Millisecond)
			return batch, ctx.Err()
		}
	}
}

func (c *logClient) ReadNewest(ctx context.Context, stream Stream, part int) (Batch, error) {
	if c.isReset(stream, part) {
		return Batch{}, errConnectionReset
	}
	if stream == StreamWork && part == progressPart(8) {
		select {
		case <-ctx.Done():
			return Batch{}, ctx.Err()
		case <-time.After(c.newestDelay):
		}
	}
	time.Sleep(time.Millisecond)
	return c.readFrom(stream, part, 0), ctx.Err()
}

func (l *sharedLog) readFrom(stream Stream, part int, from int64) Batch {
	l.lock.Lock()
	defer l.lock.Unlock()
	batch := Batch{NextOffset: from}
	if stream == StreamWorkers && from == 0 {
		for id := range l.fleet.entries() {
			batch.Records = append(batch.Records, jobs.Record{Key: id})
			batch.Offsets = append(batch.Offsets, batch.NextOffset)
			batch.NextOffset++
		}
	}
	if stream != StreamWork {
		return batch
	}
	for offset := from; offset < int64(len(l.parts[part])); offset++ {
		batch.Records = append(batch.Records, l.parts[part][offset])
		batch.Offsets = append(batch.Offsets, offset)
		batch.NextOffset = offset + 1
	}
	return batch
}

// fleetDecoder decodes the entries of simulated workers.
type fleetDecoder struct {
	Decoder
	fleet *simWorkers
}

func (d fleetDecoder) Worker(record jobs.Record) (placing.WorkerEntry, bool, error) {
	entry, found := d.fleet.entries()[record.Key]
	return entry, !found, nil
}

// instancePair is two instances that share a log and elect a leader.
type instancePair struct {
	fleet     *simWorkers
	clients   map[string]*logClient
	instances map[string]*Instance
}

// withInstancePair runs a test with the instances a and b.
func withInstancePair(t *testing.T, prepare func(pair *instancePair), test func(pair *instancePair, is *is.I)) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newSimWorkers(4, time.Second)
		log := &sharedLog{fleet: fleet, parts: map[int][]jobs.Record{}, fences: map[int]Fence{}}
		pair := &instancePair{fleet: fleet, clients: map[string]*logClient{}, instances: map[string]*Instance{}}
		for _, name := range []string{"a", "b"} {
			pair.clients[name] = &logClient{sharedLog: log}
			record, err := jobs.InstanceRecord(name, jobs.Instance{Address: "127.0.0.1:1", CPUShare: 1})
			if err != nil {
				t.Fatal(err)
			}
			part := partOf(record.Subject(), 8)
			log.parts[part] = append(log.parts[part], record)
		}
		prepare(pair)
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		defer running.Wait()
		defer cancel()
		for _, name := range []string{"a", "b"} {
			instance := New(Settings{Name: name, StoreParts: 8, CPUShare: 1}, pair.clients[name], fleetDecoder{fleet: fleet}, &simClient{fleet: fleet, instance: name}, metrics.NewRegistry(), discardLog())
			instance.bounds = newBounds(simBounds)
			useTestClock(instance.clock)
			instance.config.Store(&Config{Version: 1, Pools: []string{"pool"}})
			pair.instances[name] = instance
			for _, f := range append([]*follower{instance.operator, instance.work, instance.progress}, instance.calls...) {
				running.Go(func() { f.run(ctx) })
			}
			running.Go(func() { instance.leaderDuty(ctx) })
		}
		time.Sleep(5 * time.Second)
		test(pair, is.New(t))
	})
}

// leader returns the name of the instance that leads and has completed prepare; empty if there is
// none.
func (p *instancePair) leader() string {
	for name, instance := range p.instances {
		if instance.leading.Load() && instance.metrics.leading.Value() == 1 {
			return name
		}
	}
	return ""
}

// leaderAndStandby returns the names of the instance that leads and of the other one.
func (p *instancePair) leaderAndStandby(is *is.I) (leader, standby string) {
	leader = p.leader()
	is.True(leader != "")
	if leader == "a" {
		return "a", "b"
	}
	return "b", "a"
}

func (p *instancePair) becomesLeader(name string, within time.Duration) bool {
	for begin := time.Now(); time.Since(begin) < within; time.Sleep(50 * time.Millisecond) {
		if p.leader() == name {
			return true
		}
	}
	return false
}

// submit submits a job of one task through an instance.
func (p *instancePair) submit(instance, id string, is *is.I) {
	submission := &jobs.Submission{ID: id, Queue: jobs.Queue{Name: "q", Pool: "pool", MaxAttempts: 4, Stretch: 3, TargetMS: 1000}}
	submission.Steps = []jobs.Step{{Tasks: 1, EstimateMS: 1000, Need: jobs.Resources{MilliCores: 1000, MemoryMB: 100, Accelerators: 8}}}
	record, err := jobs.SubmissionRecord(submission)
	is.NoErr(err)
	is.NoErr(p.clients[instance].Append(context.Background(), partOf(id, 8), []jobs.Record{record}, nil))
}

// startsWithin reports whether the task of a job is started within a time.
func (p *instancePair) startsWithin(id string, within time.Duration) bool {
	for begin := time.Now(); time.Since(begin) < within; time.Sleep(50 * time.Millisecond) {
		p.fleet.lock.Lock()
		started := p.fleet.newestRun[jobs.TaskKey{Job: id}] > 0
		p.fleet.lock.Unlock()
		if started {
			return true
		}
	}
	return false
}

// An instance that wins the term and cannot write progress must not keep the term from an instance
// that can.
func TestTermMovesWhenItsLeaderCannotPrepare(t *testing.T) {
	withInstancePair(t, func(pair *instancePair) { pair.clients["a"].setStuck(true) }, func(pair *instancePair, is *is.I) {
		is.True(pair.becomesLeader("b", failoverTimeout))
		pair.submit("a", "a1", is)
		is.True(pair.startsWithin("a1", maxTaskWait))
	})
}

// A leader that cannot write progress, but everything else, renews its term and starts nothing, so
// another instance must take over.
func TestJobStartsAfterLeaderLosesProgressWrites(t *testing.T) {
	withInstancePair(t, func(*instancePair) {}, func(pair *instancePair, is *is.I) {
		leader, standby := pair.leaderAndStandby(is)
		pair.submit(standby, "a1", is)
		is.True(pair.startsWithin("a1", maxTaskWait))
		pair.clients[leader].setStuck(true)
		pair.submit(standby, "a2", is)
		is.True(pair.startsWithin("a2", failoverTimeout))
	})
}

// Reading all progress takes longer than prepareTimeout, the time in which a new leader has to
// begin.
func TestTermIsTakenOverDespiteSlowProgressRead(t *testing.T) {
	prepare := func(pair *instancePair) {
		for _, client := range pair.clients {
			client.newestDelay = 2 * prepareTimeout
		}
	}
	withInstancePair(t, prepare, func(pair *instancePair, is *is.I) {
		for begin := time.Now(); pair.leader() == ""; time.Sleep(50 * time.Millisecond) {
			is.True(time.Since(begin) < failoverTimeout)
		}
	})
}
