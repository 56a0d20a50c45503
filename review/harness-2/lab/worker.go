package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"time"

	"github.com/teaselcleat/teaselcleat/standin"
)

// worker is a stand-in of one runner. After a crash the next incarnation has a new ID.
type worker struct {
	world *world
	store *standin.KeyedStore
	name  string
	zone  string
	rack  string
	cap   step // its capacity

	address     string
	incarnation int
	id          string
	down        bool
	server      *http.Server
	startedAt   time.Time
	fence       int64
	leaseUntil  time.Time
	running     map[string]*run
	highest     map[string]int
	ends        []*end
	lastEnd     int64
}

// listen takes a free port, which the worker keeps.
func (k *worker) listen() error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	k.address = listener.Addr().String()
	k.begin(listener)
	return nil
}

// begin starts an incarnation.
func (k *worker) begin(listener net.Listener) {
	k.incarnation++
	k.id = fmt.Sprintf("i-%s-%d", k.name, k.incarnation)
	k.down = false
	k.startedAt = time.Now()
	k.fence, k.lastEnd = 0, 0
	k.leaseUntil = time.Time{}
	k.running, k.highest, k.ends = map[string]*run{}, map[string]int{}, nil
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", k.serve(k.start))
	mux.HandleFunc("POST /api/run-stop", k.serve(k.stop))
	mux.HandleFunc("POST /api/hold", k.serve(k.hold))
	k.server = &http.Server{Handler: mux}
	go func() { _ = k.server.Serve(listener) }()
	go k.beat(k.incarnation)
}

// beat writes the entry of an incarnation to the store until it is over.
func (k *worker) beat(incarnation int) {
	for sequence := 1; ; sequence++ {
		k.world.mu.Lock()
		if k.down || k.incarnation != incarnation {
			k.world.mu.Unlock()
			return
		}
		entry := fmt.Sprintf(`{"service":"pool","address":%q,"zone":%q,"version":"v1","slots":8,"state":"ready","cold_left_ms":0,`+
			`"capacity":{"cpu":%d,"mem_mb":%d,"gpu":%d},"labels":["a",%q],"sequence":%d}`, k.address, k.zone, k.cap.CPU, k.cap.MemMB, k.cap.GPU, k.rack, sequence)
		k.store.Put("keyed.servers", k.id, []byte(entry))
		k.world.mu.Unlock()
		time.Sleep(heartbeat)
	}
}

// crash ends the incarnation with all that runs there. Its entry goes after three heartbeats.
func (k *worker) crash() {
	k.world.mu.Lock()
	defer k.world.mu.Unlock()
	if k.down {
		return
	}
	k.down = true
	now := time.Now()
	lost := k.list0()
	k.world.note("crash of %s, running %d tasks", k.id, len(lost))
	for _, r := range lost {
		k.world.note("lost %s run %d with %s after %.2f s", r.task, r.number, k.id, now.Sub(r.startedAt).Seconds())
		gang := k.world.gang(r)
		k.world.remove(r)
		if !r.spec.Gang {
			continue
		}
		for _, other := range gang {
			if other.worker != k && other.worker.running[other.task] == other {
				other.worker.list(other, "broken", now)
			}
		}
	}
	go k.server.Close()
	id := k.id
	time.AfterFunc(3*heartbeat, func() { k.store.Put("keyed.servers", id, nil) })
}

// restart starts the next incarnation at the same address.
func (k *worker) restart() {
	for {
		listener, err := net.Listen("tcp4", k.address)
		if err == nil {
			k.world.mu.Lock()
			k.begin(listener)
			k.world.note("%s is back as %s", k.name, k.id)
			k.world.mu.Unlock()
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (k *worker) clockMS(now time.Time) int64 {
	return clockStartMillis + now.Sub(k.startedAt).Milliseconds()
}

// list0 returns the running tasks in the order of their names. The caller holds the lock.
func (k *worker) list0() []*run {
	list := make([]*run, 0, len(k.running))
	for _, r := range k.running {
		list = append(list, r)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].task < list[b].task })
	return list
}

// list ends a run and lists its end. The caller holds the lock.
func (k *worker) list(r *run, how string, now time.Time) {
	if k.running[r.task] != r {
		return
	}
	saved := r.checkpoint(now)
	k.world.remove(r)
	k.highest[r.task] = max(k.highest[r.task], r.number)
	k.lastEnd++
	k.ends = append(k.ends, &end{number: k.lastEnd, task: r.task, run: r.number, how: how, checkpoint: saved})
	k.world.note("end %s run %d on %s %s", r.task, r.number, k.id, how)
	if how == "done" {
		k.world.doneEnds[r.task]++
	}
}

// lapse ends everything once the lease has expired. The caller holds the lock.
func (k *worker) lapse(now time.Time) {
	if k.leaseUntil.IsZero() || now.Before(k.leaseUntil) {
		return
	}
	k.leaseUntil = time.Time{}
	for _, e := range k.ends {
		e.lapsed = true
	}
	for _, r := range k.list0() {
		k.world.finish(r, "lapsed", now)
	}
}

// order is the body of every order.
type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	Checkpoint string `json:"checkpoint"`
	UntilMS    int64  `json:"until_ms"`
	Fence      int64  `json:"fence"`
	AckCursor  int64  `json:"ack_cursor"`
	WaitMS     int64  `json:"wait_ms"`
}

// serve checks what all orders have in common: the incarnation, the fence and the lease.
func (k *worker) serve(handle func(http.ResponseWriter, *http.Request, *order)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		k.world.mu.Lock()
		defer k.world.mu.Unlock()
		if k.down {
			panic(http.ErrAbortHandler)
		}
		if expected := r.Header.Get("X-Teaselcleat-Expect-Instance"); expected != "" && expected != k.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		now := time.Now()
		if o.Fence < k.fence {
			k.refuse(rw, "fence")
			return
		}
		k.fence = o.Fence
		k.lapse(now)
		k.extend(o.UntilMS, now)
		handle(rw, r, &o)
	}
}

func (k *worker) extend(untilMS int64, now time.Time) {
	until := k.startedAt.Add(time.Duration(untilMS-clockStartMillis) * time.Millisecond)
	if longest := now.Add(maxLease); until.After(longest) {
		until = longest
	}
	if until.After(now) && until.After(k.leaseUntil) {
		k.leaseUntil = until
	}
}

func (k *worker) refuse(rw http.ResponseWriter, reason string) {
	reply(rw, http.StatusConflict, map[string]any{"clock_ms": k.clockMS(time.Now()), "reason": reason})
}

func reply(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

func (k *worker) start(rw http.ResponseWriter, _ *http.Request, o *order) {
	now := time.Now()
	j, spec, stepName, ok := k.world.parseTask(o.Task)
	if !ok || o.Spec != j.Spec {
		k.world.broken("UNASKED %s was told to start %s, which no client sent so", k.id, o.Task)
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if current := k.running[o.Task]; current != nil && current.number == o.Run {
		reply(rw, http.StatusOK, map[string]any{"clock_ms": k.clockMS(now)})
		return
	}
	if k.running[o.Task] != nil || o.Run <= k.highest[o.Task] {
		k.refuse(rw, "old")
		return
	}
	if !k.leaseUntil.After(now) {
		k.refuse(rw, "late")
		return
	}
	if !k.fits(spec) {
		k.refuse(rw, "room")
		return
	}
	r := &run{task: o.Task, step: stepName, job: j, spec: spec, number: o.Run, worker: k, startedAt: now}
	if saved, err := strconv.ParseInt(o.Checkpoint, 16, 64); err == nil {
		r.before = time.Duration(saved) * time.Millisecond
	}
	k.world.note("start %s run %d on %s rack %s fence %d checkpoint %q", o.Task, o.Run, k.id, k.rack, o.Fence, o.Checkpoint)
	k.world.add(r)
	reply(rw, http.StatusOK, map[string]any{"clock_ms": k.clockMS(now)})
}

// fits reports whether there is room for one more task of a step.
func (k *worker) fits(spec *step) bool {
	free := k.cap
	for _, r := range k.running {
		free.CPU -= r.spec.CPU
		free.MemMB -= r.spec.MemMB
		free.GPU -= r.spec.GPU
	}
	return free.CPU >= spec.CPU && free.MemMB >= spec.MemMB && free.GPU >= spec.GPU
}

func (k *worker) stop(rw http.ResponseWriter, _ *http.Request, o *order) {
	now := time.Now()
	k.highest[o.Task] = max(k.highest[o.Task], o.Run)
	if r := k.running[o.Task]; r != nil && r.number == o.Run {
		k.world.finish(r, "stopped", now)
	}
	reply(rw, http.StatusOK, map[string]any{"clock_ms": k.clockMS(now)})
}

func (k *worker) hold(rw http.ResponseWriter, r *http.Request, o *order) {
	k.acknowledge(o.AckCursor)
	incarnation := k.incarnation
	until := time.Now().Add(min(maxHoldWait, time.Duration(o.WaitMS)*time.Millisecond))
	for len(k.ends) == 0 && time.Now().Before(until) && r.Context().Err() == nil {
		k.world.mu.Unlock()
		time.Sleep(tickInterval)
		k.world.mu.Lock()
		if k.down || k.incarnation != incarnation {
			panic(http.ErrAbortHandler)
		}
	}
	now := time.Now()
	running, ended := [][]any{}, [][]any{}
	for _, run := range k.list0() {
		percent := int64(100)
		if !run.spec.LongRunning {
			percent = min(100, int64(100*run.done(now)/run.spec.work))
		}
		running = append(running, []any{run.task, run.number, run.checkpoint(now), percent, run.spec.CPU})
	}
	for _, e := range k.ends[:min(len(k.ends), maxListedEnds)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, e.checkpoint})
	}
	reply(rw, http.StatusOK, map[string]any{"clock_ms": k.clockMS(now), "running": running, "ended": ended})
}

func (k *worker) acknowledge(cursor int64) {
	rest := k.ends[:0]
	for _, e := range k.ends {
		if e.number > cursor {
			rest = append(rest, e)
			continue
		}
		if e.how == "done" && !e.lapsed {
			k.world.takeNote(e.task)
		}
	}
	k.ends = rest
}
