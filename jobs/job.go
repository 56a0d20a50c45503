package jobs

import (
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// Resources is the request of a task or the capacity of a worker.
type Resources struct {
	MilliCores   int64 `json:"c,omitempty"` // thousandths of a core
	MemoryMB     int64 `json:"m,omitempty"`
	Accelerators int64 `json:"a,omitempty"`
}

// Add returns the sum of r and other.
func (r Resources) Add(other Resources) Resources {
	return Resources{r.MilliCores + other.MilliCores, r.MemoryMB + other.MemoryMB, r.Accelerators + other.Accelerators}
}

// Sub returns r minus other. Fields of the result may be negative.
func (r Resources) Sub(other Resources) Resources {
	return Resources{r.MilliCores - other.MilliCores, r.MemoryMB - other.MemoryMB, r.Accelerators - other.Accelerators}
}

// Fits reports whether r covers need in every field.
func (r Resources) Fits(need Resources) bool {
	return need.MilliCores <= r.MilliCores && need.MemoryMB <= r.MemoryMB && need.Accelerators <= r.Accelerators
}

// Step is one stage of a job: a number of equal tasks that start after the steps
// in After have ended.
type Step struct {
	Tasks            int       `json:"n"`
	Need             Resources `json:"r"`
	EstimateMS       int64     `json:"e,omitempty"`  // the caller's estimate of one task's duration
	After            []int     `json:"d,omitempty"`  // indexes of earlier steps
	Checkpoints      bool      `json:"k,omitempty"`  // tasks can resume from a checkpoint
	Gang             bool      `json:"g,omitempty"`  // all tasks must run at the same time
	OneRack          bool      `json:"o,omitempty"`  // tasks run slowly unless all are in one rack
	Speculative      bool      `json:"s,omitempty"`  // a task may run in several copies at once
	LongRunning      bool      `json:"l,omitempty"`  // tasks run until the job is cancelled
	Filler           bool      `json:"f,omitempty"`  // tasks run on cores that others leave unused
	RequiredLabel    string    `json:"q,omitempty"`  // label that a worker must have
	DataRack         string    `json:"t,omitempty"`  // rack that holds the input data
	MaxPerWorker     int       `json:"p,omitempty"`  // maximum number of the step's tasks on one worker; 0 is no limit
	Image            string    `json:"i,omitempty"`  // image of the tasks; tasks of the same image behave alike
	ResponseTargetMS int64     `json:"rt,omitempty"` // target response time in milliseconds of long-running tasks that serve users
	MaxUnavailable   int       `json:"mm,omitempty"` // maximum number of long-running tasks that are unavailable at once
}

// Submission is a job as accepted, with the queue's priority, attempts and targets
// at that time. While the newest configuration names the queue, its values take
// precedence.
type Submission struct {
	ID          string `json:"id"`
	Workspace   string `json:"w,omitempty"`
	Queue       Queue  `json:"q"`
	Spec        string `json:"s,omitempty"`
	Steps       []Step `json:"t"`
	Occurrences int    `json:"o,omitempty"` // 0 for a job without a schedule, which runs once
	FirstAtMS   int64  `json:"f,omitempty"` // start of occurrence 0 in Unix milliseconds
	PeriodMS    int64  `json:"p,omitempty"`
	AcceptedMS  int64  `json:"a,omitempty"` // Unix milliseconds on the clock of the accepting instance
}

// Queue is the operators' configuration for a kind of jobs.
type Queue struct {
	Name        string  `json:"n"`
	Pool        string  `json:"s"`           // pool of the workers that may run its tasks
	Priority    int     `json:"p"`           // 0 is the highest and may preempt others
	MaxAttempts int     `json:"a"`           // number of failed runs of a task that fails its job
	Stretch     float64 `json:"x"`           // completion objective as a multiple of the job's critical path
	TargetMS    int64   `json:"l"`           // milliseconds added to the completion objective
	NeedsAdvice bool    `json:"v,omitempty"` // an external service advises which workers may run a step
}

// OccurrenceCount returns how often the steps run.
func (s *Submission) OccurrenceCount() int { return max(1, s.Occurrences) }

// TasksPerOccurrence returns the number of tasks in one occurrence.
func (s *Submission) TasksPerOccurrence() int {
	total := 0
	for index := range s.Steps {
		total += s.Steps[index].Tasks
	}
	return total
}

const (
	// jobBytes and stepBytes are what an instance keeps of a job, and of each of its steps, besides their
	// texts: the leader's state is included.
	jobBytes  = 1500
	stepBytes = 320
)

// MemoryBytes returns what an instance needs to keep the job while nothing of it is due.
func (s *Submission) MemoryBytes() int64 {
	total := jobBytes + len(s.ID) + len(s.Spec) + len(s.Workspace)
	for index := range s.Steps {
		step := &s.Steps[index]
		total += stepBytes + 8*len(step.After) + len(step.RequiredLabel) + len(step.DataRack) + len(step.Image)
	}
	return int64(total)
}

// MaxTasksPerJob is the maximum number of tasks of a job over all occurrences. It bounds
// the size of the progress, which is a single record.
const MaxTasksPerJob = 3000

// validate returns an error if the record is not a valid submission of the job, since
// other writers may append to the same stream.
func (s *Submission) validate(id string) error {
	if s.ID != id || !ValidName(id) || strings.Contains(id, ".") {
		return eris.Errorf("submission of %q under %q", s.ID, id)
	}
	if len(s.Steps) == 0 || s.Occurrences < 0 || s.Occurrences > MaxTasksPerJob {
		return eris.Errorf("submission of %s has no steps or an invalid number of occurrences", id)
	}
	tasks := 0
	for index := range s.Steps {
		if !s.Steps[index].valid(index) {
			return eris.Errorf("submission of %s: step %d is invalid", id, index)
		}
		tasks += s.Steps[index].Tasks
	}
	if tasks*s.OccurrenceCount() > MaxTasksPerJob {
		return eris.Errorf("submission of %s has more tasks than allowed", id)
	}
	return nil
}

func (s *Step) valid(index int) bool {
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= index {
			return false
		}
	}
	return s.Tasks >= 1 && s.Tasks <= MaxTasksPerJob && s.Need.MilliCores >= 0 && s.Need.MemoryMB >= 0 && s.Need.Accelerators >= 0
}

// limit moves numbers that are out of bounds to their bounds. Callers may state any number, so a
// job that was accepted is not refused for them.
func (s *Submission) limit() {
	s.Queue = s.Queue.Limited()
	s.FirstAtMS = clamp(s.FirstAtMS, -MaxTimeMS, MaxTimeMS)
	s.PeriodMS = clamp(s.PeriodMS, 0, MaxTimeMS)
	estimateMS := int64(0)
	for index := range s.Steps {
		step := &s.Steps[index]
		step.Need = step.Need.limitedNeed()
		step.EstimateMS = clamp(step.EstimateMS, 0, MaxEstimateMS-estimateMS)
		estimateMS += step.EstimateMS
	}
}

// Limited returns the queue with numbers that are out of bounds moved to their bounds.
func (q Queue) Limited() Queue {
	q.Priority = min(q.Priority, MaxPriority)
	q.Stretch = clamp(q.Stretch, 0, MaxStretch)
	q.TargetMS = clamp(q.TargetMS, 0, MaxEstimateMS)
	return q
}

// TaskKey identifies a task.
type TaskKey struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the key in the format used in logs.
func (k TaskKey) String() string {
	return k.Job + "." + strconv.Itoa(k.Occurrence) + "." + strconv.Itoa(k.Step) + "." + strconv.Itoa(k.Index)
}

// State is the state of a job as reported to callers.
type State string

// States of a job. The last three are final.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateDone      State = "done"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Final reports whether a job in this state has ended.
func (s State) Final() bool { return s == StateDone || s == StateFailed || s == StateCancelled }
