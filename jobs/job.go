package jobs

import (
	"strconv"

	"github.com/rotisserie/eris"
)

// Resources is what a task occupies on a worker, or what a worker offers.
type Resources struct {
	MilliCores   int64 `json:"c,omitempty"` // thousandths of a core
	MemoryMB     int64 `json:"m,omitempty"`
	Accelerators int64 `json:"a,omitempty"`
}

// Add returns r and other together.
func (r Resources) Add(other Resources) Resources {
	return Resources{r.MilliCores + other.MilliCores, r.MemoryMB + other.MemoryMB, r.Accelerators + other.Accelerators}
}

// Sub returns what is left of r without other; parts may become negative.
func (r Resources) Sub(other Resources) Resources {
	return Resources{r.MilliCores - other.MilliCores, r.MemoryMB - other.MemoryMB, r.Accelerators - other.Accelerators}
}

// Fits reports whether need is covered by r in every part.
func (r Resources) Fits(need Resources) bool {
	return need.MilliCores <= r.MilliCores && need.MemoryMB <= r.MemoryMB && need.Accelerators <= r.Accelerators
}

// Step is one stage of a job: Tasks equal tasks that start once the steps in
// After have ended.
type Step struct {
	Tasks          int       `json:"n"`
	Need           Resources `json:"r"`
	EstimateMS     int64     `json:"e,omitempty"`  // the caller's estimate of one task's duration
	After          []int     `json:"d,omitempty"`  // indexes of earlier steps
	Checkpoints    bool      `json:"k,omitempty"`  // tasks can resume from a saved state
	Gang           bool      `json:"g,omitempty"`  // tasks work only all together
	OneRack        bool      `json:"o,omitempty"`  // tasks are slow unless all in one rack
	Speculative    bool      `json:"s,omitempty"`  // copies of a task may run side by side
	Lasting        bool      `json:"l,omitempty"`  // tasks run until the job is cancelled
	Fills          bool      `json:"f,omitempty"`  // runs in cores that others leave unused
	RequiredLabel  string    `json:"q,omitempty"`  // label that the worker must have
	DataRack       string    `json:"t,omitempty"`  // rack in which the tasks' data lies
	PerWorker      int       `json:"p,omitempty"`  // most tasks of the step on one worker; 0 is no limit
	Image          string    `json:"i,omitempty"`  // tasks of one image behave alike
	ResponseTarget int64     `json:"rt,omitempty"` // milliseconds, of lasting tasks that serve users
	MayMiss        int       `json:"mm,omitempty"` // lasting tasks that may be away at once
}

// Submission is a job as accepted. Priority, attempts and targets are those of
// the queue at that time; the newest configuration goes first while it names
// the queue.
type Submission struct {
	ID          string `json:"id"`
	Workspace   string `json:"w,omitempty"`
	Queue       Queue  `json:"q"`
	Spec        string `json:"s,omitempty"`
	Steps       []Step `json:"t"`
	Occurrences int    `json:"o,omitempty"` // 0: a job without a schedule, run once
	FirstAtMS   int64  `json:"f,omitempty"` // since 1970, of occurrence 0
	PeriodMS    int64  `json:"p,omitempty"`
	AcceptedMS  int64  `json:"a,omitempty"` // since 1970, on the accepting instance's clock
}

// Queue is what the operators state of a kind of jobs.
type Queue struct {
	Name        string  `json:"n"`
	Pool        string  `json:"s"`           // workers that may run its tasks
	Priority    int     `json:"p"`           // 0 comes first and may preempt others
	MaxAttempts int     `json:"a"`           // failed runs of a task that end its job
	Stretch     float64 `json:"x"`           // objective as a multiple of the longest chain of work
	TargetMS    int64   `json:"l"`           // added to the objective
	Advised     bool    `json:"v,omitempty"` // only some workers may run a step, and a service knows which
}

// Runs is how often the steps run.
func (s *Submission) Runs() int { return max(1, s.Occurrences) }

// TasksOfRun is the number of tasks in one occurrence.
func (s *Submission) TasksOfRun() int {
	total := 0
	for index := range s.Steps {
		total += s.Steps[index].Tasks
	}
	return total
}

// MaxTasks is how many tasks a job may have over all occurrences: its progress is
// one record.
const MaxTasks = 3000

// validate reports what keeps a record from being the submission of a job, as another
// writer may have left it.
func (s *Submission) validate(id string) error {
	if s.ID != id {
		return eris.Errorf("submission of %q under %q", s.ID, id)
	}
	if len(s.Steps) == 0 || s.Occurrences < 0 || s.Occurrences > MaxTasks {
		return eris.Errorf("submission of %s has no steps, or no sound count of runs", id)
	}
	tasks := 0
	for index := range s.Steps {
		if !s.Steps[index].valid(index) {
			return eris.Errorf("submission of %s: step %d is not sound", id, index)
		}
		tasks += s.Steps[index].Tasks
	}
	if tasks*s.Runs() > MaxTasks {
		return eris.Errorf("submission of %s has too many tasks", id)
	}
	return nil
}

func (s *Step) valid(index int) bool {
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= index {
			return false
		}
	}
	return s.Tasks >= 1 && s.Tasks <= MaxTasks && s.Need.MilliCores >= 0 && s.Need.MemoryMB >= 0 && s.Need.Accelerators >= 0
}

// TaskKey names one task.
type TaskKey struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String is for logs.
func (k TaskKey) String() string {
	return k.Job + "." + strconv.Itoa(k.Occurrence) + "." + strconv.Itoa(k.Step) + "." + strconv.Itoa(k.Index)
}

// State is what a caller is told of a job.
type State string

// States of a job. The last three are final.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateDone      State = "done"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Final reports whether a job in this state runs no more.
func (s State) Final() bool { return s == StateDone || s == StateFailed || s == StateCancelled }
