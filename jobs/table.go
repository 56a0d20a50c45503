package jobs

import (
	"maps"
	"sort"

	"github.com/rotisserie/eris"
)

// Job is the folded state of one job.
type Job struct {
	Submission         *Submission // nil until the submission is read; other records may come first
	Progress           []byte      // value of the newest progress record; nil before the first task is placed and on instances that do not read progress
	RecordedState      State       // state in the newest state record; empty before the first
	Cancelled          bool        // a cancellation was read
	FinalStateReported bool        // this instance reported the final state to a caller
	Parts              uint64      // bit set of the stream's parts in which caller records of the job were read
	progressNextOffset int64       // offset of Progress plus 1
	stateNextOffset    int64       // offset of the newest state record plus 1
	progressState      State       // state in Progress
}

// State returns the state as reported to callers. A final state written by the leader
// takes precedence over a later cancellation.
func (j *Job) State() State {
	switch {
	case j.progressState.Final():
		return j.progressState
	case j.RecordedState.Final():
		return j.RecordedState
	case j.Cancelled:
		return StateCancelled
	case j.progressState == StateRunning || j.RecordedState == StateRunning:
		return StateRunning
	}
	return StateQueued
}

// Change describes the effect of a record on the fold.
type Change struct {
	JobID       string // ID of the changed job, or empty
	TermUpdated bool   // a later term or a renewal of the newest one was folded
}

// Table is the fold of the work stream. It is not safe for concurrent use.
type Table struct {
	jobs      map[string]*Job
	term      Term
	groupMark string // epoch and number of the newest progress group, see GroupMarkRecord
	instances map[string]Instance

	speeds           *Speeds // newest that could be read; nil if there is none
	speedsNextOffset int64   // offset of speeds plus 1

	submissionBytes int64 // memory of the submissions, see Submission.MemoryBytes

	unreached           *Unreached // newest; nil if there is none or it could not be read
	unreachedNextOffset int64      // offset of unreached plus 1
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{jobs: map[string]*Job{}, instances: map[string]Instance{}} }

// Instances returns the announced instances by name. Some may no longer run.
func (t *Table) Instances() map[string]Instance { return maps.Clone(t.instances) }

// Term returns the newest term.
func (t *Table) Term() Term { return t.term }

// Job returns the job, or nil if no submission of it was read.
func (t *Table) Job(id string) *Job {
	job := t.jobs[id]
	if job == nil || job.Submission == nil {
		return nil
	}
	return job
}

// Contains reports whether a submission, cancellation or instance record need not be
// appended again: its content was folded, from this record or from a duplicate, or, for
// a cancellation, the job is in a final state anyway.
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

// Len returns the number of jobs in the table.
func (t *Table) Len() int { return len(t.jobs) }

// All returns the submitted jobs in order of acceptance.
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

// CountByState returns the number of jobs by state.
func (t *Table) CountByState() map[State]int {
	counts := map[State]int{}
	for _, job := range t.jobs {
		if job.Submission != nil {
			counts[job.State()]++
		}
	}
	return counts
}

// QueuedCount returns the number of a queue's jobs in StateQueued: no task of them has started yet.
func (t *Table) QueuedCount(queue string) int {
	count := 0
	for _, job := range t.jobs {
		if job.Submission != nil && job.Submission.Queue.Name == queue && job.State() == StateQueued {
			count++
		}
	}
	return count
}

// Apply folds one record of a part. Offsets count within a part; all progress records
// are in one part, and so are all state records. If the value is not valid, as that of
// another writer, Apply returns an error and leaves the table unchanged, except for
// Unreached. An empty value is the deletion of the key.
func (t *Table) Apply(record Record, part int, offset int64) (Change, error) {
	if record.Key == termKey {
		return t.applyTerm(record)
	}
	if record.Key == markKey {
		t.groupMark = string(record.Value)
		return Change{}, nil
	}
	if record.Key == speedsKey {
		return Change{}, t.applySpeeds(record, offset)
	}
	if record.Key == unreachedKey {
		return Change{}, t.applyUnreached(record, offset)
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

// Speeds returns the newest speeds of workers that could be read, or nil.
func (t *Table) Speeds() *Speeds { return t.speeds }

func (t *Table) applySpeeds(record Record, offset int64) error {
	if len(record.Value) == 0 || offset < t.speedsNextOffset {
		return nil
	}
	speeds, err := DecodeSpeeds(record.Value)
	if err != nil {
		return err
	}
	t.speeds = speeds
	t.speedsNextOffset = offset + 1
	return nil
}

func (t *Table) applyInstance(name string, record Record) error {
	instance, err := decode[Instance](record)
	if err != nil {
		return err
	}
	if instance.Address == "" {
		return eris.New("instance " + name + " has no address")
	}
	if instance.CPUShare < 0 || instance.CPUShare > MaxCPUShare {
		return eris.Errorf("instance %s has %g cores", name, instance.CPUShare)
	}
	if !inRange(instance.MemoryMB, MaxMemoryMB) {
		return eris.Errorf("instance %s has %d MB", name, instance.MemoryMB)
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
	if term.Epoch < 1 || term.Epoch > MaxEpoch || !inRange(term.FormerLeasesMS, MaxLeaseMS) || !inRange(term.LeaseLimitMS, MaxLeaseMS) {
		return Change{}, eris.Errorf("term %d, its former leases of %d ms or its limit of %d ms are out of range", term.Epoch, term.FormerLeasesMS, term.LeaseLimitMS)
	}
	if !inRange(term.AgeMS, MaxTimeMS) || !inRange(int64(term.ShortTerms), MaxRun) {
		return Change{}, eris.Errorf("term %d of %d ms follows %d short ones", term.Epoch, term.AgeMS, term.ShortTerms)
	}
	if term.Epoch < t.term.Epoch {
		return Change{}, nil
	}
	t.term = *term
	return Change{TermUpdated: true}, nil
}

// SubmissionBytes returns the memory that the submissions of all jobs take, of those that wait, run
// or have ended and are kept.
func (t *Table) SubmissionBytes() int64 { return t.submissionBytes }

// LeastMemoryMB returns the memory of the smallest instance that has announced it, or 0 if none has.
func (t *Table) LeastMemoryMB() int64 {
	least := int64(0)
	for _, instance := range t.instances {
		if instance.MemoryMB > 0 && (least == 0 || instance.MemoryMB < least) {
			least = instance.MemoryMB
		}
	}
	return least
}

func (t *Table) remove(id string) {
	if job := t.jobs[id]; job != nil && job.Submission != nil {
		t.submissionBytes -= job.Submission.MemoryBytes()
	}
	delete(t.jobs, id)
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
		if job := t.jobs[id]; job != nil && job.Progress == nil && job.RecordedState == "" {
			t.remove(id)
		}
		return Change{JobID: id}, nil
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
	submission.limit()
	job := t.ensureJob(id)
	job.Submission = submission
	t.submissionBytes += submission.MemoryBytes()
	job.Parts |= 1 << part
	return Change{JobID: id}, nil
}

func (t *Table) applyCancel(id string, record Record, part int) Change {
	if len(record.Value) == 0 {
		return Change{}
	}
	job := t.ensureJob(id)
	job.Parts |= 1 << part
	job.Cancelled = true
	return Change{JobID: id}
}

func (t *Table) applyProgress(id string, record Record, offset int64) (Change, error) {
	if job := t.jobs[id]; job != nil && offset < job.progressNextOffset {
		return Change{}, nil // older than the page of newest records that was read before
	}
	if len(record.Value) == 0 {
		return Change{}, nil // the deletion of the state record follows
	}
	state, err := decodeState(record.Value)
	if err != nil {
		return Change{}, err
	}
	job := t.ensureJob(id)
	job.Progress = record.Value
	job.progressState = state
	job.progressNextOffset = offset + 1
	return Change{JobID: id}, nil
}

func (t *Table) applyState(id string, record Record, offset int64) (Change, error) {
	if job := t.jobs[id]; job != nil && offset < job.stateNextOffset {
		return Change{}, nil // older than the page of newest records that was read before
	}
	if len(record.Value) == 0 {
		t.remove(id)
		return Change{JobID: id}, nil
	}
	state, err := decodeState(record.Value)
	if err != nil {
		return Change{}, err
	}
	job := t.ensureJob(id)
	job.RecordedState = state
	job.stateNextOffset = offset + 1
	return Change{JobID: id}, nil
}

// GroupMark returns the value of the newest mark of a progress group, which tells
// whether that group was appended, see GroupMarkRecord.
func (t *Table) GroupMark() string { return t.groupMark }
