package scheduler

import (
	"strconv"

	"github.com/teaselcleat/teaselcleat/structs"
)

func init() {
	Register(PolicyBaseline, func(config Config) Policy { return newBaseline(config) })
}

// baselineMaxFailures is the number of failed runs after which the baseline ends a job.
const baselineMaxFailures = 3

// baseline is a first-come first-fit policy: it tries jobs in order of submission, places each
// on the first workers with enough free accelerators and skips jobs that do not fit. It has no
// targets, guarantees, preemption or quarantine.
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
		n := b.cluster.ensureNode(spec)
		b.cluster.update(n, func() { n.up = true })
	}
	return b
}

// Step implements Policy.
func (b *baseline) Step(event Event, now Time) []Action {
	actions := b.handle(event)
	return append(actions, b.runPass(now)...)
}

func (b *baseline) handle(event Event) []Action {
	switch e := event.(type) {
	case JobSubmitted:
		return b.handleSubmitted(e.Job)
	case JobCancelled:
		return b.handleCancelled(e.Job)
	case RunEnded:
		return b.handleRunEnded(e)
	case WorkerUp:
		n := b.cluster.ensureNode(e.Worker)
		b.cluster.update(n, func() { n.up = true })
	case WorkerDown:
		return b.handleWorkerDown(e.Worker)
	}
	return nil
}

func (b *baseline) handleSubmitted(spec JobSpec) []Action {
	if !b.cluster.fitsWhenEmpty(spec.Shape) {
		return []Action{End{Job: spec.ID, Outcome: structs.OutcomeNotRun, Reason: structs.ReasonImpossibleShape}}
	}
	b.seq++
	j := &job{spec: spec, seq: b.seq}
	b.jobs[spec.ID] = j
	b.waiting = append(b.waiting, j)
	return nil
}

func (b *baseline) handleCancelled(id string) []Action {
	j := b.jobs[id]
	if j == nil {
		return nil
	}
	if j.run != nil {
		return []Action{Abort{Job: id, Run: j.run.id, Reason: structs.ReasonCancelled}}
	}
	delete(b.jobs, id)
	for i, queued := range b.waiting {
		if queued == j {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			break
		}
	}
	return nil
}

func (b *baseline) handleRunEnded(e RunEnded) []Action {
	r := b.runs[e.Run]
	if r == nil {
		return nil
	}
	b.cluster.release(r)
	delete(b.runs, e.Run)
	j := r.job
	j.run = nil
	if e.Result == RunFailed {
		j.failures++
	}
	switch {
	case e.Result == RunFinished || e.Result == RunAborted:
		delete(b.jobs, j.spec.ID)
	case j.pinned() || j.failures >= baselineMaxFailures:
		delete(b.jobs, j.spec.ID)
		return []Action{End{Job: j.spec.ID, Outcome: structs.OutcomeUnknown, Reason: structs.ReasonJobFailsEverywhere}}
	default:
		b.requeue(j)
	}
	return nil
}

// requeue inserts a job into the queue by its order of submission.
func (b *baseline) requeue(j *job) {
	pos := 0
	for pos < len(b.waiting) && b.waiting[pos].seq < j.seq {
		pos++
	}
	b.waiting = append(b.waiting, nil)
	copy(b.waiting[pos+1:], b.waiting[pos:])
	b.waiting[pos] = j
}

func (b *baseline) handleWorkerDown(id string) []Action {
	n := b.cluster.byID[id]
	if n == nil || !n.up {
		return nil
	}
	b.cluster.update(n, func() { n.up = false })
	var actions []Action
	for _, r := range n.runs {
		actions = append(actions, Abort{Job: r.job.spec.ID, Run: r.id, Reason: structs.ReasonMemberLost})
	}
	return actions
}

// runPass places the waiting jobs that fit. A shape that did not fit is not tried again in the pass.
func (b *baseline) runPass(now Time) []Action {
	var actions []Action
	blocked := map[structs.Shape]bool{}
	unplaced := b.waiting[:0]
	for _, j := range b.waiting {
		if !blocked[j.spec.Shape] {
			if nodes := b.firstFit(j.spec.Shape); nodes != nil {
				actions = append(actions, b.place(j, nodes, now))
				continue
			}
			blocked[j.spec.Shape] = true
		}
		unplaced = append(unplaced, j)
	}
	b.waiting = unplaced
	return actions
}

// firstFit returns the first workers with enough free accelerators, in one rack if the shape is
// adjacent, or nil.
func (b *baseline) firstFit(shape structs.Shape) []*node {
	var nodes []*node
	for _, r := range b.cluster.racks {
		if r.nodesWithFree(shape.Accelerators) == 0 {
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
		nodes = append(nodes, inRack...)
		if !shape.Adjacent && len(nodes) >= shape.Members {
			return nodes[:shape.Members]
		}
	}
	return nil
}

func (b *baseline) place(j *job, nodes []*node, now Time) Action {
	b.seq++
	r := &run{id: j.spec.ID + "#" + strconv.FormatInt(b.seq, 10), job: j, nodes: nodes, slots: make([]*slot, len(nodes)), accelerators: j.spec.Shape.Accelerators, started: now}
	j.run = r
	b.runs[r.id] = r
	b.cluster.allocate(r)
	members := make([]structs.Member, 0, len(nodes))
	for _, n := range nodes {
		members = append(members, structs.Member{Worker: n.spec.ID, Accelerators: r.accelerators})
	}
	return Place{Job: j.spec.ID, Run: r.id, Members: members}
}

// FreeByRack implements Policy.
func (b *baseline) FreeByRack() [][]int { return b.cluster.freeByRack() }

// QueueLength implements Policy.
func (b *baseline) QueueLength() int { return len(b.waiting) }
