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

// TaskWorker is a stand-in of one worker that runs tasks under leases, as the
// users' platform has them. A task runs for RunTime and ends as done, or as
// failed if its spec is "fail". One whose spec is "long" runs for LongRuns times as long,
// and one whose spec is "crash" ends the worker: Crash is
// called, on a goroutine of its own. It is one life of the worker: what comes after it, under
// its ID or another, is a TaskWorker of its own.
type TaskWorker struct {
	ID      string
	BornMS  int64 // Unix milliseconds of the start of this life; 0 to say nothing of it
	RunTime time.Duration
	Lease   time.Duration // longest that it grants; 0 for any
	Slow    float64       // share of the time that its clock loses
	Crash   func()
	Zone    string                        // availability zone
	CalmFor func(span time.Duration) bool // nothing has held up orders on their way for so long; nil for always
	Ledger  *TaskLedger                   // told of what runs here; nil for none
	Gangs   *Gangs                        // of the fleet; nil where every task works by itself

	mu      sync.Mutex
	halted  bool
	start   time.Time
	fence   int64
	until   int64       // when the lease lapses, by its clock
	lapse   *time.Timer // nil before the first lease
	lapses  int         // runs that ended so, and ends that nobody counts on since
	running map[string]*taskRun
	highest map[string]int // highest run stopped or ended, by task
	ends    []taskEnd
	number  int64
	changed chan struct{}
	starts  map[string]int // starts of each task
	done    map[string]int // ends as done of each task
	lost    map[string]int // of these, lost with the worker before they were taken note of
	stray   int            // holds that acknowledged ends which this life never had
	router  *mux.Router
}

// NewTaskWorker returns an idle worker.
func NewTaskWorker(id string, runTime time.Duration) *TaskWorker {
	w := &TaskWorker{ID: id, RunTime: runTime, start: time.Now(), running: map[string]*taskRun{},
		highest: map[string]int{}, changed: make(chan struct{}), starts: map[string]int{}, done: map[string]int{}, lost: map[string]int{}, router: mux.NewRouter()}
	w.router.HandleFunc("/api/run-start", w.serveStart).Methods(http.MethodPost)
	w.router.HandleFunc("/api/run-stop", w.serveStop).Methods(http.MethodPost)
	w.router.HandleFunc("/api/hold", w.serveHold).Methods(http.MethodPost)
	return w
}

// ServeHTTP implements http.Handler.
func (w *TaskWorker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("X-Teaselcleat-Expect-Instance"); expected != "" && expected != w.ID {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.router.ServeHTTP(out, r)
}

// Starts is how often a task was started here.
func (w *TaskWorker) Starts(task string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts[task]
}

// Done is how often a task ended as done here.
func (w *TaskWorker) Done(task string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.done[task]
}

// Halt ends all that runs without a trace, as when the worker loses power. Ends that
// were not taken note of are lost with it.
func (w *TaskWorker) Halt() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, end := range w.ends {
		if task, done := end.doneTask(); done {
			w.lost[task]++
		}
	}
	w.ends = nil
	w.halted = true
	if w.lapse != nil {
		w.lapse.Stop()
	}
	for task, run := range w.running {
		run.halt()
		w.Ledger.end(w, task)
	}
	clear(w.running)
}

// Lost is how many ends as done of a task were lost with the worker before anyone took
// note of them.
func (w *TaskWorker) Lost(task string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lost[task]
}

// StrayAcks is how many holds acknowledged ends that this life has not had: they were meant
// for another, and its own would be forgotten unread.
func (w *TaskWorker) StrayAcks() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stray
}

// Running is the number of tasks at work.
func (w *TaskWorker) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running)
}

// Tasks are the names of the tasks at work.
func (w *TaskWorker) Tasks() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Collect(maps.Keys(w.running))
}

// taskOrder is the body of every order.
type taskOrder struct {
	Task      string `json:"task"`
	Run       int    `json:"run"`
	Spec      string `json:"spec"`
	UntilMS   int64  `json:"until_ms"`
	Fence     int64  `json:"fence"`
	AckCursor int64  `json:"ack_cursor"`
	WaitMS    int64  `json:"wait_ms"`
}

func (w *TaskWorker) clock() int64 {
	return int64(float64(time.Since(w.start).Milliseconds())*(1-w.Slow)) + 1
}

// admit reads an order and checks its fence; w.mu is held on success.
func (w *TaskWorker) admit(out http.ResponseWriter, r *http.Request) (order taskOrder, ok bool) {
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return order, false
	}
	w.mu.Lock()
	if w.halted {
		w.mu.Unlock()
		panic(http.ErrAbortHandler) // an order that was on its way; nothing is there to take it
	}
	if order.Fence < w.fence {
		w.mu.Unlock()
		w.refuse(out, "fence")
		return order, false
	}
	w.fence = order.Fence
	w.grant(order.UntilMS)
	return order, true
}

// grant takes a lease, at most the longest and never a shorter one than there is. It is
// called with w.mu held.
func (w *TaskWorker) grant(untilMS int64) {
	if w.Lease > 0 {
		untilMS = min(untilMS, w.clock()+w.Lease.Milliseconds())
	}
	if untilMS <= w.until {
		return
	}
	w.until = untilMS
	if w.lapse != nil {
		w.lapse.Stop()
	}
	w.lapse = time.AfterFunc(w.untilLapse(), w.lapsed)
}

func (w *TaskWorker) untilLapse() time.Duration {
	return time.Duration(float64(w.until-w.clock())/(1-w.Slow)) * time.Millisecond
}

// lapsed ends all that runs, unless the lease was renewed meanwhile. A task whose end was
// not taken note of before may be started elsewhere from then on.
func (w *TaskWorker) lapsed() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.halted {
		return
	}
	if left := w.untilLapse(); left > 0 {
		w.lapse = time.AfterFunc(left, w.lapsed)
		return
	}
	for index := range w.ends {
		if !w.ends[index].lapsed {
			w.ends[index].lapsed = true
			w.lapses++
		}
	}
	for task, run := range w.running {
		w.lapses++
		w.end(task, run, "lapsed")
	}
}

// Lapses is how many runs ended as their lease lapsed, or had ended and were not taken
// note of before.
func (w *TaskWorker) Lapses() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lapses
}

func (w *TaskWorker) refuse(out http.ResponseWriter, reason string) {
	writeReply(out, http.StatusConflict, map[string]any{"clock_ms": w.clock(), "reason": reason})
}

func (w *TaskWorker) serveStart(out http.ResponseWriter, r *http.Request) {
	order, ok := w.admit(out, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	if known := w.running[order.Task]; known != nil && known.run == order.Run {
		writeReply(out, http.StatusOK, map[string]any{"clock_ms": w.clock()})
		return
	}
	if order.Run <= w.highest[order.Task] || w.running[order.Task] != nil {
		w.refuse(out, "old")
		return
	}
	if w.until <= w.clock() {
		w.refuse(out, "late")
		return
	}
	w.starts[order.Task]++
	w.Ledger.start(w, order.Task, order.Run)
	made := &taskRun{run: order.Run, failed: strings.HasPrefix(order.Spec, "fail"), begun: time.Now(), takes: w.runTime(order.Spec)}
	if size := gangSize(order.Task, order.Spec); size > 1 && w.Gangs != nil {
		made.gang = w.Gangs.join(size, gangMember{worker: w, task: order.Task, run: made})
	} else {
		made.timer = time.AfterFunc(made.takes, func() { w.finish(order.Task, made) })
	}
	w.running[order.Task] = made
	if strings.HasPrefix(order.Spec, "crash") && w.Crash != nil {
		go w.Crash()
	}
	writeReply(out, http.StatusOK, map[string]any{"clock_ms": w.clock()})
}

func (w *TaskWorker) runTime(spec string) time.Duration {
	if strings.HasPrefix(spec, "long") {
		return LongRuns * w.RunTime
	}
	return w.RunTime
}

func (w *TaskWorker) finish(task string, run *taskRun) {
	w.mu.Lock()
	defer w.mu.Unlock()
	how := "done"
	if run.failed {
		how = "failed"
	}
	w.end(task, run, how)
}

// endMember ends a task with its gang.
func (w *TaskWorker) endMember(task string, run *taskRun, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.end(task, run, how)
}

// end is called with w.mu held.
func (w *TaskWorker) end(task string, run *taskRun, how string) {
	if w.running[task] != run {
		return
	}
	run.halt()
	delete(w.running, task)
	w.highest[task] = max(w.highest[task], run.run)
	w.number++
	if how == "done" {
		w.done[task]++
	}
	at := w.Ledger.end(w, task)
	w.ends = append(w.ends, taskEnd{number: w.number, run: run, row: []any{w.number, task, run.run, how, ""}, at: at})
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *TaskWorker) serveStop(out http.ResponseWriter, r *http.Request) {
	order, ok := w.admit(out, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	w.highest[order.Task] = max(w.highest[order.Task], order.Run)
	if run := w.running[order.Task]; run != nil && run.run == order.Run {
		w.end(order.Task, run, "stopped")
	}
	writeReply(out, http.StatusOK, map[string]any{"clock_ms": w.clock()})
}

func (w *TaskWorker) serveHold(out http.ResponseWriter, r *http.Request) {
	order, ok := w.admit(out, r)
	if !ok {
		return
	}
	if order.AckCursor > w.number {
		w.stray++
	}
	kept := w.ends[:0]
	for _, end := range w.ends {
		if end.number > order.AckCursor {
			kept = append(kept, end)
		} else if !end.lapsed {
			for _, task := range end.doneTasks() {
				w.Ledger.note(task, end.at)
			}
		}
	}
	w.ends = kept
	if changed := w.changed; len(kept) == 0 && order.WaitMS > 0 {
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(order.WaitMS) * time.Millisecond):
		case <-r.Context().Done():
		}
		w.mu.Lock()
	}
	defer w.mu.Unlock()
	running, ended := [][]any{}, [][]any{}
	for task, run := range w.running {
		running = append(running, []any{task, run.run, "", run.percent(), 0})
	}
	for _, end := range w.ends {
		ended = append(ended, end.row)
	}
	reply := map[string]any{"clock_ms": w.clock(), "running": running, "ended": ended}
	if w.BornMS != 0 {
		reply["born"] = w.BornMS
	}
	writeReply(out, http.StatusOK, reply)
}
