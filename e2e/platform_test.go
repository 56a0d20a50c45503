package e2e

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/teaselcleat/teaselcleat/standin"
)

const (
	gangJob   = `{"spec":"gang2","steps":[{"count":2,"cpu":1000,"mem_mb":10,"gpu":8,"gang":true,"est_runtime_ms":300},{"count":3,"cpu":1000,"mem_mb":10,"gpu":1,"est_runtime_ms":300,"after":[0]}]}`
	failedJob = `{"spec":"fail","steps":[{"count":1,"cpu":1000,"mem_mb":10,"gpu":1,"est_runtime_ms":300}]}`
)

// A job of two steps is submitted at one instance, runs, and is reported as done by another.
// Invalid calls get the HTTP status that the platform specifies.
func TestPlatformServesAJob(t *testing.T) {
	f := newFleet(t, 3, 3)
	first, other := f.instances[0], f.instances[1]
	const id = "00000000000000a1"
	if status, _ := f.call(first, http.MethodGet, id, "key-a", ""); status != http.StatusGone {
		t.Errorf("state of an unknown job: %d", status)
	}
	if status, _ := f.call(first, http.MethodPost, id, "no-key", gangJob); status != http.StatusUnauthorized {
		t.Errorf("unknown key: %d", status)
	}
	if status, _ := f.call(first, http.MethodPost, id, "key-a", `{"steps":[{"count":1,"after":[0]}]}`); status != http.StatusBadRequest {
		t.Errorf("a step that waits for itself: %d", status)
	}
	if status, body := f.call(first, http.MethodPost, id, "key-a", gangJob); status != http.StatusOK {
		t.Fatalf("submission: %d %s", status, body)
	}
	if status, _ := f.call(other, http.MethodPost, id, "key-a", gangJob); status != http.StatusOK {
		t.Errorf("the same submission elsewhere: %d", status)
	}
	f.waitUntil("done", func() bool { return f.jobState(other, id) == "done" })
	for index := range 3 {
		if starts := f.starts(fmt.Sprintf("%s.0.1.%d", id, index)); starts != 1 {
			t.Errorf("task %d was started %d times", index, starts)
		}
	}
}

// starts returns how often a task was started, on all workers.
func (f *fleet) starts(task string) int {
	count := 0
	for _, worker := range f.allIncarnations() {
		count += worker.Starts(task)
	}
	return count
}

// A job whose task always fails must end after its last attempt, and the logs and metrics of the
// instances must name the cause.
func TestPlatformFailedJobIsLoggedWithItsCause(t *testing.T) {
	f := newFleet(t, 2, 2)
	const id = "00000000000000b1"
	if status, _ := f.call(f.instances[0], http.MethodPost, id, "key-a", failedJob); status != http.StatusOK {
		t.Fatalf("submission: %d", status)
	}
	f.waitUntil("failed", func() bool { return f.jobState(f.instances[1], id) == "failed" })
	if starts := f.starts(id + ".0.0.0"); starts != 2 {
		t.Errorf("started %d times, 2 attempts are allowed", starts)
	}
	f.checkLogLines(id, "msg=submit", "msg=placed", "msg=task_failed", "failed in every attempt")
	if metrics := f.metricsText(f.leader()); !strings.Contains(metrics, "decisions.task_failed") {
		t.Errorf("the failure is not in the metrics:\n%s", metrics)
	}
}

// metricsText returns the metrics that an instance exposes to the platform.
func (f *fleet) metricsText(instance *frontInstance) string {
	response, err := http.Get("http://" + instance.metricsAddr + "/metrics")
	if err != nil {
		f.t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	return string(text)
}

// checkLogLines checks that each of the texts occurs in a log line about a job at any instance.
func (f *fleet) checkLogLines(id string, texts ...string) {
	f.t.Helper()
	var lines []string
	for _, instance := range f.instances {
		content, err := os.ReadFile(instance.logFile.Name())
		if err != nil {
			f.t.Fatal(err)
		}
		for _, line := range strings.Split(string(content), "\n") {
			if strings.Contains(line, id) {
				lines = append(lines, line)
			}
		}
	}
	all := strings.Join(lines, "\n")
	for _, text := range texts {
		if !strings.Contains(all, text) {
			f.t.Errorf("no line with %q about %s:\n%s", text, id, all)
		}
	}
}

// leader waits for and returns a running instance that, by its log, won more terms than it gave
// up.
func (f *fleet) leader() *frontInstance {
	var leader *frontInstance
	f.waitUntil("a leader of the term", func() bool {
		for _, instance := range f.instances {
			leads, err := instance.leads()
			if err != nil {
				f.t.Fatal(err)
			}
			if leads {
				leader = instance
			}
		}
		return leader != nil
	})
	return leader
}

// leads reports whether an instance is running and, by its log, won more terms than it gave up.
func (i *frontInstance) leads() (bool, error) {
	content, err := os.ReadFile(i.logFile.Name())
	if err != nil {
		return false, err
	}
	return strings.Count(string(content), "msg=term_won") > strings.Count(string(content), "msg=term_over") && i.cmd.ProcessState == nil, nil
}

// The leader is killed while a job runs. Another instance must become leader, the job must be
// done, and no task may start twice.
func TestPlatformLeaderKillLosesNoWork(t *testing.T) {
	f := newFleet(t, 3, 3)
	leader := f.leader()
	var remaining []*frontInstance
	for _, instance := range f.instances {
		if instance != leader {
			remaining = append(remaining, instance)
		}
	}
	const id = "00000000000000c1"
	if status, _ := f.call(remaining[0], http.MethodPost, id, "key-a", gangJob); status != http.StatusOK {
		t.Fatalf("submission: %d", status)
	}
	f.waitUntil("running", func() bool { return f.jobState(remaining[0], id) == "running" })
	leader.cmd.Process.Kill()
	leader.cmd.Wait()
	f.waitUntil("done", func() bool { return f.jobState(remaining[1], id) == "done" })
	for index := range 3 {
		if starts := f.starts(fmt.Sprintf("%s.0.1.%d", id, index)); starts != 1 {
			t.Errorf("task %d was started %d times", index, starts)
		}
	}
	f.checkLogLines(id, "msg=submit", "msg=job_ended")
}

// The tasks of a cancelled job must stop, and other instances must report it as cancelled. Lost
// answers of the store must not affect the caller.
func TestPlatformCancel(t *testing.T) {
	f := newFleet(t, 2, 2)
	for _, worker := range f.incarnations {
		worker.RunTime = time.Hour
	}
	f.store.SetFaults(standin.StoreFaults{LoseAnswers: 2})
	const id = "00000000000000d1"
	f.waitUntil("accepted", func() bool {
		status, _ := f.call(f.instances[0], http.MethodPost, id, "key-a", gangJob)
		return status == http.StatusOK
	})
	f.waitUntil("both tasks running", func() bool { return f.incarnations[0].Running()+f.incarnations[1].Running() == 2 })
	if status, _ := f.call(f.instances[1], http.MethodDelete, id, "key-a", ""); status != http.StatusOK {
		t.Fatalf("cancel: %d", status)
	}
	f.waitUntil("no task running", func() bool { return f.incarnations[0].Running()+f.incarnations[1].Running() == 0 })
	f.waitUntil("cancelled", func() bool { return f.jobState(f.instances[0], id) == "cancelled" })
}

// While the store is down for all instances, submissions must wait for a share of their callers' time and
// then be refused as never to run, with a time to retry. The wait and the refusal must be in the instance's
// log. A submission whose caller still waits when the store is back must be accepted.
func TestPlatformRefusesWhileTheStoreIsDown(t *testing.T) {
	f := newFleet(t, 2, 1)
	f.store.SetFaults(standin.StoreFaults{Down: true})
	const id = "00000000000000e1"
	status, body := f.call(f.instances[0], http.MethodPost, id, "key-a", gangJob)
	if status != http.StatusServiceUnavailable {
		t.Fatalf("submission: %d %s", status, body)
	}
	f.store.SetFaults(standin.StoreFaults{Retain: 1})
	f.waitUntil("reported as never submitted", func() bool { return f.jobState(f.instances[0], id) == "410" })
	f.checkLogLines(id, "msg=hand_in_waits", "verdict=not_run", "retry_after_ms=100")
	f.store.SetFaults(standin.StoreFaults{Down: true})
	time.AfterFunc(300*time.Millisecond, func() { f.store.SetFaults(standin.StoreFaults{}) })
	if status, body := f.call(f.instances[0], http.MethodPost, "00000000000000e2", "key-a", gangJob); status != http.StatusOK {
		t.Errorf("submission shortly before the store is back: %d %s", status, body)
	}
}

// While some parts of the store are away for all instances, jobs must be accepted and done as before.
func TestPlatformAcceptsJobsWhilePartsOfTheStoreAreAway(t *testing.T) {
	f := newFleet(t, 2, 2)
	f.store.SetFaults(standin.StoreFaults{ResetParts: map[string]bool{"1": true, "2": true, "4": true}})
	for number := range 12 {
		id := fmt.Sprintf("%016x", 0xa0+number)
		if status, body := f.call(f.instances[number%2], http.MethodPost, id, "key-a", smallJob); status != http.StatusOK {
			t.Errorf("submission of %s: %d %s", id, status, body)
		}
	}
	for number := range 12 {
		id := fmt.Sprintf("%016x", 0xa0+number)
		f.waitUntil("done: "+id, func() bool { return f.jobState(f.instances[number%2], id) == "done" })
	}
	f.store.SetFaults(standin.StoreFaults{})
}

// A leader that is stopped gracefully must hand over the term and exit by itself within its grace
// period. The other instance must keep serving.
func TestPlatformGracefulStop(t *testing.T) {
	f := newFleet(t, 2, 2)
	leader := f.leader()
	if err := leader.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := leader.cmd.Wait(); err != nil {
		t.Errorf("the stopped instance: %v", err)
	}
	remaining := f.instances[0]
	if remaining == leader {
		remaining = f.instances[1]
	}
	const id = "00000000000000f1"
	if status, _ := f.call(remaining, http.MethodPost, id, "key-a", gangJob); status != http.StatusOK {
		t.Fatalf("submission: %d", status)
	}
	f.waitUntil("done", func() bool { return f.jobState(remaining, id) == "done" })
}
