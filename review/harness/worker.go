package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"
)

// Bounds of the deployment, as in the settings of the instances.
const (
	maxHold        = 6 * time.Second
	gangWait       = 3 * time.Second
	checkpointWork = 500 * time.Millisecond
	restoreTime    = 250 * time.Millisecond
	startupTime    = 500 * time.Millisecond // until a task that lasts is at work
	heartbeat      = 1500 * time.Millisecond
	entryTTL       = 3 * heartbeat // silence after which the store drops an entry
)

// end is a row of the list of ended runs.
type end struct {
	number int64
	task   string
	run    int
	how    string
	saved  string
}

// worker is one incarnation of a stand-in worker. All fields are guarded by the lock of its
// fleet.
type worker struct {
	fleet     *fleet
	id        string
	machine   string
	address   string
	zone      string
	rack      string
	server    *http.Server
	startedAt time.Time
	dark      bool // without power: answers nothing and resets nothing
	down      bool // the process has ended
	fence     int64
	untilMS   int64
	lease     *time.Timer
	running   map[string]*run
	highest   map[string]int // highest run that was stopped or has ended, by task
	ends      []end
	lastEnd   int64
	changed   chan struct{}
}

// order is the body of every call to a worker.
type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	UntilMS    int64  `json:"until_ms"`
	Fence      int64  `json:"fence"`
	Checkpoint string `json:"checkpoint"`
	AckCursor  int64  `json:"ack_cursor"`
	WaitMS     int64  `json:"wait_ms"`
}

// startWorker starts an incarnation of a machine at an address; an empty one picks a port.
func (f *fleet) startWorker(machine, address string, number int) (*worker, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.incarnations++
	w := &worker{
		fleet: f, id: fmt.Sprintf("i-%06x", 0xa0000+f.incarnations), machine: machine, address: listener.Addr().String(),
		zone: zones[number%len(zones)], rack: "r1-1", startedAt: time.Now(), running: map[string]*run{}, highest: map[string]int{},
		changed: make(chan struct{}),
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }() // ends with the incarnation
	f.workers = append(f.workers, w)
	f.record.add("runner %s starts on machine %s at %s", w.id, machine, w.address)
	go w.beat()
	return w, nil
}

// beat writes the worker's entry to the store until the worker has ended. The store drops the
// entry after three intervals of silence.
func (w *worker) beat() {
	for sequence := 1; ; sequence++ {
		w.fleet.mu.Lock()
		silent := w.dark || w.down
		w.fleet.mu.Unlock()
		if silent {
			time.Sleep(entryTTL)
			w.fleet.store.Put("keyed.servers", w.id, nil)
			w.fleet.record.add("the store drops the entry of %s", w.id)
			return
		}
		entry, err := json.Marshal(map[string]any{
			"service": serviceName, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready",
			"cold_left_ms": 0, "sequence": sequence, "labels": []string{"a", w.rack},
			"capacity": map[string]int64{"cpu": workerCPU, "mem_mb": workerMemMB, "gpu": workerGPU},
		})
		if err == nil {
			w.fleet.store.Put("keyed.servers", w.id, entry)
		}
		time.Sleep(heartbeat)
	}
}

// clockMS is the worker's steady clock.
func (w *worker) clockMS() int64 { return time.Since(w.startedAt).Milliseconds() + 1 }

// ServeHTTP implements the calls of the platform's protocol that the instances make.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o order
	err := json.NewDecoder(r.Body).Decode(&o)
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.hangIfDark(r)
	switch {
	case r.Header.Get("X-Teaselcleat-Expect-Instance") != w.id:
		reply(rw, http.StatusMisdirectedRequest, map[string]any{"clock_ms": w.clockMS()})
		return
	case err != nil:
		reply(rw, http.StatusBadRequest, map[string]any{"clock_ms": w.clockMS()})
		return
	case o.Fence < w.fence:
		w.refuse(rw, "fence")
		return
	}
	w.fence = o.Fence
	w.extendLease(o.UntilMS)
	switch r.URL.Path {
	case "/api/run-start":
		w.start(rw, o)
	case "/api/run-stop":
		w.stop(rw, o)
	case "/api/hold":
		w.hold(rw, r, o)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

// hangIfDark leaves a call without an answer if the machine has no power. The caller holds
// the fleet's lock.
func (w *worker) hangIfDark(r *http.Request) {
	if !w.dark {
		return
	}
	w.fleet.mu.Unlock()
	<-r.Context().Done()
	w.fleet.mu.Lock()
	panic(http.ErrAbortHandler)
}

func (w *worker) refuse(rw http.ResponseWriter, reason string) {
	reply(rw, http.StatusConflict, map[string]any{"clock_ms": w.clockMS(), "reason": reason})
}

func (w *worker) extendLease(untilMS int64) {
	untilMS = min(untilMS, w.clockMS()+maxHold.Milliseconds())
	if untilMS <= w.untilMS {
		return
	}
	w.untilMS = untilMS
	if w.lease != nil {
		w.lease.Stop()
	}
	w.lease = time.AfterFunc(time.Duration(untilMS-w.clockMS())*time.Millisecond, w.expireLease)
}

func (w *worker) expireLease() {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if w.clockMS() < w.untilMS {
		return
	}
	for _, run := range w.runs() {
		w.fleet.endRun(run, "lapsed")
	}
}

// runs lists the running tasks.
func (w *worker) runs() []*run {
	list := make([]*run, 0, len(w.running))
	for _, run := range w.running {
		list = append(list, run)
	}
	return list
}

func (w *worker) start(rw http.ResponseWriter, o order) {
	current := w.running[o.Task]
	job, step, ok := w.fleet.findTask(o.Task)
	switch {
	case current != nil && current.number == o.Run:
		reply(rw, http.StatusOK, map[string]any{"clock_ms": w.clockMS()})
		return
	case !ok || job.spec != o.Spec:
		w.fleet.record.add("start of %s run %d on %s that no client sent", o.Task, o.Run, w.id)
		reply(rw, http.StatusBadRequest, map[string]any{"clock_ms": w.clockMS()})
		return
	case o.Run <= w.highest[o.Task] || current != nil:
		w.refuse(rw, "old")
		return
	case w.untilMS <= w.clockMS():
		w.refuse(rw, "late")
		return
	case !w.fits(step):
		w.refuse(rw, "room")
		return
	}
	w.fleet.startRun(w, job, step, o)
	reply(rw, http.StatusOK, map[string]any{"clock_ms": w.clockMS()})
}

// fits reports whether one more task of a step fits beside what runs.
func (w *worker) fits(need *stepSpec) bool {
	cpu, mem, gpu := need.CPU, need.MemMB, need.GPU
	for _, run := range w.running {
		cpu += run.step.CPU
		mem += run.step.MemMB
		gpu += run.step.GPU
	}
	return cpu <= workerCPU && mem <= workerMemMB && gpu <= workerGPU
}

func (w *worker) stop(rw http.ResponseWriter, o order) {
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if run := w.running[o.Task]; run != nil && run.number == o.Run {
		w.fleet.endRun(run, "stopped")
	}
	reply(rw, http.StatusOK, map[string]any{"clock_ms": w.clockMS()})
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request, o order) {
	remaining := w.ends[:0]
	for _, e := range w.ends {
		if e.number > o.AckCursor {
			remaining = append(remaining, e)
		}
	}
	w.ends = remaining
	if len(w.ends) == 0 && o.WaitMS > 0 {
		changed := w.changed
		w.fleet.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(o.WaitMS) * time.Millisecond):
		case <-r.Context().Done():
		}
		w.fleet.mu.Lock()
		w.hangIfDark(r)
	}
	running, ended := [][]any{}, [][]any{}
	for _, run := range w.running {
		running = append(running, []any{run.task, run.number, run.saved(false), run.percent(), run.step.CPU})
	}
	for _, e := range w.ends {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, e.saved})
	}
	reply(rw, http.StatusOK, map[string]any{"clock_ms": w.clockMS(), "running": running, "ended": ended})
}

// crash ends the process of a worker: what runs is lost, and connections are reset. dark
// takes the power of its machine, so that calls get no answer at all.
func (w *worker) crash(dark bool) {
	f := w.fleet
	f.mu.Lock()
	w.dark, w.down = dark, !dark
	if w.lease != nil {
		w.lease.Stop()
	}
	f.record.add("runner %s on machine %s crashes, dark %t, running %d", w.id, w.machine, dark, len(w.running))
	for _, run := range w.runs() {
		f.endRun(run, "lost")
	}
	f.mu.Unlock()
	if !dark {
		_ = w.server.Close()
	}
}

func reply(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body) // fails only if the caller has gone
}
