package batch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/teaselcleat/teaselcleat/jobs"
	"github.com/teaselcleat/teaselcleat/placing"
	"github.com/teaselcleat/teaselcleat/relay"
	"github.com/teaselcleat/teaselcleat/relay/relaypb"
)

// simWorker is a worker in memory: runs end as done after a time, unless their
// lease lapses before.
type simWorker struct {
	fence   int64
	until   time.Time
	runs    map[startKey]time.Time // when each began
	highest map[jobs.TaskKey]int   // run stopped or ended
	ended   []placing.EndedTask
	number  int64
	doubles int // starts of a task that ran, or of which an end as done was taken note of then or later
	lapsed  int
	last    string          // instance that called last
	calls   int             // holds
	heardAt time.Time       // of the newest hold
	callers map[string]bool // instances that ever called
}

// simWorkers are the workers of a test, with what keeps instances from them.
type simWorkers struct {
	lock     sync.Mutex
	taskTime time.Duration
	workers  map[string]*simWorker
	cut      map[string]bool // "instance worker" or "instance *" or "* worker"
	frozen   map[string]bool // instances that do nothing
	silent   map[string]bool // instances whose sessions carry nothing, though they go on
	slow     map[string]time.Duration
	done     map[jobs.TaskKey]int
	noted    map[jobs.TaskKey]bool // an end as done was acknowledged
	newest   map[jobs.TaskKey]int  // highest run started anywhere
}

func newSimWorkers(count int, taskTime time.Duration) *simWorkers {
	s := &simWorkers{taskTime: taskTime, workers: map[string]*simWorker{}, cut: map[string]bool{}, frozen: map[string]bool{}, silent: map[string]bool{},
		slow: map[string]time.Duration{}, done: map[jobs.TaskKey]int{}, noted: map[jobs.TaskKey]bool{}, newest: map[jobs.TaskKey]int{}}
	for number := range count {
		s.workers[fmt.Sprintf("w%04d", number)] = &simWorker{runs: map[startKey]time.Time{}, highest: map[jobs.TaskKey]int{}, callers: map[string]bool{}}
	}
	return s
}

func (s *simWorkers) entries() map[string]placing.WorkerEntry {
	list := map[string]placing.WorkerEntry{}
	for id := range s.workers {
		list[id] = placing.WorkerEntry{ID: id, Address: id, Kind: "a", Rack: "r1-" + id[:4], Pool: "pool", Zone: "z" + id[4:],
			Capacity: jobs.Resources{MilliCores: 64000, MemoryMB: 1 << 18, Accelerators: 8}}
	}
	return list
}

// setCut cuts or mends the way between an instance and a worker; "*" stands for all.
func (s *simWorkers) setCut(instance, worker string, cut bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.cut[instance+" "+worker] = cut
}

func (s *simWorkers) setFrozen(instance string, frozen bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.frozen[instance] = frozen
}

// setSilent holds up what an instance and the holder say to each other.
func (s *simWorkers) setSilent(instance string, silent bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.silent[instance] = silent
}

// setSlow makes the way from an instance to the workers take longer.
func (s *simWorkers) setSlow(instance string, way time.Duration) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.slow[instance] = way
}

// mute reports whether nothing passes between the holder and an instance.
func (s *simWorkers) mute(instance string) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.frozen[instance] || s.silent[instance]
}

func (s *simWorkers) isFrozen(instance string) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.frozen[instance]
}

// drivenBy counts the workers by the instance that held them last, of those that
// were held within a time.
func (s *simWorkers) drivenBy(within time.Duration) map[string]int {
	s.lock.Lock()
	defer s.lock.Unlock()
	count := map[string]int{}
	for _, worker := range s.workers {
		if time.Since(worker.heardAt) <= within {
			count[worker.last]++
		}
	}
	return count
}

// drivenWorkers are the workers that an instance held last.
func (s *simWorkers) drivenWorkers(instance string) map[string]bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	list := map[string]bool{}
	for id, worker := range s.workers {
		if worker.last == instance {
			list[id] = true
		}
	}
	return list
}

func (s *simWorkers) sum(of func(*simWorker) int) int {
	s.lock.Lock()
	defer s.lock.Unlock()
	total := 0
	for _, worker := range s.workers {
		worker.settle(s)
		total += of(worker)
	}
	return total
}

// busy is a worker on which something runs.
func (s *simWorkers) busy() string {
	s.lock.Lock()
	defer s.lock.Unlock()
	for id, worker := range s.workers {
		if len(worker.runs) > 0 {
			return id
		}
	}
	return ""
}

// settle brings a worker up to now.
func (w *simWorker) settle(s *simWorkers) {
	now := time.Now()
	for key, began := range w.runs {
		over := began.Add(s.taskTime)
		switch {
		case !over.After(now) && !over.After(w.until):
			w.end(key, placing.EndDone)
			s.done[key.task]++
		case now.After(w.until):
			w.lapsed++
			w.end(key, placing.EndLapsed)
		}
	}
}

func (w *simWorker) end(key startKey, how placing.How) {
	delete(w.runs, key)
	w.number++
	w.highest[key.task] = max(w.highest[key.task], key.run)
	w.ended = append(w.ended, placing.EndedTask{Number: w.number, Task: key.task, Run: key.run, How: how})
}

// note takes that an end was acknowledged.
func (w *simWorker) note(s *simWorkers, end placing.EndedTask) {
	if end.How != placing.EndDone {
		return
	}
	s.noted[end.Task] = true
	if s.newest[end.Task] > end.Run {
		w.doubles++
	}
}

// simPort is how one instance calls the workers.
type simPort struct {
	fleet    *simWorkers
	instance string
}

// reach waits until the call arrives, and returns the worker with the lock held;
// nil if it does not arrive.
func (p *simPort) reach(ctx context.Context, worker placing.WorkerEntry, epoch int64) (*simWorker, error) {
	s := p.fleet
	s.lock.Lock()
	way := time.Millisecond + s.slow[p.instance]
	s.lock.Unlock()
	for time.Sleep(way); ; time.Sleep(5 * time.Millisecond) {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		s.lock.Lock()
		cut := s.cut[p.instance+" "+worker.ID] || s.cut[p.instance+" *"] || s.cut["* "+worker.ID] || s.frozen[p.instance]
		if !cut {
			break
		}
		s.lock.Unlock()
	}
	known := s.workers[worker.ID]
	known.settle(s)
	if epoch < known.fence {
		s.lock.Unlock()
		return nil, &OrderError{Refusal: RefusedFence}
	}
	known.fence = epoch
	known.last = p.instance
	known.callers[p.instance] = true
	return known, nil
}

func (w *simWorker) extend(untilMS int64) {
	if until := time.UnixMilli(untilMS); until.After(w.until) {
		w.until = until
	}
}

func (p *simPort) Start(ctx context.Context, worker placing.WorkerEntry, order StartOrder) (int64, error) {
	known, err := p.reach(ctx, worker, order.Epoch)
	if err != nil {
		return 0, err
	}
	defer p.fleet.lock.Unlock()
	key := startKey{task: order.Task, run: order.Run}
	if _, there := known.runs[key]; there {
		return time.Now().UnixMilli(), nil
	}
	if order.Run <= known.highest[order.Task] {
		return 0, &OrderError{Refusal: RefusedOld}
	}
	for _, other := range p.fleet.workers {
		other.settle(p.fleet)
		for running := range other.runs {
			if running.task == order.Task {
				known.doubles++
			}
		}
	}
	if p.fleet.noted[order.Task] {
		known.doubles++
	}
	p.fleet.newest[order.Task] = max(p.fleet.newest[order.Task], order.Run)
	known.extend(order.UntilMS)
	known.runs[key] = time.Now()
	return time.Now().UnixMilli(), nil
}

func (p *simPort) Stop(ctx context.Context, worker placing.WorkerEntry, order StopOrder) (int64, error) {
	known, err := p.reach(ctx, worker, order.Epoch)
	if err != nil {
		return 0, err
	}
	defer p.fleet.lock.Unlock()
	key := startKey{task: order.Task, run: order.Run}
	if _, there := known.runs[key]; there {
		known.end(key, placing.EndStopped)
	}
	known.highest[order.Task] = max(known.highest[order.Task], order.Run)
	return time.Now().UnixMilli(), nil
}

func (p *simPort) Hold(ctx context.Context, worker placing.WorkerEntry, order HoldOrder) (HoldReport, error) {
	for begin := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		known, err := p.reach(ctx, worker, order.Epoch)
		if err != nil {
			return HoldReport{}, err
		}
		known.calls++
		known.heardAt = time.Now()
		known.extend(order.UntilMS)
		for len(known.ended) > 0 && known.ended[0].Number <= order.Ack {
			known.note(p.fleet, known.ended[0])
			known.ended = known.ended[1:]
		}
		if len(known.ended) > 0 || time.Since(begin) >= order.Wait {
			report := HoldReport{ClockMS: time.Now().UnixMilli(), Ended: append([]placing.EndedTask(nil), known.ended...)}
			for key, began := range known.runs {
				percent := int(100 * time.Since(began) / p.fleet.taskTime)
				report.Running = append(report.Running, placing.RunningTask{Task: key.task, Run: key.run, Percent: percent})
			}
			p.fleet.lock.Unlock()
			return report, nil
		}
		p.fleet.lock.Unlock()
	}
}

func (p *simPort) Pace(context.Context, placing.WorkerEntry, PaceOrder) error { return nil }

func (p *simPort) Advise(context.Context, placing.Ask) (map[string]string, time.Duration, error) {
	return nil, 0, eris.New("no advice")
}

func (p *simPort) Forget(placing.WorkerEntry) {}

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
	sessions sync.WaitGroup
}

func newSharedFleet(t *testing.T, workers *simWorkers, instances int) *sharedFleet {
	f := &sharedFleet{t: t, workers: workers, others: map[string]*Instance{}, ways: map[string][]func(){}, gone: map[string]bool{}, over: make(chan struct{})}
	f.ctx, f.cancel = context.WithCancel(t.Context())
	for number := range instances {
		name := fmt.Sprintf("keeper-%d", number)
		made := standbyOf(t, &tailStore{}, "none")
		made.settings.Name = name
		made.settings.Lease = 6 * time.Second
		made.settings.StopWithin = 200 * time.Millisecond
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
	i.settings.Lease = 6 * time.Second
	i.settings.StopWithin = 200 * time.Millisecond
	i.workers = &simPort{fleet: f.workers, instance: "a"}
	virtual(i.clock)
	holder.engine = placing.New(i.limits(), epoch, i.clock.WallMS)
	holder.writer.confirmedAt = i.clock.Now()
	holder.load(true)
	holder.engine.Complete()
	holder.drivers = newDrivers(holder)
	holder.drivers.dial = f.dial
	holder.listed = holder.newList()
	holder.entries = f.workers.entries()
	holder.pools["pool"] = true
	for name := range f.others {
		record, err := jobs.InstanceRecord(name, jobs.Instance{Address: name, CPUShare: 0.4})
		i.take(f.t, partOf(record.Subject(), 8), record, err)
	}
	return holder
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
func (f *sharedFleet) dial(_ context.Context, address string, keep *relaypb.Keep) (*relay.Stream, error) {
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

func (f *sharedFleet) submit(id string, tasks int) {
	record, err := jobs.SubmissionRecord(&jobs.Submission{ID: id, Queue: jobs.Queue{Name: "q", Pool: "pool", MaxAttempts: 4, Stretch: 3, TargetMS: 1000},
		Steps: []jobs.Step{{Tasks: tasks, EstimateMS: f.workers.taskTime.Milliseconds(), Need: jobs.Resources{MilliCores: 1000, MemoryMB: 100, Accelerators: 8}}}})
	f.holder.instance.take(f.t, partOf(id, 8), record, err)
}

func (f *sharedFleet) ended(name string) int64 {
	return metrics.GetOrRegisterCounter("decisions."+name, f.holder.instance.metrics.registry).Count()
}

// An entry that another writer made takes the worker of that key out of use, and an
// entry of a pool that nobody named is no worker; the others hold.
func TestEntriesOfAnotherWriterNameNoWorker(t *testing.T) {
	is := is.New(t)
	l := leaderOn(t.Context(), newPartedStore(), 3)
	l.instance.decoder = entryDecoder{}
	l.pools["pool"] = true
	l.applyList(Batch{Records: []jobs.Record{{Key: "w1", Value: []byte("pool")}, {Key: "w2", Value: []byte("pool")}, {Key: "w3", Value: []byte("other")}}})
	l.applyList(Batch{Records: []jobs.Record{{Key: "w2", Value: []byte("?")}, {Key: "w4", Value: []byte("?")}, {Key: "", Value: []byte("?")}}})
	is.Equal(len(l.entries), 2)
	l.listed = l.newList()
	l.instance.workers = &simPort{fleet: newSimWorkers(0, time.Second), instance: "a"}
	listChanged{}.apply(l, l.clock.Now())
	is.Equal(len(l.drivers.workers), 1)
	is.True(l.drivers.workers["w1"] != nil)
	is.Equal(metrics.GetOrRegisterCounter("workers.entries_unreadable", l.instance.metrics.registry).Count(), int64(3))
}

// entryDecoder reads the pool of a worker as its entry's value; "?" is unreadable.
type entryDecoder struct{ Decoder }

func (entryDecoder) Worker(record jobs.Record) (placing.WorkerEntry, bool, error) {
	if string(record.Value) == "?" {
		return placing.WorkerEntry{}, false, eris.New("unreadable")
	}
	return placing.WorkerEntry{ID: record.Key, Pool: string(record.Value)}, false, nil
}
