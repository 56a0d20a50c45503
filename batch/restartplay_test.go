package batch

import (
	"fmt"
	"time"
)

// restartPlay says how workers restart under their IDs and are cut off.
type restartPlay struct {
	crashAfter  time.Duration // from the setup of the links
	downtime    time.Duration
	listDelay   time.Duration // from the crash until the list shows the next incarnations
	cutDelay    time.Duration // from the crash
	cutDuration time.Duration
	deliverLate bool          // holds in flight reach the next incarnation
	lateBy      time.Duration // from its start
	cutAll      bool          // not only the workers that have tasks
}

// entryExpiry is how long after it was cut off a worker is no longer listed.
const entryExpiry = 4500 * time.Millisecond

// play restarts all workers while half as many tasks are submitted, cuts workers off and waits until
// all is over.
func (f *testFleet) play(p restartPlay) {
	f.keepListComplete()
	f.submit("a8", 2*len(f.workers.entries())) // has ends that are acknowledged
	time.Sleep(p.crashAfter)
	crashAt := time.Now()
	f.workers.restartAllSilently(p)
	f.at(crashAt.Add(p.listDelay), func() { f.refreshWorkerList() })
	var cut []string
	f.at(crashAt.Add(p.cutDelay), func() {
		cut = f.workers.cutOff(p.cutAll)
	})
	if p.cutDuration > entryExpiry {
		f.at(crashAt.Add(p.cutDelay+entryExpiry), func() { f.unlistWorkers(cut) })
	}
	f.at(crashAt.Add(p.cutDelay+p.cutDuration), func() {
		for _, name := range cut {
			f.workers.setCut("*", name, false)
		}
		f.refreshWorkerList()
	})
	for number := range 4 {
		time.Sleep(120 * time.Millisecond)
		f.submit(fmt.Sprintf("a%d", number), len(f.workers.entries())/8)
	}
	time.Sleep(90 * time.Second)
}

// at calls a function at a time.
func (f *testFleet) at(when time.Time, call func()) {
	time.AfterFunc(time.Until(when), call)
}

// cutOff cuts off all workers, or those on which something runs, and returns their names.
func (s *simWorkers) cutOff(all bool) []string {
	s.lock.Lock()
	defer s.lock.Unlock()
	var names []string
	for name, worker := range s.workers {
		worker.advance(s)
		if all || len(worker.runs) > 0 {
			names = append(names, name)
			s.cut["* "+name] = true
		}
	}
	return names
}

// restartAllSilently restarts all workers; see the fields of simWorker.
func (s *simWorkers) restartAllSilently(p restartPlay) {
	for name := range s.entries() {
		s.lock.Lock()
		s.workers[name].silentRestart = true
		s.workers[name].deliverLate = p.deliverLate
		s.workers[name].lateBy = p.lateBy
		s.lock.Unlock()
		s.restart(name, p.downtime)
	}
}

// unlistWorkers makes the leader read a worker list without some workers.
func (f *testFleet) unlistWorkers(names []string) {
	entries := f.workers.entries()
	for _, name := range names {
		delete(entries, name)
	}
	f.leader.workerList.lock.Lock()
	f.leader.entries = entries
	f.leader.workerList.lock.Unlock()
	f.leader.offer(listChangedEvent{})
}

// keepListComplete makes the leader treat the worker list as complete, as after reads that were all
// answered.
func (f *testFleet) keepListComplete() {
	list := f.leader.workerList
	list.lock.Lock()
	list.loaded = true
	list.steadySince = time.Now().Add(-time.Minute)
	list.lock.Unlock()
	f.sessions.Go(func() {
		for f.ctx.Err() == nil {
			list.lock.Lock()
			list.contactAt = time.Now()
			list.lock.Unlock()
			time.Sleep(contactTimeout / 4)
		}
	})
}
