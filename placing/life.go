package placing

import (
	"strconv"
	"time"
)

// A worker may start again under its name. The next life holds and knows nothing of the
// one before, and what it counts begins anew: so all that is remembered of a worker is
// remembered of one life, under an ID that names it. An order, however, names the worker
// alone on its way: one that is sent while the next life is there, and not known of yet, is
// carried out by that. One that had reached a life is gone with it.

// LifeID names one life of a worker. Where the platform does not say when lives begin, as
// each has a name of its own, that is the name.
func LifeID(name string, bornMS int64) string {
	if bornMS == 0 {
		return name
	}
	return name + "@" + strconv.FormatInt(bornMS, 10)
}

// answerRetention is how long the word of a life keeps entries of earlier ones off. A worker's
// own entry follows within seconds, so later than that it is its word that is out of date,
// as when its time of day was put back.
const answerRetention = 30 * time.Second

// answer is the newest word of a worker.
type answer struct {
	bornMS int64 // of the life that answered
	at     time.Time
}

// otherIncarnations are the nodes of other lives of a node's worker.
func (e *Engine) otherIncarnations(n *node) []*node {
	if n.entry.Name == "" {
		return nil
	}
	var list []*node
	for _, other := range e.incarnations[n.entry.Name] {
		if other != n {
			list = append(list, other)
		}
	}
	return list
}

// removeIncarnation takes a node that is dropped out of the lives of its worker.
func (e *Engine) removeIncarnation(n *node) {
	name := n.entry.Name
	remaining := e.otherIncarnations(n)
	if len(remaining) == 0 {
		delete(e.incarnations, name)
		return
	}
	e.incarnations[name] = remaining
}

// outdated reports whether an entry is of a life before the one that answered last: the
// list lags behind, or another writer has made the entry and said of no life.
func (e *Engine) outdated(entry *WorkerEntry) bool {
	return entry.BornMS < e.newestAnswers[entry.Name].bornMS
}

// recordAnswer keeps the word of a life, unless a later one has answered.
func (e *Engine) recordAnswer(name string, bornMS int64, now time.Time) {
	if bornMS >= e.newestAnswers[name].bornMS {
		e.newestAnswers[name] = answer{bornMS: bornMS, at: now}
	}
}

// expireAnswers drops words that are out of date.
func (e *Engine) expireAnswers(now time.Time) {
	for name, newest := range e.newestAnswers {
		if now.Sub(newest.at) > answerRetention {
			delete(e.newestAnswers, name)
		}
	}
}

// Reborn says that a worker's life is over, as a later one answers that began at bornMS;
// 0 stands for another worker at its address. What the later life may yet carry out is
// settled there: next is then its entry, to be watched though it may not be listed. Where
// the life that answers began earlier its word has come late, and proves nothing against
// one that has reported.
func (e *Engine) Reborn(worker string, bornMS int64, now time.Time) (next WorkerEntry, mustWatch bool) {
	former := e.nodes[worker]
	if former == nil {
		return WorkerEntry{}, false
	}
	defer e.removeNodes()
	if bornMS == 0 || former.entry.Name == "" {
		e.markSilent(former, now)
		former.listed = false
		e.loseWorker(former, "worker reborn", now)
		return WorkerEntry{}, false
	}
	if bornMS < former.entry.BornMS && former.reported {
		e.markSilent(former, now)
		return WorkerEntry{}, false
	}
	e.recordAnswer(former.entry.Name, bornMS, now)
	entry := WorkerEntry{ID: LifeID(former.entry.Name, bornMS), Name: former.entry.Name, BornMS: bornMS, Address: former.entry.Address}
	later := e.ensureNode(entry, now.Add(LeaseLapse(e.limits.Lease)))
	if later.entry.Address == "" {
		later.entry.Address = entry.Address
	}
	e.replaceIncarnation(former, later, now)
	return later.entry, len(later.runs) > 0 && !later.listed
}

// handleAnswer takes that a life has answered: those of its worker that began before are
// over. A later one is not: the answer may have come late.
func (e *Engine) handleAnswer(n *node, now time.Time) {
	if n.entry.BornMS == 0 {
		return
	}
	name := n.entry.Name
	e.recordAnswer(name, n.entry.BornMS, now)
	if len(e.incarnations[name]) == 1 {
		return
	}
	for _, other := range e.otherIncarnations(n) {
		if other.entry.BornMS < n.entry.BornMS {
			e.replaceIncarnation(other, n, now)
		}
	}
	e.removeNodes()
}

// replaceIncarnation takes that a life is over and a later one of the same worker there. What ran
// for certain in the former is lost with it. A start that may not have been carried out
// yet may be by the later life, which knows of no earlier order: it is stopped there
// before its task may run elsewhere.
func (e *Engine) replaceIncarnation(former, later *node, now time.Time) {
	e.markSilent(former, now)
	former.listed = false
	runs := append([]*run(nil), former.runs...)
	e.logLoss(former, "started again", len(runs), now)
	for _, run := range runs {
		if run.unconfirmed {
			run.workerRestarted = former.entry.BornMS != 0
			run.moveTo(later)
		}
	}
	runs = append([]*run(nil), former.runs...)
	e.countLosses(former, runs, now)
	for _, run := range runs {
		switch {
		case run.phase == phasePlanned || run.seen:
			e.endRun(run, "worker started again", now)
		default:
			run.moveTo(later)
			e.stopUncertainRun(run, now)
		}
	}
	for _, run := range runs {
		e.failIfLossesExceeded(run.task, now)
	}
}

// moveTo enters a run at a later life of its worker, where it may be or come.
func (r *run) moveTo(later *node) {
	r.node.removeRun(r)
	r.node = later
	r.seen = false
	later.addRun(r)
}

// stopUncertainRun has a run stopped at a node where it may be or come.
func (e *Engine) stopUncertainRun(run *run, now time.Time) {
	run.phase = phaseUncertain
	run.stopReason = "worker started again"
	run.stopDoneAt = time.Time{}
	e.sendStop(run, now)
}
