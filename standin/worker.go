package standin

import (
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/teaselcleat/teaselcleat/adapters/workerhttp"
	"github.com/teaselcleat/teaselcleat/worker"
)

// Words in a job's payload that control the stand-in, separated by spaces.
const (
	PayloadRunMS   = "run_ms=" // how long the task runs, in ms; default 50
	PayloadForever = "forever" // the task never ends by itself
	PayloadFail    = "fail"    // the task ends as failed
)

const defaultRunTime = 50 * time.Millisecond

// WorkerFaults are the faults that a Worker injects.
type WorkerFaults struct {
	Silent       bool          `json:"silent"`        // answers no requests until the fault is cleared
	RefuseAll    bool          `json:"refuse_all"`    // refuses every lease for lack of capacity
	FailAll      bool          `json:"fail_all"`      // every task fails immediately
	RefuseStart  bool          `json:"refuse_start"`  // refuses to start tasks
	NoCheckpoint bool          `json:"no_checkpoint"` // checkpoints never succeed
	NeverEnd     bool          `json:"never_end"`     // no task ends by itself until the fault is cleared
	Checkpoint   time.Duration `json:"checkpoint"`    // duration of a checkpoint
}

// Interval is a period in which a run's task executed on a worker.
type Interval struct {
	Run   string    `json:"run"`
	Job   string    `json:"job"`
	From  time.Time `json:"from"`
	Until time.Time `json:"until"` // zero while executing
}

// lease is a worker's record of a run's lease and its task.
type lease struct {
	task         worker.Task
	expiry       time.Time
	endsAt       time.Time // zero if the task does not end by itself
	fails        bool
	stopAt       time.Time // end of the requested stop, with its checkpoint; zero if no stop was requested
	checkpointOK bool
}

// Worker is a stand-in of a machine with accelerators that runs tasks under leases.
type Worker struct {
	mu           sync.Mutex
	accelerators int
	term         int64
	faults       WorkerFaults
	leases       map[string]*lease
	history      []Interval
	router       *mux.Router
	now          func() time.Time
}

// NewWorker returns a healthy worker.
func NewWorker(accelerators int) *Worker { return NewWorkerAt(accelerators, time.Now) }

// NewWorkerAt returns a healthy worker that uses the caller's clock.
func NewWorkerAt(accelerators int, now func() time.Time) *Worker {
	w := &Worker{accelerators: accelerators, leases: map[string]*lease{}, router: mux.NewRouter(), now: now}
	w.router.HandleFunc(workerhttp.PathReserve, w.serveReserve).Methods(http.MethodPost)
	w.router.HandleFunc(workerhttp.PathRenew, w.serveRenew).Methods(http.MethodPost)
	w.router.HandleFunc(workerhttp.PathRelease, w.serveOrder(w.Release)).Methods(http.MethodPost)
	w.router.HandleFunc(workerhttp.PathStart, w.serveOrder(w.Start)).Methods(http.MethodPost)
	w.router.HandleFunc(workerhttp.PathStop, w.serveOrder(w.Stop)).Methods(http.MethodPost)
	w.router.HandleFunc("/control", w.serveControl).Methods(http.MethodPost)
	w.router.HandleFunc("/history", w.serveHistory).Methods(http.MethodGet)
	return w
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, request *http.Request) {
	w.mu.Lock()
	silent := w.faults.Silent
	w.mu.Unlock()
	if silent && request.URL.Path != "/control" && request.URL.Path != "/history" {
		<-request.Context().Done()
		return
	}
	w.router.ServeHTTP(rw, request)
}

// SetFaults replaces the faults.
func (w *Worker) SetFaults(faults WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = faults
}

// History returns the periods in which tasks executed on the worker.
func (w *Worker) History() []Interval {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	return append([]Interval(nil), w.history...)
}

// HasLease reports whether the run has a lease on the worker.
func (w *Worker) HasLease(run string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	return w.leases[run] != nil
}

// advance applies all task ends, checkpoints and lease expiries that are due.
func (w *Worker) advance() {
	now := w.now()
	for run, l := range w.leases {
		w.advanceTask(l, now)
		if now.After(l.expiry) {
			w.closeInterval(run, l.expiry)
			delete(w.leases, run)
		}
	}
}

func (w *Worker) advanceTask(l *lease, now time.Time) {
	if l.task.Phase != worker.TaskRunning {
		return
	}
	limit := l.expiry
	endsByItself := !l.endsAt.IsZero() && !w.faults.NeverEnd
	if endsByItself && l.endsAt.Before(limit) && !now.Before(l.endsAt) && (l.stopAt.IsZero() || l.endsAt.Before(l.stopAt)) {
		l.task.Phase = worker.TaskFinished
		if l.fails {
			l.task.Phase = worker.TaskFailed
		}
		w.closeInterval(l.task.Run, l.endsAt)
		return
	}
	if !l.stopAt.IsZero() && !now.Before(l.stopAt) {
		l.task.Phase = worker.TaskStopped
		if l.checkpointOK {
			l.task.Phase = worker.TaskCheckpointed
		}
		w.closeInterval(l.task.Run, l.stopAt)
	}
}

func (w *Worker) closeInterval(run string, at time.Time) {
	for i := range w.history {
		if w.history[i].Run == run && w.history[i].Until.IsZero() {
			w.history[i].Until = at
		}
	}
}

// acceptTerm checks a caller's term and records it; earlier terms are stale from then on.
func (w *Worker) acceptTerm(term int64) error {
	if term < w.term {
		return worker.ErrStaleTerm
	}
	w.term = term
	w.advance()
	return nil
}

// findLease checks the order's term and returns the lease of its run. The caller holds
// w.mu.
func (w *Worker) findLease(order worker.Order) (*lease, error) {
	if err := w.acceptTerm(order.Term); err != nil {
		return nil, err
	}
	l := w.leases[order.Run]
	if l == nil {
		return nil, worker.ErrNoLease
	}
	return l, nil
}

// Reserve creates a lease, or renews it if the run has one.
func (w *Worker) Reserve(reserve worker.ReserveRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.acceptTerm(reserve.Term); err != nil {
		return err
	}
	if l := w.leases[reserve.Run]; l != nil {
		l.expiry = w.now().Add(reserve.TTL)
		return nil
	}
	used := 0
	for _, l := range w.leases {
		used += l.task.Accelerators
	}
	if w.faults.RefuseAll || used+reserve.Accelerators > w.accelerators {
		return worker.ErrNoCapacity
	}
	w.leases[reserve.Run] = &lease{
		task:   worker.Task{Run: reserve.Run, Job: reserve.Job, Accelerators: reserve.Accelerators, Phase: worker.TaskReserved},
		expiry: w.now().Add(reserve.TTL),
	}
	return nil
}

// Start starts the task of a leased run. It does nothing if the task was started before.
func (w *Worker) Start(order worker.Order) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	l, err := w.findLease(order)
	if err != nil {
		return err
	}
	if l.task.Phase != worker.TaskReserved {
		return nil
	}
	if l.expiry.Sub(w.now()) < order.MinLease {
		return worker.ErrNoLease
	}
	if w.faults.RefuseStart {
		return worker.ErrNoCapacity
	}
	now := w.now()
	l.task.Phase = worker.TaskRunning
	l.endsAt, l.fails = parsePayload(order.Payload, now)
	if w.faults.FailAll {
		l.endsAt = now
		l.fails = true
	}
	w.history = append(w.history, Interval{Run: order.Run, Job: l.task.Job, From: now})
	return nil
}

// parsePayload returns when a task ends and whether it fails, from the words of its payload.
func parsePayload(payload string, now time.Time) (endsAt time.Time, fails bool) {
	endsAt = now.Add(defaultRunTime)
	for _, word := range strings.Fields(payload) {
		switch {
		case word == PayloadForever:
			return time.Time{}, false
		case word == PayloadFail:
			fails = true
		case strings.HasPrefix(word, PayloadRunMS):
			if ms, err := strconv.Atoi(strings.TrimPrefix(word, PayloadRunMS)); err == nil {
				endsAt = now.Add(time.Duration(ms) * time.Millisecond)
			}
		}
	}
	return endsAt, fails
}

// Stop ends a task, with a checkpoint if the order requests one and it fits in the order's
// time.
func (w *Worker) Stop(order worker.Order) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	l, err := w.findLease(order)
	if err != nil {
		return err
	}
	if l.task.Phase != worker.TaskRunning {
		return nil
	}
	now := w.now()
	if l.stopAt.IsZero() && order.Checkpoint {
		l.checkpointOK = !w.faults.NoCheckpoint && w.faults.Checkpoint <= order.CheckpointTimeout
		l.stopAt = now.Add(min(w.faults.Checkpoint, order.CheckpointTimeout))
		w.advance()
		return nil
	}
	if !order.Checkpoint {
		l.stopAt = now
		l.checkpointOK = false
		w.advance()
	}
	return nil
}

// Release drops a lease and stops its task immediately.
func (w *Worker) Release(order worker.Order) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.acceptTerm(order.Term); err != nil {
		return err
	}
	w.closeInterval(order.Run, w.now())
	delete(w.leases, order.Run)
	return nil
}

// Renew extends leases and returns the worker's state.
func (w *Worker) Renew(renew worker.RenewRequest) (worker.State, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.acceptTerm(renew.Term); err != nil {
		return worker.State{}, err
	}
	expiry := w.now().Add(renew.TTL)
	for _, run := range renew.Runs {
		if l := w.leases[run]; l != nil {
			l.expiry = expiry
		}
	}
	return w.state(), nil
}

func (w *Worker) state() worker.State {
	state := worker.State{Term: w.term}
	used := 0
	for _, l := range w.leases {
		state.Tasks = append(state.Tasks, l.task)
		used += l.task.Accelerators
	}
	sort.Slice(state.Tasks, func(i, j int) bool { return state.Tasks[i].Run < state.Tasks[j].Run })
	state.Usage = float64(used) / float64(w.accelerators)
	return state
}

func (w *Worker) serveReserve(rw http.ResponseWriter, r *http.Request) {
	var reserve worker.ReserveRequest
	if readJSON(rw, r, &reserve) {
		writeResult(rw, w.Reserve(reserve), nil)
	}
}

func (w *Worker) serveRenew(rw http.ResponseWriter, r *http.Request) {
	var renew worker.RenewRequest
	if readJSON(rw, r, &renew) {
		state, err := w.Renew(renew)
		writeResult(rw, err, state)
	}
}

func (w *Worker) serveOrder(apply func(worker.Order) error) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var order worker.Order
		if readJSON(rw, r, &order) {
			writeResult(rw, apply(order), nil)
		}
	}
}

func writeResult(rw http.ResponseWriter, err error, answer any) {
	switch err {
	case nil:
		writeJSON(rw, http.StatusOK, answer)
	case worker.ErrStaleTerm:
		writeJSON(rw, http.StatusConflict, workerhttp.Refusal{Reason: workerhttp.RefusalStaleTerm})
	case worker.ErrNoLease:
		writeJSON(rw, http.StatusConflict, workerhttp.Refusal{Reason: workerhttp.RefusalNoLease})
	default:
		writeJSON(rw, http.StatusConflict, workerhttp.Refusal{Reason: workerhttp.RefusalNoCapacity})
	}
}

func (w *Worker) serveControl(rw http.ResponseWriter, r *http.Request) {
	var faults WorkerFaults
	if readJSON(rw, r, &faults) {
		w.SetFaults(faults)
	}
}

func (w *Worker) serveHistory(rw http.ResponseWriter, _ *http.Request) {
	writeJSON(rw, http.StatusOK, w.History())
}
