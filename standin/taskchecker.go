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
	history      map[string][]string // starts and ends, by task

	evacuated      map[string]time.Time // start of the evacuation, by availability zone
	evacuateWithin time.Duration        // time from the start of an evacuation until no task may start in the zone
}

// NewTaskChecker returns a checker without tasks.
func NewTaskChecker() *TaskChecker {
	return &TaskChecker{running: map[string]*TaskWorker{}, started: map[string]int64{}, acknowledged: map[string]bool{}, history: map[string][]string{}, evacuated: map[string]time.Time{}}
}

// Evacuate records that an availability zone is evacuated: when within has passed, and
// until EndEvacuation, no task may start there.
func (c *TaskChecker) Evacuate(zone string, within time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evacuateWithin = within
	c.evacuated[zone] = time.Now()
}

// EndEvacuation records that an availability zone may be used again.
func (c *TaskChecker) EndEvacuation(zone string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.evacuated, zone)
}

// checkZone records a violation if a task starts in an evacuated zone too late. Starts on
// a worker whose orders may have been delayed are exempt. The caller holds c.mu.
func (c *TaskChecker) checkZone(w *TaskWorker, task string, run int) {
	since, evacuated := c.evacuated[w.Zone]
	if !evacuated || time.Since(since) <= c.evacuateWithin {
		return
	}
	if w.UndelayedFor == nil || w.UndelayedFor(c.evacuateWithin) {
		c.addViolation("%s run %d starts on %s %v after its zone %s was evacuated", task, run, w.ID, time.Since(since), w.Zone)
	}
}

// Violations returns the violations that were recorded.
func (c *TaskChecker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// History returns the starts and ends of a task, one a line, with their times.
func (c *TaskChecker) History(task string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.history[task]...)
}

// addHistory records a start or an end. The caller holds c.mu.
func (c *TaskChecker) addHistory(w *TaskWorker, task, event string) {
	at := time.Now().UTC().Format("15:04:05.000")
	c.history[task] = append(c.history[task], fmt.Sprintf("%s %s at %s, started at %d", at, event, w.ID, w.BornMS))
}

func (c *TaskChecker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// recordStart records that a task starts on a worker, and checks that it may.
func (c *TaskChecker) recordStart(w *TaskWorker, task string, run int) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seq++
	if other := c.running[task]; other != nil {
		c.addViolation("%s run %d starts on %s while it runs on %s", task, run, w.ID, other.ID)
	}
	if c.acknowledged[task] {
		c.addViolation("%s run %d starts on %s after its end as done was acknowledged", task, run, w.ID)
	}
	c.checkZone(w, task, run)
	c.addHistory(w, task, fmt.Sprintf("run %d starts", run))
	c.running[task] = w
	c.started[task] = c.seq
}

// recordEnd records that a task no longer runs on a worker, and returns the seq of its end.
func (c *TaskChecker) recordEnd(w *TaskWorker, task, outcome string) int64 {
	if c == nil {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seq++
	c.addHistory(w, task, outcome)
	if c.running[task] == w {
		delete(c.running, task)
	}
	return c.seq
}

// recordAck records that an end as done was acknowledged. seq is that of the end.
func (c *TaskChecker) recordAck(task string, seq int64) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acknowledged[task] = true
	if c.started[task] > seq {
		c.addViolation("%s had been started again when its end as done was acknowledged", task)
	}
}
