package main

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of the runners, as the pages give them for the small deployments.
const (
	heartbeat      = 1500 * time.Millisecond
	entryTimeout   = 3 * heartbeat
	maxHold        = 6 * time.Second
	stopTime       = 100 * time.Millisecond
	checkpointTime = 500 * time.Millisecond
	lastingStartup = 300 * time.Millisecond
)

// machine is the place of a runner: its address stays, and each life of it is a runner of its own.
type machine struct {
	fleet  *fleet
	name   string
	rack   string
	zone   string
	server *http.Server
	addr   string

	mu     sync.Mutex
	life   *runner
	lives  int
	keepID bool // restarts keep the ID, as on the newer deployments
	kind   string
	cut    bool // cut off from all others
	// hold returns how long an order stays on the way before it arrives; nil for none.
	hold func(path string, body []byte) time.Duration
}

// runner is one life of a machine. It follows the section on running tasks.
type runner struct {
	machine   *machine
	id        string
	kind      string
	startedAt time.Time
	born      int64

	mu       sync.Mutex
	gone     bool
	draining bool
	fence    int64
	until    int64 // lease, on the runner's clock
	lease    *time.Timer
	runs     map[string]*taskRun
	highest  map[string]int // highest run that was stopped or has ended, by task
	ends     []endRow
	lastEnd  int64
	changed  chan struct{}
	used     int64 // thousandths of cores
}

type taskRun struct {
	task, spec string
	number     int
	began      time.Time
	resumed    string
	timer      *time.Timer
	stopping   bool
	need       int64
}

type endRow struct {
	number     int64
	task       string
	run        int
	how, saved string
	lapsed     bool // the lease lapsed since
}

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	UntilMS    int64  `json:"until_ms"`
	Fence      int64  `json:"fence"`
	AckCursor  int64  `json:"ack_cursor"`
	WaitMS     int64  `json:"wait_ms"`
	Checkpoint string `json:"checkpoint"`
	Ticket     string `json:"ticket"`
}

// option returns a number that a spec states as "name=number", or a default.
func option(spec, name string, fallback int64) int64 {
	for _, word := range strings.Fields(spec) {
		if value, found := strings.CutPrefix(word, name+"="); found {
			if parsed, err := strconv.ParseInt(value, 10, 64); err == nil {
				return parsed
			}
		}
	}
	return fallback
}

func (f *fleet) addMachine(index int) (*machine, error) {
	m := &machine{fleet: f, name: fmt.Sprintf("m-%04d", index), rack: fmt.Sprintf("r1-%d", index/8), zone: f.zones[index%len(f.zones)], kind: "a", keepID: f.keepIDs}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m.addr = listener.Addr().String()
	m.server = &http.Server{Handler: m}
	go m.server.Serve(listener)
	if f.mixedKinds && index%2 == 1 {
		m.kind = "b"
	}
	f.machines = append(f.machines, m)
	m.start()
	go m.beat()
	return m, nil
}

// start begins a new life on the machine.
func (m *machine) start() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lives++
	id := fmt.Sprintf("i-%s-%d", m.name[2:], m.lives)
	if m.keepID {
		id = "i-" + m.name[2:]
	}
	life := &runner{machine: m, id: id, kind: m.kind, startedAt: time.Now(), runs: map[string]*taskRun{}, highest: map[string]int{}, changed: make(chan struct{})}
	if m.keepID {
		life.born = life.startedAt.UnixMilli()
	}
	m.life = life
	m.fleet.events.add("runner %s (%s, kind %s) is up", id, m.name, m.kind)
	m.fleet.register(life)
}

func (m *machine) beat() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for range ticker.C {
		if life := m.current(); life != nil && !m.isCut() {
			m.fleet.register(life)
		}
	}
}

func (m *machine) isCut() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cut
}

// setCut cuts a machine off from all others, or heals the cut.
func (m *machine) setCut(cut bool) {
	m.mu.Lock()
	m.cut = cut
	life := m.life
	m.mu.Unlock()
	if life == nil {
		return
	}
	if !cut {
		m.fleet.register(life)
		return
	}
	time.AfterFunc(entryTimeout, func() {
		if m.isCut() {
			m.fleet.store.put("keyed.servers", life.id, nil)
		}
	})
}

func (m *machine) current() *runner {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.life
}

// crash ends the present life without a word.
func (m *machine) crash() {
	m.mu.Lock()
	life := m.life
	m.life = nil
	m.mu.Unlock()
	if life == nil {
		return
	}
	life.mu.Lock()
	life.gone = true
	tasks := 0
	for _, run := range life.runs {
		run.timer.Stop()
		m.fleet.judge.ended(life, run, "died")
		tasks++
	}
	life.runs = map[string]*taskRun{}
	if life.lease != nil {
		life.lease.Stop()
	}
	close(life.changed)
	life.changed = make(chan struct{})
	life.mu.Unlock()
	m.fleet.events.add("runner %s (%s) crashes with %d tasks", life.id, m.name, tasks)
	time.AfterFunc(entryTimeout, func() { m.fleet.expire(life) })
}

// register writes the entry of a runner to the store.
func (f *fleet) register(life *runner) {
	life.mu.Lock()
	defer life.mu.Unlock()
	if life.gone {
		return
	}
	state := "ready"
	if life.draining {
		state = "draining"
	}
	entry := map[string]any{"service": f.service, "address": life.machine.addr, "zone": life.machine.zone, "version": "v1", "slots": 8, "state": state,
		"cold_left_ms": 0, "capacity": map[string]int64{"cpu": f.capacity, "mem_mb": 262144, "gpu": 8}, "labels": []string{life.kind, life.machine.rack},
		"clock_ms": life.clock(), "sequence": life.clock()}
	if life.born != 0 {
		entry["born"] = life.born
	}
	encoded, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	f.store.put("keyed.servers", life.id, encoded)
}

// expire removes the entry of a silent runner, unless a later life has the ID.
func (f *fleet) expire(life *runner) {
	if now := life.machine.current(); now != nil && now.id == life.id {
		return
	}
	f.store.put("keyed.servers", life.id, nil)
}

func (r *runner) clock() int64 { return 1000 + time.Since(r.startedAt).Milliseconds() }

func (m *machine) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	var o order
	var raw json.RawMessage
	if err := json.NewDecoder(request.Body).Decode(&raw); err != nil || json.Unmarshal(raw, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	hold := m.hold
	m.mu.Unlock()
	expected := request.Header.Get("X-Teaselcleat-Expect-Instance")
	if hold != nil {
		if delay := hold(request.URL.Path, raw); delay > 0 {
			m.fleet.events.add("the order %s %s run %d to %s stays on the way for %d ms", request.URL.Path, o.Task, o.Run, expected, delay.Milliseconds())
			time.AfterFunc(delay, func() {
				life := m.current()
				if life == nil || expected != life.id {
					return
				}
				m.fleet.events.add("the order %s %s run %d arrives at %s", request.URL.Path, o.Task, o.Run, life.id)
				life.carryOut(request.URL.Path, &o)
			})
			<-request.Context().Done() // no answer
			panic(http.ErrAbortHandler)
		}
	}
	if m.isCut() {
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	}
	life := m.current()
	if life == nil {
		panic(http.ErrAbortHandler) // nobody is there
	}
	if expected != "" && expected != life.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	status, answer := life.carryOut(request.URL.Path, &o)
	if status == 0 {
		panic(http.ErrAbortHandler)
	}
	if request.URL.Path == "/api/hold" && status == http.StatusOK {
		life.awaitEnd(request, &o)
		answer = life.lists()
	}
	if m.isCut() {
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if answer == nil {
		panic(http.ErrAbortHandler)
	}
	reply(w, status, answer)
}

// carryOut carries out an order and returns its answer; 0 if the runner has gone.
func (r *runner) carryOut(path string, o *order) (int, map[string]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gone {
		return 0, nil
	}
	refuse := func(reason string) (int, map[string]any) {
		return http.StatusConflict, map[string]any{"clock_ms": r.clock(), "reason": reason}
	}
	if o.Fence < r.fence {
		return refuse("fence")
	}
	r.fence = o.Fence
	switch path {
	case "/api/run-start":
		r.extend(o.UntilMS)
		if run := r.runs[o.Task]; run != nil && run.number == o.Run {
			return http.StatusOK, map[string]any{"clock_ms": r.clock()}
		}
		if o.Run <= r.highest[o.Task] || r.runs[o.Task] != nil {
			return refuse("old")
		}
		if r.until <= r.clock() {
			return refuse("late")
		}
		if strings.HasPrefix(o.Ticket, "1") {
			parts := strings.Split(o.Ticket, "|")
			if number(parts[0]) < time.Now().UnixMilli() || parts[2] != r.id || !strings.HasPrefix(o.Task, parts[1]+".") {
				return refuse("ticket")
			}
		}
		need := option(o.Spec, "cpu", 1000)
		if r.used+need > r.machine.fleet.capacity {
			return refuse("room")
		}
		r.begin(o, need)
	case "/api/run-stop":
		if run := r.runs[o.Task]; run != nil && run.number <= o.Run {
			if !run.stopping {
				run.stopping = true
				time.AfterFunc(stopTime, func() { r.finish(run, "stopped") })
			}
		} else if run == nil {
			r.highest[o.Task] = max(r.highest[o.Task], o.Run)
		}
	case "/api/hold":
		r.extend(o.UntilMS)
		kept := r.ends[:0]
		for _, end := range r.ends {
			if end.number > o.AckCursor {
				kept = append(kept, end)
				continue
			}
			r.machine.fleet.judge.acknowledged(r, end)
		}
		r.ends = kept
	case "/api/pace":
	default:
		return http.StatusNotFound, map[string]any{}
	}
	return http.StatusOK, map[string]any{"clock_ms": r.clock()}
}

// extend extends the lease of all that runs here; the caller holds mu.
func (r *runner) extend(until int64) {
	until = min(until, r.clock()+maxHold.Milliseconds())
	if until <= r.until {
		return
	}
	r.until = until
	if r.lease != nil {
		r.lease.Stop()
	}
	r.lease = time.AfterFunc(time.Duration(until-r.clock())*time.Millisecond, r.lapse)
}

func (r *runner) lapse() {
	r.mu.Lock()
	var over []*taskRun
	if !r.gone && r.clock() >= r.until {
		for at := range r.ends {
			r.ends[at].lapsed = true
		}
		for _, run := range r.runs {
			over = append(over, run)
		}
	}
	r.mu.Unlock()
	for _, run := range over {
		r.finish(run, "lapsed")
	}
}

func (r *runner) begin(o *order, need int64) {
	run := &taskRun{task: o.Task, spec: o.Spec, number: o.Run, began: time.Now(), resumed: o.Checkpoint, need: need}
	r.runs[o.Task] = run
	r.used += need
	work := option(o.Spec, "work", 1000)
	if strings.Contains(o.Spec, "mixed") && strings.HasSuffix(o.Task, "0") {
		work = option(o.Spec, "short", work) // every tenth task is a short one
	}
	how := "done"
	if rand.Int63n(100) < option(o.Spec, "failshare", 0) {
		how = "failed"
	}
	run.timer = time.AfterFunc(time.Duration(work)*time.Millisecond, func() { r.finish(run, how) })
	if strings.Contains(o.Spec, "lasting") {
		run.timer.Stop()
		if life := option(o.Spec, "failsafter", 0); life > 0 {
			run.timer = time.AfterFunc(time.Duration(life)*time.Millisecond, func() { r.finish(run, "failed") })
		}
	}
	r.machine.fleet.judge.started(r, run)
}

// finish lists the end of a run.
func (r *runner) finish(run *taskRun, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gone || r.runs[run.task] != run {
		return
	}
	run.timer.Stop()
	delete(r.runs, run.task)
	r.used -= run.need
	r.highest[run.task] = max(r.highest[run.task], run.number)
	r.lastEnd++
	end := endRow{number: r.lastEnd, task: run.task, run: run.number, how: how, saved: run.checkpoint()}
	if how == "done" {
		end.saved = ""
	}
	r.ends = append(r.ends, end)
	r.machine.fleet.judge.ended(r, run, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

// checkpoint returns the newest checkpoint of a run: a name of the length that the spec states.
func (run *taskRun) checkpoint() string {
	length := int(option(run.spec, "saves", 0))
	steps := int(time.Since(run.began) / checkpointTime)
	if length == 0 || steps == 0 {
		return run.resumed
	}
	name := fmt.Sprintf("checkpoints/%s/%d/%06d-", run.task, run.number, steps)
	for len(name) < length {
		name += "0123456789abcdef"
	}
	return name[:length]
}

func (run *taskRun) percent() int {
	if strings.Contains(run.spec, "lasting") {
		if time.Since(run.began) < lastingStartup {
			return 0
		}
		return 100
	}
	return int(min(99, 100*time.Since(run.began).Milliseconds()/max(1, option(run.spec, "work", 1000))))
}

// awaitEnd waits until an end is listed, as long as the hold allows.
func (r *runner) awaitEnd(request *http.Request, o *order) {
	timer := time.NewTimer(min(2*time.Second, time.Duration(o.WaitMS)*time.Millisecond))
	defer timer.Stop()
	for {
		r.mu.Lock()
		changed, ready := r.changed, len(r.ends) > 0 || r.gone
		r.mu.Unlock()
		if ready {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-request.Context().Done():
			return
		}
	}
}

// lists returns the answer to a hold; nil if the runner has gone.
func (r *runner) lists() map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gone {
		return nil
	}
	running, ended := [][]any{}, [][]any{}
	for _, run := range r.runs {
		running = append(running, []any{run.task, run.number, run.checkpoint(), run.percent(), run.need})
	}
	for _, end := range r.ends[:min(500, len(r.ends))] {
		ended = append(ended, []any{end.number, end.task, end.run, end.how, end.saved})
	}
	answer := map[string]any{"clock_ms": r.clock(), "running": running, "ended": ended}
	if r.born != 0 {
		answer["born"] = r.born
	}
	return answer
}
