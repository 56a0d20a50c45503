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

// Words a job's payload may carry for the stand-in, separated by spaces.
const (
	PayloadRunMS   = "run_ms=" // how long the task runs; default 50
	PayloadForever = "forever" // the task never ends by itself
	PayloadFail    = "fail"    // the task fails at its end
)

const defaultRun = 50 * time.Millisecond

// WorkerFaults are the ways in which a worker misbehaves.
type WorkerFaults struct {
	Silent       bool          `json:"silent"`        // answers nothing until this is lifted
	RefuseAll    bool          `json:"refuse_all"`    // has no room for any lease
	FailAll      bool          `json:"fail_all"`      // every task fails at once
	RefuseStart  bool          `json:"refuse_start"`  // refuses to start tasks
	NoCheckpoint bool          `json:"no_checkpoint"` // checkpoints never succeed
	Checkpoint   time.Duration `json:"checkpoint"`    // time a checkpoint takes
}

// Interval is the time in which a run's task was executing on a worker.
type Interval struct {
	Run   string    `json:"run"`
	Job   string    `json:"job"`
	From  time.Time `json:"from"`
	Until time.Time `json:"until"` // zero while executing
}

type lease struct {
	task   worker.Task
	expiry time.Time
	ends   time.Time // zero if the task does not end by itself
	fails  bool
	stop   time.Time // when a checkpoint is done; zero if none was asked for
	ckptOK bool
}

// Worker is a machine with accelerators that runs tasks under leases.
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

// NewWorkerAt returns a healthy worker on a clock of the caller's.
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

// History returns when which run's task executed here.
func (w *Worker) History() []Interval {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle()
	return append([]Interval(nil), w.history...)
}

// Holds reports whether the run has a lease here.
func (w *Worker) Holds(run string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle()
	return w.leases[run] != nil
}

// settle brings every lease up to the present: expiries, task ends, checkpoints.
func (w *Worker) settle() {
	now := w.now()
	for run, held := range w.leases {
		w.settleTask(held, now)
		if now.After(held.expiry) {
			w.stopExecuting(run, held.expiry)
			delete(w.leases, run)
		}
	}
}

func (w *Worker) settleTask(held *lease, now time.Time) {
	if held.task.Phase != worker.TaskRunning {
		return
	}
	limit := held.expiry
	if !held.ends.IsZero() && held.ends.Before(limit) && !now.Before(held.ends) && (held.stop.IsZero() || held.ends.Before(held.stop)) {
		held.task.Phase = worker.TaskFinished
		if held.fails {
			held.task.Phase = worker.TaskFailed
		}
		w.stopExecuting(held.task.Run, held.ends)
		return
	}
	if !held.stop.IsZero() && !now.Before(held.stop) {
		held.task.Phase = worker.TaskStopped
		if held.ckptOK {
			held.task.Phase = worker.TaskCheckpointed
		}
		w.stopExecuting(held.task.Run, held.stop)
	}
}

func (w *Worker) stopExecuting(run string, at time.Time) {
	for i := range w.history {
		if w.history[i].Run == run && w.history[i].Until.IsZero() {
			w.history[i].Until = at
		}
	}
}

// admit checks a caller's term; a later term makes earlier ones stale for good.
func (w *Worker) admit(term int64) error {
	if term < w.term {
		return worker.ErrStaleTerm
	}
	w.term = term
	w.settle()
	return nil
}

// leased checks a caller's term and returns the lease that it orders about. The
// caller holds the lock.
func (w *Worker) leased(order worker.Order) (*lease, error) {
	if err := w.admit(order.Term); err != nil {
		return nil, err
	}
	held := w.leases[order.Run]
	if held == nil {
		return nil, worker.ErrNoLease
	}
	return held, nil
}

// Reserve takes or renews a lease.
func (w *Worker) Reserve(reserve worker.Reserve) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.admit(reserve.Term); err != nil {
		return err
	}
	if held := w.leases[reserve.Run]; held != nil {
		held.expiry = w.now().Add(reserve.TTL)
		return nil
	}
	used := 0
	for _, held := range w.leases {
		used += held.task.Accelerators
	}
	if w.faults.RefuseAll || used+reserve.Accelerators > w.accelerators {
		return worker.ErrNoRoom
	}
	w.leases[reserve.Run] = &lease{
		task:   worker.Task{Run: reserve.Run, Job: reserve.Job, Accelerators: reserve.Accelerators, Phase: worker.TaskReserved},
		expiry: w.now().Add(reserve.TTL),
	}
	return nil
}

// Start starts a leased run's task.
func (w *Worker) Start(order worker.Order) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	held, err := w.leased(order)
	if err != nil {
		return err
	}
	if held.task.Phase != worker.TaskReserved {
		return nil
	}
	if held.expiry.Sub(w.now()) < order.MinLease {
		return worker.ErrNoLease
	}
	if w.faults.RefuseStart {
		return worker.ErrNoRoom
	}
	now := w.now()
	held.task.Phase = worker.TaskRunning
	held.ends, held.fails = ending(order.Payload, now)
	if w.faults.FailAll {
		held.ends = now
		held.fails = true
	}
	w.history = append(w.history, Interval{Run: order.Run, Job: held.task.Job, From: now})
	return nil
}

func ending(payload string, now time.Time) (ends time.Time, fails bool) {
	ends = now.Add(defaultRun)
	for _, word := range strings.Fields(payload) {
		switch {
		case word == PayloadForever:
			return time.Time{}, false
		case word == PayloadFail:
			fails = true
		case strings.HasPrefix(word, PayloadRunMS):
			if ms, err := strconv.Atoi(strings.TrimPrefix(word, PayloadRunMS)); err == nil {
				ends = now.Add(time.Duration(ms) * time.Millisecond)
			}
		}
	}
	return ends, fails
}

// Stop ends a task, with a checkpoint if asked for and possible in time.
func (w *Worker) Stop(order worker.Order) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	held, err := w.leased(order)
	if err != nil {
		return err
	}
	if held.task.Phase != worker.TaskRunning {
		return nil
	}
	now := w.now()
	if held.stop.IsZero() && order.Checkpoint {
		held.ckptOK = !w.faults.NoCheckpoint && w.faults.Checkpoint <= order.Within
		held.stop = now.Add(min(w.faults.Checkpoint, order.Within))
		w.settle()
		return nil
	}
	if !order.Checkpoint {
		held.stop = now
		held.ckptOK = false
		w.settle()
	}
	return nil
}

// Release gives up a lease and stops its task at once.
func (w *Worker) Release(order worker.Order) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.admit(order.Term); err != nil {
		return err
	}
	w.stopExecuting(order.Run, w.now())
	delete(w.leases, order.Run)
	return nil
}

// Renew extends leases and returns the state.
func (w *Worker) Renew(renew worker.Renew) (worker.State, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.admit(renew.Term); err != nil {
		return worker.State{}, err
	}
	expiry := w.now().Add(renew.TTL)
	for _, run := range renew.Runs {
		if held := w.leases[run]; held != nil {
			held.expiry = expiry
		}
	}
	return w.state(), nil
}

func (w *Worker) state() worker.State {
	state := worker.State{Term: w.term}
	used := 0
	for _, held := range w.leases {
		state.Tasks = append(state.Tasks, held.task)
		used += held.task.Accelerators
	}
	sort.Slice(state.Tasks, func(i, j int) bool { return state.Tasks[i].Run < state.Tasks[j].Run })
	state.Usage = float64(used) / float64(w.accelerators)
	return state
}

func (w *Worker) serveReserve(rw http.ResponseWriter, r *http.Request) {
	var reserve worker.Reserve
	if decode(rw, r, &reserve) {
		reply(rw, w.Reserve(reserve), nil)
	}
}

func (w *Worker) serveRenew(rw http.ResponseWriter, r *http.Request) {
	var renew worker.Renew
	if decode(rw, r, &renew) {
		state, err := w.Renew(renew)
		reply(rw, err, state)
	}
}

func (w *Worker) serveOrder(apply func(worker.Order) error) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var order worker.Order
		if decode(rw, r, &order) {
			reply(rw, apply(order), nil)
		}
	}
}

func reply(rw http.ResponseWriter, err error, answer any) {
	switch err {
	case nil:
		encode(rw, http.StatusOK, answer)
	case worker.ErrStaleTerm:
		encode(rw, http.StatusConflict, workerhttp.Refusal{Reason: workerhttp.RefusalStaleTerm})
	case worker.ErrNoLease:
		encode(rw, http.StatusConflict, workerhttp.Refusal{Reason: workerhttp.RefusalNoLease})
	default:
		encode(rw, http.StatusConflict, workerhttp.Refusal{Reason: workerhttp.RefusalNoRoom})
	}
}

func (w *Worker) serveControl(rw http.ResponseWriter, r *http.Request) {
	var faults WorkerFaults
	if decode(rw, r, &faults) {
		w.SetFaults(faults)
	}
}

func (w *Worker) serveHistory(rw http.ResponseWriter, _ *http.Request) {
	encode(rw, http.StatusOK, w.History())
}
