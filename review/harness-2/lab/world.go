package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the deployment that the stand-ins keep to.
const (
	maxLease         = 6 * time.Second
	gangWait         = 3 * time.Second
	heartbeat        = 1500 * time.Millisecond
	checkpointEvery  = 500 * time.Millisecond
	restoreTime      = 250 * time.Millisecond
	maxHoldWait      = 2 * time.Second
	tickInterval     = 5 * time.Millisecond
	maxListedEnds    = 500
	clockStartMillis = 1000
)

// step describes the tasks of one step of a job, as the client submits it.
type step struct {
	Count        int    `json:"count"`
	CPU          int64  `json:"cpu,omitempty"`
	MemMB        int64  `json:"mem_mb,omitempty"`
	GPU          int64  `json:"gpu,omitempty"`
	EstRuntimeMS int64  `json:"est_runtime_ms,omitempty"`
	After        []int  `json:"after,omitempty"`
	Checkpoints  bool   `json:"checkpoints,omitempty"`
	Gang         bool   `json:"gang,omitempty"`
	SameRack     bool   `json:"same_rack,omitempty"`
	DataRack     string `json:"data_rack,omitempty"`
	AntiAffinity int    `json:"anti_affinity,omitempty"`
	LongRunning  bool   `json:"long_running,omitempty"`
	work         time.Duration
}

// job is a job that the client has handed in.
type job struct {
	id    string
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`
}

// run is one run of a task on a worker.
type run struct {
	task      string
	step      string
	job       *job
	spec      *step
	number    int
	worker    *worker
	startedAt time.Time
	workingAt time.Time     // when it began to work; zero while its gang is incomplete
	before    time.Duration // work that its checkpoint had saved
}

// done returns how much of its work a run has done.
func (r *run) done(now time.Time) time.Duration {
	if r.workingAt.IsZero() {
		return r.before
	}
	worked := now.Sub(r.workingAt)
	if r.before > 0 {
		worked -= restoreTime
	}
	return r.before + max(0, worked)
}

func (r *run) checkpoint(now time.Time) string {
	saved := r.done(now).Truncate(checkpointEvery)
	if !r.spec.Checkpoints || saved <= 0 {
		return ""
	}
	return fmt.Sprintf("%016x", saved.Milliseconds())
}

// end is one end of a run that a worker lists until it is acknowledged.
type end struct {
	number     int64
	task       string
	run        int
	how        string
	checkpoint string
	lapsed     bool // the lease lapsed before it was acknowledged
}

// world holds the workers and what was seen on their sockets.
type world struct {
	mu       sync.Mutex
	record   *os.File
	began    time.Time
	jobs     map[string]*job
	workers  []*worker
	running  map[string][]*run // by task, on workers that are up
	taken    map[string]bool   // tasks whose end as done was taken note of
	doneEnds map[string]int    // ends as done, by task
	starts   map[string]int    // starts, by task
	breaks   []string
}

func newWorld(record *os.File) *world {
	return &world{record: record, began: time.Now(), jobs: map[string]*job{}, running: map[string][]*run{}, taken: map[string]bool{},
		doneEnds: map[string]int{}, starts: map[string]int{}}
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// broken records that a rule was broken. The caller holds w.mu.
func (w *world) broken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.breaks = append(w.breaks, text)
	w.note("BROKEN %s", text)
}

// parseTask splits a task's name ID.K.STEP.INDEX.
func (w *world) parseTask(name string) (j *job, spec *step, stepName string, ok bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return nil, nil, "", false
	}
	j = w.jobs[parts[0]]
	number, err := strconv.Atoi(parts[2])
	if j == nil || err != nil || number < 0 || number >= len(j.Steps) {
		return nil, nil, "", false
	}
	return j, &j.Steps[number], strings.Join(parts[:3], "."), true
}

// gang returns the runs of a step with one number. The caller holds w.mu.
func (w *world) gang(r *run) []*run {
	var members []*run
	for index := range r.spec.Count {
		for _, other := range w.running[r.step+"."+strconv.Itoa(index)] {
			if other.number == r.number {
				members = append(members, other)
			}
		}
	}
	return members
}

// add takes up a run, and lets its gang begin if it is the last member. The caller holds w.mu.
func (w *world) add(r *run) {
	if len(w.running[r.task]) > 0 {
		w.broken("TWICE two runs of %s at the same time: run %d on %s, run %d on %s", r.task, w.running[r.task][0].number, w.running[r.task][0].worker.id, r.number, r.worker.id)
	}
	if w.taken[r.task] {
		w.broken("TWICE run %d of %s starts on %s after its end as done was taken note of", r.number, r.task, r.worker.id)
	}
	w.checkAntiAffinity(r)
	w.checkOrder(r)
	w.starts[r.task]++
	w.running[r.task] = append(w.running[r.task], r)
	r.worker.running[r.task] = r
	if !r.spec.Gang {
		r.workingAt = r.startedAt
		return
	}
	members := w.gang(r)
	if len(members) < r.spec.Count {
		return
	}
	for _, member := range members {
		member.workingAt = r.startedAt
	}
}

// checkOrder checks the rule ORDER for a run that is about to be added.
func (w *world) checkOrder(r *run) {
	parts := strings.Split(r.task, ".")
	for _, earlier := range r.spec.After {
		spec := &r.job.Steps[earlier]
		ended := false
		for n := range spec.Count {
			done := w.doneEnds[fmt.Sprintf("%s.%s.%d.%d", parts[0], parts[1], earlier, n)] > 0
			ended = ended || done
			if !done && !spec.Gang {
				w.broken("ORDER %s starts before task %d of step %d is done", r.task, n, earlier)
			}
		}
		if !ended {
			w.broken("ORDER %s starts before step %d is done", r.task, earlier)
		}
	}
}

// checkAntiAffinity checks the rule ROUTE for a run that is about to be added.
func (w *world) checkAntiAffinity(r *run) {
	if r.spec.AntiAffinity == 0 {
		return
	}
	count := 1
	var others []string
	for _, other := range r.worker.running {
		if other.step == r.step {
			count++
			others = append(others, other.task)
		}
	}
	if count > r.spec.AntiAffinity {
		w.broken("ROUTE start of %s on %s beside %s: %d tasks of the step, anti_affinity is %d", r.task, r.worker.id, strings.Join(others, " "), count, r.spec.AntiAffinity)
	}
}

// takeNote records that the end as done of a task, and of its gang, was taken note of. The caller
// holds w.mu.
func (w *world) takeNote(task string) {
	_, spec, stepName, ok := w.parseTask(task)
	w.taken[task] = true
	for index := 0; ok && spec.Gang && index < spec.Count; index++ {
		w.taken[stepName+"."+strconv.Itoa(index)] = true
	}
}

// remove drops a run without listing an end. The caller holds w.mu.
func (w *world) remove(r *run) {
	delete(r.worker.running, r.task)
	rest := w.running[r.task][:0]
	for _, other := range w.running[r.task] {
		if other != r {
			rest = append(rest, other)
		}
	}
	w.running[r.task] = rest
}

// finish ends a run, and with it the other members of its gang. The caller holds w.mu.
func (w *world) finish(r *run, how string, now time.Time) {
	var others []*run
	if r.spec.Gang {
		others = w.gang(r)
	}
	r.worker.list(r, how, now)
	for _, other := range others {
		if other == r {
			continue
		}
		switch how {
		case "done", "alone":
			other.worker.list(other, how, now)
		default:
			other.worker.list(other, "broken", now)
		}
	}
}

// tick applies everything that is due.
func (w *world) tick(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, worker := range w.workers {
		if worker.down {
			continue
		}
		worker.lapse(now)
		for _, r := range worker.list0() {
			if worker.running[r.task] != r {
				continue
			}
			switch {
			case r.workingAt.IsZero() && now.Sub(r.startedAt) >= gangWait:
				w.finish(r, "alone", now)
			case !r.workingAt.IsZero() && !r.spec.LongRunning && r.done(now) >= r.spec.work:
				w.finish(r, "done", now)
			}
		}
	}
}

func (w *world) runTicks() {
	for {
		w.tick(time.Now())
		time.Sleep(tickInterval)
	}
}
