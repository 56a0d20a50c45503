package e2e

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

const (
	// wideRackJob is a gang that asks for one rack and is wider than any, of little work that is
	// estimated far too long.
	wideRackJob = `{"spec":"gang5","steps":[{"count":5,"cpu":1000,"mem_mb":10,"gpu":4,"gang":true,"same_rack":true,"est_runtime_ms":60000}]}`
	// idleAfter is how long it has to have been calm before a wait counts.
	idleAfter = 4 * time.Second
	idleLook  = 50 * time.Millisecond
)

// idleWatch looks for accepted jobs of which nothing runs though there is capacity for each
// of their steps twice over, while under half of the workers' room is in use.
type idleWatch struct {
	*storm
	random  *rand.Rand
	since   map[string]time.Time // since when a job has waited so
	ended   map[string]bool
	longest time.Duration
	job     string // that waited for the longest
	late    map[string]time.Duration
}

// watchIdle watches until the test is over, and then holds what was seen against the bound.
func (s *storm) watchIdle() {
	w := &idleWatch{storm: s, random: rand.New(rand.NewPCG(*stormSeed, 97)), since: map[string]time.Time{}, ended: map[string]bool{}, late: map[string]time.Duration{}}
	stop, stopped := make(chan struct{}), make(chan struct{})
	calm := time.Now()
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			case <-time.After(idleLook):
			}
			if time.Since(calm) >= idleAfter {
				w.look()
			}
		}
	}()
	s.t.Cleanup(func() {
		close(stop)
		<-stopped
		s.t.Logf("longest wait beside idle workers: %v, job %s", w.longest, w.job)
		for id, waited := range w.late {
			s.t.Errorf("job %s waited %v or longer beside idle workers", id, waited)
		}
	})
}

// handInWide hands in a gang for which a wait beside idle workers shows.
func (s *storm) handInWide() {
	job := &handed{id: fmt.Sprintf("%016x", 0xa0000+s.next.Add(1)), body: wideRackJob, fate: fateAccepted, state: "done"}
	random := rand.New(rand.NewPCG(*stormSeed, 96))
	s.until("accepted after the storm", func() bool { return s.handIn(job.id, job.body, random) == fateAccepted })
	s.guard.Lock()
	defer s.guard.Unlock()
	s.jobs = append(s.jobs, job)
}

func (w *idleWatch) look() {
	jobs := w.waiting()
	now := time.Now()
	free, busy := w.room()
	for _, job := range jobs {
		if busy[job.id] || !job.fitsTwice(free) {
			delete(w.since, job.id)
			continue
		}
		switch w.state(w.any(w.random), job.id) {
		case "done", "failed", "cancelled":
			w.ended[job.id] = true
			continue
		}
		if w.since[job.id].IsZero() {
			w.since[job.id] = now
		}
		w.waited(job.id, now.Sub(w.since[job.id]))
	}
}

func (w *idleWatch) waited(id string, span time.Duration) {
	if span > w.longest {
		w.longest, w.job = span, id
	}
	if *stormIdle > 0 && span > *stormIdle {
		w.late[id] = span
	}
}

// waiting are the jobs that were accepted and are not known to have ended.
func (w *idleWatch) waiting() []*handed {
	w.guard.Lock()
	defer w.guard.Unlock()
	var list []*handed
	for _, job := range w.jobs {
		if job.fate == fateAccepted && !job.cancelled && !w.ended[job.id] {
			list = append(list, job)
		}
	}
	return list
}

// room is how many accelerators each machine has free, or nothing if half of all are in use
// or more, and which jobs have tasks at work.
func (w *idleWatch) room() (free []int, busy map[string]bool) {
	w.guard.Lock()
	bodies := map[string]string{}
	for _, job := range w.jobs {
		bodies[job.id] = job.body
	}
	w.guard.Unlock()
	busy = map[string]bool{}
	inUse, all := 0, 0
	for _, machine := range w.machines {
		life := machine.at()
		if life == nil {
			continue
		}
		left := machineGPU
		for _, task := range life.Tasks() {
			id, _, _ := strings.Cut(task, ".")
			busy[id] = true
			left -= accelerators(bodies[id], task)
		}
		free = append(free, left)
		inUse += machineGPU - left
		all += machineGPU
	}
	if 2*inUse >= all {
		return nil, busy
	}
	return free, busy
}

type idleStep struct {
	Count int  `json:"count"`
	GPU   int  `json:"gpu"`
	Gang  bool `json:"gang"`
}

func stepsOf(body string) []idleStep {
	var job struct {
		Steps []idleStep `json:"steps"`
	}
	if err := json.Unmarshal([]byte(body), &job); err != nil {
		panic("no job: " + body)
	}
	return job.Steps
}

// accelerators is what a task takes, all of a machine if its job is not known.
func accelerators(body, task string) int {
	if body == "" {
		return machineGPU
	}
	var id string
	var occurrence, step, index int
	if _, err := fmt.Sscanf(strings.ReplaceAll(task, ".", " "), "%s %d %d %d", &id, &occurrence, &step, &index); err != nil {
		panic("no task: " + task)
	}
	return stepsOf(body)[step].GPU
}

// fitsTwice reports whether machines have room for each step twice over: for all tasks of a
// gang, for one of others.
func (h *handed) fitsTwice(free []int) bool {
	for _, step := range stepsOf(h.body) {
		needed := 1
		if step.Gang {
			needed = step.Count
		}
		seats := 0
		for _, left := range free {
			seats += max(0, left) / step.GPU
		}
		if seats < 2*needed {
			return false
		}
	}
	return true
}
