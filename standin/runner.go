package standin

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/teaselcleat/teaselcleat/adapters/runnerhttp"
)

// RunnerSlots is the number of requests that a runner executes concurrently.
const RunnerSlots = 8

// RunnerFaults are the faults that a Runner injects.
type RunnerFaults struct {
	Leaving      bool          `json:"leaving"`       // refuses new work and reports that it is leaving
	Work         time.Duration `json:"work"`          // time to execute one request
	ResetBefore  bool          `json:"reset_before"`  // closes the connection before executing
	ResetAfter   bool          `json:"reset_after"`   // executes, then closes without an answer
	Truncate     bool          `json:"truncate"`      // sends half of the stated content length
	OtherAttempt bool          `json:"other_attempt"` // answers with another attempt's identifier
	Endless      bool          `json:"endless"`       // answers without a content length, until the connection closes
	Status       int           `json:"status"`        // answers with this status; 0 is 200
	AnswerBytes  int           `json:"answer_bytes"`  // pads the answer to this size
}

// Runner is a back end with a fixed number of slots. It counts executions by request key.
type Runner struct {
	mu         sync.Mutex
	name       string
	faults     RunnerFaults
	busy       int
	executions map[string]int
	router     *mux.Router
}

// NewRunner returns a healthy runner.
func NewRunner(name string) *Runner {
	r := &Runner{name: name, executions: map[string]int{}, router: mux.NewRouter()}
	r.router.HandleFunc("/run/{class}", r.serveRun).Methods(http.MethodPost)
	r.router.HandleFunc("/control", r.serveControl).Methods(http.MethodPost)
	r.router.HandleFunc("/executions", r.serveExecutions).Methods(http.MethodGet)
	return r
}

// ServeHTTP implements http.Handler.
func (r *Runner) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.router.ServeHTTP(w, request)
}

// SetFaults replaces the faults.
func (r *Runner) SetFaults(faults RunnerFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = faults
}

// Executions returns how many times the request of each key was executed.
func (r *Runner) Executions() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	copied := make(map[string]int, len(r.executions))
	for key, count := range r.executions {
		copied[key] = count
	}
	return copied
}

// acquireSlot takes a slot, or returns the reason of a refusal.
func (r *Runner) acquireSlot() (faults RunnerFaults, busy int, refusal string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.faults.Leaving:
		return r.faults, r.busy, runnerhttp.NotStartedLeaving
	case r.busy >= RunnerSlots:
		return r.faults, r.busy, runnerhttp.NotStartedBusy
	}
	r.busy++
	return r.faults, r.busy, ""
}

func (r *Runner) releaseSlot() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.busy--
}

func (r *Runner) countExecution(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.executions[key]++
}

func (r *Runner) serveRun(w http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	faults, busy, refusal := r.acquireSlot()
	w.Header().Set(runnerhttp.HeaderAttempt, request.Header.Get(runnerhttp.HeaderAttempt))
	w.Header().Set(runnerhttp.HeaderBusy, strconv.Itoa(busy))
	if refusal != "" {
		w.Header().Set(runnerhttp.HeaderNotStarted, refusal)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.releaseSlot()
	if faults.ResetBefore {
		panic(http.ErrAbortHandler)
	}
	r.countExecution(request.Header.Get(runnerhttp.HeaderKey))
	if faults.Work > 0 {
		time.Sleep(faults.Work)
	}
	r.answer(w, faults, body)
}

func (r *Runner) answer(w http.ResponseWriter, faults RunnerFaults, body []byte) {
	if faults.ResetAfter {
		panic(http.ErrAbortHandler)
	}
	if faults.OtherAttempt {
		w.Header().Set(runnerhttp.HeaderAttempt, "another")
	}
	answer := append([]byte("done:"), body...)
	for len(answer) < faults.AnswerBytes {
		answer = append(answer, '.')
	}
	status := http.StatusOK
	if faults.Status != 0 {
		status = faults.Status
	}
	if faults.Endless {
		r.answerEndless(w, answer)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.WriteHeader(status)
	if faults.Truncate {
		answer = answer[:len(answer)/2]
	}
	_, _ = w.Write(answer) // fails only if the client has disconnected
	if faults.Truncate {
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
}

// answerEndless writes an HTTP/1.0 answer without a length, which ends when the
// connection closes.
func (r *Runner) answerEndless(w http.ResponseWriter, answer []byte) {
	attempt := w.Header().Get(runnerhttp.HeaderAttempt)
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "HTTP/1.0 200 OK\r\n"+runnerhttp.HeaderAttempt+": "+attempt+"\r\n\r\n"+string(answer))
}

func (r *Runner) serveControl(w http.ResponseWriter, request *http.Request) {
	var faults RunnerFaults
	if readJSON(w, request, &faults) {
		r.SetFaults(faults)
	}
}

func (r *Runner) serveExecutions(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, r.Executions())
}
