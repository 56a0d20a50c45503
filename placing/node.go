package placing

import (
	"sort"
	"time"

	"github.com/teaselcleat/teaselcleat/jobs"
)

const (
	// clockDrift is how slow a worker's clock may be, so how much longer its
	// leases may last, as the platform states it.
	clockDrift = 0.02
	// lapseSlack is added for the estimate of the worker's clock and for the
	// way of an order.
	lapseSlack = 400 * time.Millisecond
)

// LeaseLapse is the time after which a lease of some length has certainly
// lapsed, counted from the sending of the order that asked for it.
func LeaseLapse(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*(1+clockDrift)) + lapseSlack
}

// node is one life of a worker.
type node struct {
	entry     WorkerEntry
	listed    bool
	reported  bool           // it has answered a hold of this term
	answering bool           // its last hold was answered
	silentAt  time.Time      // since when holds are not answered; zero while they are
	lapseAt   time.Time      // when everything there has lapsed, unless renewed
	runs      []*run         // that may be there
	used      jobs.Resources // what they occupy
	at        int            // number in the view of the present pass
	foreign   int            // runs there that this engine does not know
	seenEnd   int64          // highest number of an end that was handled
	fullUntil time.Time      // it refused for room; its next report tells
	leaveAt   time.Time      // when it may be gone, while leaving
	evacuated bool           // its availability zone gets nothing new
	health    health
	unsteady  time.Time // until then it counts as unsteady, see markUnsteady
	isolating int       // runs there of suspected tasks
	pacing    pacing
	speed     speed
	shares    shares
}

// add enters a run that may be there.
func (n *node) add(run *run) {
	n.shares.known = false
	n.runs = append(n.runs, run)
	n.used = n.used.Add(run.need())
	if run.task.losses.suspected() {
		run.isolated = true
		n.isolating++
	}
}

// need is what the run occupies. Cores that are taken only while others leave
// them do not count.
func (r *run) need() jobs.Resources {
	need := r.task.step.spec.Need
	if r.task.step.spec.Fills {
		need.MilliCores = 0
	}
	return need
}

func (n *node) drop(run *run) {
	for index, candidate := range n.runs {
		if candidate == run {
			n.shares.known = false
			n.runs = append(n.runs[:index], n.runs[index+1:]...)
			n.used = n.used.Sub(run.need())
			run.endIsolation()
			return
		}
	}
}

// onRecord names the worker and its life as the log has them. An instance of a version
// that knows of no lives reads the name alone.
func (n *node) onRecord() (name string, bornMS int64) {
	if n.entry.Name == "" {
		return n.entry.ID, 0
	}
	return n.entry.Name, n.entry.BornMS
}

func (n *node) find(key jobs.TaskKey, number int) *run {
	for _, run := range n.runs {
		if run.number == number && run.task.key == key {
			return run
		}
	}
	return nil
}

// node returns the books of a worker's life, made anew if need be. lapse is when what
// a former holder of the term started there has lapsed.
func (e *Engine) node(entry WorkerEntry, lapse time.Time) *node {
	known := e.nodes[entry.ID]
	if known == nil {
		known = &node{entry: WorkerEntry{ID: entry.ID, Name: entry.Name, BornMS: entry.BornMS}, lapseAt: lapse}
		e.nodes[entry.ID] = known
		if entry.Name != "" {
			e.lives[entry.Name] = append(e.lives[entry.Name], known)
		}
		e.nodeOrder = append(e.nodeOrder, known)
		sort.Slice(e.nodeOrder, func(a, b int) bool { return e.nodeOrder[a].entry.ID < e.nodeOrder[b].entry.ID })
	}
	return known
}

// List takes the workers as the platform lists them now, and returns those that are
// there as far as is known. Those that are not listed any more get nothing new; what runs
// there goes on while they answer.
func (e *Engine) List(entries []WorkerEntry, now time.Time) []WorkerEntry {
	for _, known := range e.nodeOrder {
		known.listed = false
	}
	there := make([]WorkerEntry, 0, len(entries))
	for _, entry := range entries {
		if e.outdated(&entry) {
			continue
		}
		there = append(there, entry)
		known := e.node(entry, now)
		if entry.Leaving && !known.entry.Leaving {
			known.leaveAt = now.Add(entry.Remaining)
			e.plan.Notes = append(e.plan.Notes, Note{Event: "worker_leaving", Worker: entry.ID, Detail: "remaining " + entry.Remaining.String()})
		}
		e.resized(known, entry)
		known.entry = entry
		known.listed = true
		e.markEvacuated(known, now)
		known.unsteady = e.unsteady[entry.Address]
	}
	e.dropNodes()
	e.forgetAnswers(now)
	return there
}

func (e *Engine) dropNodes() {
	kept := e.nodeOrder[:0]
	for _, known := range e.nodeOrder {
		if known.listed || len(known.runs) > 0 {
			kept = append(kept, known)
			continue
		}
		delete(e.nodes, known.entry.ID)
		e.dropLife(known)
		delete(e.ackPending, known)
		delete(e.ackFlight, known)
		e.plan.Forget = append(e.plan.Forget, known.entry.ID)
	}
	clear(e.nodeOrder[len(kept):])
	e.nodeOrder = kept
}

// Unreachable says that a hold was not answered. lapseAt is when everything
// there has lapsed if nothing is renewed.
func (e *Engine) Unreachable(worker string, lapseAt, now time.Time) {
	known := e.nodes[worker]
	if known == nil {
		return
	}
	e.fellSilent(known, now)
	if !lapseAt.IsZero() {
		known.lapseAt = lapseAt
	}
}

// expire gives up what ran on workers whose leases have lapsed.
func (e *Engine) expire(now time.Time) {
	dropped := false
	for _, known := range e.nodeOrder {
		if known.answering || known.lapseAt.IsZero() || now.Before(known.lapseAt) || len(known.runs) == 0 {
			continue
		}
		e.lose(known, "lease lapsed", now)
		dropped = dropped || !known.listed
	}
	if dropped {
		e.dropNodes()
	}
}
