package standin

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// TaskWorker is a stand-in of one worker of the users' platform that runs tasks under
// leases. A task runs for RunTime and ends as done, or as failed if its spec begins with
// "fail". A task whose spec begins with "long" runs LongRunFactor times as long, and one
// whose spec begins with "crash" calls Crash on a separate goroutine. A TaskWorker is one
// incarnation of the worker: a worker that replaces it, under the same ID or another, is
// another TaskWorker.
type TaskWorker struct {
	ID            string
	BornMS        int64 // start of this incarnation in Unix milliseconds; 0 to omit it from replies
	RunTime       time.Duration
	MaxLease      time.Duration // longest lease; 0 for no limit
	ClockSlowdown float64       // fraction of time that the worker's clock loses
	InitialUptime time.Duration // time since the start of the worker's clock when it starts here
	Crash         func()
	Zone          string // availability zone
	// UndelayedFor reports whether no order to the worker was delayed during the last span.
	// Only then does Checker report a start in an evacuated zone. Nil means always.
	UndelayedFor func(span time.Duration) bool
	Checker      *TaskChecker     // records starts and ends; nil for none
	Gangs        *GangCoordinator // of the fleet; nil if every task runs by itself

	mu          sync.Mutex
	halted      bool
	startedAt   time.Time
	fence       int64       // highest epoch of a term that sent an order
	leaseUntil  int64       // expiry of the lease, by the worker's clock
	leaseTimer  *time.Timer // nil before the first lease
	expiredRuns int         // runs that ended when the lease expired, and ends unacknowledged at that time
	running     map[string]*taskRun
	highestRun  map[string]int // highest run number stopped or ended, by task
	ends        []taskEnd
	lastCursor  int64 // number of the last end; ends are acknowledged up to a number
	endsChanged chan struct{}
	starts      map[string]int // by task
	done        map[string]int // ends as done, by task
	lostDone    map[string]int // ends as done that were lost with the worker unacknowledged, by task
	strayAcks   int            // hold orders that acknowledged ends that this incarnation never had
	router      *mux.Router
}

// NewTaskWorker returns an idle worker.
func NewTaskWorker(id string, runTime time.Duration) *TaskWorker {
	w := &TaskWorker{ID: id, RunTime: runTime, startedAt: time.Now(), running: map[string]*taskRun{},
		highestRun: map[string]int{}, endsChanged: make(chan struct{}), starts: map[string]int{}, done: map[string]int{}, lostDone: map[string]int{}, router: mux.NewRouter()}
	w.router.HandleFunc("/api/run-start", w.serveStart).Methods(http.MethodPost)
	w.router.HandleFunc("/api/run-stop", w.serveStop).Methods(http.MethodPost)
	w.router.HandleFunc("/api/hold", w.serveHold).Methods(http.MethodPost)
	return w
}

// ServeHTTP implements http.Handler.
func (w *TaskWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("X-Teaselcleat-Expect-Instance"); expected != "" && expected != w.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.router.ServeHTTP(rw, r)
}

// Starts returns how many times a task was started on this worker.
func (w *TaskWorker) Starts(task string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts[task]
}

// Done returns how many times a task ended as done on this worker.
func (w *TaskWorker) Done(task string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.done[task]
}

// Halt ends all runs without recording an end, as when the worker loses power. Ends that
// were not acknowledged are lost.
func (w *TaskWorker) Halt() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, end := range w.ends {
		if task, done := end.outcome(); done {
			w.lostDone[task]++
		}
	}
	w.ends = nil
	w.halted = true
	if w.leaseTimer != nil {
		w.leaseTimer.Stop()
	}
	for task, run := range w.running {
		run.cancel()
		w.Checker.recordEnd(w, task, "died")
	}
	clear(w.running)
}

// LostDone returns how many ends as done of a task were lost with the worker before they were
// acknowledged.
func (w *TaskWorker) LostDone(task string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lostDone[task]
}

// StrayAcks returns how many hold orders acknowledged ends that this incarnation never had.
// Such an order is meant for another incarnation and would discard unread ends of this one.
func (w *TaskWorker) StrayAcks() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.strayAcks
}

// UnacknowledgedEnds returns the number of ends that were not acknowledged.
func (w *TaskWorker) UnacknowledgedEnds() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.ends)
}

// Running returns the number of running tasks.
func (w *TaskWorker) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running)
}

// Tasks returns the names of the running tasks.
func (w *TaskWorker) Tasks() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Collect(maps.Keys(w.running))
}

// taskOrder is the body of every order: start, stop, and hold, which renews the lease,
// acknowledges ends and fetches the worker's report (a poll, for the instances).
type taskOrder struct {
	Task      string `json:"task"`
	Run       int    `json:"run"`
	Spec      string `json:"spec"`
	UntilMS   int64  `json:"until_ms"`
	Fence     int64  `json:"fence"` // epoch of the sender's term
	AckCursor int64  `json:"ack_cursor"`
	WaitMS    int64  `json:"wait_ms"`
}

// clockMS returns the time of the worker's clock, in milliseconds from its start plus 1.
func (w *TaskWorker) clockMS() int64 {
	uptime := w.InitialUptime + time.Since(w.startedAt)
	return int64(float64(uptime.Milliseconds())*(1-w.ClockSlowdown)) + 1
}

// acceptOrder reads an order, refuses it if its epoch is lower than one seen before, and
// extends the lease. On success it returns with w.mu held.
func (w *TaskWorker) acceptOrder(rw http.ResponseWriter, r *http.Request) (order taskOrder, ok bool) {
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return order, false
	}
	w.mu.Lock()
	if w.halted {
		w.mu.Unlock()
		panic(http.ErrAbortHandler) // the worker is gone: the order gets no answer
	}
	if order.Fence < w.fence {
		w.mu.Unlock()
		w.writeRefusal(rw, "fence")
		return order, false
	}
	w.fence = order.Fence
	w.extendLease(order.UntilMS)
	return order, true
}

// extendLease extends the lease, limited to the longest that is allowed. It never shortens
// a lease. The caller holds w.mu.
func (w *TaskWorker) extendLease(untilMS int64) {
	if w.MaxLease > 0 {
		untilMS = min(untilMS, w.clockMS()+w.MaxLease.Milliseconds())
	}
	if untilMS <= w.leaseUntil {
		return
	}
	w.leaseUntil = untilMS
	if w.leaseTimer != nil {
		w.leaseTimer.Stop()
	}
	w.leaseTimer = time.AfterFunc(w.leaseRemaining(), w.expireLease)
}

// leaseRemaining converts the lease's remaining time from the worker's clock to real time.
func (w *TaskWorker) leaseRemaining() time.Duration {
	return time.Duration(float64(w.leaseUntil-w.clockMS())/(1-w.ClockSlowdown)) * time.Millisecond
}

// expireLease ends all runs, unless the lease was renewed meanwhile. A task whose end was
// not acknowledged before may be started elsewhere from then on.
func (w *TaskWorker) expireLease() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.halted {
		return
	}
	if remaining := w.leaseRemaining(); remaining > 0 {
		w.leaseTimer = time.AfterFunc(remaining, w.expireLease)
		return
	}
	for i := range w.ends {
		if !w.ends[i].expired {
			w.ends[i].expired = true
			w.expiredRuns++
		}
	}
	for task, run := range w.running {
		w.expiredRuns++
		w.endRun(task, run, "lapsed")
	}
}

// ExpiredRuns returns how many runs ended when their lease expired, or had ended and were not
// acknowledged before.
func (w *TaskWorker) ExpiredRuns() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.expiredRuns
}

// writeRefusal refuses an order. The reasons, as workers of the platform give them, are
// fence (of a lower epoch), old (this or a later run of the task has ended or was stopped,
// or another run of it is running) and late (there is no lease, or it has expired).
func (w *TaskWorker) writeRefusal(rw http.ResponseWriter, reason string) {
	writeReply(rw, http.StatusConflict, map[string]any{"clock_ms": w.clockMS(), "reason": reason})
}

func (w *TaskWorker) serveStart(rw http.ResponseWriter, r *http.Request) {
	order, ok := w.acceptOrder(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	if current := w.running[order.Task]; current != nil && current.number == order.Run {
		writeReply(rw, http.StatusOK, map[string]any{"clock_ms": w.clockMS()})
		return
	}
	if order.Run <= w.highestRun[order.Task] || w.running[order.Task] != nil {
		w.writeRefusal(rw, "old")
		return
	}
	if w.leaseUntil <= w.clockMS() {
		w.writeRefusal(rw, "late")
		return
	}
	w.starts[order.Task]++
	w.Checker.recordStart(w, order.Task, order.Run)
	run := &taskRun{number: order.Run, fails: strings.HasPrefix(order.Spec, "fail"), startedAt: time.Now(), duration: w.runDuration(order.Spec)}
	if size := gangSize(order.Task, order.Spec); size > 1 && w.Gangs != nil {
		run.gang = w.Gangs.join(size, gangMember{worker: w, task: order.Task, run: run})
	} else {
		run.timer = time.AfterFunc(run.duration, func() { w.finishRun(order.Task, run) })
	}
	w.running[order.Task] = run
	if strings.HasPrefix(order.Spec, "crash") && w.Crash != nil {
		go w.Crash()
	}
	writeReply(rw, http.StatusOK, map[string]any{"clock_ms": w.clockMS()})
}

func (w *TaskWorker) runDuration(spec string) time.Duration {
	if strings.HasPrefix(spec, "long") {
		return LongRunFactor * w.RunTime
	}
	return w.RunTime
}

func (w *TaskWorker) finishRun(task string, run *taskRun) {
	w.mu.Lock()
	defer w.mu.Unlock()
	outcome := "done"
	if run.fails {
		outcome = "failed"
	}
	w.endRun(task, run, outcome)
}

// endMember ends a gang task when its gang's run ends.
func (w *TaskWorker) endMember(task string, run *taskRun, outcome string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endRun(task, run, outcome)
}

// endRun removes a run and records its end, unless the run has ended already. The caller
// holds w.mu.
func (w *TaskWorker) endRun(task string, run *taskRun, outcome string) {
	if w.running[task] != run {
		return
	}
	run.cancel()
	delete(w.running, task)
	w.highestRun[task] = max(w.highestRun[task], run.number)
	w.lastCursor++
	if outcome == "done" {
		w.done[task]++
	}
	seq := w.Checker.recordEnd(w, task, outcome)
	w.ends = append(w.ends, taskEnd{cursor: w.lastCursor, run: run, row: []any{w.lastCursor, task, run.number, outcome, ""}, seq: seq})
	close(w.endsChanged)
	w.endsChanged = make(chan struct{})
}

func (w *TaskWorker) serveStop(rw http.ResponseWriter, r *http.Request) {
	order, ok := w.acceptOrder(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	w.highestRun[order.Task] = max(w.highestRun[order.Task], order.Run)
	if run := w.running[order.Task]; run != nil && run.number == order.Run {
		w.endRun(order.Task, run, "stopped")
	}
	writeReply(rw, http.StatusOK, map[string]any{"clock_ms": w.clockMS()})
}

func (w *TaskWorker) serveHold(rw http.ResponseWriter, r *http.Request) {
	order, ok := w.acceptOrder(rw, r)
	if !ok {
		return
	}
	if order.AckCursor > w.lastCursor {
		w.strayAcks++
	}
	unacknowledged := w.ends[:0]
	for _, end := range w.ends {
		if end.cursor > order.AckCursor {
			unacknowledged = append(unacknowledged, end)
		} else if !end.expired {
			for _, task := range end.completedTasks() {
				w.Checker.recordAck(task, end.seq)
			}
		}
	}
	w.ends = unacknowledged
	if endsChanged := w.endsChanged; len(unacknowledged) == 0 && order.WaitMS > 0 {
		w.mu.Unlock()
		select {
		case <-endsChanged:
		case <-time.After(time.Duration(order.WaitMS) * time.Millisecond):
		case <-r.Context().Done():
		}
		w.mu.Lock()
	}
	defer w.mu.Unlock()
	// The columns of running are task, run, checkpoint, percent done and load, those of ended
	// number, task, run, outcome and checkpoint.
	running, ended := [][]any{}, [][]any{}
	for task, run := range w.running {
		running = append(running, []any{task, run.number, "", run.percentDone(), 0})
	}
	for _, end := range w.ends {
		ended = append(ended, end.row)
	}
	reply := map[string]any{"clock_ms": w.clockMS(), "running": running, "ended": ended}
	if w.BornMS != 0 {
		reply["born"] = w.BornMS
	}
	writeReply(rw, http.StatusOK, reply)
}
