package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	smallJob = `{"spec":"x","steps":[{"count":1,"cpu":1000,"mem_mb":10,"gpu":1,"est_runtime_ms":300}]}`
	// loadCallerPause limits four callers to the work that two workers do in a few seconds.
	loadCallerPause = 20 * time.Millisecond
)

// loadCaller submits one job after the other to an instance for as long as a load balancer would
// send callers there.
type loadCaller struct {
	fleet      *fleet
	instance   *frontInstance
	number     int
	accepted   []string
	unanswered []string
}

func (c *loadCaller) run() {
	for job := 0; c.instanceReady(); job++ {
		id := fmt.Sprintf("%08x%08x", 0xc0de+c.number, job)
		switch status, _ := c.fleet.call(c.instance, http.MethodPost, id, "key-a", smallJob); status {
		case 0:
			c.unanswered = append(c.unanswered, id)
		case http.StatusOK:
			c.accepted = append(c.accepted, id)
		}
		time.Sleep(loadCallerPause)
	}
}

func (c *loadCaller) instanceReady() bool {
	response, err := http.Get("http://" + c.instance.readyAddr + "/api/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// The leader is stopped gracefully while callers submit jobs to it. Every call must be answered,
// and the other instance must finish every accepted job.
func TestPlatformStopUnderLoadCutsNothing(t *testing.T) {
	f := newFleet(t, 2, 2)
	leader := f.leader()
	remaining := f.instances[0]
	if remaining == leader {
		remaining = f.instances[1]
	}
	callers := make([]*loadCaller, 4)
	var wg sync.WaitGroup
	for number := range callers {
		callers[number] = &loadCaller{fleet: f, instance: leader, number: number}
		wg.Go(callers[number].run)
	}
	f.waitUntil("some jobs accepted", func() bool { return f.jobState(remaining, "0000c0de00000002") != "" })
	if err := leader.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	wg.Wait()
	if err := leader.cmd.Wait(); err != nil {
		t.Errorf("the stopped instance: %v", err)
	}
	for _, caller := range callers {
		if len(caller.unanswered) > 0 {
			t.Errorf("calls without an answer: %v", caller.unanswered)
		}
		for _, id := range caller.accepted {
			f.waitUntil("done "+id, func() bool { return f.jobState(remaining, id) == "done" })
		}
	}
}
