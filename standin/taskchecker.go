package standin

import (
	"fmt"
	"sync"
	"time"
)

// TaskChecker checks invariants of tasks across several workers: a task runs on one worker
// at a time, and does not start again after its end as done was acknowledged.
type TaskChecker struct {
	mu           sync.Mutex
	seq          int64
	running      map[string]*TaskWorker // by task
	started      map[string]int64       // seq of the last start, by task
	acknowledged map[string]bool
	violations   []string

	evacuated      map[string]time.Time // start of the evacuation, by availability zone
	evacuateWithin time.Duration        // time after which no task may start there; see Evacuate
}

// NewTaskChecker returns a ledger without tasks.
func NewTaskChecker() *TaskChecker {
	return &TaskChecker{running: map[string]*TaskWorker{}, started: map[string]int64{}, acknowledged: map[string]bool{}, evacuated: map[string]time.Time{}}
}

// Evacuate records that an availability zone is evacuated: from within after now until
// Return, no task may start there.
func (l *TaskChecker) Evacuate(zone string, within time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evacuateWithin = within
	l.evacuated[zone] = time.Now()
}

// EndEvacuation records that an availability zone may be used again.
func (l *TaskChecker) EndEvacuation(zone string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.evacuated, zone)
}

// checkZone records a violation if a task starts in an evacuated zone too late. Starts on
// a worker whose orders may have been delayed are exempt. The caller holds l.mu.
func (l *TaskChecker) checkZone(w *TaskWorker, task string, run int) {
	since, evacuated := l.evacuated[w.Zone]
	if !evacuated || time.Since(since) <= l.evacuateWithin {
		return
	}
	if w.UndelayedFor == nil || w.UndelayedFor(l.evacuateWithin) {
		l.addViolation("%s run %d starts on %s %v after its zone %s was evacuated", task, run, w.ID, time.Since(since), w.Zone)
	}
}

// Violations returns the violations that were recorded.
func (l *TaskChecker) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.violations...)
}

func (l *TaskChecker) addViolation(format string, args ...any) {
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

// recordStart records that a task starts on a worker, and checks that it may.
func (l *TaskChecker) recordStart(w *TaskWorker, task string, run int) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq++
	if other := l.running[task]; other != nil {
		l.addViolation("%s run %d starts on %s while it runs on %s", task, run, w.ID, other.ID)
	}
	if l.acknowledged[task] {
		l.addViolation("%s run %d starts on %s after its end as done was acknowledged", task, run, w.ID)
	}
	l.checkZone(w, task, run)
	l.running[task] = w
	l.started[task] = l.seq
}

// recordEnd records that a task no longer runs on a worker, and returns the seq of its end.
func (l *TaskChecker) recordEnd(w *TaskWorker, task string) int64 {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq++
	if l.running[task] == w {
		delete(l.running, task)
	}
	return l.seq
}

// recordAck records that an end as done was acknowledged. seq is that of the end.
func (l *TaskChecker) recordAck(task string, seq int64) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acknowledged[task] = true
	if l.started[task] > seq {
		l.addViolation("%s had been started again when its end as done was acknowledged", task)
	}
}
