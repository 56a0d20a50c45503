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

// simWorker is a worker in memory. Its runs end as done after a fixed time, unless their lease expires
// before.
type simWorker struct {
	bornMS     int64     // of the current incarnation
	clockStart time.Time // zero of its clock
	down       bool      // between two incarnations
	// silentRestart means that the worker resets no connection when it restarts; deliverLate, that the
	// next incarnation carries out the holds that were in flight, without an answer, lateBy after its start.
	silentRestart bool
	deliverLate   bool
	lateBy        time.Duration
	startCount    int       // runs in this incarnation
	startedAt     time.Time // when the newest run began
	epoch         int64     // highest received; orders with a lower one are refused
	until         time.Time
	lapsedAt      time.Time              // when its lease expired last
	endedAt       map[int64]time.Time    // by number of the end
	runs          map[startKey]time.Time // when each began
	highest       map[jobs.TaskKey]int   // highest run stopped or ended
	ends          []placing.EndedTask
	lastEnd       int64
	doubleRuns    int             // starts of a task that was running, or whose end as done was acknowledged then or later
	lapses        int             // runs that ended because their lease expired
	lastCaller    string          // instance that called last
	holds         int             // number of holds
	lastHoldAt    time.Time       // of the newest hold
	callers       map[string]bool // instances that ever called
}

// simWorkers holds the workers of a test, and the faults between them and the instances.
type simWorkers struct {
	lock         sync.Mutex
	taskTime     time.Duration
	workers      map[string]*simWorker
	cut          map[string]bool // "instance worker" or "instance *" or "* worker"
	frozen       map[string]bool // instances that do nothing
	silent       map[string]bool // instances that run, but whose sessions carry no messages
	slow         map[string]time.Duration
	answerDelay  map[string]time.Duration // by instance; answers to it take that long after their orders were carried out
	listingNotes bool                     // an end counts as acknowledged once it is listed, whether or not the answer arrives
	done         map[jobs.TaskKey]int
	acknowledged map[jobs.TaskKey]bool // an end as done was acknowledged
	newestRun    map[jobs.TaskKey]int  // highest run started on any worker
}

func newSimWorkers(count int, taskTime time.Duration) *simWorkers {
	s := &simWorkers{taskTime: taskTime, workers: map[string]*simWorker{}, cut: map[string]bool{}, frozen: map[string]bool{}, silent: map[string]bool{},
		slow: map[string]time.Duration{}, answerDelay: map[string]time.Duration{}, done: map[jobs.TaskKey]int{}, acknowledged: map[jobs.TaskKey]bool{}, newestRun: map[jobs.TaskKey]int{}}
	for number := range count {
		w := &simWorker{callers: map[string]bool{}}
		w.startIncarnation()
		s.workers[fmt.Sprintf("w%04d", number)] = w
	}
	return s
}

// zoneOfWorker returns the availability zone of a worker, one of ten.
func zoneOfWorker(id string) string { return "z" + id[4:] }

func (s *simWorkers) entries() map[string]placing.WorkerEntry {
	s.lock.Lock()
	defer s.lock.Unlock()
	list := map[string]placing.WorkerEntry{}
	for id, worker := range s.workers {
		list[id] = placing.WorkerEntry{ID: placing.IncarnationID(id, worker.bornMS), Name: id, BornMS: worker.bornMS, Address: id, Kind: "a", Rack: "r1-" + id[:4], Pool: "pool", Zone: zoneOfWorker(id),
			Capacity: jobs.Resources{MilliCores: 64000, MemoryMB: 1 << 18, Accelerators: 8}}
	}
	return list
}

// setCut cuts or restores the connection between an instance and a worker; "*" stands for all.
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

// setSilent blocks the messages between an instance and the leader.
func (s *simWorkers) setSilent(instance string, silent bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.silent[instance] = silent
}

// setSlow adds latency to the calls of an instance to workers.
func (s *simWorkers) setSlow(instance string, latency time.Duration) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.slow[instance] = latency
}

// setAnswerDelay delays the answers of workers to an instance, as on a congested link.
func (s *simWorkers) setAnswerDelay(instance string, delay time.Duration) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.answerDelay[instance] = delay
}

// awaitAnswer waits until an answer arrives, or returns an error if the call was given up before.
func (c *simClient) awaitAnswer(ctx context.Context) error {
	c.fleet.lock.Lock()
	delay := c.fleet.answerDelay[c.instance]
	c.fleet.lock.Unlock()
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// isMuted reports whether no messages pass between the leader and an instance.
func (s *simWorkers) isMuted(instance string) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.frozen[instance] || s.silent[instance]
}

func (s *simWorkers) isFrozen(instance string) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.frozen[instance]
}

// dispatchedBy counts workers by the instance that sent the newest hold, if that was within the given
// time.
func (s *simWorkers) dispatchedBy(within time.Duration) map[string]int {
	s.lock.Lock()
	defer s.lock.Unlock()
	count := map[string]int{}
	for _, worker := range s.workers {
		if time.Since(worker.lastHoldAt) <= within {
			count[worker.lastCaller]++
		}
	}
	return count
}

// workersOf returns the workers whose newest hold came from an instance.
func (s *simWorkers) workersOf(instance string) map[string]bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	list := map[string]bool{}
	for id, worker := range s.workers {
		if worker.lastCaller == instance {
			list[id] = true
		}
	}
	return list
}

func (s *simWorkers) sum(value func(*simWorker) int) int {
	s.lock.Lock()
	defer s.lock.Unlock()
	total := 0
	for _, worker := range s.workers {
		worker.advance(s)
		total += value(worker)
	}
	return total
}

// busyWorker returns a worker on which something runs.
func (s *simWorkers) busyWorker() string {
	s.lock.Lock()
	defer s.lock.Unlock()
	for id, worker := range s.workers {
		if len(worker.runs) > 0 {
			return id
		}
	}
	return ""
}

// advance updates a worker to the current time.
func (w *simWorker) advance(s *simWorkers) {
	now := time.Now()
	for key, began := range w.runs {
		over := began.Add(s.taskTime)
		switch {
		case !over.After(now) && !over.After(w.until):
			w.end(key, placing.EndDone)
			w.endedAt[w.lastEnd] = over
			s.done[key.task]++
		case now.After(w.until):
			w.lapses++
			w.end(key, placing.EndLeaseExpired)
		}
	}
}

func (w *simWorker) end(key startKey, how placing.EndKind) {
	delete(w.runs, key)
	w.lastEnd++
	w.endedAt[w.lastEnd] = time.Now()
	w.highest[key.task] = max(w.highest[key.task], key.run)
	w.ends = append(w.ends, placing.EndedTask{Number: w.lastEnd, Task: key.task, Run: key.run, Kind: how})
}

// acknowledgeEnd records that an end was acknowledged.
func (w *simWorker) acknowledgeEnd(s *simWorkers, end placing.EndedTask) {
	if end.Kind != placing.EndDone || !w.endedAt[end.Number].After(w.lapsedAt) {
		return // the platform does not count an end once the lease has expired
	}
	s.acknowledged[end.Task] = true
	if s.newestRun[end.Task] > end.Run {
		w.doubleRuns++
	}
}

// noteListedEnds records listed ends as acknowledged, if that is enough in this test.
func (w *simWorker) noteListedEnds(s *simWorkers) {
	if !s.listingNotes {
		return
	}
	for _, end := range w.ends {
		if end.Kind == placing.EndDone {
			s.acknowledged[end.Task] = true
		}
	}
}

// simClient is the connection of one instance to the workers.
type simClient struct {
	fleet    *simWorkers
	instance string
}

// call waits until a call arrives, and returns the worker with the lock held, or an error without
// the lock if the call does not arrive or is refused.
func (c *simClient) call(ctx context.Context, worker placing.WorkerEntry, epoch int64) (*simWorker, error) {
	s := c.fleet
	s.lock.Lock()
	latency := time.Millisecond + s.slow[c.instance]
	s.lock.Unlock()
	for time.Sleep(latency); ; time.Sleep(5 * time.Millisecond) {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		s.lock.Lock()
		w := s.workers[worker.Name]
		cut := s.cut[c.instance+" "+worker.Name] || s.cut[c.instance+" *"] || s.cut["* "+worker.Name] || s.frozen[c.instance]
		if !cut && !(w.down && w.silentRestart) {
			break
		}
		s.lock.Unlock()
	}
	w := s.workers[worker.Name]
	if w.down {
		s.lock.Unlock()
		return nil, errSimDown
	}
	w.advance(s)
	if epoch < w.epoch {
		s.lock.Unlock()
		return nil, &OrderError{Refusal: RefusedStaleTerm}
	}
	w.epoch = epoch
	w.lastCaller = c.instance
	w.callers[c.instance] = true
	return w, nil
}

// extendLease sets a lease on the worker's clock, shortened to the longest one that it grants.
func (w *simWorker) extendLease(untilMS int64) {
	if w.until.Before(time.Now()) {
		w.lapsedAt = w.until
	}
	until := w.clockStart.Add(time.Duration(untilMS) * time.Millisecond)
	if latest := time.Now().Add(simLease); until.After(latest) {
		until = latest
	}
	if until.After(w.until) {
		w.until = until
	}
}

func (w *simWorker) clockMS() int64 { return time.Since(w.clockStart).Milliseconds() }

func (c *simClient) Start(ctx context.Context, worker placing.WorkerEntry, order StartOrder) (int64, error) {
	w, err := c.call(ctx, worker, order.Epoch)
	if err != nil {
		return 0, err
	}
	defer c.fleet.lock.Unlock()
	key := startKey{task: order.Task, run: order.Run}
	if _, running := w.runs[key]; running {
		return w.clockMS(), nil
	}
	if order.Run <= w.highest[order.Task] {
		return 0, &OrderError{Refusal: RefusedStaleRun}
	}
	for _, other := range c.fleet.workers {
		other.advance(c.fleet)
		for otherKey := range other.runs {
			if otherKey.task == order.Task {
				w.doubleRuns++
			}
		}
	}
	if c.fleet.acknowledged[order.Task] {
		w.doubleRuns++
	}
	c.fleet.newestRun[order.Task] = max(c.fleet.newestRun[order.Task], order.Run)
	w.extendLease(order.LeaseUntilMS)
	w.runs[key] = time.Now()
	w.startCount++
	w.startedAt = time.Now()
	return w.clockMS(), nil
}

func (c *simClient) Stop(ctx context.Context, worker placing.WorkerEntry, order StopOrder) (int64, error) {
	w, err := c.call(ctx, worker, order.Epoch)
	if err != nil {
		return 0, err
	}
	defer c.fleet.lock.Unlock()
	key := startKey{task: order.Task, run: order.Run}
	if _, running := w.runs[key]; running {
		w.end(key, placing.EndStopped)
	}
	w.highest[order.Task] = max(w.highest[order.Task], order.Run)
	return w.clockMS(), nil
}

func (c *simClient) Hold(ctx context.Context, worker placing.WorkerEntry, order HoldOrder) (HoldReport, error) {
	bornMS := int64(0)
	for begin := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		w, err := c.call(ctx, worker, order.Epoch)
		if err != nil {
			return HoldReport{}, err
		}
		if bornMS != 0 && w.bornMS != bornMS {
			silent := w.silentRestart
			if w.deliverLate {
				w.carryOutLate(c.fleet, order)
			}
			c.fleet.lock.Unlock()
			if silent {
				<-ctx.Done()
				return HoldReport{}, ctx.Err()
			}
			return HoldReport{}, errSimDown // the connection ended with the former incarnation
		}
		bornMS = w.bornMS
		w.holds++
		w.lastHoldAt = time.Now()
		w.extendLease(order.LeaseUntilMS)
		w.acknowledgeEnds(c.fleet, order.Ack)
		if len(w.ends) > 0 || time.Since(begin) >= order.Wait {
			report := HoldReport{ClockMS: w.clockMS(), Ended: append([]placing.EndedTask(nil), w.ends...)}
			w.noteListedEnds(c.fleet)
			for key, began := range w.runs {
				percent := int(100 * time.Since(began) / c.fleet.taskTime)
				report.Running = append(report.Running, placing.RunningTask{Task: key.task, Run: key.run, Percent: percent})
			}
			c.fleet.lock.Unlock()
			if err := c.awaitAnswer(ctx); err != nil {
				return HoldReport{}, err
			}
			if bornMS != worker.BornMS {
				return HoldReport{}, &OtherIncarnationError{BornMS: bornMS}
			}
			return report, nil
		}
		c.fleet.lock.Unlock()
	}
}

func (c *simClient) Pace(context.Context, placing.WorkerEntry, PaceOrder) error { return nil }

func (c *simClient) Advise(context.Context, placing.AdviceRequest) (map[string]string, time.Duration, error) {
	return nil, 0, eris.New("no advice")
}

func (c *simClient) Forget(placing.WorkerEntry) {}
