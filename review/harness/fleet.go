package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/teaselcleat/teaselcleat/standin"
)

// Properties of the deployment.
const (
	serviceName = "pool"
	workerCPU   = 64000
	workerMemMB = 262144
	workerGPU   = 8
)

var zones = []string{"hall-1", "hall-2", "hall-3"}

// stepSpec is a step of a job as a client sends it. WorkMS is how long a task of it works and
// is known to the stand-ins alone.
type stepSpec struct {
	Count       int   `json:"count"`
	CPU         int64 `json:"cpu,omitempty"`
	MemMB       int64 `json:"mem_mb,omitempty"`
	GPU         int64 `json:"gpu,omitempty"`
	EstMS       int64 `json:"est_runtime_ms,omitempty"`
	After       []int `json:"after,omitempty"`
	Checkpoints bool  `json:"checkpoints,omitempty"`
	Gang        bool  `json:"gang,omitempty"`
	LongRunning bool  `json:"long_running,omitempty"`
	WorkMS      int64 `json:"-"`
}

// job is a job that a client sends.
type job struct {
	id    string
	queue string // path prefix of its queue; empty for that with priority 1
	spec  string
	steps []*stepSpec
}

// path returns the path at which clients hand the job in, ask for it and cancel it.
func (j *job) path() string {
	if j.queue == "" {
		return prefix + j.id
	}
	return j.queue + j.id
}

// run is a run of a task on a worker. It is guarded by the fleet's lock.
type run struct {
	worker    *worker
	job       *job
	step      *stepSpec
	task      string
	number    int
	gang      *gang // nil if the task works alone
	fromMS    int64 // work that the checkpoint carries
	workFrom  time.Time
	timer     *time.Timer
	startedAt time.Time
	endedAt   time.Time
	how       string
}

// gang is one run of all tasks of a step that work together.
type gang struct {
	members []*run
	present int
	timer   *time.Timer
}

// fleet holds the stand-ins of the workers and what they have run.
type fleet struct {
	mu           sync.Mutex
	record       *record
	store        *standin.KeyedStore
	workers      []*worker
	incarnations int
	jobs         map[string]*job
	gangs        map[string]*gang
	history      []*run // in the order of the starts
}

func newFleet(record *record) *fleet {
	return &fleet{record: record, store: standin.NewKeyedStore(), jobs: map[string]*job{}, gangs: map[string]*gang{}}
}

// addJob makes a job known to the workers before a client sends it.
func (f *fleet) addJob(j *job) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[j.id] = j
}

// findTask returns the job and the step of a task's name, ID.K.STEP.INDEX.
func (f *fleet) findTask(task string) (*job, *stepSpec, bool) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return nil, nil, false
	}
	j := f.jobs[parts[0]]
	number, err := strconv.Atoi(parts[2])
	if j == nil || err != nil || number < 0 || number >= len(j.steps) {
		return nil, nil, false
	}
	return j, j.steps[number], true
}

// startRun begins a run. The caller holds f.mu.
func (f *fleet) startRun(w *worker, j *job, step *stepSpec, o order) {
	r := &run{worker: w, job: j, step: step, task: o.Task, number: o.Run, startedAt: time.Now(), fromMS: savedWork(o.Checkpoint)}
	w.running[o.Task] = r
	f.history = append(f.history, r)
	f.record.add("%s starts %s run %d checkpoint %q fence %d", w.id, r.task, r.number, o.Checkpoint, o.Fence)
	delay := time.Duration(0)
	if o.Checkpoint != "" {
		delay = restoreTime
	}
	if !step.Gang {
		r.begin(delay)
		return
	}
	key := o.Task[:strings.LastIndex(o.Task, ".")] + "/" + strconv.Itoa(o.Run)
	g := f.gangs[key]
	if g == nil {
		g = &gang{}
		g.timer = time.AfterFunc(gangWait, func() { f.endGang(g, "alone") })
		f.gangs[key] = g
	}
	r.gang = g
	g.members = append(g.members, r)
	g.present++
	if g.present == step.Count {
		g.timer.Stop()
		for _, member := range g.members {
			member.begin(delay)
		}
	}
}

// begin lets a run work after a delay.
func (r *run) begin(delay time.Duration) {
	r.workFrom = time.Now().Add(delay)
	if r.step.LongRunning {
		return
	}
	left := time.Duration(r.step.WorkMS-r.fromMS)*time.Millisecond + delay
	r.timer = time.AfterFunc(left, func() {
		f := r.worker.fleet
		f.mu.Lock()
		defer f.mu.Unlock()
		f.endRun(r, "done")
	})
}

// endGang ends what is left of a gang that is not complete.
func (f *fleet) endGang(g *gang, how string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, member := range g.members {
		f.endRun(member, how)
	}
}

// endRun ends a run and, of a gang, the other members. The caller holds f.mu.
func (f *fleet) endRun(r *run, how string) {
	if r.how != "" {
		return
	}
	saved := r.saved(true)
	r.how, r.endedAt = how, time.Now()
	if r.timer != nil {
		r.timer.Stop()
	}
	w := r.worker
	delete(w.running, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.number)
	f.record.add("%s %s run %d ends %s after %d ms of work", w.id, r.task, r.number, how, r.workedMS())
	if how != "lost" {
		w.lastEnd++
		w.ends = append(w.ends, end{number: w.lastEnd, task: r.task, run: r.number, how: how, saved: saved})
		close(w.changed)
		w.changed = make(chan struct{})
	}
	if r.gang == nil {
		return
	}
	r.gang.timer.Stop()
	others := "broken"
	if how == "done" || how == "alone" {
		others = how
	}
	for _, member := range r.gang.members {
		f.endRun(member, others)
	}
}

// workedMS returns the work done, with that of the checkpoint.
func (r *run) workedMS() int64 {
	if r.workFrom.IsZero() {
		return r.fromMS
	}
	until := time.Now()
	if !r.endedAt.IsZero() {
		until = r.endedAt
	}
	return r.fromMS + max(0, until.Sub(r.workFrom).Milliseconds())
}

// saved returns the newest checkpoint: of each half second of work, and at a stop of all.
func (r *run) saved(atStop bool) string {
	if !r.step.Checkpoints {
		return ""
	}
	worked := r.workedMS()
	if !atStop {
		worked -= worked % checkpointWork.Milliseconds()
	}
	if worked == 0 {
		return ""
	}
	return fmt.Sprintf("%08x%s", worked, r.job.id[:8])
}

// savedWork returns the work that a checkpoint carries.
func savedWork(checkpoint string) int64 {
	if len(checkpoint) < 8 {
		return 0
	}
	worked, err := strconv.ParseInt(checkpoint[:8], 16, 64)
	if err != nil {
		return 0
	}
	return worked
}

// percent returns the share of the work that is done; of a task that lasts, 100 at work.
func (r *run) percent() int64 {
	if r.step.LongRunning {
		if !r.workFrom.IsZero() && time.Since(r.workFrom) >= startupTime {
			return 100
		}
		return 0
	}
	return min(100, 100*r.workedMS()/max(1, r.step.WorkMS))
}

// current returns the runs of a job that go on.
func (f *fleet) current(id string) []*run {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*run
	for _, r := range f.history {
		if r.job.id == id && r.how == "" {
			list = append(list, r)
		}
	}
	return list
}

// countEnds returns how many runs of a job have ended in a way.
func (f *fleet) countEnds(id, how string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, r := range f.history {
		if r.job.id == id && r.how == how {
			count++
		}
	}
	return count
}
