package scheduler

import (
	"strconv"

	"github.com/teaselcleat/teaselcleat/structs"
)

func init() {
	Register(PolicyBaseline, func(config Config) Policy { return newBaseline(config) })
}

// baselineTries is how often the baseline starts a job that fails.
const baselineTries = 3

// baseline is first-come first-fit: jobs in order of submission, each on the
// first workers that have room; jobs that do not fit are passed over. It knows
// no targets, guarantees, preemption or blame.
type baseline struct {
	cluster *cluster
	waiting []*job
	jobs    map[string]*job
	runs    map[string]*run
	seq     int64
}

func newBaseline(config Config) *baseline {
	b := &baseline{cluster: newCluster(), jobs: map[string]*job{}, runs: map[string]*run{}}
	for _, spec := range config.Workers {
		n := b.cluster.add(spec)
		b.cluster.change(n, func() { n.up = true })
	}
	return b
}

// Step implements Policy.
func (b *baseline) Step(event Event, now Time) []Action {
	actions := b.take(event)
	return append(actions, b.pass(now)...)
}

func (b *baseline) take(event Event) []Action {
	switch e := event.(type) {
	case Submitted:
		return b.submitted(e.Job)
	case Cancelled:
		return b.cancelled(e.Job)
	case RunEnded:
		return b.runEnded(e)
	case WorkerUp:
		n := b.cluster.add(e.Worker)
		b.cluster.change(n, func() { n.up = true })
	case WorkerDown:
		return b.workerDown(e.Worker)
	}
	return nil
}

func (b *baseline) submitted(spec JobSpec) []Action {
	if !b.cluster.couldEverFit(spec.Shape) {
		return []Action{End{Job: spec.ID, Outcome: structs.OutcomeNotRun, Reason: structs.ReasonImpossibleShape}}
	}
	b.seq++
	j := &job{spec: spec, seq: b.seq}
	b.jobs[spec.ID] = j
	b.waiting = append(b.waiting, j)
	return nil
}

func (b *baseline) cancelled(id string) []Action {
	j := b.jobs[id]
	if j == nil {
		return nil
	}
	if j.run != nil {
		return []Action{Abort{Job: id, Run: j.run.id, Reason: structs.ReasonCancelled}}
	}
	delete(b.jobs, id)
	for i, known := range b.waiting {
		if known == j {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			break
		}
	}
	return nil
}

func (b *baseline) runEnded(e RunEnded) []Action {
	r := b.runs[e.Run]
	if r == nil {
		return nil
	}
	b.cluster.give(r)
	delete(b.runs, e.Run)
	j := r.job
	j.run = nil
	if e.Result == RunFailed {
		j.failures++
	}
	switch {
	case e.Result == RunFinished || e.Result == RunAborted:
		delete(b.jobs, j.spec.ID)
	case j.pinned() || j.failures >= baselineTries:
		delete(b.jobs, j.spec.ID)
		return []Action{End{Job: j.spec.ID, Outcome: structs.OutcomeUnknown, Reason: structs.ReasonJobFails}}
	default:
		b.requeue(j)
	}
	return nil
}

// requeue puts a job back in its place by submission.
func (b *baseline) requeue(j *job) {
	at := 0
	for at < len(b.waiting) && b.waiting[at].seq < j.seq {
		at++
	}
	b.waiting = append(b.waiting, nil)
	copy(b.waiting[at+1:], b.waiting[at:])
	b.waiting[at] = j
}

func (b *baseline) workerDown(id string) []Action {
	n := b.cluster.byID[id]
	if n == nil || !n.up {
		return nil
	}
	b.cluster.change(n, func() { n.up = false })
	var actions []Action
	for _, r := range n.runs {
		actions = append(actions, Abort{Job: r.job.spec.ID, Run: r.id, Reason: structs.ReasonMemberLost})
	}
	return actions
}

func (b *baseline) pass(now Time) []Action {
	var actions []Action
	blocked := map[structs.Shape]bool{}
	kept := b.waiting[:0]
	for _, j := range b.waiting {
		if !blocked[j.spec.Shape] {
			if nodes := b.firstFit(j.spec.Shape); nodes != nil {
				actions = append(actions, b.place(j, nodes, now))
				continue
			}
			blocked[j.spec.Shape] = true
		}
		kept = append(kept, j)
	}
	b.waiting = kept
	return actions
}

func (b *baseline) firstFit(shape structs.Shape) []*node {
	var anywhere []*node
	for _, r := range b.cluster.racks {
		if r.atLeast(shape.Accelerators) == 0 {
			continue
		}
		var inRack []*node
		for _, n := range r.nodes {
			if n.usable() && n.free >= shape.Accelerators && len(inRack) < shape.Members {
				inRack = append(inRack, n)
			}
		}
		if shape.Adjacent && len(inRack) == shape.Members {
			return inRack
		}
		anywhere = append(anywhere, inRack...)
		if !shape.Adjacent && len(anywhere) >= shape.Members {
			return anywhere[:shape.Members]
		}
	}
	return nil
}

func (b *baseline) place(j *job, nodes []*node, now Time) Action {
	b.seq++
	r := &run{id: j.spec.ID + "#" + strconv.FormatInt(b.seq, 10), job: j, nodes: nodes, shares: make([]*slot, len(nodes)), accelerators: j.spec.Shape.Accelerators, started: now}
	j.run = r
	b.runs[r.id] = r
	b.cluster.take(r)
	members := make([]structs.Member, 0, len(nodes))
	for _, n := range nodes {
		members = append(members, structs.Member{Worker: n.spec.ID, Accelerators: r.accelerators})
	}
	return Place{Job: j.spec.ID, Run: r.id, Members: members}
}

// Free implements Policy.
func (b *baseline) Free() [][]int { return b.cluster.freeByRack() }

// Queued implements Policy.
func (b *baseline) Queued() int { return len(b.waiting) }
