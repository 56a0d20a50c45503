package scheduler_test

import (
	"fmt"
	"sort"
	"testing"

	"pgregory.net/rapid"

	"github.com/teaselcleat/teaselcleat/internal/prooftest"
	"github.com/teaselcleat/teaselcleat/scheduler"
	"github.com/teaselcleat/teaselcleat/structs"
	"github.com/teaselcleat/teaselcleat/targets"
)

func TestMain(m *testing.M) { prooftest.Main(m, "80") }

const (
	perWorker   = 4 // accelerators
	perRack     = 3
	workerCount = 6
)

// modelRun is a run in the model.
type modelRun struct {
	job     scheduler.JobSpec
	members []structs.Member
	stop    scheduler.Result // the result of its end if a stop was requested; 0 otherwise
}

// model drives a scheduler and tracks jobs, runs and workers independently of it.
type model struct {
	t           *rapid.T
	s           *scheduler.Scheduler
	now         scheduler.Time
	specs       []scheduler.WorkerSpec
	down        map[string]bool
	quarantined map[string]bool
	jobs        map[string]scheduler.JobSpec
	runs        map[string]*modelRun
	runOrder    []string
	ended       map[string]bool
	seq         int
	targets     *targets.Targets
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, down: map[string]bool{}, quarantined: map[string]bool{}, jobs: map[string]scheduler.JobSpec{}, runs: map[string]*modelRun{}, ended: map[string]bool{}}
	for n := range workerCount {
		m.specs = append(m.specs, scheduler.WorkerSpec{ID: fmt.Sprintf("w%d", n), Rack: fmt.Sprintf("r%d", n/perRack), AvailabilityZone: "z", Accelerators: perWorker})
	}
	m.targets = &targets.Targets{Workspaces: map[string]targets.Workspace{}}
	m.s = scheduler.New(scheduler.Config{Workers: m.specs, Targets: m.drawTargets()})
	return m
}

func drawShape(t *rapid.T, label string) structs.Shape {
	return structs.Shape{Members: rapid.IntRange(1, perRack).Draw(t, label+" members"),
		Accelerators: rapid.IntRange(1, perWorker).Draw(t, label+" accelerators"), Adjacent: true}
}

// drawTargets draws guarantees that fit the whole inventory together.
func (m *model) drawTargets() *targets.Targets {
	drawn := &targets.Targets{Workspaces: map[string]targets.Workspace{}}
	for _, name := range []string{"a", "b", "c"} {
		workspace := targets.Workspace{Name: name}
		if rapid.IntRange(0, 3).Draw(m.t, "guaranteed") > 0 {
			workspace.Guarantee = []structs.Shape{drawShape(m.t, "guarantee")}
		}
		drawn.Workspaces[name] = workspace
	}
	if len(scheduler.CheckGuarantees(m.specs, drawn)) > 0 {
		return m.targets
	}
	m.targets = drawn
	return drawn
}

func (m *model) step(event scheduler.Event) {
	for _, action := range m.s.Step(event, m.now) {
		m.apply(action)
	}
}

func (m *model) apply(action scheduler.Action) {
	switch a := action.(type) {
	case scheduler.Place:
		m.recordPlace(a)
	case scheduler.Preempt:
		m.recordStop(a.Run, scheduler.RunPreempted)
		if !m.runs[a.Run].job.Idempotent {
			m.t.Fatalf("run %s was preempted although its job may not be repeated", a.Run)
		}
	case scheduler.Abort:
		m.recordStop(a.Run, scheduler.RunLost)
		if a.Reason == structs.ReasonCancelled {
			m.runs[a.Run].stop = scheduler.RunAborted
		}
	case scheduler.End:
		m.ended[a.Job] = true
	case scheduler.Quarantine:
		m.quarantined[a.Worker] = !a.Lifted
	}
}

func (m *model) recordStop(run string, result scheduler.Result) {
	if m.runs[run] == nil {
		m.t.Fatalf("stop requested for run %s, which is not running", run)
	}
	m.runs[run].stop = result
}

// recordPlace checks a placement against the model and records its run.
func (m *model) recordPlace(place scheduler.Place) {
	job := m.jobs[place.Job]
	for _, r := range m.runs {
		if r.job.ID == place.Job {
			m.t.Fatalf("job %s was placed while it runs", place.Job)
		}
	}
	if m.ended[place.Job] {
		m.t.Fatalf("job %s was placed after its end", place.Job)
	}
	if len(place.Members) != job.Shape.Members {
		m.t.Fatalf("job %s of %d members was placed on %d", place.Job, job.Shape.Members, len(place.Members))
	}
	seen := map[string]bool{}
	racks := map[string]bool{}
	for _, member := range place.Members {
		if seen[member.Worker] || m.down[member.Worker] || m.used(member.Worker)+member.Accelerators > perWorker || member.Accelerators != job.Shape.Accelerators {
			m.t.Fatalf("job %s: invalid placement on worker %s", place.Job, member.Worker)
		}
		seen[member.Worker] = true
		racks[m.rackOf(member.Worker)] = true
	}
	if job.Shape.Adjacent && len(racks) > 1 {
		m.t.Fatalf("adjacent job %s was placed on several racks", place.Job)
	}
	checked := !job.Idempotent && !place.InGuarantee && m.capacityIsExact(job)
	fitted := checked && m.packable(m.guaranteeCapacity(), m.guaranteedShapes())
	m.runs[place.Run] = &modelRun{job: job, members: place.Members}
	if fitted && !m.packable(m.guaranteeCapacity(), m.guaranteedShapes()) {
		m.t.Fatalf("job %s may not be stopped and its placement leaves too little capacity for the guarantees; members %v, capacity %v, shapes %v%s", place.Job, place.Members, m.guaranteeCapacity(), m.guaranteedShapes(), m.s.Describe())
	}
	m.runOrder = append(m.runOrder, place.Run)
}

// capacityIsExact reports whether neither the given job nor any pinned run can be inside a
// guarantee, so that guaranteeCapacity is exact.
func (m *model) capacityIsExact(job scheduler.JobSpec) bool {
	for _, r := range m.runs {
		if !r.job.Idempotent && len(m.targets.Workspaces[r.job.Workspace].Guarantee) > 0 {
			return false
		}
	}
	return len(m.targets.Workspaces[job.Workspace].Guarantee) == 0
}

func (m *model) rackOf(worker string) string {
	for _, spec := range m.specs {
		if spec.ID == worker {
			return spec.Rack
		}
	}
	return ""
}

func (m *model) used(worker string) int {
	total := 0
	for _, r := range m.runs {
		for _, member := range r.members {
			if member.Worker == worker {
				total += member.Accelerators
			}
		}
	}
	return total
}

func (m *model) submit() {
	m.seq++
	job := scheduler.JobSpec{
		ID: fmt.Sprintf("j%03d", m.seq), Workspace: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(m.t, "workspace"), Class: "c",
		Shape: drawShape(m.t, "job"), SubmitTime: m.now, Deadline: m.now + scheduler.Time(rapid.IntRange(1000, 4_000_000).Draw(m.t, "allowed")),
		DeclaredRunTime: scheduler.Time(rapid.IntRange(0, 600_000).Draw(m.t, "declared")), Idempotent: rapid.IntRange(0, 3).Draw(m.t, "idempotent") > 0,
	}
	job.Shape.Adjacent = rapid.Bool().Draw(m.t, "adjacent")
	m.jobs[job.ID] = job
	m.step(scheduler.JobSubmitted{Job: job})
}

// endRandomRun ends a run, with the result of the requested stop or a random one.
func (m *model) endRandomRun() {
	var live []string
	for _, run := range m.runOrder {
		if m.runs[run] != nil {
			live = append(live, run)
		}
	}
	if len(live) == 0 {
		return
	}
	run := rapid.SampledFrom(live).Draw(m.t, "run")
	result := m.runs[run].stop
	worker := ""
	if result == 0 {
		result = rapid.SampledFrom([]scheduler.Result{scheduler.RunFinished, scheduler.RunFinished, scheduler.RunFailed, scheduler.RunLost, scheduler.RunNotStarted}).Draw(m.t, "result")
		worker = m.runs[run].members[0].Worker
	}
	m.endRun(run, result, worker)
}

func (m *model) endRun(run string, result scheduler.Result, worker string) {
	job := m.runs[run].job.ID
	delete(m.runs, run)
	if result == scheduler.RunFinished || result == scheduler.RunAborted {
		m.ended[job] = true
	}
	m.step(scheduler.RunEnded{Run: run, Result: result, Worker: worker})
}

func (m *model) cancel() {
	if m.seq == 0 {
		return
	}
	id := fmt.Sprintf("j%03d", rapid.IntRange(1, m.seq).Draw(m.t, "cancel"))
	queued := true
	for _, r := range m.runs {
		queued = queued && r.job.ID != id
	}
	if queued {
		m.ended[id] = true
	}
	m.step(scheduler.JobCancelled{Job: id})
}

func (m *model) toggleWorker() {
	spec := rapid.SampledFrom(m.specs).Draw(m.t, "worker")
	if m.down[spec.ID] {
		delete(m.down, spec.ID)
		m.step(scheduler.WorkerUp{Worker: spec})
		return
	}
	m.down[spec.ID] = true
	m.step(scheduler.WorkerDown{Worker: spec.ID})
}

func (m *model) advance() {
	m.now += scheduler.Time(rapid.IntRange(1, 400_000).Draw(m.t, "ms"))
	m.step(scheduler.Tick{})
}

// endStoppingRuns ends every run whose stop was requested, until there are no more.
func (m *model) endStoppingRuns() {
	for range 20 {
		var stopping []string
		for _, run := range m.runOrder {
			if r := m.runs[run]; r != nil && r.stop != 0 {
				stopping = append(stopping, run)
			}
		}
		for _, run := range stopping {
			m.endRun(run, m.runs[run].stop, "")
		}
		m.now += 2 * scheduler.Second // past refusalBackoff and tryInterval
		m.step(scheduler.Tick{})
	}
}

// guaranteeCapacity is the number of accelerators of each worker that guarantees can use if no
// pinned run counts as inside one.
func (m *model) guaranteeCapacity() map[string]int {
	capacity := map[string]int{}
	for _, spec := range m.specs {
		if m.down[spec.ID] || m.quarantined[spec.ID] {
			continue
		}
		capacity[spec.ID] = perWorker
		for _, r := range m.runs {
			for _, member := range r.members {
				if member.Worker == spec.ID && !r.job.Idempotent {
					capacity[spec.ID] -= member.Accelerators
				}
			}
		}
	}
	return capacity
}

// packable is the oracle: it tries every way to pack the shapes.
func (m *model) packable(capacity map[string]int, shapes []structs.Shape) bool {
	if len(shapes) == 0 {
		return true
	}
	for _, rack := range []string{"r0", "r1"} {
		var feasible []string
		for _, spec := range m.specs {
			if spec.Rack == rack && capacity[spec.ID] >= shapes[0].Accelerators {
				feasible = append(feasible, spec.ID)
			}
		}
		for mask := range 1 << len(feasible) {
			if m.tryMask(capacity, feasible, mask, shapes) {
				return true
			}
		}
	}
	return false
}

// tryMask reports whether the shapes can be packed with the first one on the workers in mask.
func (m *model) tryMask(capacity map[string]int, feasible []string, mask int, shapes []structs.Shape) bool {
	left := map[string]int{}
	for id, free := range capacity {
		left[id] = free
	}
	chosen := 0
	for i, id := range feasible {
		if mask&(1<<i) != 0 {
			left[id] -= shapes[0].Accelerators
			chosen++
		}
	}
	return chosen == shapes[0].Members && m.packable(left, shapes[1:])
}

func (m *model) guaranteedShapes() []structs.Shape {
	var shapes []structs.Shape
	for _, name := range m.targets.WorkspaceNames() {
		shapes = append(shapes, m.targets.Workspaces[name].Guarantee...)
	}
	sort.SliceStable(shapes, func(i, j int) bool { return shapes[i].Total() > shapes[j].Total() })
	return shapes
}

func (m *model) run() {
	m.t.Repeat(map[string]func(*rapid.T){
		"submit":  func(*rapid.T) { m.submit() },
		"submit2": func(*rapid.T) { m.submit() },
		"end":     func(*rapid.T) { m.endRandomRun() },
		"end2":    func(*rapid.T) { m.endRandomRun() },
		"cancel":  func(*rapid.T) { m.cancel() },
		"worker":  func(*rapid.T) { m.toggleWorker() },
		"pass":    func(*rapid.T) { m.advance() },
		"targets": func(*rapid.T) { m.step(scheduler.TargetsChanged{Targets: m.drawTargets()}) },
		"settle":  func(*rapid.T) { m.endStoppingRuns() },
		"":        func(*rapid.T) { m.checkFree() },
	})
	m.endStoppingRuns()
	m.checkReclaim()
}

func TestGuaranteesAreAlwaysReclaimable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { newModel(t).run() })
}
