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
	placerTick    = 50 * time.Millisecond
	placerRing    = 8192
	recordWait    = 3 * time.Second
	handOverWait  = 5 * time.Second
	defaultFinish = 24 * time.Hour // for jobs whose class is gone from the targets
)

// placer is the duty that places gangs while this instance holds the term, and
// takes the term when its holder is gone. The scheduler and the coordinator
// belong to its goroutine alone.
type placer struct {
	instance    *Instance
	inbox       *ring.Ring[gangs.Event]
	mu          sync.Mutex
	changed     map[string]bool // jobs whose entries changed in the fold
	term        int64           // of the scheduler below; 0 while not placing
	scheduler   *scheduler.Scheduler
	coordinator *gangs.Coordinator
	known       map[string]bool // jobs given to the scheduler
	workers     map[string]membership.Listed
	version     int64 // of the targets given to the scheduler
	logOut      bool
	claimant    claimant
	last        scheduler.Time
}

func newPlacer(i *Instance) *placer {
	return &placer{instance: i, inbox: ring.New[gangs.Event](placerRing), changed: map[string]bool{}}
}

// jobChanged is called by the reader of the ledger; the set is bounded by the
// number of jobs.
func (p *placer) jobChanged(job string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changed[job] = true
}

func (p *placer) takeChanged() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.changed) == 0 {
		return nil
	}
	jobs := make([]string, 0, len(p.changed))
	for job := range p.changed {
		jobs = append(jobs, job)
	}
	p.changed = map[string]bool{}
	sort.Strings(jobs)
	return jobs
}

func (p *placer) run(ctx context.Context) {
	ticker := time.NewTicker(placerTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-p.inbox.Items():
			p.gang(ctx, event)
		case <-ticker.C:
			p.tick(ctx)
		}
	}
}

func (p *placer) tick(ctx context.Context) {
	p.followTerm(ctx)
	if p.term == 0 {
		return
	}
	p.followLog(ctx)
	p.followTargets(ctx)
	p.followWorkers(ctx)
	for _, job := range p.takeChanged() {
		p.followJob(ctx, job)
	}
	p.schedule(ctx, scheduler.Tick{})
	p.gang(ctx, gangs.Tick{LogAvailable: p.instance.logAvailable()})
}

// followTerm starts or stops placing as the fold says, and claims the next term
// when the present holder is gone.
func (p *placer) followTerm(ctx context.Context) {
	i := p.instance
	term := i.replica.Term()
	mine := term.Holder == i.holder
	switch {
	case mine && p.term != term.Number && !i.draining.Load():
		p.begin(ctx, term.Number)
	case !mine && p.term != 0:
		p.term = 0 // whoever holds the term now has taken over the runs
		i.events.Add("placing_ended", i.settings.Name, "", "")
	case !mine && p.claimant.decide(p.view(term), i.now(), i.settings.TermTimeout):
		i.appendRecord(&structs.Record{Kind: structs.RecordTerm, Term: &structs.Term{Number: term.Number + 1, Holder: i.holder}}, nil)
	}
}

// begin builds the scheduler and the coordinator from the fold.
func (p *placer) begin(ctx context.Context, term int64) {
	i := p.instance
	p.takeChanged()
	p.workers, _ = i.roster.Workers()
	inForce, version := i.replica.Targets()
	p.term = term
	p.version = version
	p.logOut = false
	p.known = map[string]bool{}
	p.scheduler = scheduler.New(scheduler.Config{Workers: specsOf(p.workers), Epoch: term})
	p.coordinator = gangs.New(gangs.Config{Term: term, LeaseTTL: i.settings.LeaseTTL, ReclaimWithin: i.settings.ReclaimWithin, RecordWait: recordWait})
	live := i.replica.LiveJobs()
	sort.Slice(live, func(a, b int) bool { return liveBefore(live[a], live[b]) })
	for _, entry := range live {
		if entry.Phase == ledger.JobRunning {
			p.adopt(entry, inForce)
		}
	}
	p.schedule(ctx, scheduler.TargetsChanged{Targets: inForce}) // laid over the adopted runs
	for _, entry := range live {
		p.follow(ctx, entry)
	}
	i.log.WithField("term", term).WithField("jobs", len(live)).Info("placing_began")
	i.events.Add("placing_began", i.settings.Name, "", strconv.FormatInt(term, 10))
}

func liveBefore(a, b *ledger.JobEntry) bool {
	if a.Job.SubmitMS != b.Job.SubmitMS {
		return a.Job.SubmitMS < b.Job.SubmitMS
	}
	return a.Job.ID < b.Job.ID
}

func (p *placer) adopt(entry *ledger.JobEntry, inForce *targets.Targets) {
	p.known[entry.Job.ID] = true
	now := p.time()
	p.scheduler.Step(scheduler.Adopted{Job: specOf(entry, inForce), Run: entry.Run, Members: entry.Members, Started: scheduler.Time(entry.StartMS)}, now)
	p.coordinator.Step(gangs.Adopt{Job: entry.Job.ID, Run: entry.Run, Members: entry.Members}, p.instance.now())
}

// time never goes back, as the scheduler demands.
func (p *placer) time() scheduler.Time {
	p.last = max(p.last, scheduler.Time(p.instance.now().UnixMilli()))
	return p.last
}

func specOf(entry *ledger.JobEntry, inForce *targets.Targets) scheduler.JobSpec {
	allowed := defaultFinish
	if class, known := inForce.Classes[entry.Job.Class]; known {
		allowed = class.FinishWithin
	}
	submit := scheduler.Time(entry.Job.SubmitMS)
	return scheduler.JobSpec{
		ID: entry.Job.ID, Workspace: entry.Job.Key.Workspace, Class: entry.Job.Class, Shape: entry.Job.Shape,
		Submit: submit, Deadline: submit + scheduler.Time(allowed.Milliseconds()),
		Declared: scheduler.Time(entry.Job.DeclaredS) * scheduler.Second, Idempotent: entry.Job.Idempotent,
	}
}

func specsOf(workers map[string]membership.Listed) []scheduler.WorkerSpec {
	specs := make([]scheduler.WorkerSpec, 0, len(workers))
	for _, entry := range workers {
		specs = append(specs, specOfWorker(entry))
	}
	sort.Slice(specs, func(a, b int) bool { return specs[a].ID < specs[b].ID })
	return specs
}

func specOfWorker(entry membership.Listed) scheduler.WorkerSpec {
	return scheduler.WorkerSpec{ID: entry.ID, Rack: entry.Rack, AvailabilityZone: entry.AvailabilityZone, Accelerators: entry.Accelerators}
}

func (p *placer) followLog(ctx context.Context) {
	out := !p.instance.logAvailable()
	if out != p.logOut {
		p.logOut = out
		p.schedule(ctx, scheduler.LogState{Available: !out})
	}
}

func (p *placer) followTargets(ctx context.Context) {
	inForce, version := p.instance.replica.Targets()
	if version != p.version {
		p.version = version
		p.schedule(ctx, scheduler.TargetsChanged{Targets: inForce})
	}
}

func (p *placer) followWorkers(ctx context.Context) {
	listed, _ := p.instance.roster.Workers()
	for _, spec := range specsOf(listed) {
		if _, known := p.workers[spec.ID]; !known {
			p.schedule(ctx, scheduler.WorkerUp{Worker: spec})
		}
	}
	for _, spec := range specsOf(p.workers) {
		if _, still := listed[spec.ID]; !still {
			p.schedule(ctx, scheduler.WorkerDown{Worker: spec.ID})
		}
	}
	p.workers = listed
}

func (p *placer) followJob(ctx context.Context, job string) {
	if entry := p.instance.replica.Job(job); entry != nil {
		p.follow(ctx, entry)
	}
}

// follow brings the scheduler up to a job's entry in the fold.
func (p *placer) follow(ctx context.Context, entry *ledger.JobEntry) {
	inForce, _ := p.instance.replica.Targets()
	id := entry.Job.ID
	switch {
	case entry.Phase == ledger.JobEnded || entry.Cancelled:
		if p.known[id] {
			p.schedule(ctx, scheduler.Cancelled{Job: id})
		}
		if entry.Phase == ledger.JobEnded {
			delete(p.known, id)
		}
	case entry.Phase == ledger.JobRunning:
		p.gang(ctx, gangs.StartRead{Run: entry.Run, Valid: true})
	case !p.known[id]:
		p.known[id] = true
		p.schedule(ctx, scheduler.Submitted{Job: specOf(entry, inForce)})
	}
}

func (p *placer) schedule(ctx context.Context, event scheduler.Event) {
	for _, action := range p.scheduler.Step(event, p.time()) {
		p.carryOut(ctx, action)
	}
}

func (p *placer) carryOut(ctx context.Context, action scheduler.Action) {
	i := p.instance
	switch a := action.(type) {
	case scheduler.Place:
		p.launch(ctx, a)
	case scheduler.Preempt:
		i.events.Add("run_preempted", a.Job, "", "for "+a.For)
		p.gang(ctx, gangs.StopRun{Run: a.Run, Checkpoint: true, Reason: structs.ReasonPreempted})
	case scheduler.Abort:
		p.gang(ctx, gangs.StopRun{Run: a.Run, Reason: a.Reason})
	case scheduler.End:
		p.end(a)
	case scheduler.Quarantine:
		i.log.WithField("worker", a.Worker).WithField("lifted", a.Lifted).Warn("worker_quarantine")
		i.events.Add("worker_quarantine", a.Worker, "", "lifted="+strconv.FormatBool(a.Lifted))
	case scheduler.GuaranteeUnfit:
		i.log.WithField("workspace", a.Workspace).WithField("shape", a.Shape.String()).WithField("restored", a.Restored).Warn("guarantee_unfit")
		i.events.Add("guarantee_unfit", a.Shape.String(), a.Workspace, "restored="+strconv.FormatBool(a.Restored))
	}
}

func (p *placer) launch(ctx context.Context, place scheduler.Place) {
	entry := p.instance.replica.Job(place.Job)
	if entry == nil {
		p.schedule(ctx, scheduler.RunEnded{Run: place.Run, Result: scheduler.RunAborted})
		return
	}
	p.instance.events.Add("gang_placed", place.Job, entry.Job.Key.Workspace, place.Run)
	p.gang(ctx, gangs.Launch{Place: place, Payload: entry.Job.Payload, Idempotent: entry.Job.Idempotent})
}

// end records that a job will not run any more, and files a refusal for it.
func (p *placer) end(a scheduler.End) {
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

// gang gives an event to the coordinator and carries out what it answers.
func (p *placer) gang(ctx context.Context, event gangs.Event) {
	if p.term == 0 {
		return
	}
	for _, action := range p.coordinator.Step(event, p.instance.now()) {
		p.carryOutGang(ctx, action)
	}
}

func (p *placer) carryOutGang(ctx context.Context, action gangs.Action) {
	i := p.instance
	switch a := action.(type) {
	case gangs.Call:
		go p.call(ctx, p.term, a)
	case gangs.Poll:
		go p.poll(ctx, p.term, a)
	case gangs.AppendStart:
		i.appendRecord(&structs.Record{Kind: structs.RecordStart, Start: &a.Start}, nil)
	case gangs.AppendStop:
		i.events.Add("run_stopped", a.Stop.Job, "", string(a.Stop.Reason))
		i.appendRecord(&structs.Record{Kind: structs.RecordStop, Stop: &a.Stop}, nil)
	case gangs.AppendEnd:
		i.events.Add("run_finished", a.End.Job, "", a.End.Run)
		i.appendRecord(&structs.Record{Kind: structs.RecordEnd, End: &a.End}, nil)
	case gangs.RunEnded:
		p.schedule(ctx, a.Ended)
	}
}

func (p *placer) call(ctx context.Context, term int64, call gangs.Call) {
	i := p.instance
	bounded, cancel := context.WithTimeout(ctx, i.settings.LeaseTTL/2)
	defer cancel()
	err := p.send(bounded, term, call)
	p.inbox.Put(ctx, gangs.CallEnded{Call: call, Err: err})
}

func (p *placer) send(ctx context.Context, term int64, call gangs.Call) error {
	i := p.instance
	workers, _ := i.roster.Workers()
	listed, known := workers[call.Worker]
	if !known {
		return worker.ErrNoRoom
	}
	order := worker.Order{Term: term, Run: call.Run, Checkpoint: call.Checkpoint,
		Within: i.settings.ReclaimWithin, Resume: call.Resume, Payload: call.Payload, MinLease: call.MinLease}
	switch call.Kind {
	case gangs.CallReserve:
		return i.workers.Reserve(ctx, listed.Address, worker.Reserve{Term: term, Run: call.Run, Job: call.Job,
			Accelerators: call.Accelerators, TTL: i.settings.LeaseTTL})
	case gangs.CallStart:
		return i.workers.Start(ctx, listed.Address, order)
	case gangs.CallStop:
		return i.workers.Stop(ctx, listed.Address, order)
	}
	return i.workers.Release(ctx, listed.Address, order)
}

func (p *placer) poll(ctx context.Context, term int64, poll gangs.Poll) {
	i := p.instance
	workers, _ := i.roster.Workers()
	asked := i.now()
	bounded, cancel := context.WithTimeout(ctx, i.settings.LeaseTTL/4)
	defer cancel()
	state, err := i.workers.Renew(bounded, workers[poll.Worker].Address, worker.Renew{Term: term, Runs: poll.Runs, TTL: i.settings.LeaseTTL})
	p.inbox.Put(ctx, gangs.WorkerState{Worker: poll.Worker, Asked: asked, State: state, Err: err})
}

// drain keeps the runs alive until another instance has taken the term, so that
// a planned stop ends none of them. The last instance does not wait for long.
func (p *placer) drain(ctx context.Context) error {
	i := p.instance
	limit, cancel := context.WithTimeout(ctx, handOverWait)
	defer cancel()
	for i.replica.Term().Holder == i.holder && len(i.link.Connected()) > 0 {
		if !logstream.Sleep(limit, pollFold) {
			return nil
		}
	}
	return nil
}
