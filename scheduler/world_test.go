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
	perWorker  = 4 // accelerators
	perRack    = 3
	workerSize = 6
)

// running is one run as the test's own books have it.
type running struct {
	job     scheduler.JobSpec
	members []structs.Member
	stop    scheduler.Result // what it ends with if it was asked to stop; 0 if not
}

// world drives a scheduler and keeps books of its own.
type world struct {
	t        *rapid.T
	s        *scheduler.Scheduler
	now      scheduler.Time
	specs    []scheduler.WorkerSpec
	down     map[string]bool
	out      map[string]bool // in quarantine
	jobs     map[string]scheduler.JobSpec
	runs     map[string]*running
	runOrder []string
	ended    map[string]bool
	seq      int
	targets  *targets.Targets
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, down: map[string]bool{}, out: map[string]bool{}, jobs: map[string]scheduler.JobSpec{}, runs: map[string]*running{}, ended: map[string]bool{}}
	for n := range workerSize {
		w.specs = append(w.specs, scheduler.WorkerSpec{ID: fmt.Sprintf("w%d", n), Rack: fmt.Sprintf("r%d", n/perRack), AvailabilityZone: "z", Accelerators: perWorker})
	}
	w.targets = &targets.Targets{Workspaces: map[string]targets.Workspace{}}
	w.s = scheduler.New(scheduler.Config{Workers: w.specs, Targets: w.drawTargets()})
	return w
}

func drawShape(t *rapid.T, label string) structs.Shape {
	return structs.Shape{Members: rapid.IntRange(1, perRack).Draw(t, label+" members"),
		Accelerators: rapid.IntRange(1, perWorker).Draw(t, label+" accelerators"), Adjacent: true}
}

// drawTargets guarantees shapes that fit the whole inventory together.
func (w *world) drawTargets() *targets.Targets {
	drawn := &targets.Targets{Workspaces: map[string]targets.Workspace{}}
	for _, name := range []string{"a", "b", "c"} {
		workspace := targets.Workspace{Name: name}
		if rapid.IntRange(0, 3).Draw(w.t, "guaranteed") > 0 {
			workspace.Guarantee = []structs.Shape{drawShape(w.t, "guarantee")}
		}
		drawn.Workspaces[name] = workspace
	}
	if len(scheduler.CheckGuarantees(w.specs, drawn)) > 0 {
		return w.targets
	}
	w.targets = drawn
	return drawn
}

func (w *world) step(event scheduler.Event) {
	for _, action := range w.s.Step(event, w.now) {
		w.carryOut(action)
	}
}

func (w *world) carryOut(action scheduler.Action) {
	switch a := action.(type) {
	case scheduler.Place:
		w.place(a)
	case scheduler.Preempt:
		w.stop(a.Run, scheduler.RunPreempted)
		if !w.runs[a.Run].job.Idempotent {
			w.t.Fatalf("run %s may not be repeated and was preempted", a.Run)
		}
	case scheduler.Abort:
		w.stop(a.Run, scheduler.RunLost)
		if a.Reason == structs.ReasonCancelled {
			w.runs[a.Run].stop = scheduler.RunAborted
		}
	case scheduler.End:
		w.ended[a.Job] = true
	case scheduler.Quarantine:
		w.out[a.Worker] = !a.Lifted
	}
}

func (w *world) stop(run string, result scheduler.Result) {
	if w.runs[run] == nil {
		w.t.Fatalf("run %s was asked to stop and does not run", run)
	}
	w.runs[run].stop = result
}

// place checks a placement against the test's own books.
func (w *world) place(a scheduler.Place) {
	job := w.jobs[a.Job]
	for _, r := range w.runs {
		if r.job.ID == a.Job {
			w.t.Fatalf("job %s was placed twice at once", a.Job)
		}
	}
	if w.ended[a.Job] {
		w.t.Fatalf("job %s was placed after its end", a.Job)
	}
	if len(a.Members) != job.Shape.Members {
		w.t.Fatalf("job %s of %d members was placed on %d", a.Job, job.Shape.Members, len(a.Members))
	}
	seen := map[string]bool{}
	racks := map[string]bool{}
	for _, m := range a.Members {
		if seen[m.Worker] || w.down[m.Worker] || w.used(m.Worker)+m.Accelerators > perWorker || m.Accelerators != job.Shape.Accelerators {
			w.t.Fatalf("job %s was placed wrongly on %s", a.Job, m.Worker)
		}
		seen[m.Worker] = true
		racks[w.rackOf(m.Worker)] = true
	}
	if job.Shape.Adjacent && len(racks) > 1 {
		w.t.Fatalf("adjacent job %s was placed on several racks", a.Job)
	}
	judged := !job.Idempotent && !a.Inside && w.pinnedOnlyOutside(job)
	fitted := judged && w.packable(w.room(), w.shapes())
	w.runs[a.Run] = &running{job: job, members: a.Members}
	if fitted && !w.packable(w.room(), w.shapes()) {
		w.t.Fatalf("job %s may not be stopped and was placed where guarantees cannot be seated any more; members %v, room %v, shapes %v%s", a.Job, a.Members, w.room(), w.shapes(), w.s.Describe())
	}
	w.runOrder = append(w.runOrder, a.Run)
}

// pinnedOnlyOutside reports whether no run that may not be stopped, nor the
// given job, can be inside a guarantee, so that the oracle's room is exact.
func (w *world) pinnedOnlyOutside(job scheduler.JobSpec) bool {
	for _, r := range w.runs {
		if !r.job.Idempotent && len(w.targets.Workspaces[r.job.Workspace].Guarantee) > 0 {
			return false
		}
	}
	return len(w.targets.Workspaces[job.Workspace].Guarantee) == 0
}

func (w *world) rackOf(worker string) string {
	for _, spec := range w.specs {
		if spec.ID == worker {
			return spec.Rack
		}
	}
	return ""
}

func (w *world) used(worker string) int {
	total := 0
	for _, r := range w.runs {
		for _, m := range r.members {
			if m.Worker == worker {
				total += m.Accelerators
			}
		}
	}
	return total
}

func (w *world) submit() {
	w.seq++
	job := scheduler.JobSpec{
		ID: fmt.Sprintf("j%03d", w.seq), Workspace: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(w.t, "workspace"), Class: "c",
		Shape: drawShape(w.t, "job"), Submit: w.now, Deadline: w.now + scheduler.Time(rapid.IntRange(1000, 4_000_000).Draw(w.t, "allowed")),
		Declared: scheduler.Time(rapid.IntRange(0, 600_000).Draw(w.t, "declared")), Idempotent: rapid.IntRange(0, 3).Draw(w.t, "idempotent") > 0,
	}
	job.Shape.Adjacent = rapid.Bool().Draw(w.t, "adjacent")
	w.jobs[job.ID] = job
	w.step(scheduler.Submitted{Job: job})
}

// endOne ends a run: as it was asked to stop, or as chance has it.
func (w *world) endOne() {
	var live []string
	for _, run := range w.runOrder {
		if w.runs[run] != nil {
			live = append(live, run)
		}
	}
	if len(live) == 0 {
		return
	}
	run := rapid.SampledFrom(live).Draw(w.t, "run")
	result := w.runs[run].stop
	worker := ""
	if result == 0 {
		result = rapid.SampledFrom([]scheduler.Result{scheduler.RunFinished, scheduler.RunFinished, scheduler.RunFailed, scheduler.RunLost, scheduler.RunNotStarted}).Draw(w.t, "result")
		worker = w.runs[run].members[0].Worker
	}
	w.end(run, result, worker)
}

func (w *world) end(run string, result scheduler.Result, worker string) {
	job := w.runs[run].job.ID
	delete(w.runs, run)
	if result == scheduler.RunFinished || result == scheduler.RunAborted {
		w.ended[job] = true
	}
	w.step(scheduler.RunEnded{Run: run, Result: result, Worker: worker})
}

func (w *world) cancel() {
	if w.seq == 0 {
		return
	}
	id := fmt.Sprintf("j%03d", rapid.IntRange(1, w.seq).Draw(w.t, "cancel"))
	queued := true
	for _, r := range w.runs {
		queued = queued && r.job.ID != id
	}
	if queued {
		w.ended[id] = true
	}
	w.step(scheduler.Cancelled{Job: id})
}

func (w *world) toggleWorker() {
	spec := rapid.SampledFrom(w.specs).Draw(w.t, "worker")
	if w.down[spec.ID] {
		delete(w.down, spec.ID)
		w.step(scheduler.WorkerUp{Worker: spec})
		return
	}
	w.down[spec.ID] = true
	w.step(scheduler.WorkerDown{Worker: spec.ID})
}

func (w *world) pass() {
	w.now += scheduler.Time(rapid.IntRange(1, 400_000).Draw(w.t, "ms"))
	w.step(scheduler.Tick{})
}

// settle ends every run that was asked to stop, until nothing more is asked.
func (w *world) settle() {
	for range 20 {
		var stopping []string
		for _, run := range w.runOrder {
			if r := w.runs[run]; r != nil && r.stop != 0 {
				stopping = append(stopping, run)
			}
		}
		for _, run := range stopping {
			w.end(run, w.runs[run].stop, "")
		}
		w.now += 2 * scheduler.Second // refused workers are avoided no longer, and room is made again
		w.step(scheduler.Tick{})
	}
}

// room is what a worker can give to guarantees, if no pinned run counts as
// being inside one.
func (w *world) room() map[string]int {
	room := map[string]int{}
	for _, spec := range w.specs {
		if w.down[spec.ID] || w.out[spec.ID] {
			continue
		}
		room[spec.ID] = perWorker
		for _, r := range w.runs {
			for _, m := range r.members {
				if m.Worker == spec.ID && !r.job.Idempotent {
					room[spec.ID] -= m.Accelerators
				}
			}
		}
	}
	return room
}

// packable is the oracle: it tries every way to seat the shapes.
func (w *world) packable(room map[string]int, shapes []structs.Shape) bool {
	if len(shapes) == 0 {
		return true
	}
	for _, rack := range []string{"r0", "r1"} {
		var able []string
		for _, spec := range w.specs {
			if spec.Rack == rack && room[spec.ID] >= shapes[0].Accelerators {
				able = append(able, spec.ID)
			}
		}
		for mask := range 1 << len(able) {
			if w.seats(room, able, mask, shapes) {
				return true
			}
		}
	}
	return false
}

func (w *world) seats(room map[string]int, able []string, mask int, shapes []structs.Shape) bool {
	left := map[string]int{}
	for id, free := range room {
		left[id] = free
	}
	chosen := 0
	for i, id := range able {
		if mask&(1<<i) != 0 {
			left[id] -= shapes[0].Accelerators
			chosen++
		}
	}
	return chosen == shapes[0].Members && w.packable(left, shapes[1:])
}

func (w *world) shapes() []structs.Shape {
	var shapes []structs.Shape
	for _, name := range w.targets.WorkspaceNames() {
		shapes = append(shapes, w.targets.Workspaces[name].Guarantee...)
	}
	sort.SliceStable(shapes, func(i, j int) bool { return shapes[i].Total() > shapes[j].Total() })
	return shapes
}

func (w *world) run() {
	w.t.Repeat(map[string]func(*rapid.T){
		"submit":  func(*rapid.T) { w.submit() },
		"submit2": func(*rapid.T) { w.submit() },
		"end":     func(*rapid.T) { w.endOne() },
		"end2":    func(*rapid.T) { w.endOne() },
		"cancel":  func(*rapid.T) { w.cancel() },
		"worker":  func(*rapid.T) { w.toggleWorker() },
		"pass":    func(*rapid.T) { w.pass() },
		"targets": func(*rapid.T) { w.step(scheduler.TargetsChanged{Targets: w.drawTargets()}) },
		"settle":  func(*rapid.T) { w.settle() },
		"":        func(*rapid.T) { w.checkRooms() },
	})
	w.settle()
	w.checkReclaim()
}

func TestGuaranteesAreAlwaysReclaimable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { newWorld(t).run() })
}
