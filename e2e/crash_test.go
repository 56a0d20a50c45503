package e2e

import (
	"net/http"
	"testing"
)

const crashJob = `{"spec":"crash","steps":[{"count":1,"cpu":1000,"mem_mb":10,"gpu":1,"est_runtime_ms":300}]}`

// maxCrashStarts bounds the starts of a task that crashes its workers: three workers are lost to
// it, and it is started less than three times more.
const maxCrashStarts = 5

// A task that crashes every worker on which it starts must fail its job, even if the leader is
// killed meanwhile. The caller sees the failure, the log names the cause, and other jobs are
// done.
func TestPlatformGivesUpATaskThatEndsItsWorkers(t *testing.T) {
	f := newFleet(t, 2, 3)
	const id, gangID = "00000000000000c5", "00000000000000c6"
	for _, job := range []struct{ id, body string }{{gangID, gangJob}, {id, crashJob}} {
		if status, _ := f.call(f.instances[0], http.MethodPost, job.id, "key-a", job.body); status != http.StatusOK {
			t.Fatalf("submission: %d", status)
		}
	}
	f.waitUntil("started", func() bool { return f.starts(id+".0.0.0") > 0 })
	leader := f.leader()
	leader.cmd.Process.Kill()
	// The exit status only repeats the signal.
	_ = leader.cmd.Wait()
	remaining := f.instances[0]
	if remaining == leader {
		remaining = f.instances[1]
	}
	f.waitUntil("given up", func() bool { return f.jobState(remaining, id) == "failed" })
	f.waitUntil("done", func() bool { return f.jobState(remaining, gangID) == "done" })
	if starts := f.starts(id + ".0.0.0"); starts > maxCrashStarts {
		t.Errorf("started %d times", starts)
	}
	f.checkLogLines(id, "msg=task_lost_worker", "msg=job_ended")
}
