package batch

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/teaselcleat/teaselcleat/jobs"
	"github.com/teaselcleat/teaselcleat/placing"
)

// simWorker is a worker in memory: runs end as done after a time, unless their
// lease lapses before.
type simWorker struct {
	bornMS    int64     // of its present life
	start     time.Time // where its clock begins
	down      bool      // between two lives
	starts    int       // of runs in this life
	startedAt time.Time // when the newest run began
	fence     int64
	until     time.Time
	runs      map[startKey]time.Time // when each began
	highest   map[jobs.TaskKey]int   // run stopped or ended
	ended     []placing.EndedTask
	number    int64
	doubles   int // starts of a task that ran, or of which an end as done was taken note of then or later
	lapsed    int
	last      string          // instance that called last
	calls     int             // holds
	heardAt   time.Time       // of the newest hold
	callers   map[string]bool // instances that ever called
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
		made := &simWorker{callers: map[string]bool{}}
		made.begin()
		s.workers[fmt.Sprintf("w%04d", number)] = made
	}
	return s
}

// zoneOf is the availability zone of a worker, one of ten.
func zoneOf(id string) string { return "z" + id[4:] }

func (s *simWorkers) entries() map[string]placing.WorkerEntry {
	s.lock.Lock()
	defer s.lock.Unlock()
	list := map[string]placing.WorkerEntry{}
	for id, worker := range s.workers {
		list[id] = placing.WorkerEntry{ID: placing.LifeID(id, worker.bornMS), Name: id, BornMS: worker.bornMS, Address: id, Kind: "a", Rack: "r1-" + id[:4], Pool: "pool", Zone: zoneOf(id),
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
		cut := s.cut[p.instance+" "+worker.Name] || s.cut[p.instance+" *"] || s.cut["* "+worker.Name] || s.frozen[p.instance]
		if !cut {
			break
		}
		s.lock.Unlock()
	}
	known := s.workers[worker.Name]
	if known.down {
		s.lock.Unlock()
		return nil, errSimDown
	}
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

// extend takes a lease on the worker's clock; a longer one than it grants is shortened.
func (w *simWorker) extend(untilMS int64) {
	until := w.start.Add(time.Duration(untilMS) * time.Millisecond)
	if most := time.Now().Add(simLease); until.After(most) {
		until = most
	}
	if until.After(w.until) {
		w.until = until
	}
}

func (w *simWorker) clockMS() int64 { return time.Since(w.start).Milliseconds() }

func (p *simPort) Start(ctx context.Context, worker placing.WorkerEntry, order StartOrder) (int64, error) {
	known, err := p.reach(ctx, worker, order.Epoch)
	if err != nil {
		return 0, err
	}
	defer p.fleet.lock.Unlock()
	key := startKey{task: order.Task, run: order.Run}
	if _, there := known.runs[key]; there {
		return known.clockMS(), nil
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
	known.starts++
	known.startedAt = time.Now()
	return known.clockMS(), nil
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
	return known.clockMS(), nil
}

func (p *simPort) Hold(ctx context.Context, worker placing.WorkerEntry, order HoldOrder) (HoldReport, error) {
	life := int64(0)
	for begin := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		known, err := p.reach(ctx, worker, order.Epoch)
		if err != nil {
			return HoldReport{}, err
		}
		if life != 0 && known.bornMS != life {
			p.fleet.lock.Unlock()
			return HoldReport{}, errSimDown // the connection ended with the former life
		}
		life = known.bornMS
		known.calls++
		known.heardAt = time.Now()
		known.extend(order.UntilMS)
		for len(known.ended) > 0 && known.ended[0].Number <= order.Ack {
			known.note(p.fleet, known.ended[0])
			known.ended = known.ended[1:]
		}
		if len(known.ended) > 0 || time.Since(begin) >= order.Wait {
			report := HoldReport{ClockMS: known.clockMS(), Ended: append([]placing.EndedTask(nil), known.ended...)}
			for key, began := range known.runs {
				percent := int(100 * time.Since(began) / p.fleet.taskTime)
				report.Running = append(report.Running, placing.RunningTask{Task: key.task, Run: key.run, Percent: percent})
			}
			p.fleet.lock.Unlock()
			if life != worker.BornMS {
				return HoldReport{}, &OtherLifeError{BornMS: life}
			}
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
