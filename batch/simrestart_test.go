package batch

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/teaselcleat/teaselcleat/jobs"
	"github.com/teaselcleat/teaselcleat/placing"
)

// simLease is the longest lease that a worker grants.
const simLease = 6 * time.Second

// errSimDown says that nothing answers at a worker's address.
var errSimDown = eris.New("connection refused")

// startIncarnation starts a life: it holds and knows nothing of the one before, and its counts and
// its clock start anew.
func (w *simWorker) startIncarnation() {
	now := time.Now()
	w.down = false
	w.bornMS = now.UnixMilli()
	w.clockStart = now
	w.fence = 0
	w.until = now
	w.runs = map[startKey]time.Time{}
	w.highest = map[jobs.TaskKey]int{}
	w.ends = nil
	w.lastEnd = 0
	w.startCount = 0
}

// restart ends a worker's life with all that it holds; the next one, under the same ID,
// begins after some time.
func (s *simWorkers) restart(id string, away time.Duration) {
	s.lock.Lock()
	defer s.lock.Unlock()
	worker := s.workers[id]
	worker.advance(s)
	worker.down = true
	worker.runs = nil
	worker.ends = nil
	time.AfterFunc(away, func() {
		s.lock.Lock()
		defer s.lock.Unlock()
		worker.startIncarnation()
	})
}

// restartAll restarts all workers at once.
func (s *simWorkers) restartAll(away time.Duration) {
	for id := range s.entries() {
		s.restart(id, away)
	}
}

// refreshWorkerList has the holder read the list of workers as it is now.
func (f *testFleet) refreshWorkerList() {
	entries := f.workers.entries()
	f.leader.workerList.lock.Lock()
	f.leader.entries = entries
	f.leader.workerList.lock.Unlock()
	f.leader.offer(listChangedEvent{})
}

// editWorkerEntry has the holder read the list with one entry changed.
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

// startCount is how many runs a worker has had in its present life.
func (s *simWorkers) startCount(name string) int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.workers[name].startCount
}
