package gangs_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/teaselcleat/teaselcleat/gangs"
	"github.com/teaselcleat/teaselcleat/internal/prooftest"
	"github.com/teaselcleat/teaselcleat/ledger"
	"github.com/teaselcleat/teaselcleat/scheduler"
	"github.com/teaselcleat/teaselcleat/standin"
	"github.com/teaselcleat/teaselcleat/structs"
)

func TestMain(m *testing.M) { prooftest.Main(m, "200") }

const (
	leaseTTL    = 2 * time.Second
	memberCount = 3
)

// instance is a scheduler instance. It places while its fold names it as leader.
type instance struct {
	name        string
	term        int64
	coordinator *gangs.Coordinator
	fold        *ledger.State
	unflushed   []structs.Record
	inFlight    []pendingCall
	busy        map[string]bool
	dead        bool
	paused      bool
}

// pendingCall is a call or poll in flight, with the term under which it was sent.
type pendingCall struct {
	action gangs.Action
	term   int64
}

// simulation models a log, workers with leases, and instances that start, pause and are
// killed.
type simulation struct {
	t           *rapid.T
	now         time.Time
	log         []structs.Record
	logDown     bool
	workers     map[string]*standin.Worker
	unreachable map[string]bool // workers that no call reaches
	workerNames []string
	instances   []*instance
	seq         int
	jobs        map[string]structs.Job
	startedRuns map[string]map[string]bool // by job, runs of which at least one task started
	leaseLostAt map[string]time.Time       // by run, when a member was first seen without its lease while other members executed
	mutation    mutation
}

type mutation int

const (
	noMutation        mutation = iota
	startWithoutAll            // a refused reservation counts as granted
	startBeforeRecord          // tasks start before their record is read back
	ignoreLostMembers          // a lost lease is reported as valid
)

func newSimulation(t *rapid.T, mutated mutation) *simulation {
	s := &simulation{t: t, now: time.Unix(1_800_000_000, 0), workers: map[string]*standin.Worker{}, unreachable: map[string]bool{},
		jobs: map[string]structs.Job{}, startedRuns: map[string]map[string]bool{}, leaseLostAt: map[string]time.Time{}, mutation: mutated}
	for n := range memberCount {
		name := fmt.Sprintf("w%d", n)
		s.workerNames = append(s.workerNames, name)
		s.workers[name] = standin.NewWorkerAt(8, func() time.Time { return s.now })
	}
	for range 2 {
		s.addInstance()
	}
	s.submit()
	return s
}

func (s *simulation) addInstance() {
	s.seq++
	s.instances = append(s.instances, &instance{name: fmt.Sprintf("h%d", s.seq), fold: ledger.New(), busy: map[string]bool{}})
}

func (s *simulation) drawInstance() *instance {
	var live []*instance
	for _, inst := range s.instances {
		if !inst.dead && !inst.paused {
			live = append(live, inst)
		}
	}
	if len(live) == 0 {
		s.addInstance()
		return s.instances[len(s.instances)-1]
	}
	return rapid.SampledFrom(live).Draw(s.t, "holder")
}

func (s *simulation) submit() {
	s.seq++
	job := structs.Job{ID: fmt.Sprintf("j%d", s.seq), Shape: structs.Shape{Members: memberCount, Accelerators: 8},
		Idempotent: rapid.Bool().Draw(s.t, "idempotent"), Payload: rapid.SampledFrom([]string{"run_ms=100", "run_ms=5000", "forever"}).Draw(s.t, "run time"), SubmitMS: 1}
	s.jobs[job.ID] = job
	s.log = append(s.log, structs.Record{Submit: &job})
}

func (s *simulation) claimTerm() {
	inst := s.drawInstance()
	inst.unflushed = append(inst.unflushed, structs.Record{Term: &structs.Term{Number: inst.fold.Term.Number + 1, Leader: inst.name}})
}

func (s *simulation) flushRecord() {
	inst := s.drawInstance()
	if s.logDown || len(inst.unflushed) == 0 {
		return
	}
	s.log = append(s.log, inst.unflushed[0])
	if !rapid.Bool().Draw(s.t, "answer lost") {
		inst.unflushed = inst.unflushed[1:]
	}
}

// readLog folds the log at one instance and processes the changes.
func (s *simulation) readLog() {
	inst := s.drawInstance()
	if s.logDown {
		return
	}
	for int(inst.fold.NextOffset) < len(s.log) {
		record := s.log[inst.fold.NextOffset]
		inst.fold.Apply(&record)
		if record.Start != nil && inst.term != 0 {
			entry := inst.fold.Jobs[record.Start.Job]
			inst.step(s, gangs.StartRead{Run: record.Start.Run, Valid: entry.Run == record.Start.Run})
		}
	}
	s.syncTerm(inst)
	s.syncJobs(inst)
}

func (s *simulation) syncTerm(inst *instance) {
	leading := inst.fold.Term.Leader == inst.name
	switch {
	case leading && inst.term != inst.fold.Term.Number:
		inst.term = inst.fold.Term.Number
		inst.busy = map[string]bool{}
		inst.coordinator = gangs.New(gangs.Config{Term: inst.term, LeaseTTL: leaseTTL, ReclaimTimeout: time.Second, RecordTimeout: 3 * time.Second})
		for _, entry := range s.runningJobs(inst) {
			inst.busy[entry.Job.ID] = true
			inst.step(s, gangs.Adopt{Job: entry.Job.ID, Run: entry.Run, Members: entry.Members})
		}
	case !leading:
		inst.term = 0
	}
}

func (s *simulation) syncJobs(inst *instance) {
	if inst.term == 0 {
		return
	}
	for _, entry := range s.runningJobs(inst) {
		if entry.Cancelled {
			inst.step(s, gangs.StopRun{Run: entry.Run, Reason: structs.ReasonCancelled})
		}
	}
}

// runningJobs returns the running jobs in an instance's fold, in order of submission.
func (s *simulation) runningJobs(inst *instance) []*ledger.JobEntry {
	var running []*ledger.JobEntry
	for n := 1; n <= s.seq; n++ {
		if entry := inst.fold.Jobs[fmt.Sprintf("j%d", n)]; entry != nil && entry.Phase == ledger.JobRunning {
			running = append(running, entry)
		}
	}
	return running
}

// launch places the first queued job on all workers.
func (s *simulation) launch() {
	inst := s.drawInstance()
	if inst.term == 0 || len(inst.busy) > 0 {
		return
	}
	for n := 1; n <= s.seq; n++ {
		entry := inst.fold.Jobs[fmt.Sprintf("j%d", n)]
		if entry == nil || entry.Phase != ledger.JobQueued || (s.logDown && !entry.Job.Idempotent) {
			continue
		}
		s.seq++
		place := scheduler.Place{Job: entry.Job.ID, Run: fmt.Sprintf("%s#%d.%d", entry.Job.ID, inst.term, s.seq)}
		for _, name := range s.workerNames {
			place.Members = append(place.Members, structs.Member{Worker: name, Accelerators: 8})
		}
		inst.busy[entry.Job.ID] = true
		inst.step(s, gangs.Launch{Place: place, Payload: entry.Job.Payload, Idempotent: entry.Job.Idempotent})
		return
	}
}

func (s *simulation) tick() {
	inst := s.drawInstance()
	inst.step(s, gangs.Tick{LogAvailable: !s.logDown})
}

func (s *simulation) preempt() {
	inst := s.drawInstance()
	for _, entry := range s.runningJobs(inst) {
		if entry.Job.Idempotent {
			inst.step(s, gangs.StopRun{Run: entry.Run, Checkpoint: true, Reason: structs.ReasonPreempted})
		}
	}
}

func (s *simulation) cancel() {
	for n := 1; n <= s.seq; n++ {
		if id := fmt.Sprintf("j%d", n); s.jobs[id].ID != "" {
			s.log = append(s.log, structs.Record{Cancel: &structs.Cancel{Job: id}})
			s.submit()
			return
		}
	}
}

func (s *simulation) injectFault() {
	name := rapid.SampledFrom(s.workerNames).Draw(s.t, "worker")
	switch rapid.IntRange(0, 4).Draw(s.t, "fault") {
	case 0:
		s.unreachable[name] = true
	case 1:
		s.workers[name].SetFaults(standin.WorkerFaults{RefuseAll: true})
	case 2:
		s.workers[name].SetFaults(standin.WorkerFaults{RefuseStart: true})
	case 3:
		s.workers[name].SetFaults(standin.WorkerFaults{FailAll: true})
	case 4:
		s.unreachable = map[string]bool{}
		s.workers[name].SetFaults(standin.WorkerFaults{})
	}
}

func (s *simulation) advanceTime() {
	s.now = s.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(s.t, "ms")) * time.Millisecond)
}

// runSecondWithoutFaults advances the time by a second, during which every call
// arrives and is answered.
func (s *simulation) runSecondWithoutFaults() {
	for range 4 {
		s.now = s.now.Add(250 * time.Millisecond)
		for _, inst := range s.instances {
			if inst.dead || inst.paused {
				continue
			}
			inst.step(s, gangs.Tick{LogAvailable: !s.logDown})
			for len(inst.inFlight) > 0 {
				sent := inst.inFlight[0]
				inst.inFlight = inst.inFlight[1:]
				s.executeCall(inst, sent, false)
			}
		}
		s.checkInvariants()
	}
}

func (s *simulation) killOrPause() {
	inst := s.drawInstance()
	if rapid.Bool().Draw(s.t, "kill") {
		inst.dead = true
		s.addInstance()
		return
	}
	inst.paused = true
}

func (s *simulation) resume() {
	for _, inst := range s.instances {
		inst.paused = false
	}
}

// maxPartialDuration bounds how long any task of a run may execute after a member
// lost its lease: the leader detects the loss within one lease TTL, and the leases
// that it no longer renews expire within another.
const maxPartialDuration = 2*leaseTTL + time.Second

func (s *simulation) checkInvariants() {
	for job, runs := range s.startedRuns {
		if len(runs) > 1 && !s.jobs[job].Idempotent {
			s.t.Fatalf("job %s may not be repeated and had %d runs started", job, len(runs))
		}
		for run := range runs {
			s.checkPartialRun(run)
		}
	}
}

func (s *simulation) checkPartialRun(run string) {
	if len(s.workersExecuting(run)) == 0 {
		return
	}
	for _, name := range s.workerNames {
		if s.workers[name].HasLease(run) {
			continue
		}
		since, found := s.leaseLostAt[run]
		if !found {
			s.leaseLostAt[run] = s.now
			return
		}
		if s.now.Sub(since) > maxPartialDuration {
			s.t.Fatalf("run %s still executes %s after a member lost its lease", run, s.now.Sub(since))
		}
		return
	}
}

func (s *simulation) run() {
	inSequence := func(steps ...func()) func(*rapid.T) {
		return func(*rapid.T) {
			for _, step := range steps {
				step()
			}
		}
	}
	progress := inSequence(s.flushRecord, s.readLog, s.launch, s.tick, s.deliverCall, s.deliverCall, s.deliverCall)
	s.t.Repeat(map[string]func(*rapid.T){
		"take term":  inSequence(s.claimTerm, s.flushRecord, s.readLog),
		"progress":   progress,
		"progress2":  progress,
		"progress3":  progress,
		"arrive":     inSequence(s.deliverCall, s.deliverCall),
		"flush":      inSequence(s.flushRecord),
		"read":       inSequence(s.readLog),
		"tick":       inSequence(s.tick),
		"pass":       inSequence(s.advanceTime),
		"fault":      inSequence(s.injectFault),
		"heal":       inSequence(func() { s.unreachable = map[string]bool{}; s.logDown = false }),
		"log":        inSequence(func() { s.logDown = !s.logDown }),
		"preempt":    inSequence(s.preempt),
		"cancel":     inSequence(s.cancel),
		"kill":       inSequence(s.killOrPause),
		"resume":     inSequence(s.resume),
		"steady":     inSequence(s.runSecondWithoutFaults),
		"steady2":    inSequence(s.runSecondWithoutFaults),
		"more steps": inSequence(s.flushRecord, s.readLog, s.deliverCall, s.deliverCall, s.tick),
		"":           inSequence(s.checkInvariants),
	})
}

func TestGangsStartWholeAndStopWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { newSimulation(t, noMutation).run() })
}

// The property test must detect each mechanism that a mutation disables.
func TestProofNoticesBrokenMechanisms(t *testing.T) {
	for name, broken := range map[string]mutation{
		"start without all reservations":  startWithoutAll,
		"start before the record is read": startBeforeRecord,
		"lost members go unnoticed":       ignoreLostMembers,
	} {
		t.Run(name, func(t *testing.T) {
			if !prooftest.Fails(func(t *rapid.T) { newSimulation(t, broken).run() }) {
				t.Fatal("the mutation was not detected")
			}
		})
	}
}
