package e2e

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

const (
	// wideRackJob is a gang that requests one rack and is wider than any; its tasks are short, and
	// their estimate is far too long.
	wideRackJob = `{"spec":"gang5","steps":[{"count":5,"cpu":1000,"mem_mb":10,"gpu":4,"gang":true,"same_rack":true,"est_runtime_ms":60000}]}`
	// idleGracePeriod is the time without faults before waits count.
	idleGracePeriod    = 4 * time.Second
	idleSampleInterval = 50 * time.Millisecond
)

// idleMonitor finds accepted jobs of which no task runs although each of their steps would fit
// twice into the free capacity, while less than half of the workers' capacity is in use.
type idleMonitor struct {
	*storm
	random       *rand.Rand
	waitingSince map[string]time.Time // start of a job's wait beside idle workers
	ended        map[string]bool
	longestWait  time.Duration
	longestJob   string // job with the longest wait
	overdue      map[string]time.Duration
}

// monitorIdle samples until the end of the test, and then fails it for waits beyond the bound of
// -storm.idle.
func (s *storm) monitorIdle() {
	m := &idleMonitor{storm: s, random: rand.New(rand.NewPCG(*stormSeed, 97)), waitingSince: map[string]time.Time{}, ended: map[string]bool{}, overdue: map[string]time.Duration{}}
	stop, stopped := make(chan struct{}), make(chan struct{})
	begin := time.Now()
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			case <-time.After(idleSampleInterval):
			}
			if time.Since(begin) >= idleGracePeriod {
				m.sampleWaits()
			}
		}
	}()
	s.t.Cleanup(func() {
		close(stop)
		<-stopped
		s.t.Logf("longest wait beside idle workers: %v, job %s", m.longestWait, m.longestJob)
		for id, waited := range m.overdue {
			s.t.Errorf("job %s waited %v or longer beside idle workers", id, waited)
		}
	})
}

// submitWideRackJob submits a gang that would wait beside idle workers if it had to have one rack.
func (s *storm) submitWideRackJob() {
	job := &submittedJob{id: fmt.Sprintf("%016x", 0xa0000+s.nextID.Add(1)), body: wideRackJob, result: submitAccepted, wantState: "done"}
	random := rand.New(rand.NewPCG(*stormSeed, 96))
	s.waitUntil("accepted after the last fault", func() bool { return s.submitJob(job.id, job.body, random) == submitAccepted })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobs = append(s.jobs, job)
}

// sampleWaits updates the wait of every pending job.
func (m *idleMonitor) sampleWaits() {
	jobs := m.pendingJobs()
	now := time.Now()
	free, busy := m.freeCapacity()
	for _, job := range jobs {
		if busy[job.id] || !job.fitsTwice(free) {
			delete(m.waitingSince, job.id)
			continue
		}
		switch m.jobState(m.randomInstance(m.random), job.id) {
		case "done", "failed", "cancelled":
			m.ended[job.id] = true
			continue
		}
		if m.waitingSince[job.id].IsZero() {
			m.waitingSince[job.id] = now
		}
		m.recordWait(job.id, now.Sub(m.waitingSince[job.id]))
	}
}

func (m *idleMonitor) recordWait(id string, wait time.Duration) {
	if wait > m.longestWait {
		m.longestWait, m.longestJob = wait, id
	}
	if *stormIdle > 0 && wait > *stormIdle {
		m.overdue[id] = wait
	}
}

// pendingJobs returns the accepted jobs that were not seen to end.
func (m *idleMonitor) pendingJobs() []*submittedJob {
	m.mu.Lock()
	defer m.mu.Unlock()
	var pending []*submittedJob
	for _, job := range m.jobs {
		if job.result == submitAccepted && !job.cancelled && !m.ended[job.id] {
			pending = append(pending, job)
		}
	}
	return pending
}

// freeCapacity returns the free accelerators of each machine, or nothing if half of all or more
// are in use, and the jobs that have running tasks.
func (m *idleMonitor) freeCapacity() (free []int, busy map[string]bool) {
	m.mu.Lock()
	bodies := map[string]string{}
	for _, job := range m.jobs {
		bodies[job.id] = job.body
	}
	m.mu.Unlock()
	busy = map[string]bool{}
	inUse, total := 0, 0
	for _, machine := range m.machines {
		incarnation := machine.currentIncarnation()
		if incarnation == nil {
			continue
		}
		freeGPU := machineGPU
		for _, task := range incarnation.Tasks() {
			id, _, _ := strings.Cut(task, ".")
			busy[id] = true
			freeGPU -= taskAccelerators(bodies[id], task)
		}
		free = append(free, freeGPU)
		inUse += machineGPU - freeGPU
		total += machineGPU
	}
	if 2*inUse >= total {
		return nil, busy
	}
	return free, busy
}

type jobStep struct {
	Count int  `json:"count"`
	GPU   int  `json:"gpu"`
	Gang  bool `json:"gang"`
}

func parseSteps(body string) []jobStep {
	var job struct {
		Steps []jobStep `json:"steps"`
	}
	if err := json.Unmarshal([]byte(body), &job); err != nil {
		panic("invalid job: " + body)
	}
	return job.Steps
}

// taskAccelerators returns the accelerators of a task, or those of a whole machine if its job is
// unknown.
func taskAccelerators(body, task string) int {
	if body == "" {
		return machineGPU
	}
	var id string
	var occurrence, step, index int
	if _, err := fmt.Sscanf(strings.ReplaceAll(task, ".", " "), "%s %d %d %d", &id, &occurrence, &step, &index); err != nil {
		panic("invalid task name: " + task)
	}
	return parseSteps(body)[step].GPU
}

// fitsTwice reports whether each step fits twice into the free accelerators: all tasks of a gang,
// or one task of any other step.
func (j *submittedJob) fitsTwice(free []int) bool {
	for _, step := range parseSteps(j.body) {
		needed := 1
		if step.Gang {
			needed = step.Count
		}
		placements := 0
		for _, left := range free {
			placements += max(0, left) / step.GPU
		}
		if placements < 2*needed {
			return false
		}
	}
	return true
}
