package e2e

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// longJob has tasks that run longer than a lease.
const longJob = `{"spec":"long","steps":[{"count":2,"cpu":1000,"mem_mb":10,"gpu":1,"est_runtime_ms":8000}]}`

// randomInstance returns a random instance, as a load balancer would choose one.
func (s *storm) randomInstance(random *rand.Rand) *frontInstance {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.instances[random.IntN(len(s.instances))]
}

// submitJobs submits one job after the other until the callers are stopped.
func (s *storm) submitJobs(random *rand.Rand) {
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(time.Duration(random.IntN(int(maxCallerPause.Milliseconds()))) * time.Millisecond):
		}
		job := &submittedJob{body: gangJob, wantState: "done"}
		switch random.IntN(12) {
		case 0:
			job.body, job.wantState = failedJob, "failed"
		case 1, 2, 3:
			job.body = longJob
		case 4:
			job.body = wideRackJob
		}
		s.recordSubmission(job, random)
	}
}

// recordSubmission submits a job under a new ID, cancels some of the accepted ones, and records it.
func (s *storm) recordSubmission(job *submittedJob, random *rand.Rand) {
	job.id = fmt.Sprintf("%016x", 0xa0000+s.nextID.Add(1))
	job.result = s.submitJob(job.id, job.body, random)
	if job.result == submitAccepted && random.IntN(8) == 0 {
		job.cancelled = true
		s.call(s.randomInstance(random), http.MethodDelete, job.id, "key-a", "")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobs = append(s.jobs, job)
}

// submitJob submits a job, and retries elsewhere while the outcome is unknown. A refusal covers
// only its own attempt: an earlier one may have been accepted.
func (s *storm) submitJob(id, body string, random *rand.Rand) submitResult {
	for attempt := range 4 {
		switch status, _ := s.call(s.randomInstance(random), http.MethodPost, id, "key-a", body); status {
		case http.StatusOK:
			return submitAccepted
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			if attempt == 0 {
				return submitRefused
			}
			return submitUnknown
		}
	}
	return submitUnknown
}

// checkRecovery checks that new work is accepted and done after the last fault, within the bound
// of -storm.recovery if it is set.
func (s *storm) checkRecovery() {
	begin := time.Now()
	random := rand.New(rand.NewPCG(*stormSeed, 99))
	id := fmt.Sprintf("%016x", 0xa0000+s.nextID.Add(1))
	s.waitUntil("accepted after the last fault", func() bool { return s.submitJob(id, gangJob, random) == submitAccepted })
	s.waitUntil("done after the last fault", func() bool { return s.jobState(s.randomInstance(random), id) == "done" })
	took := time.Since(begin)
	s.t.Logf("new work took %v after the last fault", took)
	if *stormRecovery > 0 && took > *stormRecovery {
		s.t.Errorf("new work took longer than %v", *stormRecovery)
	}
}

// checkJobEnds compares the answers that callers got with the outcome of their jobs.
func (s *storm) checkJobEnds() {
	random := rand.New(rand.NewPCG(*stormSeed, 98))
	counts := map[submitResult]int{}
	for _, job := range s.jobs {
		counts[job.result]++
		switch job.result {
		case submitAccepted:
			s.waitUntil("the end of "+job.id, func() bool { return job.endedAsExpected(s.jobState(s.randomInstance(random), job.id)) })
		case submitRefused:
			if starts := s.jobStarts(job.id); starts > 0 {
				s.t.Errorf("job %s was refused as never to run, and was started %d times", job.id, starts)
			}
		case submitUnknown:
			if state := s.jobState(s.randomInstance(random), job.id); state == "410" && s.jobStarts(job.id) > 0 {
				s.t.Errorf("job %s is reported as not existing, and was started", job.id)
			}
		}
	}
	s.t.Logf("jobs: %d accepted, %d refused, %d unknown; runs with expired leases: %d", counts[submitAccepted], counts[submitRefused], counts[submitUnknown], s.expiredRuns())
}

// expiredRuns returns the number of runs whose lease expired, either ending the run or after its
// end had gone unrecorded.
func (s *storm) expiredRuns() int {
	total := 0
	for _, worker := range s.allIncarnations() {
		total += worker.ExpiredRuns()
	}
	return total
}

// endedAsExpected reports whether the state of an accepted job is its required final state.
func (j *submittedJob) endedAsExpected(state string) bool {
	return state == j.wantState || j.cancelled && state == "cancelled"
}

// jobStarts returns the number of starts of all tasks of a job.
func (s *storm) jobStarts(id string) int {
	count := 0
	for step := range 2 {
		for index := range 5 {
			count += s.starts(fmt.Sprintf("%s.0.%d.%d", id, step, index))
		}
	}
	return count
}

// checkLimits checks the peak memory and the open files of all instances against the limits of
// their machines.
func (s *storm) checkLimits() {
	for _, instance := range s.instances {
		dir := fmt.Sprintf("/proc/%d", instance.cmd.Process.Pid)
		if peak := s.peakMemoryKB(dir); peak > maxMemoryKB {
			s.t.Errorf("peak memory of %s is %d KB", instance.name, peak)
		}
		files, err := filepath.Glob(dir + "/fd/*")
		if err != nil || len(files) > maxOpenFiles {
			s.t.Errorf("%s has %d open files (%v)", instance.name, len(files), err)
		}
	}
}

// peakMemoryKB returns the peak memory of a process, given its directory in /proc.
func (s *storm) peakMemoryKB(dir string) int {
	content, err := os.ReadFile(dir + "/status")
	if err != nil {
		s.t.Fatal(err)
	}
	for _, line := range strings.Split(string(content), "\n") {
		fields := strings.Fields(line)
		if len(fields) == 3 && fields[0] == "VmHWM:" {
			peak, err := strconv.Atoi(fields[1])
			if err != nil {
				s.t.Fatal(err)
			}
			return peak
		}
	}
	s.t.Fatal("no VmHWM line in " + dir)
	return 0
}
