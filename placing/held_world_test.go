package placing

import (
	"fmt"
	"testing"
	"time"

	"github.com/teaselcleat/teaselcleat/jobs"
)

const (
	heldTick = 50 * time.Millisecond
	// heldBound is how long work may have nothing running that there is room for twice
	// over, with less than half of the room in use.
	heldBound = 3 * time.Second
	heldMost  = 40 * time.Second
	heldWork  = 118 * time.Second
)

// heldSite is a deployment with much idle room, in virtual time. What it knows of its
// work it knows from the records, so the term can pass on at any moment.
type heldSite struct {
	t        *testing.T
	engine   *Engine
	table    *jobs.Table
	epoch    int64
	offset   int64
	now      time.Time
	tookAt   time.Time
	holds    time.Duration // how long each holder has the term; 0: for good
	lives    []*crashLife
	jobs     map[string]*jobs.Submission
	work     map[string]time.Duration // by job; heldWork if not named
	fails    map[string]int           // by job: how many runs fail
	done     map[jobs.TaskKey]bool
	stopping map[jobs.TaskKey]time.Time
	stopTime time.Duration
	asked    *Ask
	askedAt  time.Time
	askTime  time.Duration // until a question is answered
	valid    time.Duration // of a ticket
	allowed  func(job, worker string) bool
	notes    []Note // of all decisions
}

// newHeldSite has workers of eight accelerators.
func newHeldSite(t *testing.T, racks, inRack int) *heldSite {
	s := &heldSite{t: t, table: jobs.NewTable(), now: testStart, jobs: map[string]*jobs.Submission{}, work: map[string]time.Duration{},
		fails: map[string]int{}, done: map[jobs.TaskKey]bool{}, stopping: map[jobs.TaskKey]time.Time{}, valid: 3 * time.Second}
	s.allowed = func(string, string) bool { return true }
	for rack := range racks {
		s.addRack("pool", fmt.Sprintf("r1-%d", rack), inRack)
	}
	s.takeTerm()
	return s
}

func (s *heldSite) addRack(pool, rack string, workers int) {
	for range workers {
		entry := testWorker(fmt.Sprintf("w%02d", len(s.lives)), rack)
		entry.Pool = pool
		entry.Labels = append(entry.Labels, entry.ID)
		s.lives = append(s.lives, &crashLife{entry: entry, up: true, running: map[jobs.TaskKey]crashRun{}})
	}
}

func (s *heldSite) takeTerm() {
	s.epoch++
	s.engine = testEngine(s.epoch)
	s.engine.Load(s.table.All(), FormerHandedOver, s.now)
	s.engine.Complete()
	s.tookAt = s.now
	s.asked = nil
}

// submit hands a job in and returns its ID.
func (s *heldSite) submit(submission *jobs.Submission) string {
	submission.AcceptedMS = s.now.UnixMilli()
	s.jobs[submission.ID] = submission
	record, err := jobs.SubmissionRecord(submission)
	if err != nil {
		s.t.Fatal(err)
	}
	s.write(record)
	s.engine.Learn(s.table.Job(submission.ID), s.now)
	return submission.ID
}

func (s *heldSite) write(records ...jobs.Record) {
	for _, record := range records {
		s.offset++
		if _, err := s.table.Apply(record, 0, s.offset); err != nil {
			s.t.Fatal(err)
		}
	}
}

// occupy has a long task take accelerators of a worker.
func (s *heldSite) occupy(worker int, accelerators int64) {
	step := testStep(1, accelerators)
	step.RequiredLabel = s.lives[worker].entry.ID
	step.EstimateMS = 1000 * int64(time.Hour/time.Second)
	job := testJob(hexID(1000+worker), 1, step)
	job.Queue.Name, job.Queue.Pool = "others", s.lives[worker].entry.Pool
	s.work[job.ID] = time.Hour
	s.submit(job)
}

func (s *heldSite) play(length time.Duration) {
	for end := s.now.Add(length); s.now.Before(end); {
		s.tick()
	}
}

func (s *heldSite) tick() {
	s.now = s.now.Add(heldTick)
	if s.holds > 0 && s.now.Sub(s.tookAt) >= s.holds {
		s.takeTerm()
	}
	for _, life := range s.lives {
		s.end(life)
	}
	s.report()
	s.answer()
	s.decide()
	s.decide() // what waited for the records
}

// end ends the runs that are due.
func (s *heldSite) end(life *crashLife) {
	for _, key := range life.keys() {
		run := life.running[key]
		how := EndDone
		stop, stopped := s.stopping[key]
		switch {
		case stopped && s.now.Sub(stop) >= s.stopTime:
			how = EndStopped
			delete(s.stopping, key)
		case s.percent(key, run) < 100 || s.step(key).Lasting:
			continue
		case s.fails[key.Job] > 0:
			s.fails[key.Job]--
			how = EndFailed
		default:
			s.done[key] = true
		}
		delete(life.running, key)
		life.number++
		life.ended = append(life.ended, EndedTask{Number: life.number, Task: key, Run: run.number, How: how})
	}
}

func (s *heldSite) step(key jobs.TaskKey) *jobs.Step { return &s.jobs[key.Job].Steps[key.Step] }

func (s *heldSite) percent(key jobs.TaskKey, run crashRun) int {
	work := s.work[key.Job]
	if work == 0 {
		work = heldWork
	}
	if s.step(key).Lasting {
		return 100
	}
	return min(100, int(100*s.now.Sub(run.since)/work))
}

func (s *heldSite) report() {
	var entries []WorkerEntry
	for _, life := range s.lives {
		if life.up {
			entries = append(entries, life.entry)
		}
	}
	s.engine.List(entries, s.now)
	for _, life := range s.lives {
		if !life.up {
			continue
		}
		var rows []RunningTask
		for _, key := range life.keys() {
			rows = append(rows, RunningTask{Task: key, Run: life.running[key].number, Percent: s.percent(key, life.running[key])})
		}
		s.engine.Report(life.entry.ID, s.now, rows, life.ended, s.now.Add(LeaseLapse(testLimits.Lease)), s.now)
	}
}

// answer answers a question for advice once its time is over.
func (s *heldSite) answer() {
	if s.asked == nil || s.now.Sub(s.askedAt) < s.askTime {
		return
	}
	tickets := map[string]string{}
	for _, worker := range s.asked.Workers {
		if s.allowed(s.asked.Job, worker.ID) {
			tickets[worker.ID] = "ticket"
		}
	}
	s.engine.Advised(*s.asked, true, tickets, s.valid, s.askedAt, s.now)
	s.asked = nil
}

func (s *heldSite) decide() {
	plan := s.engine.Decide(s.now)
	s.notes = append(s.notes, plan.Notes...)
	s.write(plan.Records...)
	if len(plan.Records) > 0 {
		s.engine.Recorded(s.now)
	}
	if plan.Ask != nil {
		s.asked, s.askedAt = plan.Ask, s.now
	}
	for _, start := range plan.Starts {
		s.find(start.Worker).running[start.Task] = crashRun{number: start.Run, since: s.now}
		s.engine.StartAnswered(start.Worker, start.Task, start.Run, StartAccepted, s.now)
	}
	for _, stop := range plan.Stops {
		s.stopping[stop.Task] = s.now
		s.engine.StopAnswered(stop.Worker, stop.Task, stop.Run, s.now)
	}
	for _, life := range s.lives {
		if number := plan.Acks[life.entry.ID]; number > 0 {
			life.ended = life.ended[len(life.ended)-int(life.number-number):]
		}
	}
}

func (s *heldSite) find(id string) *crashLife {
	for _, life := range s.lives {
		if life.entry.ID == id {
			return life
		}
	}
	s.t.Fatal("no worker " + id)
	return nil
}

// free is what the runs on a worker leave of it.
func (s *heldSite) free(life *crashLife) jobs.Resources {
	free := life.entry.Capacity
	for key := range life.running {
		free = free.Sub(s.step(key).Need)
	}
	return free
}

// hasRoom reports whether a step's pool has room for it twice over, and how many
// hundredths of the pool are in use.
func (s *heldSite) hasRoom(id string, step int) (twice bool, inUse int) {
	spec := &s.jobs[id].Steps[step]
	var room int
	var free, whole int64
	for _, life := range s.lives {
		if !life.up || life.entry.Pool != s.jobs[id].Queue.Pool {
			continue
		}
		left := s.free(life)
		free += left.Accelerators
		whole += life.entry.Capacity.Accelerators
		for life.entry.HasLabel(spec.RequiredLabel) && left.Fits(spec.Need) {
			left = left.Sub(spec.Need)
			room++
		}
	}
	wanted := 1
	if spec.Gang {
		wanted = spec.Tasks
	}
	return room >= 2*wanted, int(100 * (whole - free) / whole)
}

// runs counts a step's tasks that run.
func (s *heldSite) runs(id string, step int) int {
	count := 0
	for _, life := range s.lives {
		for key := range life.running {
			if life.up && key.Job == id && key.Step == step {
				count++
			}
		}
	}
	return count
}

// racksOf returns the racks in which a job's tasks run.
func (s *heldSite) racksOf(id string) map[string]bool {
	racks := map[string]bool{}
	for _, life := range s.lives {
		for key := range life.running {
			if life.up && key.Job == id {
				racks[life.entry.Rack] = true
			}
		}
	}
	return racks
}

// wait plays until something of a step runs, all of a lasting one, and returns how long
// that took. Its turn has come.
func (s *heldSite) wait(id string, step int) time.Duration {
	begin := s.now
	spec := &s.jobs[id].Steps[step]
	wanted := 1
	if spec.Lasting {
		wanted = spec.Tasks
	}
	_, inUse := s.hasRoom(id, step)
	for s.runs(id, step) < wanted && s.now.Sub(begin) < heldMost {
		var twice bool
		if twice, inUse = s.hasRoom(id, step); !twice || inUse >= 50 && !spec.Lasting {
			s.t.Fatalf("the case is not what it says: room twice over %t, %d percent in use", twice, inUse)
		}
		s.tick()
	}
	waited := s.now.Sub(begin)
	s.t.Logf("step %d of job %s: %d of %d run after %v, %d percent of the pool were in use", step, id, s.runs(id, step), spec.Tasks, waited, inUse)
	return waited
}
