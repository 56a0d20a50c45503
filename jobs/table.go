package jobs

import (
	"maps"
	"sort"

	"github.com/rotisserie/eris"
)

// Job is the folded state of one job.
type Job struct {
	Submission         *Submission // nil while only other records of it were read
	Progress           []byte      // value of the newest progress record; nil before the first task was placed, or where progress is not read
	Shown              State       // as the newest state record says; empty before the first
	Cancelled          bool        // a cancellation is on record
	Told               bool        // a caller of this instance was told of the final state
	Parts              uint64      // parts of the stream in which records of it were read, a bit each
	progressNextOffset int64       // offset of Progress plus one
	stateNextOffset    int64       // offset of Shown plus one
	progressState      State       // as Progress says
}

// State is what callers are told. A final state that the placing instance has
// written stands, also if a cancellation came too late for it.
func (j *Job) State() State {
	switch {
	case j.progressState.Final():
		return j.progressState
	case j.Shown.Final():
		return j.Shown
	case j.Cancelled:
		return StateCancelled
	case j.progressState == StateRunning || j.Shown == StateRunning:
		return StateRunning
	}
	return StateQueued
}

// Change says what a record changed.
type Change struct {
	Job  string // ID of the job that changed; empty if none did
	Term bool   // the term changed or was renewed
}

// Table is the fold of the work stream. It is not safe for concurrent use.
type Table struct {
	jobs      map[string]*Job
	term      Term
	groupMark string
	instances map[string]Instance
}

// NewTable returns an empty fold.
func NewTable() *Table { return &Table{jobs: map[string]*Job{}, instances: map[string]Instance{}} }

// Instances returns what instances said of themselves, by name. Some may be gone.
func (t *Table) Instances() map[string]Instance { return maps.Clone(t.instances) }

// Term returns the newest term.
func (t *Table) Term() Term { return t.term }

// Job returns a job that was submitted, or nil.
func (t *Table) Job(id string) *Job {
	job := t.jobs[id]
	if job == nil || job.Submission == nil {
		return nil
	}
	return job
}

// Contains reports whether what a caller's record says was folded, from this
// record or from another copy of it.
func (t *Table) Contains(record Record) bool {
	if id, ok := cutKeyPrefix(record.Key, submissionPrefix); ok {
		return t.Job(id) != nil
	}
	if id, ok := cutKeyPrefix(record.Key, cancelPrefix); ok {
		job := t.Job(id)
		return job != nil && job.State().Final()
	}
	name, ok := cutKeyPrefix(record.Key, instancePrefix)
	if !ok {
		return false
	}
	instance, err := decode[Instance](record)
	return err == nil && t.instances[name] == *instance
}

// Len is the number of submitted jobs that are remembered.
func (t *Table) Len() int { return len(t.jobs) }

// All returns the submitted jobs in the order of their acceptance.
func (t *Table) All() []*Job {
	list := make([]*Job, 0, len(t.jobs))
	for _, job := range t.jobs {
		if job.Submission != nil {
			list = append(list, job)
		}
	}
	sort.Slice(list, func(a, b int) bool {
		first, second := list[a].Submission, list[b].Submission
		if first.AcceptedMS != second.AcceptedMS {
			return first.AcceptedMS < second.AcceptedMS
		}
		return first.ID < second.ID
	})
	return list
}

// Counts returns how many jobs are in each state.
func (t *Table) Counts() map[State]int {
	counts := map[State]int{}
	for _, job := range t.jobs {
		if job.Submission != nil {
			counts[job.State()]++
		}
	}
	return counts
}

// Waiting counts a queue's jobs of which no task was placed.
func (t *Table) Waiting(queue string) int {
	count := 0
	for _, job := range t.jobs {
		if job.Submission != nil && job.Submission.Queue.Name == queue && job.State() == StateQueued {
			count++
		}
	}
	return count
}

// Apply folds one record of a part. Offsets count within a part; all progress
// lies in one, and so do all states. An error says that the record's value is not
// one of ours; the fold is then as before.
func (t *Table) Apply(record Record, part int, offset int64) (Change, error) {
	if record.Key == termKey {
		return t.applyTerm(record)
	}
	if record.Key == markKey {
		t.groupMark = string(record.Value)
		return Change{}, nil
	}
	if name, ok := cutKeyPrefix(record.Key, instancePrefix); ok {
		return Change{}, t.applyInstance(name, record)
	}
	if id, ok := cutKeyPrefix(record.Key, submissionPrefix); ok {
		return t.applySubmission(id, record, part)
	}
	if id, ok := cutKeyPrefix(record.Key, cancelPrefix); ok {
		return t.applyCancel(id, record, part), nil
	}
	if id, ok := cutKeyPrefix(record.Key, progressPrefix); ok {
		return t.applyProgress(id, record, offset)
	}
	if id, ok := cutKeyPrefix(record.Key, statePrefix); ok {
		return t.applyState(id, record, offset)
	}
	return Change{}, nil
}

func (t *Table) applyInstance(name string, record Record) error {
	instance, err := decode[Instance](record)
	if err != nil {
		return err
	}
	if instance.Address == "" {
		return eris.New("instance " + name + " names no address")
	}
	t.instances[name] = *instance
	return nil
}

func (t *Table) applyTerm(record Record) (Change, error) {
	if len(record.Value) == 0 {
		return Change{}, nil
	}
	term, err := decode[Term](record)
	if err != nil {
		return Change{}, err
	}
	if term.Epoch < 1 {
		return Change{}, eris.Errorf("a term of epoch %d", term.Epoch)
	}
	if term.Epoch < t.term.Epoch {
		return Change{}, nil
	}
	t.term = *term
	return Change{Term: true}, nil
}

func (t *Table) ensureJob(id string) *Job {
	job := t.jobs[id]
	if job == nil {
		job = &Job{}
		t.jobs[id] = job
	}
	return job
}

func (t *Table) applySubmission(id string, record Record, part int) (Change, error) {
	if len(record.Value) == 0 {
		if job := t.jobs[id]; job != nil && job.Progress == nil && job.Shown == "" {
			delete(t.jobs, id)
		}
		return Change{Job: id}, nil
	}
	if job := t.jobs[id]; job != nil && job.Submission != nil {
		job.Parts |= 1 << part
		return Change{}, nil
	}
	submission, err := decode[Submission](record)
	if err != nil {
		return Change{}, err
	}
	if err := submission.validate(id); err != nil {
		return Change{}, err
	}
	job := t.ensureJob(id)
	job.Submission = submission
	job.Parts |= 1 << part
	return Change{Job: id}, nil
}

func (t *Table) applyCancel(id string, record Record, part int) Change {
	if len(record.Value) == 0 {
		return Change{}
	}
	job := t.ensureJob(id)
	job.Parts |= 1 << part
	job.Cancelled = true
	return Change{Job: id}
}

func (t *Table) applyProgress(id string, record Record, offset int64) (Change, error) {
	if job := t.jobs[id]; job != nil && offset < job.progressNextOffset {
		return Change{}, nil // a page was newer than this tail
	}
	if len(record.Value) == 0 {
		return Change{}, nil // its state follows
	}
	state, err := decodeState(record.Value)
	if err != nil {
		return Change{}, err
	}
	job := t.ensureJob(id)
	job.Progress = record.Value
	job.progressState = state
	job.progressNextOffset = offset + 1
	return Change{Job: id}, nil
}

func (t *Table) applyState(id string, record Record, offset int64) (Change, error) {
	if job := t.jobs[id]; job != nil && offset < job.stateNextOffset {
		return Change{}, nil // a page was newer than this tail
	}
	if len(record.Value) == 0 {
		delete(t.jobs, id)
		return Change{Job: id}, nil
	}
	state, err := decodeState(record.Value)
	if err != nil {
		return Change{}, err
	}
	job := t.ensureJob(id)
	job.Shown = state
	job.stateNextOffset = offset + 1
	return Change{Job: id}, nil
}

// Mark is the value of the newest mark of a group of progress.
func (t *Table) Mark() string { return t.groupMark }
