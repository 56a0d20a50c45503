package standin

import (
	"fmt"
	"sync"
	"time"
)

// TaskLedger holds what several workers do against what must hold of a task wherever it
// runs: at one place at a time, and not again once an end as done was taken note of.
type TaskLedger struct {
	mu      sync.Mutex
	count   int64
	running map[string]*TaskWorker // by task
	started map[string]int64       // when a task was last started, by count
	noted   map[string]bool
	faults  []string

	evacuated map[string]time.Time // availability zones, by since when
	within    time.Duration        // after which nothing may start there; see Evacuate
}

// NewTaskLedger returns a ledger of nothing.
func NewTaskLedger() *TaskLedger {
	return &TaskLedger{running: map[string]*TaskWorker{}, started: map[string]int64{}, noted: map[string]bool{}, evacuated: map[string]time.Time{}}
}

// Evacuate says that nothing may be started in an availability zone from some time on,
// until Return.
func (l *TaskLedger) Evacuate(zone string, within time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.within = within
	l.evacuated[zone] = time.Now()
}

// Return says that an availability zone may be used again.
func (l *TaskLedger) Return(zone string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.evacuated, zone)
}

// checkZone is called with l.mu held.
func (l *TaskLedger) checkZone(w *TaskWorker, task string, run int) {
	since, evacuated := l.evacuated[w.Zone]
	if !evacuated || time.Since(since) <= l.within {
		return
	}
	if w.CalmFor == nil || w.CalmFor(l.within) {
		l.fault("%s run %d starts on %s %v after its zone %s was evacuated", task, run, w.ID, time.Since(since), w.Zone)
	}
}

// Faults are what did not hold.
func (l *TaskLedger) Faults() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.faults...)
}

func (l *TaskLedger) fault(format string, args ...any) {
	l.faults = append(l.faults, fmt.Sprintf(format, args...))
}

// start takes that a task begins on a worker.
func (l *TaskLedger) start(w *TaskWorker, task string, run int) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count++
	if other := l.running[task]; other != nil {
		l.fault("%s run %d starts on %s while it runs on %s", task, run, w.ID, other.ID)
	}
	if l.noted[task] {
		l.fault("%s run %d starts on %s after its end as done was taken note of", task, run, w.ID)
	}
	l.checkZone(w, task, run)
	l.running[task] = w
	l.started[task] = l.count
}

// end takes that a task does not run on a worker any more, and returns when.
func (l *TaskLedger) end(w *TaskWorker, task string) int64 {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count++
	if l.running[task] == w {
		delete(l.running, task)
	}
	return l.count
}

// note takes that an end as done was taken note of.
func (l *TaskLedger) note(task string, at int64) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.noted[task] = true
	if l.started[task] > at {
		l.fault("%s had been started again when its end as done was taken note of", task)
	}
}
