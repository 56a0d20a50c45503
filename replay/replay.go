package replay

import (
	"container/heap"
	"sort"
	"time"

	"github.com/teaselcleat/teaselcleat/scheduler"
	"github.com/teaselcleat/teaselcleat/structs"
	"github.com/teaselcleat/teaselcleat/targets"
)

// What the replay takes for granted of the outside, for every policy alike.
const (
	// checkpointTime is how long a run goes on holding its accelerators when it
	// is stopped for others.
	checkpointTime = 2 * scheduler.Second
	// restartTime is added to a run that continues from a checkpoint.
	restartTime = 30 * scheduler.Second
	// failTime is how long a task runs on a worker that fails everything.
	failTime = 5 * scheduler.Second
	// reclaimLimit is how long work that its workspace's guarantee covers may
	// wait before it counts as a violation.
	reclaimLimit = scheduler.Minute
	// drainLimit is how long the replay goes on after the last event.
	drainLimit   = 24 * 60 * scheduler.Minute
	busyTick     = scheduler.Second
	idleTick     = 10 * scheduler.Second
	sampleEvery  = scheduler.Minute
	neverEnds    = scheduler.Time(1) << 60
	defaultClass = 24 * time.Hour // target of a class that the settings do not name
)

// driver is one replay under way.
type driver struct {
	setup    *Setup
	policy   scheduler.Policy
	now      scheduler.Time
	jobs     map[string]*record
	order    []*record
	runs     map[string]*live
	ends     endings
	seq      int
	bad      map[string]bool
	used     map[string]int // accelerators in use, by worker
	inUse    map[string]int // accelerators in use, by workspace
	logOut   bool
	waiting  map[*record]bool // entitled jobs not yet started
	measures measures
}

// Run replays a trace under the named policy and returns what was measured.
func Run(setup *Setup, events []Event, policyName string) (*Report, error) {
	policy, err := scheduler.Open(policyName, scheduler.Config{Workers: setup.Inventory.Specs(), Targets: setup.Targets})
	if err != nil {
		return nil, err
	}
	d := &driver{
		setup: setup, policy: policy, jobs: map[string]*record{}, runs: map[string]*live{}, bad: map[string]bool{},
		used: map[string]int{}, inUse: map[string]int{}, waiting: map[*record]bool{},
	}
	for _, event := range events {
		d.advance(scheduler.Time(event.AtMS))
		d.take(event)
	}
	d.drain()
	return d.report(), nil
}

// advance moves virtual time on, through ticks, samples and ends of runs.
func (d *driver) advance(to scheduler.Time) {
	for {
		next := d.nextStop(to)
		if next > to {
			d.now = to
			return
		}
		d.now = next
		d.atStop()
		if next == to && !d.endsDue() {
			return
		}
	}
}

// nextStop is the next time at which something is due, at most one past to.
func (d *driver) nextStop(to scheduler.Time) scheduler.Time {
	tick := idleTick
	if d.policy.Queued() > 0 {
		tick = busyTick
	}
	next := (d.now/tick + 1) * tick
	if len(d.ends) > 0 && d.ends[0].at < next {
		next = max(d.ends[0].at, d.now)
	}
	return min(next, to+1)
}

func (d *driver) endsDue() bool { return len(d.ends) > 0 && d.ends[0].at <= d.now }

func (d *driver) atStop() {
	for d.endsDue() {
		end := heap.Pop(&d.ends).(ending)
		if end.version == end.run.version {
			d.endRun(end.run)
		}
	}
	d.step(scheduler.Tick{})
	d.checkEntitled()
	if d.now >= d.measures.nextSample {
		d.sample()
		d.measures.nextSample = d.now + sampleEvery
	}
}

// drain goes on after the last event until nothing can change any more.
func (d *driver) drain() {
	limit := d.now + drainLimit
	for d.now < limit && (len(d.ends) > 0 || d.policy.Queued() > 0) {
		if len(d.ends) == 0 || d.ends[0].at >= neverEnds {
			limit = min(limit, d.now+10*scheduler.Minute) // only work that never ends is left
		}
		d.advance(min(d.now+scheduler.Minute, limit))
	}
}

// step gives an event to the policy, measures its time and carries out what it says.
func (d *driver) step(event scheduler.Event) {
	began := time.Now()
	actions := d.policy.Step(event, d.now)
	d.measures.decided(time.Since(began))
	for _, action := range actions {
		d.carryOut(action)
	}
}

func (d *driver) take(event Event) {
	switch event.Event {
	case EventSubmit:
		d.submit(event)
	case EventCancel:
		d.cancel(event.Job)
	case EventWorkerDown:
		d.step(scheduler.WorkerDown{Worker: event.Worker})
	case EventWorkerUp:
		d.step(scheduler.WorkerUp{Worker: d.spec(event.Worker)})
	case EventWorkerBad:
		d.bad[event.Worker] = true
	case EventWorkerGood:
		delete(d.bad, event.Worker)
	case EventAppendDown, EventAppendUp:
		d.logOut = event.Event == EventAppendDown
		d.step(scheduler.LogState{Available: !d.logOut})
	}
}

func (d *driver) spec(name string) scheduler.WorkerSpec {
	for _, spec := range d.setup.Inventory.Specs() {
		if spec.ID == name {
			return spec
		}
	}
	return scheduler.WorkerSpec{ID: name}
}

func (d *driver) submit(event Event) {
	if d.jobs[event.Job] != nil {
		return // a retry of a key that is known
	}
	class, known := d.setup.Targets.Classes[event.Class]
	if !known {
		class = targets.Class{Name: event.Class, FinishWithin: defaultClass, Idempotent: true}
	}
	job := &record{event: event, class: class, submitted: d.now, started: -1,
		deadline: d.now + scheduler.Time(class.FinishWithin.Milliseconds())}
	d.jobs[event.Job] = job
	d.order = append(d.order, job)
	if d.logOut || event.Shape().Validate() != nil {
		job.phase = jobRefused // as the instances do: nothing durable could be said of it
		job.ended = d.now
		return
	}
	d.noteEntitled(job)
	d.step(scheduler.Submitted{Job: scheduler.JobSpec{
		ID: event.Job, Workspace: event.Workspace, Class: event.Class, Shape: event.Shape(), Submit: d.now, Deadline: job.deadline,
		Declared: scheduler.Time(event.DeclaredS * 1000), Idempotent: class.Idempotent,
	}})
}

// noteEntitled marks a job that its workspace's guarantee covers beside all
// that the workspace already uses or waits for.
func (d *driver) noteEntitled(job *record) {
	total := 0
	covers := false
	for _, shape := range d.setup.Targets.Workspaces[job.event.Workspace].Guarantee {
		total += shape.Total()
		covers = covers || (shape.Members >= job.event.Members && shape.Accelerators >= job.event.Accelerators)
	}
	wanted := job.event.Shape().Total() + d.inUse[job.event.Workspace]
	for _, other := range d.order {
		waits := other != job && other.phase == jobQueued // also one that was stopped for others
		if waits && other.event.Workspace == job.event.Workspace {
			wanted += other.event.Shape().Total()
		}
	}
	if covers && wanted <= total {
		job.entitled = true
		d.waiting[job] = true
	}
}

func (d *driver) checkEntitled() {
	for job := range d.waiting {
		if !job.violated && d.now-job.submitted > reclaimLimit {
			job.violated = true
		}
	}
}

func (d *driver) cancel(id string) {
	job := d.jobs[id]
	if job == nil || job.phase > jobRunning {
		return
	}
	wasQueued := job.phase == jobQueued
	d.step(scheduler.Cancelled{Job: id})
	if wasQueued || job.phase == jobQueued {
		d.finish(job, jobCancelled)
	}
}

func (d *driver) finish(job *record, phase jobPhase) {
	job.phase = phase
	job.ended = d.now
	delete(d.waiting, job)
}

func (d *driver) carryOut(action scheduler.Action) {
	switch a := action.(type) {
	case scheduler.Place:
		d.place(a)
	case scheduler.Preempt:
		d.measures.preemptions++
		d.preempt(a)
	case scheduler.Abort:
		d.abort(a)
	case scheduler.End:
		if job := d.jobs[a.Job]; job != nil && job.phase <= jobRunning {
			d.finish(job, jobRefused)
		}
	}
}

func (d *driver) place(a scheduler.Place) {
	job := d.jobs[a.Job]
	d.checkPlacement(job, a)
	run := &live{id: a.Run, job: job, members: a.Members, since: d.now, result: scheduler.RunFinished}
	if a.Resume {
		run.extra = restartTime
	} else {
		job.progress = 0
		job.starts++
	}
	job.phase = jobRunning
	if job.started < 0 {
		job.started = d.now
	}
	delete(d.waiting, job)
	d.runs[a.Run] = run
	for _, m := range a.Members {
		d.used[m.Worker] += m.Accelerators
		d.inUse[job.event.Workspace] += m.Accelerators
	}
	d.plan(run)
}

// checkPlacement compares a placement with the replay's own books.
func (d *driver) checkPlacement(job *record, a scheduler.Place) {
	distinct := map[string]bool{}
	whole := len(a.Members) == job.event.Members
	for _, m := range a.Members {
		room := d.used[m.Worker]+m.Accelerators <= d.setup.Inventory.AcceleratorsPerWorker
		whole = whole && !distinct[m.Worker] && m.Accelerators == job.event.Accelerators && room
		distinct[m.Worker] = true
	}
	if !whole {
		d.measures.partial++
	}
	if job.phase == jobRunning || (!job.class.Idempotent && job.starts > 0 && !a.Resume) {
		d.measures.doubled++
	}
}

// plan sets a run's natural end.
func (d *driver) plan(run *live) {
	at := neverEnds
	if actual := scheduler.Time(run.job.event.ActualS * 1000); actual > 0 {
		at = run.since + run.extra + max(actual-run.job.progress, 0)
	}
	for _, m := range run.members {
		if d.bad[m.Worker] && run.since+failTime < at {
			at = run.since + failTime
			run.result = scheduler.RunFailed
			run.worker = m.Worker
		}
	}
	d.schedule(run, at)
}

func (d *driver) schedule(run *live, at scheduler.Time) {
	run.version++
	run.endsAt = at
	d.seq++
	heap.Push(&d.ends, ending{at: at, seq: d.seq, run: run, version: run.version})
}

func (d *driver) preempt(a scheduler.Preempt) {
	run := d.runs[a.Run]
	if run == nil || run.endsAt <= d.now+checkpointTime {
		return
	}
	run.result = scheduler.RunPreempted
	d.schedule(run, d.now+checkpointTime)
}

func (d *driver) abort(a scheduler.Abort) {
	run := d.runs[a.Run]
	if run == nil {
		return
	}
	run.result = scheduler.RunLost
	if a.Reason == structs.ReasonCancelled {
		run.result = scheduler.RunAborted
	}
	d.schedule(run, d.now)
}

func (d *driver) endRun(run *live) {
	job := run.job
	delete(d.runs, run.id)
	for _, m := range run.members {
		d.used[m.Worker] -= m.Accelerators
		d.inUse[job.event.Workspace] -= m.Accelerators
	}
	job.phase = jobQueued
	switch run.result {
	case scheduler.RunFinished:
		d.finish(job, jobFinished)
	case scheduler.RunAborted:
		d.finish(job, jobCancelled)
	case scheduler.RunPreempted:
		job.progress += max(d.now-checkpointTime-run.since-run.extra, 0)
	}
	d.step(scheduler.RunEnded{Run: run.id, Result: run.result, Worker: run.worker})
}

// shapes are the declared shapes, each once, in order.
func (d *driver) shapes() []structs.Shape {
	seen := map[structs.Shape]bool{}
	var shapes []structs.Shape
	for _, name := range d.setup.Targets.WorkspaceNames() {
		for _, shape := range d.setup.Targets.Workspaces[name].Guarantee {
			if !seen[shape] {
				seen[shape] = true
				shapes = append(shapes, shape)
			}
		}
	}
	sort.Slice(shapes, func(i, j int) bool { return shapes[i].Total() < shapes[j].Total() })
	return shapes
}

func (d *driver) sample() {
	free := d.policy.Free()
	for _, shape := range d.shapes() {
		if value, ok := d.setup.Inventory.fragmentation(free, shape); ok {
			d.measures.fragmentation = append(d.measures.fragmentation, value)
		}
	}
}
