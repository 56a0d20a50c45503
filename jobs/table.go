package jobs

import "sort"

// Job is the folded state of one job.
type Job struct {
	Submission *Submission // nil while only other records of it were read
	Progress   *Progress   // nil before the first task was placed
	Cancelled  bool        // a cancellation is on record, and no earlier final state

	cancelAt   int64 // offset of the cancellation
	finalAt    int64 // offset of the first final state read
	acceptedAt int64
	progressAt int64 // offset of Progress plus one
}

// State is what callers are told.
func (j *Job) State() State {
	if j.Cancelled {
		return StateCancelled
	}
	if j.Progress == nil {
		return StateQueued
	}
	return j.Progress.State
}

// Change says what a record changed.
type Change struct {
	Job  string // ID of the job that changed; empty if none did
	Term bool   // the term changed or was renewed
}

// Table is the fold of the work stream. It is not safe for concurrent use.
type Table struct {
	jobs map[string]*Job
	term Term
}

// NewTable returns an empty fold.
func NewTable() *Table { return &Table{jobs: map[string]*Job{}} }

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

// Len is the number of submitted jobs that are remembered.
func (t *Table) Len() int { return len(t.jobs) }

// All returns the submitted jobs in the order of their first records.
func (t *Table) All() []*Job {
	list := make([]*Job, 0, len(t.jobs))
	for _, job := range t.jobs {
		if job.Submission != nil {
			list = append(list, job)
		}
	}
	sort.Slice(list, func(a, b int) bool {
		if list[a].acceptedAt != list[b].acceptedAt {
			return list[a].acceptedAt < list[b].acceptedAt
		}
		return list[a].Submission.ID < list[b].Submission.ID
	})
	return list
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

// Apply folds one record. An error says that the record's value is not one of
// ours; the fold is then as before.
func (t *Table) Apply(record Record, offset int64) (Change, error) {
	if record.Key == termKey {
		return t.applyTerm(record)
	}
	if id, ok := subject(record.Key, submissionPrefix); ok {
		return t.applySubmission(id, record, offset)
	}
	if id, ok := subject(record.Key, cancelPrefix); ok {
		return t.applyCancel(id, record, offset), nil
	}
	if id, ok := subject(record.Key, progressPrefix); ok {
		return t.applyProgress(id, record, offset)
	}
	return Change{}, nil
}

func (t *Table) applyTerm(record Record) (Change, error) {
	if len(record.Value) == 0 {
		return Change{}, nil
	}
	term, err := decode[Term](record)
	if err != nil {
		return Change{}, err
	}
	if term.Epoch < t.term.Epoch {
		return Change{}, nil
	}
	t.term = *term
	return Change{Term: true}, nil
}

func (t *Table) job(id string) *Job {
	job := t.jobs[id]
	if job == nil {
		job = &Job{}
		t.jobs[id] = job
	}
	return job
}

func (t *Table) applySubmission(id string, record Record, offset int64) (Change, error) {
	if len(record.Value) == 0 {
		if job := t.jobs[id]; job != nil && job.Progress == nil {
			delete(t.jobs, id)
		}
		return Change{Job: id}, nil
	}
	if known := t.jobs[id]; known != nil && known.Submission != nil {
		return Change{}, nil
	}
	submission, err := decode[Submission](record)
	if err != nil {
		return Change{}, err
	}
	job := t.job(id)
	job.Submission = submission
	job.acceptedAt = offset
	return Change{Job: id}, nil
}

func (t *Table) applyCancel(id string, record Record, offset int64) Change {
	if len(record.Value) == 0 {
		return Change{}
	}
	job := t.job(id)
	if job.Cancelled || (job.finalAt > 0 && job.finalAt <= offset) {
		return Change{}
	}
	job.Cancelled = true
	job.cancelAt = offset
	return Change{Job: id}
}

func (t *Table) applyProgress(id string, record Record, offset int64) (Change, error) {
	if known := t.jobs[id]; known != nil && offset < known.progressAt {
		return Change{}, nil // a page was newer than this tail
	}
	if len(record.Value) == 0 {
		delete(t.jobs, id)
		return Change{Job: id}, nil
	}
	progress, err := decode[Progress](record)
	if err != nil {
		return Change{}, err
	}
	job := t.job(id)
	job.Progress = progress
	job.progressAt = offset + 1
	t.settleFinal(job, progress, offset)
	return Change{Job: id}, nil
}

// settleFinal decides between a cancellation and another final state by their
// offsets; pages of newest records bring them in the order of their keys.
func (t *Table) settleFinal(job *Job, progress *Progress, offset int64) {
	if !progress.State.Final() || job.finalAt > 0 {
		return
	}
	job.finalAt = offset + 1
	if job.Cancelled && job.cancelAt > offset && progress.State != StateCancelled {
		job.Cancelled = false
	}
}
