package scheduler

import (
	"github.com/teaselcleat/teaselcleat/structs"
	"github.com/teaselcleat/teaselcleat/targets"
)

// Config is what a policy is made from.
type Config struct {
	Workers []WorkerSpec // known from the start, all up
	Targets *targets.Targets
	Epoch   int64 // makes run identifiers differ from those of earlier schedulers
}

func init() {
	Register(PolicyTargets, func(config Config) Policy { return New(config) })
}

// Scheduler is the policy that serves. It is not safe for concurrent use.
type Scheduler struct {
	cluster      *cluster
	witness      *witness
	queue        *queue
	estimates    *estimator
	jobs         map[string]*job
	runs         map[string]*run
	reservations []*reservation
	quarantined  int
	evacuated    map[string]bool // availability zones that get nothing new
	losses       []loss          // early ones of the last lossSpan, in order
	witnessDirty bool            // a worker came or went, or the targets changed
	inventory    int64           // counts the changes of workers and targets, from 1 on
	seq          int64
	epoch        int64
	logOut       bool
	roomChanged  bool   // accelerators or workers may have come free since the last full pass
	nextPass     Time   // when the whole queue is tried again in any case
	touched      *group // of the job that the present event concerns
}

// New returns a scheduler with the given workers up.
func New(config Config) *Scheduler {
	s := &Scheduler{
		cluster:   newCluster(),
		witness:   newWitness(),
		queue:     newQueue(),
		estimates: newEstimator(),
		jobs:      map[string]*job{},
		runs:      map[string]*run{},
		epoch:     config.Epoch,
		inventory: 1,
	}
	for _, spec := range config.Workers {
		n := s.cluster.add(spec)
		s.cluster.change(n, func() { n.up = true })
	}
	if config.Targets != nil {
		s.setTargets(config.Targets)
	}
	return s
}

// Step implements Policy. All of the queue is tried again when room may have
// come free, and once in a while for what time alone changes; an event that
// concerns one group of alike jobs tries that group only, so that a burst of
// submissions or a wave of cancellations costs by its own size.
func (s *Scheduler) Step(event Event, now Time) []Action {
	actions := s.take(event, now)
	if s.witnessDirty {
		actions = append(actions, s.repairWitness()...)
		s.roomChanged = true
	}
	s.expireReservations(now)
	touched := s.touched
	s.touched = nil
	if s.roomChanged || now >= s.nextPass {
		s.roomChanged = false
		s.nextPass = now + tryEvery
		actions = append(actions, s.endUnheld(now)...)
		return append(actions, s.pass(s.queue.order, now)...)
	}
	if touched != nil {
		return append(actions, s.pass([]*group{touched}, now)...)
	}
	return actions
}

func (s *Scheduler) take(event Event, now Time) []Action {
	switch e := event.(type) {
	case Submitted:
		s.submitted(e.Job, now)
	case Cancelled:
		return s.cancelled(e.Job)
	case Adopted:
		s.adopted(e)
	case RunEnded:
		s.roomChanged = true
		return s.runEnded(e, now)
	case WorkerUp:
		s.roomChanged = true
		s.workerUp(e.Worker)
	case WorkerDown:
		return s.workerDown(e.Worker)
	case TargetsChanged:
		s.setTargets(e.Targets)
	case LogState:
		s.logOut = !e.Available
		s.roomChanged = true
	case Tick:
		s.probe(now)
	}
	return nil
}

func (s *Scheduler) newJob(spec JobSpec) *job {
	s.seq++
	j := &job{spec: spec, seq: s.seq, position: -1}
	s.jobs[spec.ID] = j
	return j
}

func (s *Scheduler) submitted(spec JobSpec, now Time) {
	if _, known := s.jobs[spec.ID]; known {
		return
	}
	s.enqueue(s.newJob(spec), now)
}

func (s *Scheduler) enqueue(j *job, now Time) {
	rest := max(s.estimates.estimate(j, planQuantile)-j.progress, Second)
	j.latestStart = j.spec.Deadline - rest
	j.order = j.latestStart - s.headStart(j)
	j.waitSince = now
	s.queue.add(j)
	s.touched = j.group
}

// headStartShare is the part of its allowed time by which an adjacent gang that
// fills a whole rack is brought forward in the queue.
const headStartShare = 2

// headStart is how much earlier an adjacent gang is ordered than its slack
// says. Workers that fit it come free together only seldom, so it must be first
// when they do; smaller work finds room at any time.
func (s *Scheduler) headStart(j *job) Time {
	if !j.spec.Shape.Adjacent || len(s.cluster.racks) == 0 {
		return 0
	}
	whole := s.cluster.racks[0].total()
	share := min(Time(j.spec.Shape.Total()), whole)
	return (j.spec.Deadline - j.spec.Submit) * share / (whole * headStartShare)
}

// total is the number of accelerators of the rack's workers.
func (r *rack) total() Time {
	total := 0
	for _, n := range r.nodes {
		total += n.spec.Accelerators
	}
	return Time(max(total, 1))
}

// hopeless reports whether a queued job's target is out of reach even if its
// run is a short one.
func (s *Scheduler) hopeless(j *job, now Time) bool {
	rest := s.estimates.estimate(j, luckyQuantile) - j.progress
	return now+max(rest, 0) > j.spec.Deadline
}

func (s *Scheduler) cancelled(id string) []Action {
	j := s.jobs[id]
	if j == nil {
		return nil
	}
	if j.run != nil {
		j.run.stopping = true
		return []Action{Abort{Job: id, Run: j.run.id, Reason: structs.ReasonCancelled}}
	}
	s.forget(j) // jobs alike to it are no less blocked than it was
	return nil
}

func (s *Scheduler) forget(j *job) {
	s.queue.remove(j)
	s.unreserve(j)
	delete(s.jobs, j.spec.ID)
}

// adopted takes over a run that another instance started. The guarantees are
// best put in force after all such runs, so that they are laid over them.
func (s *Scheduler) adopted(e Adopted) {
	if _, known := s.jobs[e.Job.ID]; known {
		return
	}
	j := s.newJob(e.Job)
	j.runs = 1
	r := &run{id: e.Run, job: j, pinned: j.pinned(), started: e.Started, accelerators: e.Job.Shape.Accelerators}
	for _, member := range e.Members {
		if n := s.cluster.byID[member.Worker]; n != nil && n.free >= r.accelerators {
			r.nodes = append(r.nodes, n)
		}
	}
	r.shares = make([]*slot, len(r.nodes))
	s.begin(r)
}

func (s *Scheduler) begin(r *run) {
	r.job.run = r
	s.runs[r.id] = r
	s.cluster.take(r)
}

// finish gives back all that a run holds.
func (s *Scheduler) finish(r *run) {
	s.cluster.give(r)
	r.job.run = nil
	delete(s.runs, r.id)
	if r.pinned && s.witness.missing() > 0 {
		s.witnessDirty = true // its room may seat a guarantee that had none
	}
}

func (s *Scheduler) workerUp(spec WorkerSpec) {
	n := s.cluster.add(spec)
	if n.up {
		return
	}
	s.cluster.change(n, func() { n.up = true })
	s.markEvacuated(n)
	s.witnessDirty = true
	s.inventory++
}

func (s *Scheduler) workerDown(id string) []Action {
	n := s.cluster.byID[id]
	if n == nil || !n.up {
		return nil
	}
	s.cluster.change(n, func() { n.up = false })
	s.witnessDirty = true
	s.inventory++
	var actions []Action
	for _, r := range n.runs {
		if !r.stopping {
			r.stopping = true
			actions = append(actions, Abort{Job: r.job.spec.ID, Run: r.id, Reason: structs.ReasonMemberLost})
		}
	}
	return actions
}

func (s *Scheduler) setTargets(t *targets.Targets) {
	s.inventory++
	s.evacuated = t.Evacuated
	for _, n := range s.cluster.nodes {
		s.markEvacuated(n)
	}
	s.witness.setTargets(t, func(gone *slot) {
		s.detach(gone)
		gone.unassign()
	})
	s.witnessDirty = true
}

// markEvacuated takes what is known of a node's availability zone. What runs there goes on;
// guarantees move to the zones that are left.
func (s *Scheduler) markEvacuated(n *node) {
	if evacuated := s.evacuated[n.spec.AvailabilityZone]; evacuated != n.evacuated {
		s.cluster.change(n, func() { n.evacuated = evacuated })
		s.roomChanged = true
	}
}

// detach leaves the runs that use a slot where they are, as runs outside it.
func (s *Scheduler) detach(from *slot) {
	for _, n := range from.nodes {
		for _, r := range n.runs {
			r.leave(from, n)
		}
	}
}

func (r *run) leave(from *slot, n *node) {
	for i, known := range r.nodes {
		if known != n || r.shares[i] != from {
			continue
		}
		from.used[from.member(n)] -= r.accelerators
		r.shares[i] = nil
		if r.pinned {
			n.pinned += r.accelerators
		}
	}
}

// join puts a run that stands on a slot's workers inside it.
func (r *run) join(into *slot) {
	for i, n := range r.nodes {
		r.shares[i] = into
		into.used[into.member(n)] += r.accelerators
		if r.pinned {
			n.pinned -= r.accelerators
		}
	}
}

func (s *Scheduler) repairWitness() []Action {
	s.witnessDirty = false
	s.witness.repair(s.cluster, s.detach, s.cover)
	var actions []Action
	for _, known := range s.witness.slots {
		unfit := known.nodes == nil
		if unfit != known.unfit {
			known.unfit = unfit
			actions = append(actions, GuaranteeUnfit{Workspace: known.workspace, Shape: known.shape, Restored: !unfit})
		}
	}
	return actions
}

// Free implements Policy.
func (s *Scheduler) Free() [][]int { return s.cluster.freeByRack() }

func (c *cluster) freeByRack() [][]int {
	free := make([][]int, 0, len(c.racks))
	for _, r := range c.racks {
		var levels []int
		for _, n := range r.nodes {
			if n.trusted() {
				levels = append(levels, n.free)
			}
		}
		free = append(free, levels)
	}
	return free
}

// Queued implements Policy.
func (s *Scheduler) Queued() int { return s.queue.size }
