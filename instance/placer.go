package instance

import (
	"context"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/teaselcleat/teaselcleat/gangs"
	"github.com/teaselcleat/teaselcleat/ledger"
	"github.com/teaselcleat/teaselcleat/logstream"
	"github.com/teaselcleat/teaselcleat/membership"
	"github.com/teaselcleat/teaselcleat/ring"
	"github.com/teaselcleat/teaselcleat/scheduler"
	"github.com/teaselcleat/teaselcleat/structs"
	"github.com/teaselcleat/teaselcleat/targets"
	"github.com/teaselcleat/teaselcleat/worker"
)

const (
	placerInterval      = 50 * time.Millisecond
	eventQueueSize      = 8192
	recordTimeout       = 3 * time.Second
	handoverTimeout     = 5 * time.Second
	defaultFinishWithin = 24 * time.Hour // for jobs whose class is no longer in the targets
)

// placer schedules gangs while this instance is the leader, and claims the term when
// the leader is gone. Only its goroutine uses the scheduler and the coordinator.
type placer struct {
	instance       *Instance
	events         *ring.Ring[gangs.Event]
	mu             sync.Mutex
	changedJobs    map[string]bool // jobs whose ledger entries changed
	term           int64           // epoch of the term in which the scheduler below runs; 0 while not the leader
	scheduler      *scheduler.Scheduler
	coordinator    *gangs.Coordinator
	trackedJobs    map[string]bool              // jobs submitted to the scheduler
	workers        map[string]membership.Member // workers that the scheduler has
	targetsVersion int64                        // of the targets that the scheduler uses
	logUnavailable bool
	termClaimer    termClaimer
	lastTime       scheduler.Time
}

func newPlacer(i *Instance) *placer {
	return &placer{instance: i, events: ring.New[gangs.Event](eventQueueSize), changedJobs: map[string]bool{}}
}

// jobChanged marks a job for the next pass. The reader of the ledger calls it; the
// set is bounded by the number of jobs.
func (p *placer) jobChanged(job string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changedJobs[job] = true
}

func (p *placer) takeChangedJobs() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.changedJobs) == 0 {
		return nil
	}
	jobs := make([]string, 0, len(p.changedJobs))
	for job := range p.changedJobs {
		jobs = append(jobs, job)
	}
	p.changedJobs = map[string]bool{}
	sort.Strings(jobs)
	return jobs
}

func (p *placer) run(ctx context.Context) {
	ticker := time.NewTicker(placerInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-p.events.Items():
			p.stepCoordinator(ctx, event)
		case <-ticker.C:
			p.tick(ctx)
		}
	}
}

func (p *placer) tick(ctx context.Context) {
	p.syncTerm(ctx)
	if p.term == 0 {
		return
	}
	p.syncLogState(ctx)
	p.syncTargets(ctx)
	p.syncWorkers(ctx)
	for _, job := range p.takeChangedJobs() {
		p.syncJob(ctx, job)
	}
	p.stepScheduler(ctx, scheduler.Tick{})
	p.stepCoordinator(ctx, gangs.Tick{LogAvailable: p.instance.logAvailable()})
}

// syncTerm starts or stops placing according to the folded term, and claims the next
// term when the current leader is gone.
func (p *placer) syncTerm(ctx context.Context) {
	i := p.instance
	term := i.replica.Term()
	leading := term.Leader == i.identity
	switch {
	case leading && p.term != term.Number && !i.draining.Load():
		p.startPlacing(ctx, term.Number)
	case !leading && p.term != 0:
		p.term = 0 // the new leader has taken over the runs
		i.events.Add("placing_ended", i.settings.Name, "", "")
	case !leading && p.termClaimer.shouldClaim(p.observeTerm(term), i.now(), i.settings.TermTimeout):
		i.appendRecord(&structs.Record{Kind: structs.RecordTerm, Term: &structs.Term{Number: term.Number + 1, Leader: i.identity}}, nil)
	}
}

// startPlacing builds the scheduler and the coordinator of a term from the folded state.
func (p *placer) startPlacing(ctx context.Context, term int64) {
	i := p.instance
	p.takeChangedJobs()
	p.workers, _ = i.listPoller.Workers()
	current, version := i.replica.Targets()
	p.term = term
	p.targetsVersion = version
	p.logUnavailable = false
	p.trackedJobs = map[string]bool{}
	p.scheduler = scheduler.New(scheduler.Config{Workers: workerSpecs(p.workers), Epoch: term})
	p.coordinator = gangs.New(gangs.Config{Term: term, LeaseTTL: i.settings.LeaseTTL, ReclaimTimeout: i.settings.ReclaimTimeout, RecordTimeout: recordTimeout})
	jobs := i.replica.LiveJobs()
	sort.Slice(jobs, func(a, b int) bool { return submittedBefore(jobs[a], jobs[b]) })
	for _, entry := range jobs {
		if entry.Phase == ledger.JobRunning {
			p.adoptRun(entry, current)
		}
	}
	p.stepScheduler(ctx, scheduler.TargetsChanged{Targets: current}) // applied after the adopted runs
	for _, entry := range jobs {
		p.applyEntry(ctx, entry)
	}
	i.log.WithField("term", term).WithField("jobs", len(jobs)).Info("placing_began")
	i.events.Add("placing_began", i.settings.Name, "", strconv.FormatInt(term, 10))
}

func submittedBefore(a, b *ledger.JobEntry) bool {
	if a.Job.SubmitMS != b.Job.SubmitMS {
		return a.Job.SubmitMS < b.Job.SubmitMS
	}
	return a.Job.ID < b.Job.ID
}

func (p *placer) adoptRun(entry *ledger.JobEntry, current *targets.Targets) {
	p.trackedJobs[entry.Job.ID] = true
	now := p.schedulerTime()
	p.scheduler.Step(scheduler.RunAdopted{Job: jobSpec(entry, current), Run: entry.Run, Members: entry.Members, Started: scheduler.Time(entry.StartMS)}, now)
	p.coordinator.Step(gangs.Adopt{Job: entry.Job.ID, Run: entry.Run, Members: entry.Members}, p.instance.now())
}

// schedulerTime returns the current time. It never goes back, as the scheduler requires.
func (p *placer) schedulerTime() scheduler.Time {
	p.lastTime = max(p.lastTime, scheduler.Time(p.instance.now().UnixMilli()))
	return p.lastTime
}

func jobSpec(entry *ledger.JobEntry, current *targets.Targets) scheduler.JobSpec {
	finishWithin := defaultFinishWithin
	if class, exists := current.Classes[entry.Job.Class]; exists {
		finishWithin = class.FinishWithin
	}
	submit := scheduler.Time(entry.Job.SubmitMS)
	return scheduler.JobSpec{
		ID: entry.Job.ID, Workspace: entry.Job.Key.Workspace, Class: entry.Job.Class, Shape: entry.Job.Shape,
		SubmitTime: submit, Deadline: submit + scheduler.Time(finishWithin.Milliseconds()),
		DeclaredRunTime: scheduler.Time(entry.Job.DeclaredS) * scheduler.Second, Idempotent: entry.Job.Idempotent,
	}
}

func workerSpecs(workers map[string]membership.Member) []scheduler.WorkerSpec {
	specs := make([]scheduler.WorkerSpec, 0, len(workers))
	for _, entry := range workers {
		specs = append(specs, workerSpec(entry))
	}
	sort.Slice(specs, func(a, b int) bool { return specs[a].ID < specs[b].ID })
	return specs
}

func workerSpec(entry membership.Member) scheduler.WorkerSpec {
	return scheduler.WorkerSpec{ID: entry.ID, Rack: entry.Rack, AvailabilityZone: entry.AvailabilityZone, Accelerators: entry.Accelerators}
}

func (p *placer) syncLogState(ctx context.Context) {
	unavailable := !p.instance.logAvailable()
	if unavailable != p.logUnavailable {
		p.logUnavailable = unavailable
		p.stepScheduler(ctx, scheduler.LogState{Available: !unavailable})
	}
}

func (p *placer) syncTargets(ctx context.Context) {
	current, version := p.instance.replica.Targets()
	if version != p.targetsVersion {
		p.targetsVersion = version
		p.stepScheduler(ctx, scheduler.TargetsChanged{Targets: current})
	}
}

func (p *placer) syncWorkers(ctx context.Context) {
	listed, _ := p.instance.listPoller.Workers()
	for _, spec := range workerSpecs(listed) {
		if _, found := p.workers[spec.ID]; !found {
			p.stepScheduler(ctx, scheduler.WorkerUp{Worker: spec})
		}
	}
	for _, spec := range workerSpecs(p.workers) {
		if _, found := listed[spec.ID]; !found {
			p.stepScheduler(ctx, scheduler.WorkerDown{Worker: spec.ID})
		}
	}
	p.workers = listed
}

func (p *placer) syncJob(ctx context.Context, job string) {
	if entry := p.instance.replica.Job(job); entry != nil {
		p.applyEntry(ctx, entry)
	}
}

// applyEntry passes the state in a job's ledger entry to the scheduler and the
// coordinator.
func (p *placer) applyEntry(ctx context.Context, entry *ledger.JobEntry) {
	current, _ := p.instance.replica.Targets()
	id := entry.Job.ID
	switch {
	case entry.Phase == ledger.JobEnded || entry.Cancelled:
		if p.trackedJobs[id] {
			p.stepScheduler(ctx, scheduler.JobCancelled{Job: id})
		}
		if entry.Phase == ledger.JobEnded {
			delete(p.trackedJobs, id)
		}
	case entry.Phase == ledger.JobRunning:
		p.stepCoordinator(ctx, gangs.StartRead{Run: entry.Run, Valid: true})
	case !p.trackedJobs[id]:
		p.trackedJobs[id] = true
		p.stepScheduler(ctx, scheduler.JobSubmitted{Job: jobSpec(entry, current)})
	}
}

func (p *placer) stepScheduler(ctx context.Context, event scheduler.Event) {
	for _, action := range p.scheduler.Step(event, p.schedulerTime()) {
		p.executeSchedulerAction(ctx, action)
	}
}

func (p *placer) executeSchedulerAction(ctx context.Context, action scheduler.Action) {
	i := p.instance
	switch a := action.(type) {
	case scheduler.Place:
		p.launchRun(ctx, a)
	case scheduler.Preempt:
		i.events.Add("run_preempted", a.Job, "", "for "+a.ForJob)
		p.stepCoordinator(ctx, gangs.StopRun{Run: a.Run, Checkpoint: true, Reason: structs.ReasonPreempted})
	case scheduler.Abort:
		p.stepCoordinator(ctx, gangs.StopRun{Run: a.Run, Reason: a.Reason})
	case scheduler.End:
		p.endJob(a)
	case scheduler.Quarantine:
		i.log.WithField("worker", a.Worker).WithField("lifted", a.Lifted).Warn("worker_quarantine")
		i.events.Add("worker_quarantine", a.Worker, "", "lifted="+strconv.FormatBool(a.Lifted))
	case scheduler.GuaranteeUnfit:
		i.log.WithField("workspace", a.Workspace).WithField("shape", a.Shape.String()).WithField("restored", a.Restored).Warn("guarantee_unfit")
		i.events.Add("guarantee_unfit", a.Shape.String(), a.Workspace, "restored="+strconv.FormatBool(a.Restored))
	}
}

func (p *placer) launchRun(ctx context.Context, place scheduler.Place) {
	entry := p.instance.replica.Job(place.Job)
	if entry == nil {
		p.stepScheduler(ctx, scheduler.RunEnded{Run: place.Run, Result: scheduler.RunAborted})
		return
	}
	p.instance.events.Add("gang_placed", place.Job, entry.Job.Key.Workspace, place.Run)
	p.stepCoordinator(ctx, gangs.Launch{Place: place, Payload: entry.Job.Payload, Idempotent: entry.Job.Idempotent})
}

// endJob records the end of a job that will not run any more, and a refusal for it.
func (p *placer) endJob(a scheduler.End) {
	i := p.instance
	entry := i.replica.Job(a.Job)
	if entry == nil || entry.Phase == ledger.JobEnded {
		return
	}
	i.appendRecord(&structs.Record{Kind: structs.RecordEnd, End: &structs.End{
		Job: a.Job, Term: p.term, Outcome: a.Outcome, Reason: a.Reason, Detail: a.Detail}}, nil)
	i.events.Add("job_ended", a.Job, entry.Job.Key.Workspace, string(a.Reason))
	i.refusals.add(structs.Refusal{Subject: a.Job, Workspace: entry.Job.Key.Workspace, Class: entry.Job.Class,
		Outcome: a.Outcome, Reason: a.Reason, AtMS: i.now().UnixMilli()})
}

// stepCoordinator passes an event to the coordinator and executes the actions that it
// returns.
func (p *placer) stepCoordinator(ctx context.Context, event gangs.Event) {
	if p.term == 0 {
		return
	}
	for _, action := range p.coordinator.Step(event, p.instance.now()) {
		p.executeGangAction(ctx, action)
	}
}

func (p *placer) executeGangAction(ctx context.Context, action gangs.Action) {
	i := p.instance
	switch a := action.(type) {
	case gangs.Call:
		go p.callWorker(ctx, p.term, a)
	case gangs.Poll:
		go p.pollWorker(ctx, p.term, a)
	case gangs.AppendStart:
		i.appendRecord(&structs.Record{Kind: structs.RecordStart, Start: &a.Start}, nil)
	case gangs.AppendStop:
		i.events.Add("run_stopped", a.Stop.Job, "", string(a.Stop.Reason))
		i.appendRecord(&structs.Record{Kind: structs.RecordStop, Stop: &a.Stop}, nil)
	case gangs.AppendEnd:
		i.events.Add("run_finished", a.End.Job, "", a.End.Run)
		i.appendRecord(&structs.Record{Kind: structs.RecordEnd, End: &a.End}, nil)
	case gangs.RunEnded:
		p.stepScheduler(ctx, a.Ended)
	}
}

func (p *placer) callWorker(ctx context.Context, term int64, call gangs.Call) {
	i := p.instance
	callCtx, cancel := context.WithTimeout(ctx, i.settings.LeaseTTL/2)
	defer cancel()
	err := p.sendCall(callCtx, term, call)
	p.events.Put(ctx, gangs.CallEnded{Call: call, Err: err})
}

func (p *placer) sendCall(ctx context.Context, term int64, call gangs.Call) error {
	i := p.instance
	workers, _ := i.listPoller.Workers()
	member, found := workers[call.Worker]
	if !found {
		return worker.ErrNoCapacity
	}
	order := worker.Order{Term: term, Run: call.Run, Checkpoint: call.Checkpoint,
		CheckpointTimeout: i.settings.ReclaimTimeout, Resume: call.Resume, Payload: call.Payload, MinLease: call.MinLease}
	switch call.Kind {
	case gangs.CallReserve:
		return i.workerClient.Reserve(ctx, member.Address, worker.ReserveRequest{Term: term, Run: call.Run, Job: call.Job,
			Accelerators: call.Accelerators, TTL: i.settings.LeaseTTL})
	case gangs.CallStart:
		return i.workerClient.Start(ctx, member.Address, order)
	case gangs.CallStop:
		return i.workerClient.Stop(ctx, member.Address, order)
	}
	return i.workerClient.Release(ctx, member.Address, order)
}

func (p *placer) pollWorker(ctx context.Context, term int64, poll gangs.Poll) {
	i := p.instance
	workers, _ := i.listPoller.Workers()
	sentAt := i.now()
	pollCtx, cancel := context.WithTimeout(ctx, i.settings.LeaseTTL/4)
	defer cancel()
	state, err := i.workerClient.Renew(pollCtx, workers[poll.Worker].Address, worker.RenewRequest{Term: term, Runs: poll.Runs, TTL: i.settings.LeaseTTL})
	p.events.Put(ctx, gangs.WorkerState{Worker: poll.Worker, PolledAt: sentAt, State: state, Err: err})
}

// drain waits until another instance is the leader, while this one still renews the
// leases of its runs, so that a planned stop ends none of them. It does not wait if no
// other instance is connected.
func (p *placer) drain(ctx context.Context) error {
	i := p.instance
	waitCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for i.replica.Term().Leader == i.identity && len(i.link.Connected()) > 0 {
		if !logstream.Sleep(waitCtx, foldPollInterval) {
			return nil
		}
	}
	return nil
}
