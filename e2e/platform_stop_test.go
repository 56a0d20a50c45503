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
	// stopLoadPause keeps four callers to what two workers do in a few seconds.
	stopLoadPause = 20 * time.Millisecond
)

// stopLoad is a caller that hands jobs in, one after the other, to an instance
// for as long as the balancer would send it there.
type stopLoad struct {
	fleet    *fleet
	instance *frontInstance
	number   int
	accepted []string
	cut      []string
}

func (l *stopLoad) run() {
	for job := 0; l.ready(); job++ {
		id := fmt.Sprintf("%08x%08x", 0xc0de+l.number, job)
		switch status, _ := l.fleet.call(l.instance, http.MethodPost, id, "key-a", smallJob); status {
		case 0:
			l.cut = append(l.cut, id)
		case http.StatusOK:
			l.accepted = append(l.accepted, id)
		}
		time.Sleep(stopLoadPause)
	}
}

func (l *stopLoad) ready() bool {
	response, err := http.Get("http://" + l.instance.ready + "/api/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// The holder of the term is stopped while callers hand jobs in to it: every call
// is answered, and every job that it accepted is done by the other instance.
func TestPlatformStopUnderLoadCutsNothing(t *testing.T) {
	f := newFleet(t, 2, 2)
	stopped := f.holder()
	rest := f.instances[0]
	if rest == stopped {
		rest = f.instances[1]
	}
	loads := make([]*stopLoad, 4)
	var running sync.WaitGroup
	for number := range loads {
		loads[number] = &stopLoad{fleet: f, instance: stopped, number: number}
		running.Go(loads[number].run)
	}
	f.until("some jobs accepted", func() bool { return f.state(rest, "0000c0de00000002") != "" })
	if err := stopped.command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	running.Wait()
	if err := stopped.command.Wait(); err != nil {
		t.Errorf("the stopped instance: %v", err)
	}
	for _, load := range loads {
		if len(load.cut) > 0 {
			t.Errorf("cut: %v", load.cut)
		}
		for _, id := range load.accepted {
			f.until("done "+id, func() bool { return f.state(rest, id) == "done" })
		}
	}
}
