package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The search plays jobs of many kinds with disruptions drawn at random, to find orders of events that
// break a rule. It is no case: SEED and SPAN (seconds) set what is played.

const (
	adviceTime  = 60 * time.Millisecond
	ticketTime  = 3 * time.Second
	cancelTime  = 3 * time.Second
	searchCalm  = 22 * time.Second
	searchEvery = 900 * time.Millisecond
)

// advisor is a stand-in of the service that decides which runners may run a step.
type advisor struct {
	fleet *fleet
	mu    sync.Mutex
	calls int
}

func permitted(step, runner string) bool {
	digest := fnv.New32a()
	digest.Write([]byte(step + runner))
	return digest.Sum32()%3 != 0
}

func (a *advisor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || len(body.Workers) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	a.calls++
	time.Sleep(adviceTime)
	a.mu.Unlock()
	good := [][2]string{}
	for _, worker := range body.Workers {
		if permitted(body.Step, worker) {
			good = append(good, [2]string{worker, fmt.Sprintf("%d|%s|%s", time.Now().Add(ticketTime).UnixMilli(), body.Step, worker)})
		}
	}
	reply(w, http.StatusOK, map[string]any{"good": good, "valid_ms": ticketTime.Milliseconds()})
}

// playedJob is a job of the search with what was asked and answered.
type playedJob struct {
	id        string
	queue     queue
	steps     []map[string]any
	times     int
	period    int
	startAt   int64
	accepted  time.Time
	cancelAt  time.Time // when its cancelling was acknowledged
	lasting   bool
	anyAnswer bool
}

type search struct {
	fleet  *fleet
	random *rand.Rand
	jobs   []*playedJob
	breaks []string
	// busyUntil says until when an instance is disturbed and is left alone.
	busyUntil map[string]time.Time
}

func (s *search) between(low, high float64) time.Duration {
	return time.Duration((low + s.random.Float64()*(high-low)) * float64(time.Second))
}

func (s *search) newJob(number int) *playedJob {
	j := &playedJob{id: fmt.Sprintf("%016x", 0xabc0000000000000+uint64(number)), times: 1}
	j.queue = queues[s.random.Intn(len(queues))]
	j.lasting = s.random.Intn(9) == 0
	steps := 1 + s.random.Intn(3)
	for index := range steps {
		step := map[string]any{"count": 1 + s.random.Intn(6), "cpu": 2000, "mem_mb": 500, "est_runtime_ms": 1500}
		if s.random.Intn(4) == 0 {
			step["gpu"] = 1 + s.random.Intn(2)
		}
		if index > 0 && s.random.Intn(2) == 0 && !j.lasting {
			step["after"] = []int{s.random.Intn(index)}
		}
		if s.random.Intn(3) == 0 {
			step["checkpoints"] = true
		}
		if s.random.Intn(4) == 0 {
			step["anti_affinity"] = 1 + s.random.Intn(2)
		}
		if s.random.Intn(4) == 0 {
			step["required_label"] = "b"
		}
		if j.lasting {
			step["long_running"] = true
			step["may_miss"] = 1 + s.random.Intn(2)
		}
		j.steps = append(j.steps, step)
	}
	if !j.lasting && s.random.Intn(5) == 0 {
		j.times, j.period = 2+s.random.Intn(3), 500+s.random.Intn(3000)
		j.startAt = time.Now().UnixMilli() + int64(s.random.Intn(4000))
	}
	return j
}

func (s *search) body(j *playedJob) string {
	spec := fmt.Sprintf("work=%d cpu=2000 saves=16", 300+s.random.Intn(6000))
	if j.lasting {
		spec += " lasting"
		if s.random.Intn(2) == 0 {
			spec += fmt.Sprintf(" failsafter=%d", 4000+s.random.Intn(9000))
		}
	} else if s.random.Intn(4) == 0 {
		spec += fmt.Sprintf(" failshare=%d", 20+s.random.Intn(60))
	}
	body := map[string]any{"spec": spec, "steps": j.steps}
	if j.times > 1 {
		body["repeat_count"], body["period_ms"], body["start_at_ms"] = j.times, j.period, j.startAt
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return string(encoded)
}

func (s *search) handIn(number int) {
	j := s.newJob(number)
	body := s.body(j)
	rejected, other := 0, 0
	for range 5 {
		i := s.fleet.instances[s.random.Intn(len(s.fleet.instances))]
		status, _ := s.fleet.call(i, http.MethodPost, j.queue, j.id, body)
		s.fleet.events.add("POST %s to %s: %d %s", j.id, i.name, status, body)
		if status/100 == 2 {
			j.accepted = time.Now()
			break
		}
		if status == 429 || status == 503 {
			rejected++
		} else {
			other++
		}
		time.Sleep(100 * time.Millisecond)
	}
	j.anyAnswer = other > 0
	s.jobs = append(s.jobs, j)
}

func (s *search) cancelOne() {
	j := s.jobs[s.random.Intn(len(s.jobs))]
	if j.accepted.IsZero() || !j.cancelAt.IsZero() {
		return
	}
	for range 4 {
		status, _ := s.fleet.call(s.fleet.instances[s.random.Intn(len(s.fleet.instances))], http.MethodDelete, j.queue, j.id, "")
		s.fleet.events.add("DELETE %s: %d", j.id, status)
		if status/100 == 2 {
			j.cancelAt = time.Now()
			return
		}
	}
}

// disrupt begins one disruption drawn at random and returns when it is over.
func (s *search) disrupt(wait *sync.WaitGroup) {
	f := s.fleet
	span := s.between(1, 6)
	after := func(d time.Duration, what func()) {
		wait.Add(1)
		time.AfterFunc(d, func() {
			defer wait.Done()
			what()
		})
	}
	m := f.machines[s.random.Intn(min(40, len(f.machines)))] // work is packed onto the first ones
	i := f.instances[s.random.Intn(len(f.instances))]
	if s.busyUntil[i.name].After(time.Now()) {
		return
	}
	switch kind := s.random.Intn(12); kind {
	case 0, 1:
		f.events.add("disruption: %s crashes for %s", m.name, span/2)
		if m.current() == nil {
			return
		}
		m.crash()
		after(span/2, m.start)
	case 2, 3:
		f.events.add("disruption: %s is cut off for %s", m.name, span+3*time.Second)
		m.setCut(true)
		after(span+3*time.Second, func() { m.setCut(false) })
	case 4:
		f.events.add("disruption: orders to %s are late for %s", m.name, span)
		until, random := time.Now().Add(span), rand.New(rand.NewSource(s.random.Int63()))
		var mu sync.Mutex
		m.mu.Lock()
		m.hold = func(string, []byte) time.Duration {
			mu.Lock()
			defer mu.Unlock()
			if time.Now().After(until) || random.Intn(3) > 0 {
				return 0
			}
			return 2*time.Second + time.Duration(random.Intn(10000))*time.Millisecond
		}
		m.mu.Unlock()
	case 5, 6:
		s.busyUntil[i.name] = time.Now().Add(4 * time.Second)
		f.events.add("disruption: %s is killed", i.name)
		_ = i.cmd.Process.Kill()
		<-i.ended
		after(s.between(0.2, 2), func() { f.restart(i) })
	case 7:
		s.busyUntil[i.name] = time.Now().Add(span + time.Second)
		f.events.add("disruption: %s stands still for %s", i.name, span)
		_ = i.cmd.Process.Signal(syscall.SIGSTOP)
		process := i.cmd.Process
		after(span, func() { _ = process.Signal(syscall.SIGCONT) })
	case 8:
		s.busyUntil[i.name] = time.Now().Add(8 * time.Second)
		f.events.add("disruption: %s is told to stop", i.name)
		_ = i.cmd.Process.Signal(syscall.SIGCONT)
		_ = i.cmd.Process.Signal(syscall.SIGTERM)
		wait.Add(1)
		go func() {
			defer wait.Done()
			select {
			case <-i.ended:
			case <-time.After(6 * time.Second):
				f.events.add("%s has not ended within the grace", i.name)
				_ = i.cmd.Process.Kill()
				<-i.ended
			}
			f.restart(i)
		}()
		time.Sleep(100 * time.Millisecond)
	case 9, 10:
		mode := []string{"busy", "silent", "slow", "lost", "late"}[s.random.Intn(5)]
		f.events.add("disruption: the store is %s for %s", mode, span)
		f.storeFaults.set(mode)
		after(span, func() { f.storeFaults.set("") })
	case 11:
		f.events.add("disruption: %s drains and leaves", m.name)
		life := m.current()
		if life == nil {
			return
		}
		life.mu.Lock()
		life.draining = true
		life.mu.Unlock()
		f.register(life)
		after(3500*time.Millisecond, func() {
			if m.current() == life {
				m.crash()
			}
		})
		after(5*time.Second, func() {
			if m.current() == nil {
				m.start()
			}
		})
	}
}

// storeFaults disturbs the calls to the store.
type storeFaults struct {
	mu   sync.Mutex
	mode string
	next http.Handler
}

func (s *storeFaults) set(mode string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
}

// discard is the writer of an answer that nobody reads.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(p []byte) (int, error) { return len(p), nil }
func (d discard) WriteHeader(int)             {}

func (s *storeFaults) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	mode := s.mode
	s.mu.Unlock()
	write := r.URL.Path == "/api/log-append"
	switch {
	case mode == "busy":
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case mode == "silent":
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case mode == "slow":
		time.Sleep(250 * time.Millisecond)
	case (mode == "lost" || mode == "late") && write && rand.Intn(3) == 0:
		if mode == "lost" {
			s.next.ServeHTTP(discard{http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		late, body := r.Clone(r.Context()), new(strings.Builder)
		buffer := make([]byte, 1<<16)
		for {
			n, err := r.Body.Read(buffer)
			body.Write(buffer[:n])
			if err != nil {
				break
			}
		}
		late.Body = readCloser{strings.NewReader(body.String())}
		time.AfterFunc(time.Second+time.Duration(rand.Intn(5000))*time.Millisecond, func() { s.next.ServeHTTP(discard{http.Header{}}, late) })
		panic(http.ErrAbortHandler)
	}
	s.next.ServeHTTP(w, r)
}

type readCloser struct{ *strings.Reader }

func (readCloser) Close() error { return nil }

// exploreCase plays the search once.
func exploreCase(f *fleet, trouble bool) error {
	seed, span := number(os.Getenv("SEED")), time.Duration(number(os.Getenv("SPAN")))*time.Second
	if span == 0 {
		span = 40 * time.Second
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go http.Serve(listener, &advisor{fleet: f})
	f.advice = listener.Addr().String()
	f.keepIDs = os.Getenv("KEEPIDS") != ""
	f.mixedKinds = true
	queues = append(queues, queue{"r-advised", "adv11.example", "/adv/", 1, 3, 2000, 3})
	f.publish()
	instances, machines := 4, 16
	if wanted := int(number(os.Getenv("MACHINES"))); wanted > 0 {
		instances, machines = 6, wanted
	}
	if err := f.run(instances, machines); err != nil {
		return err
	}
	s := &search{fleet: f, random: rand.New(rand.NewSource(seed)), busyUntil: map[string]time.Time{}}
	var wait sync.WaitGroup
	nextFault := time.Now().Add(3 * time.Second)
	for began, number := time.Now(), 0; time.Since(began) < span; number++ {
		s.handIn(number)
		if s.random.Intn(6) == 0 {
			s.cancelOne()
		}
		if trouble && time.Now().After(nextFault) {
			for range 1 + s.random.Intn(2) {
				s.disrupt(&wait)
			}
			nextFault = time.Now().Add(s.between(1, 5))
		}
		time.Sleep(time.Duration(s.random.Int63n(int64(searchEvery))))
	}
	wait.Wait()
	f.events.add("calm from here on")
	for _, m := range f.machines {
		m.mu.Lock()
		m.hold = nil
		m.mu.Unlock()
	}
	time.Sleep(searchCalm)
	s.check()
	for _, i := range f.instances {
		select {
		case <-i.ended:
			s.breaks = append(s.breaks, i.name+" has ended by itself")
		default:
		}
	}
	if len(s.breaks) > 0 {
		for _, text := range s.breaks {
			f.events.add("BREAK %s", text)
		}
		return fmt.Errorf("%w: %d, the first: %s", errBroken, len(s.breaks), s.breaks[0])
	}
	return nil
}

func (s *search) check() {
	if twice := s.fleet.judge.twice(); twice != "" {
		s.breaks = append(s.breaks, "TWICE "+twice)
	}
	j := s.fleet.judge
	for _, job := range s.jobs {
		state := s.fleet.state(job.queue, job.id)
		ends := j.endsOf(job.id)
		tasks, missing := 0, 0
		for occurrence := range job.times {
			for step, spec := range job.steps {
				for index := range spec["count"].(int) {
					tasks++
					name := fmt.Sprintf("%s.%d.%d.%d", job.id, occurrence, step, index)
					if !j.hasDone(name) {
						missing++
					}
					if problem := j.checkTask(name, job, s); problem != "" {
						s.breaks = append(s.breaks, problem)
					}
					if idle := j.idleFor(name); job.lasting && !job.accepted.IsZero() && job.cancelAt.IsZero() && idle > 9*time.Second {
						s.breaks = append(s.breaks, fmt.Sprintf("LOST %s lasts and has not run for %s", name, idle))
					}
				}
			}
		}
		s.fleet.events.add("%s: accepted %t, cancelled %t, lasting %t, state %s, %d tasks, %d without an end done, runs %v", job.id, !job.accepted.IsZero(), !job.cancelAt.IsZero(), job.lasting, state, tasks, missing, ends)
		switch {
		case job.accepted.IsZero():
			if !job.anyAnswer && j.starts(job.id) > 0 {
				s.breaks = append(s.breaks, "REFUSED "+job.id)
			}
		case state == "done" && missing > 0 && !job.lasting:
			s.breaks = append(s.breaks, "MIXED "+job.id+" is done with tasks missing")
		case state == "410" || state == "0":
			s.breaks = append(s.breaks, "LOST "+job.id+" "+state)
		case state == "failed" && ends["failed"] == 0:
			s.breaks = append(s.breaks, "LOST "+job.id+" is failed without a failed run")
		case job.cancelAt.IsZero() && !job.lasting && (state == "queued" || state == "running") && ends["running"] == 0:
			s.breaks = append(s.breaks, fmt.Sprintf("LOST? %s %s has nothing running: %v", job.id, state, ends))
		case !job.cancelAt.IsZero() && ends["running"] > 0:
			s.breaks = append(s.breaks, "UNASKED "+job.id+" was cancelled and runs")
		}
	}
}
