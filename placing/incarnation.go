package placing

import (
	"strconv"
	"strings"
	"time"
)

// A worker may restart under its name. Its next incarnation knows no run of the one before
// and numbers the ends of runs anew, so all state about a worker belongs to one incarnation,
// under an ID that names it. Orders, however, address the worker by name alone: an order sent
// after a restart that this leader has not noticed is carried out by the next incarnation. An
// order that had reached an incarnation is lost with it.

// IncarnationID returns the ID of one incarnation of a worker. It is the name alone where the
// platform gives each incarnation a name of its own and states no start time (bornMS is 0).
func IncarnationID(name string, bornMS int64) string {
	if bornMS == 0 {
		return name
	}
	return name + "@" + strconv.FormatInt(bornMS, 10)
}

// NamesIncarnation reports whether a name has the form of the ID of an incarnation of another worker.
func NamesIncarnation(name string) bool {
	at := strings.LastIndexByte(name, '@')
	_, err := strconv.ParseInt(name[at+1:], 10, 64)
	return at >= 0 && err == nil
}

// answerRetention is how long the answer of an incarnation rules out list entries of
// earlier ones. A worker's own entry follows within seconds; if it still names an earlier
// incarnation after that, the answer is out of date, as when the worker's time of day was
// put back.
const answerRetention = 30 * time.Second

// answer records the newest answer of a worker.
type answer struct {
	bornMS int64 // of the incarnation that answered
	at     time.Time
}

// otherIncarnations returns the nodes of other incarnations of a node's worker.
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

// removeIncarnation removes a node from the incarnations of its worker.
func (e *Engine) removeIncarnation(n *node) {
	name := n.entry.Name
	remaining := e.otherIncarnations(n)
	if len(remaining) == 0 {
		delete(e.incarnations, name)
		return
	}
	e.incarnations[name] = remaining
}

// outdated reports whether an entry is of an incarnation before the one that answered last:
// the list is behind, or the entry is of another writer that states no incarnation.
func (e *Engine) outdated(entry *WorkerEntry) bool {
	return entry.BornMS < e.newestAnswers[entry.Name].bornMS
}

// recordAnswer records the answer of an incarnation, unless a later one has answered.
func (e *Engine) recordAnswer(name string, bornMS int64, now time.Time) {
	if bornMS >= e.newestAnswers[name].bornMS {
		e.newestAnswers[name] = answer{bornMS: bornMS, at: now}
	}
}

// expireAnswers drops answers that are out of date.
func (e *Engine) expireAnswers(now time.Time) {
	for name, newest := range e.newestAnswers {
		if now.Sub(newest.at) > answerRetention {
			delete(e.newestAnswers, name)
		}
	}
}

// ReplaceIncarnation reports that another incarnation answers in place of a worker's known one.
// It began at bornMS; 0 stands for another worker at the address. If it began later, the known
// incarnation has ended, and runs that the later one may yet start are stopped there: next is
// its entry, and mustPoll is set if it must be polled although it is not listed. If it began
// earlier, its answer is late and does not end an incarnation that has reported.
func (e *Engine) ReplaceIncarnation(worker string, bornMS int64, now time.Time) (next WorkerEntry, mustPoll bool) {
	former := e.nodes[worker]
	if former == nil {
		return WorkerEntry{}, false
	}
	defer e.removeNodes(now)
	if bornMS == 0 || former.entry.Name == "" {
		former.listed = false
		if e.isKnownMisdirected(former) {
			return WorkerEntry{}, false
		}
		e.markSilent(former, now)
		e.loseWorker(former, "worker reborn", now)
		return WorkerEntry{}, false
	}
	if bornMS < former.entry.BornMS && former.reported {
		e.markSilent(former, now)
		return WorkerEntry{}, false
	}
	e.recordAnswer(former.entry.Name, bornMS, now)
	entry := WorkerEntry{ID: IncarnationID(former.entry.Name, bornMS), Name: former.entry.Name, BornMS: bornMS, Address: former.entry.Address}
	later := e.ensureNode(entry, now.Add(LeaseExpiry(e.limits.MaxLease)))
	if later.entry.Address == "" {
		later.entry.Address = entry.Address
	}
	e.markSilent(former, now) // what it has not confirmed is known by AckUnanswered
	e.replaceIncarnation(former, later, now)
	e.stopOpenStarts(later, now)
	return later.entry, (len(later.runs) > 0 || len(later.openStops) > 0) && !later.listed
}

// handleAnswer replaces the incarnations of a worker that began before the one that has
// answered. Later ones stay, as the answer may be late.
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
	e.removeNodes(now)
}

// replaceIncarnation ends an incarnation that a later one of the same worker has replaced.
// Runs that were seen in the former are lost with it. A start that may not have been
// carried out yet may be by the later one, which knows of no earlier order: it is stopped
// there before its task may run elsewhere.
func (e *Engine) replaceIncarnation(former, later *node, now time.Time) {
	e.withdrawOrders(former, now)
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
		case run.phase == phasePlanned || run.onlyAtItsNode(now):
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

// moveTo moves a run to a later incarnation of its worker, where it may be or arrive.
func (r *run) moveTo(later *node) {
	r.node.removeRun(r)
	r.node = later
	r.seen = false
	r.startOrigin = OriginUnknown
	later.addRun(r)
}

// stopUncertainRun stops a run at a node where it may be or arrive.
func (e *Engine) stopUncertainRun(run *run, now time.Time) {
	run.phase = phaseUncertain
	run.stopReason = "worker started again"
	run.stopDoneAt = time.Time{}
	e.sendStop(run, now)
}
