package scheduler

import (
	"github.com/teaselcleat/teaselcleat/structs"
	"github.com/teaselcleat/teaselcleat/targets"
)

// unschedulableTimeout is how long a job waits for an inventory that fits its shape. The shape
// fitted when the job was accepted; within this time a worker that restarts or is replaced is
// listed again.
const unschedulableTimeout = 10 * Minute

// schedulability is whether the listed workers can hold the shape of a group.
type schedulability struct {
	checkedVersion int64  // inventoryVersion of the last check; 0 before the first
	detail         string // reason why not; empty if they can
	since          Time   // start of the time in which they cannot
}

// endUnschedulable ends the jobs whose shape has fitted no inventory for unschedulableTimeout.
func (s *Scheduler) endUnschedulable(now Time) []Action {
	var expired []*job
	for _, g := range s.queue.groupList {
		if len(g.jobs) == 0 {
			continue
		}
		s.checkShape(g, now)
		if g.detail != "" && now-g.since >= unschedulableTimeout {
			expired = append(expired, g.jobs...)
		}
	}
	var actions []Action
	for _, j := range expired {
		end := End{Job: j.spec.ID, Outcome: structs.OutcomeNotRun, Reason: structs.ReasonImpossibleShape, Detail: j.group.detail}
		if j.runCount > 0 || j.spec.Pinned {
			end.Outcome = structs.OutcomeUnknown
		}
		s.removeJob(j)
		actions = append(actions, end)
	}
	return actions
}

// checkShape updates the schedulability of a group if the inventory changed since the last check.
func (s *Scheduler) checkShape(g *group, now Time) {
	if g.checkedVersion == s.inventoryVersion {
		return
	}
	g.checkedVersion = s.inventoryVersion
	fitted := g.detail == ""
	g.detail = s.unschedulableReason(g.jobs[0].spec)
	if fitted {
		g.since = now
	}
}

// unschedulableReason returns the reason why the listed workers, when empty, cannot run a job,
// or an empty string if they can.
func (s *Scheduler) unschedulableReason(spec JobSpec) string {
	if !s.cluster.fitsWhenEmptyOn(spec.Shape, func(n *node) bool { return n.up }) {
		return "no inventory of this cell holds " + spec.Shape.String()
	}
	if !spec.Idempotent && !s.fitsBesideGuarantees(spec) {
		return spec.Shape.String() + " may not be stopped once started and does not fit beside the guarantees of others"
	}
	return ""
}

// UnschedulableReason returns the reason why empty workers cannot run a job beside the guarantees of
// other workspaces, or an empty string if they can.
func UnschedulableReason(workers []WorkerSpec, t *targets.Targets, job JobSpec) string {
	return New(Config{Workers: workers, Targets: t}).unschedulableReason(job)
}
