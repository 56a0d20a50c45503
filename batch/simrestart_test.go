package batch

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/teaselcleat/teaselcleat/jobs"
	"github.com/teaselcleat/teaselcleat/placing"
)

// simLease is the longest lease that a worker grants.
const simLease = 6 * time.Second

// errSimDown is returned while nothing listens at a worker's address.
var errSimDown = eris.New("connection refused")

// startIncarnation starts a new incarnation without state of the one before. Its counts and its clock
// start anew.
func (w *simWorker) startIncarnation() {
	now := time.Now()
	w.down = false
	w.bornMS = now.UnixMilli()
	w.clockStart = now
	w.epoch = 0
	w.until = now
	w.lapsedAt = time.Time{}
	w.endedAt = map[int64]time.Time{}
	w.runs = map[startKey]time.Time{}
	w.highest = map[jobs.TaskKey]int{}
	w.ends = nil
	w.lastEnd = 0
	w.startCount = 0
}

// restart ends the incarnation of a worker with all its state. The next one, under the same ID,
// starts after the given time.
func (s *simWorkers) restart(id string, downtime time.Duration) {
	s.lock.Lock()
	defer s.lock.Unlock()
	worker := s.workers[id]
	worker.advance(s)
	worker.down = true
	worker.runs = nil
	worker.ends = nil
	time.AfterFunc(downtime, func() {
		s.lock.Lock()
		defer s.lock.Unlock()
		worker.startIncarnation()
	})
}

// restartAll restarts all workers at once.
func (s *simWorkers) restartAll(downtime time.Duration) {
	for id := range s.entries() {
		s.restart(id, downtime)
	}
}

// refreshWorkerList makes the leader read the current worker list.
func (f *testFleet) refreshWorkerList() {
	entries := f.workers.entries()
	f.leader.workerList.lock.Lock()
	f.leader.entries = entries
	f.leader.workerList.lock.Unlock()
	f.leader.offer(listChangedEvent{})
}

// editWorkerEntry makes the leader read the worker list with one entry changed.
func (f *testFleet) editWorkerEntry(name string, change func(*placing.WorkerEntry)) {
	entries := f.workers.entries()
	entry := entries[name]
	change(&entry)
	entries[name] = entry
	f.leader.workerList.lock.Lock()
	f.leader.entries = entries
	f.leader.workerList.lock.Unlock()
	f.leader.offer(listChangedEvent{})
}

// startCount returns how many runs a worker has had in its current incarnation.
func (s *simWorkers) startCount(name string) int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.workers[name].startCount
}

// carryOutLate carries a hold for a former incarnation out, after lateBy.
func (w *simWorker) carryOutLate(s *simWorkers, order HoldOrder) {
	bornMS := w.bornMS
	time.AfterFunc(w.lateBy, func() {
		s.lock.Lock()
		defer s.lock.Unlock()
		if w.bornMS == bornMS && !w.down {
			w.advance(s)
			w.extendLease(order.LeaseUntilMS)
			w.acknowledgeEnds(s, order.Ack)
		}
	})
}

// acknowledgeEnds drops the ends up to a number.
func (w *simWorker) acknowledgeEnds(s *simWorkers, upTo int64) {
	for len(w.ends) > 0 && w.ends[0].Number <= upTo {
		w.acknowledgeEnd(s, w.ends[0])
		w.ends = w.ends[1:]
	}
}
