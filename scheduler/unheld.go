package scheduler

import "github.com/teaselcleat/teaselcleat/structs"

// unheldMost is for how long a job waits for an inventory that holds its shape: it was
// accepted when one did, and a worker that starts again or is replaced is listed by then.
const unheldMost = 10 * Minute

// unheld is what is known of whether the listed workers hold the shape of a group.
type unheld struct {
	checked int64  // inventory that was looked at; 0 before the first
	detail  string // why they do not; empty while they do
	since   Time   // when that began, while they do not
}

// endUnheld ends the jobs whose shape no listed inventory has held for unheldMost.
func (s *Scheduler) endUnheld(now Time) []Action {
	var over []*job
	for _, g := range s.queue.order {
		if len(g.jobs) == 0 {
			continue
		}
		s.lookAtShape(g, now)
		if g.detail != "" && now-g.since >= unheldMost {
			over = append(over, g.jobs...)
		}
	}
	var actions []Action
	for _, j := range over {
		end := End{Job: j.spec.ID, Outcome: structs.OutcomeNotRun, Reason: structs.ReasonImpossibleShape, Detail: j.group.detail}
		if j.runs > 0 || j.spec.Pinned {
			end.Outcome = structs.OutcomeUnknown
		}
		s.forget(j)
		actions = append(actions, end)
	}
	return actions
}

func (s *Scheduler) lookAtShape(g *group, now Time) {
	if g.checked == s.inventory {
		return
	}
	g.checked = s.inventory
	held := g.detail == ""
	g.detail = s.unholdable(g.jobs[0].spec)
	if held {
		g.since = now
	}
}

// unholdable says why the listed workers, when empty, cannot hold a job; empty if they can.
func (s *Scheduler) unholdable(spec JobSpec) string {
	if !s.cluster.holdsEmpty(spec.Shape, func(n *node) bool { return n.up }) {
		return "no inventory of this cell holds " + spec.Shape.String()
	}
	if !spec.Idempotent && !s.fitsBesideGuarantees(spec) {
		return spec.Shape.String() + " may not be stopped once started and does not fit beside the guarantees of others"
	}
	return ""
}
