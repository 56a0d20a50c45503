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
	ttl     = 2 * time.Second
	members = 3
)

// holder is an instance that places while it believes to hold the term.
type holder struct {
	name        string
	term        int64
	coordinator *gangs.Coordinator
	fold        *ledger.State
	writer      []structs.Record
	inFlight    []flight
	busy        map[string]bool
	dead        bool
	paused      bool
}

// flight is a call or poll on its way, under the term it was sent with.
type flight struct {
	action gangs.Action
	term   int64
}

// world is a log, workers with real leases, and instances that come and go.
type world struct {
	t       *rapid.T
	now     time.Time
	log     []structs.Record
	logDown bool
	workers map[string]*standin.Worker
	cut     map[string]bool // no call reaches the worker
	names   []string
	holders []*holder
	seq     int
	ids     map[string]structs.Job
	started map[string]map[string]bool // runs of each job of which a task started
	lostAt  map[string]time.Time       // when a member of an executing run was first without its lease
	broken  breakage
}

type breakage int

const (
	nothingBroken     breakage = iota
	startWithoutAll            // a refused reservation counts as held
	startBeforeRecord          // tasks start before their record is read back
	ignoreLostMembers          // a lost lease is reported as held
)

func newWorld(t *rapid.T, broken breakage) *world {
	w := &world{t: t, now: time.Unix(1_800_000_000, 0), workers: map[string]*standin.Worker{}, cut: map[string]bool{},
		ids: map[string]structs.Job{}, started: map[string]map[string]bool{}, lostAt: map[string]time.Time{}, broken: broken}
	for n := range members {
		name := fmt.Sprintf("w%d", n)
		w.names = append(w.names, name)
		w.workers[name] = standin.NewWorkerAt(8, func() time.Time { return w.now })
	}
	for range 2 {
		w.addHolder()
	}
	w.submit()
	return w
}

func (w *world) addHolder() {
	w.seq++
	w.holders = append(w.holders, &holder{name: fmt.Sprintf("h%d", w.seq), fold: ledger.New(), busy: map[string]bool{}})
}

func (w *world) draw() *holder {
	var live []*holder
	for _, h := range w.holders {
		if !h.dead && !h.paused {
			live = append(live, h)
		}
	}
	if len(live) == 0 {
		w.addHolder()
		return w.holders[len(w.holders)-1]
	}
	return rapid.SampledFrom(live).Draw(w.t, "holder")
}

func (w *world) submit() {
	w.seq++
	job := structs.Job{ID: fmt.Sprintf("j%d", w.seq), Shape: structs.Shape{Members: members, Accelerators: 8},
		Idempotent: rapid.Bool().Draw(w.t, "idempotent"), Payload: rapid.SampledFrom([]string{"run_ms=100", "run_ms=5000", "forever"}).Draw(w.t, "run time"), SubmitMS: 1}
	w.ids[job.ID] = job
	w.log = append(w.log, structs.Record{Submit: &job})
}

func (w *world) takeTerm() {
	h := w.draw()
	h.writer = append(h.writer, structs.Record{Term: &structs.Term{Number: h.fold.Term.Number + 1, Holder: h.name}})
}

func (w *world) flush() {
	h := w.draw()
	if w.logDown || len(h.writer) == 0 {
		return
	}
	w.log = append(w.log, h.writer[0])
	if !rapid.Bool().Draw(w.t, "answer lost") {
		h.writer = h.writer[1:]
	}
}

// read folds the log at one instance and follows what changed.
func (w *world) read() {
	h := w.draw()
	if w.logDown {
		return
	}
	for int(h.fold.Next) < len(w.log) {
		record := w.log[h.fold.Next]
		h.fold.Apply(&record)
		if record.Start != nil && h.term != 0 {
			entry := h.fold.Jobs[record.Start.Job]
			h.do(w, gangs.StartRead{Run: record.Start.Run, Valid: entry.Run == record.Start.Run})
		}
	}
	w.followTerm(h)
	w.followJobs(h)
}

func (w *world) followTerm(h *holder) {
	mine := h.fold.Term.Holder == h.name
	switch {
	case mine && h.term != h.fold.Term.Number:
		h.term = h.fold.Term.Number
		h.busy = map[string]bool{}
		h.coordinator = gangs.New(gangs.Config{Term: h.term, LeaseTTL: ttl, ReclaimWithin: time.Second, RecordWait: 3 * time.Second})
		for _, entry := range w.running(h) {
			h.busy[entry.Job.ID] = true
			h.do(w, gangs.Adopt{Job: entry.Job.ID, Run: entry.Run, Members: entry.Members})
		}
	case !mine:
		h.term = 0
	}
}

func (w *world) followJobs(h *holder) {
	if h.term == 0 {
		return
	}
	for _, entry := range w.running(h) {
		if entry.Cancelled {
			h.do(w, gangs.StopRun{Run: entry.Run, Reason: structs.ReasonCancelled})
		}
	}
}

// running lists the running jobs of a holder's fold, in order.
func (w *world) running(h *holder) []*ledger.JobEntry {
	var running []*ledger.JobEntry
	for n := 1; n <= w.seq; n++ {
		if entry := h.fold.Jobs[fmt.Sprintf("j%d", n)]; entry != nil && entry.Phase == ledger.JobRunning {
			running = append(running, entry)
		}
	}
	return running
}

// launch places a queued job on all workers.
func (w *world) launch() {
	h := w.draw()
	if h.term == 0 || len(h.busy) > 0 {
		return
	}
	for n := 1; n <= w.seq; n++ {
		entry := h.fold.Jobs[fmt.Sprintf("j%d", n)]
		if entry == nil || entry.Phase != ledger.JobQueued || (w.logDown && !entry.Job.Idempotent) {
			continue
		}
		w.seq++
		place := scheduler.Place{Job: entry.Job.ID, Run: fmt.Sprintf("%s#%d.%d", entry.Job.ID, h.term, w.seq)}
		for _, name := range w.names {
			place.Members = append(place.Members, structs.Member{Worker: name, Accelerators: 8})
		}
		h.busy[entry.Job.ID] = true
		h.do(w, gangs.Launch{Place: place, Payload: entry.Job.Payload, Idempotent: entry.Job.Idempotent})
		return
	}
}

func (w *world) tick() {
	h := w.draw()
	h.do(w, gangs.Tick{LogAvailable: !w.logDown})
}

func (w *world) preempt() {
	h := w.draw()
	for _, entry := range w.running(h) {
		if entry.Job.Idempotent {
			h.do(w, gangs.StopRun{Run: entry.Run, Checkpoint: true, Reason: structs.ReasonPreempted})
		}
	}
}

func (w *world) cancel() {
	for n := 1; n <= w.seq; n++ {
		if id := fmt.Sprintf("j%d", n); w.ids[id].ID != "" {
			w.log = append(w.log, structs.Record{Cancel: &structs.Cancel{Job: id}})
			w.submit()
			return
		}
	}
}

func (w *world) fault() {
	name := rapid.SampledFrom(w.names).Draw(w.t, "worker")
	switch rapid.IntRange(0, 4).Draw(w.t, "fault") {
	case 0:
		w.cut[name] = true
	case 1:
		w.workers[name].SetFaults(standin.WorkerFaults{RefuseAll: true})
	case 2:
		w.workers[name].SetFaults(standin.WorkerFaults{RefuseStart: true})
	case 3:
		w.workers[name].SetFaults(standin.WorkerFaults{FailAll: true})
	case 4:
		w.cut = map[string]bool{}
		w.workers[name].SetFaults(standin.WorkerFaults{})
	}
}

func (w *world) pass() {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(w.t, "ms")) * time.Millisecond)
}

// steady lets a second pass in which every call arrives and is answered.
func (w *world) steady() {
	for range 4 {
		w.now = w.now.Add(250 * time.Millisecond)
		for _, h := range w.holders {
			if h.dead || h.paused {
				continue
			}
			h.do(w, gangs.Tick{LogAvailable: !w.logDown})
			for len(h.inFlight) > 0 {
				sent := h.inFlight[0]
				h.inFlight = h.inFlight[1:]
				w.deliver(h, sent, false)
			}
		}
		w.check()
	}
}

func (w *world) killOrPause() {
	h := w.draw()
	if rapid.Bool().Draw(w.t, "kill") {
		h.dead = true
		w.addHolder()
		return
	}
	h.paused = true
}

func (w *world) resume() {
	for _, h := range w.holders {
		h.paused = false
	}
}

// partialBound is how long a run may go on anywhere after a member lost its
// lease: the holder notices within most of a lease, and a lease not renewed
// after that lapses.
const partialBound = 2*ttl + time.Second

func (w *world) check() {
	for job, runs := range w.started {
		if len(runs) > 1 && !w.ids[job].Idempotent {
			w.t.Fatalf("job %s may not be repeated and had %d runs started", job, len(runs))
		}
		for run := range runs {
			w.checkPartial(run)
		}
	}
}

func (w *world) checkPartial(run string) {
	if len(w.executing(run)) == 0 {
		return
	}
	for _, name := range w.names {
		if w.workers[name].Holds(run) {
			continue
		}
		since, known := w.lostAt[run]
		if !known {
			w.lostAt[run] = w.now
			return
		}
		if w.now.Sub(since) > partialBound {
			w.t.Fatalf("run %s goes on %s after a member lost its lease", run, w.now.Sub(since))
		}
		return
	}
}

func (w *world) run() {
	each := func(steps ...func()) func(*rapid.T) {
		return func(*rapid.T) {
			for _, step := range steps {
				step()
			}
		}
	}
	progress := each(w.flush, w.read, w.launch, w.tick, w.arrive, w.arrive, w.arrive)
	w.t.Repeat(map[string]func(*rapid.T){
		"take term":  each(w.takeTerm, w.flush, w.read),
		"progress":   progress,
		"progress2":  progress,
		"progress3":  progress,
		"arrive":     each(w.arrive, w.arrive),
		"flush":      each(w.flush),
		"read":       each(w.read),
		"tick":       each(w.tick),
		"pass":       each(w.pass),
		"fault":      each(w.fault),
		"heal":       each(func() { w.cut = map[string]bool{}; w.logDown = false }),
		"log":        each(func() { w.logDown = !w.logDown }),
		"preempt":    each(w.preempt),
		"cancel":     each(w.cancel),
		"kill":       each(w.killOrPause),
		"resume":     each(w.resume),
		"steady":     each(w.steady),
		"steady2":    each(w.steady),
		"more steps": each(w.flush, w.read, w.arrive, w.arrive, w.tick),
		"":           each(w.check),
	})
}

func TestGangsStartWholeAndStopWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { newWorld(t, nothingBroken).run() })
}

// The proof must notice each mechanism that is taken out.
func TestProofNoticesBrokenMechanisms(t *testing.T) {
	for name, broken := range map[string]breakage{
		"start without all reservations":  startWithoutAll,
		"start before the record is read": startBeforeRecord,
		"lost members go unnoticed":       ignoreLostMembers,
	} {
		t.Run(name, func(t *testing.T) {
			if !prooftest.Violates(func(t *rapid.T) { newWorld(t, broken).run() }) {
				t.Fatal("no violation was found")
			}
		})
	}
}
