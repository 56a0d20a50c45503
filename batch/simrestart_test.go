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

// begin starts a life: it holds and knows nothing of the one before, and its counts and
// its clock start anew.
func (w *simWorker) begin() {
	now := time.Now()
	w.down = false
	w.bornMS = now.UnixMilli()
	w.start = now
	w.fence = 0
	w.until = now
	w.runs = map[startKey]time.Time{}
	w.highest = map[jobs.TaskKey]int{}
	w.ended = nil
	w.number = 0
	w.starts = 0
}

// restart ends a worker's life with all that it holds; the next one, under the same ID,
// begins after some time.
func (s *simWorkers) restart(id string, away time.Duration) {
	s.lock.Lock()
	defer s.lock.Unlock()
	worker := s.workers[id]
	worker.settle(s)
	worker.down = true
	worker.runs = nil
	worker.ended = nil
	time.AfterFunc(away, func() {
		s.lock.Lock()
		defer s.lock.Unlock()
		worker.begin()
	})
}

// restartAll restarts all workers at once.
func (s *simWorkers) restartAll(away time.Duration) {
	for id := range s.entries() {
		s.restart(id, away)
	}
}

// relist has the holder read the list of workers as it is now.
func (f *testFleet) relist() {
	entries := f.workers.entries()
	f.leader.workerList.lock.Lock()
	f.leader.entries = entries
	f.leader.workerList.lock.Unlock()
	f.leader.offer(listChangedEvent{})
}

// edit has the holder read the list with one entry changed.
func (f *testFleet) edit(name string, change func(*placing.WorkerEntry)) {
	entries := f.workers.entries()
	entry := entries[name]
	change(&entry)
	entries[name] = entry
	f.leader.workerList.lock.Lock()
	f.leader.entries = entries
	f.leader.workerList.lock.Unlock()
	f.leader.offer(listChangedEvent{})
}

// started is how many runs a worker has had in its present life.
func (s *simWorkers) started(name string) int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.workers[name].starts
}
