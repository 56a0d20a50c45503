package scheduler

import (
	"github.com/teaselcleat/teaselcleat/structs"
	"github.com/teaselcleat/teaselcleat/targets"
)

// Config configures a policy.
type Config struct {
	Workers []WorkerSpec // initial workers, all up
	Targets *targets.Targets
	Epoch   int64 // part of run identifiers, to distinguish them from those of earlier schedulers
}

func init() {
	Register(PolicyTargets, func(config Config) Policy { return New(config) })
}

// Scheduler is the PolicyTargets policy. It is not safe for concurrent use.
type Scheduler struct {
	cluster          *cluster
	witness          *witness
	queue            *queue
	estimates        *estimator
	jobs             map[string]*job
	runs             map[string]*run
	reservations     []*reservation
	quarantined      int
	evacuated        map[string]bool // availability zones that take no new work
	recentLosses     []loss          // early losses within lossWindow, oldest first
	witnessDirty     bool            // the witness must be repaired: workers or targets changed
	inventoryVersion int64           // number of changes of workers and targets, starting at 1
	seq              int64
	epoch            int64
	logUnavailable   bool
	capacityChanged  bool   // capacity may have been freed since the last full pass
	nextPass         Time   // time of the next full pass
	enqueuedGroup    *group // group of the job that the current event enqueued
}

// New returns a scheduler with the given workers up.
func New(config Config) *Scheduler {
	s := &Scheduler{
		cluster:          newCluster(),
		witness:          newWitness(),
		queue:            newQueue(),
		estimates:        newEstimator(),
		jobs:             map[string]*job{},
		runs:             map[string]*run{},
		epoch:            config.Epoch,
		inventoryVersion: 1,
	}
	for _, spec := range config.Workers {
		n := s.cluster.ensureNode(spec)
		s.cluster.update(n, func() { n.up = true })
	}
	if config.Targets != nil {
		s.setTargets(config.Targets)
	}
	return s
}

// Step implements Policy. It runs a full pass if capacity may have been freed, and at least
// every tryInterval for decisions that depend on time. An event that concerns one group runs a
// pass over that group only, so that a burst of submissions or cancellations costs in
// proportion to its size.
func (s *Scheduler) Step(event Event, now Time) []Action {
	actions := s.handle(event, now)
	if s.witnessDirty {
		actions = append(actions, s.repairWitness()...)
		s.capacityChanged = true
	}
	s.expireReservations(now)
	g := s.enqueuedGroup
	s.enqueuedGroup = nil
	if s.capacityChanged || now >= s.nextPass {
		s.capacityChanged = false
		s.nextPass = now + tryInterval
		actions = append(actions, s.endUnschedulable(now)...)
		return append(actions, s.runPass(s.queue.groupList, now)...)
	}
	if g != nil {
		return append(actions, s.runPass([]*group{g}, now)...)
	}
	return actions
}

func (s *Scheduler) handle(event Event, now Time) []Action {
	switch e := event.(type) {
	case JobSubmitted:
		s.handleSubmitted(e.Job, now)
	case JobCancelled:
		return s.handleCancelled(e.Job)
	case RunAdopted:
		s.handleAdopted(e)
	case RunEnded:
		s.capacityChanged = true
		return s.handleRunEnded(e, now)
	case WorkerUp:
		s.capacityChanged = true
		s.handleWorkerUp(e.Worker)
	case WorkerDown:
		return s.handleWorkerDown(e.Worker)
	case TargetsChanged:
		s.setTargets(e.Targets)
	case LogState:
		s.logUnavailable = !e.Available
		s.capacityChanged = true
	case Tick:
		s.endQuarantines(now)
	}
	return nil
}

func (s *Scheduler) newJob(spec JobSpec) *job {
	s.seq++
	j := &job{spec: spec, seq: s.seq, heapIndex: -1}
	s.jobs[spec.ID] = j
	return j
}

func (s *Scheduler) handleSubmitted(spec JobSpec, now Time) {
	if _, exists := s.jobs[spec.ID]; exists {
		return
	}
	s.enqueue(s.newJob(spec), now)
}

// enqueue computes the queue order of a job from the present estimates and adds it to the queue.
func (s *Scheduler) enqueue(j *job, now Time) {
	remaining := max(s.estimates.estimate(j, planQuantile)-j.progress, Second)
	j.latestStart = j.spec.Deadline - remaining
	j.order = j.latestStart - s.orderBoost(j)
	j.queuedSince = now
	s.queue.add(j)
	s.enqueuedGroup = j.group
}

// orderBoostDivisor divides the allowed time of an adjacent gang that fills a rack; the
// quotient is its orderBoost.
const orderBoostDivisor = 2

// orderBoost is how much earlier than its slack says an adjacent gang is ordered. Enough free
// workers in one rack are rare, so the gang must be first when they occur; smaller jobs find
// capacity at any time.
func (s *Scheduler) orderBoost(j *job) Time {
	if !j.spec.Shape.Adjacent || len(s.cluster.racks) == 0 {
		return 0
	}
	rackTotal := s.cluster.racks[0].totalAccelerators()
	gangTotal := min(Time(j.spec.Shape.Total()), rackTotal)
	return (j.spec.Deadline - j.spec.SubmitTime) * gangTotal / (rackTotal * orderBoostDivisor)
}

// totalAccelerators is the number of accelerators of the rack, at least 1.
func (r *rack) totalAccelerators() Time {
	total := 0
	for _, n := range r.nodes {
		total += n.spec.Accelerators
	}
	return Time(max(total, 1))
}

// missesTarget reports whether a queued job would miss its target even with a short run time.
func (s *Scheduler) missesTarget(j *job, now Time) bool {
	remaining := s.estimates.estimate(j, optimisticQuantile) - j.progress
	return now+max(remaining, 0) > j.spec.Deadline
}

// handleCancelled aborts the run of a job or, if it is queued, removes the job.
func (s *Scheduler) handleCancelled(id string) []Action {
	j := s.jobs[id]
	if j == nil {
		return nil
	}
	if j.run != nil {
		j.run.stopping = true
		return []Action{Abort{Job: id, Run: j.run.id, Reason: structs.ReasonCancelled}}
	}
	s.removeJob(j) // no pass: equivalent jobs are as blocked as it was
	return nil
}

func (s *Scheduler) removeJob(j *job) {
	s.queue.remove(j)
	s.unreserve(j)
	delete(s.jobs, j.spec.ID)
}

// handleAdopted tracks a run that another instance started. Guarantees should be set after all
// adoptions, so that the witness is laid out around the runs.
func (s *Scheduler) handleAdopted(e RunAdopted) {
	if _, exists := s.jobs[e.Job.ID]; exists {
		return
	}
	j := s.newJob(e.Job)
	j.runCount = 1
	r := &run{id: e.Run, job: j, pinned: j.pinned(), started: e.Started, accelerators: e.Job.Shape.Accelerators}
	for _, member := range e.Members {
		if n := s.cluster.byID[member.Worker]; n != nil && n.free >= r.accelerators {
			r.nodes = append(r.nodes, n)
		}
	}
	r.slots = make([]*slot, len(r.nodes))
	s.trackRun(r)
}

// trackRun adds a run and allocates its accelerators.
func (s *Scheduler) trackRun(r *run) {
	r.job.run = r
	s.runs[r.id] = r
	s.cluster.allocate(r)
}

// releaseRun removes a run and frees its accelerators.
func (s *Scheduler) releaseRun(r *run) {
	s.cluster.release(r)
	r.job.run = nil
	delete(s.runs, r.id)
	if r.pinned && s.witness.countUnplaced() > 0 {
		s.witnessDirty = true // the freed capacity may hold an unplaced guarantee
	}
}

func (s *Scheduler) handleWorkerUp(spec WorkerSpec) {
	n := s.cluster.ensureNode(spec)
	if n.up {
		return
	}
	s.cluster.update(n, func() { n.up = true })
	s.updateEvacuated(n)
	s.witnessDirty = true
	s.inventoryVersion++
}

// handleWorkerDown marks a worker down and aborts its runs.
func (s *Scheduler) handleWorkerDown(id string) []Action {
	n := s.cluster.byID[id]
	if n == nil || !n.up {
		return nil
	}
	s.cluster.update(n, func() { n.up = false })
	s.witnessDirty = true
	s.inventoryVersion++
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
	s.inventoryVersion++
	s.evacuated = t.Evacuated
	for _, n := range s.cluster.nodes {
		s.updateEvacuated(n)
	}
	s.witness.setTargets(t, func(sl *slot) {
		s.detach(sl)
		sl.unassign()
	})
	s.witnessDirty = true
}

// updateEvacuated sets whether the availability zone of a node is evacuated. Runs there
// continue; guarantees move to other zones.
func (s *Scheduler) updateEvacuated(n *node) {
	if evacuated := s.evacuated[n.spec.AvailabilityZone]; evacuated != n.evacuated {
		s.cluster.update(n, func() { n.evacuated = evacuated })
		s.capacityChanged = true
	}
}

// detach turns the runs inside a slot into runs outside it; they keep their workers.
func (s *Scheduler) detach(sl *slot) {
	for _, n := range sl.nodes {
		for _, r := range n.runs {
			r.leaveSlot(sl, n)
		}
	}
}

// leaveSlot turns a run inside a slot on a node into a run outside it.
func (r *run) leaveSlot(sl *slot, n *node) {
	for i, member := range r.nodes {
		if member != n || r.slots[i] != sl {
			continue
		}
		sl.used[sl.memberIndex(n)] -= r.accelerators
		r.slots[i] = nil
		if r.pinned {
			n.pinned += r.accelerators
		}
	}
}

// joinSlot turns a run on the workers of a slot into a run inside it.
func (r *run) joinSlot(sl *slot) {
	for i, n := range r.nodes {
		r.slots[i] = sl
		sl.used[sl.memberIndex(n)] += r.accelerators
		if r.pinned {
			n.pinned -= r.accelerators
		}
	}
}

// repairWitness assigns workers to the slots that lack them, and reports the guarantees that
// became unfit or fit again.
func (s *Scheduler) repairWitness() []Action {
	s.witnessDirty = false
	s.witness.repair(s.cluster, s.detach, s.assignAroundRun)
	var actions []Action
	for _, sl := range s.witness.slots {
		unfit := sl.nodes == nil
		if unfit != sl.unfit {
			sl.unfit = unfit
			actions = append(actions, GuaranteeUnfit{Workspace: sl.workspace, Shape: sl.shape, Restored: !unfit})
		}
	}
	return actions
}

// FreeByRack implements Policy.
func (s *Scheduler) FreeByRack() [][]int { return s.cluster.freeByRack() }

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

// QueueLength implements Policy.
func (s *Scheduler) QueueLength() int { return s.queue.size }
