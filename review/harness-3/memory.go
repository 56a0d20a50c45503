package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// Figures of the case "memory": one scheduled job for each of 190 teams, every 30 s for a day.
const (
	memoryTeams   = 190
	memoryRepeats = 2880
	memoryPeriod  = 30 * time.Second
	memoryLimitKB = 284 * 1024 // memory_mb of the settings
	memoryCheck   = 50 * time.Millisecond
	memoryRestart = time.Second // until the platform starts a killed process again
	memoryUrgent  = 12
	memoryFirstAt = 150 * time.Second // when the first occurrences are due: after the play
	// The hand-ins begin with a burst and go on at the usual rate of the site.
	memoryBurst      = 6 * time.Second
	memoryBurstPause = 104 * time.Millisecond // 9.6 a second at most; 9.7 is 2.6 times the usual rate
	memoryPause      = 268 * time.Millisecond // 3.73 a second at most; 3.75 is the usual rate
)

// memoryWatch ends processes that exceed their memory and starts them again, as the platform does.
type memoryWatch struct {
	fleet *fleet
	stop  chan struct{}
	done  sync.WaitGroup
	mu    sync.Mutex
	kills int
}

func (f *fleet) watchMemory() *memoryWatch {
	w := &memoryWatch{fleet: f, stop: make(chan struct{})}
	for _, i := range f.instances {
		w.done.Add(1)
		go w.watch(i)
	}
	return w
}

func (w *memoryWatch) watch(i *instance) {
	defer w.done.Done()
	ticker := time.NewTicker(memoryCheck)
	defer ticker.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-ticker.C:
		}
		kilobytes := memoryOf(i.cmd.Process.Pid)
		if kilobytes <= memoryLimitKB {
			continue
		}
		w.mu.Lock()
		w.kills++
		w.mu.Unlock()
		w.fleet.events.add("platform: %s uses %d MB of %d and is killed", i.name, kilobytes/1024, memoryLimitKB/1024)
		_ = i.cmd.Process.Kill()
		<-i.ended
		select {
		case <-w.stop:
			return
		case <-time.After(memoryRestart):
		}
		w.fleet.restart(i)
	}
}

func (w *memoryWatch) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.kills
}

// memoryOf returns the resident memory of a process in kilobytes; 0 if it has ended.
func memoryOf(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(status), "\n") {
		kilobytes := 0
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kilobytes); err == nil {
			return kilobytes
		}
	}
	return 0
}

// memoryCase hands in scheduled jobs, and then small urgent ones. Without the trouble a tenth of the
// scheduled jobs come.
func memoryCase(f *fleet, trouble bool) error {
	if err := f.run(6, 48); err != nil {
		return err
	}
	watch := f.watchMemory()
	defer watch.done.Wait()
	defer close(watch.stop)
	teams := memoryTeams
	if !trouble {
		teams /= 10
	}
	start := time.Now().Add(memoryFirstAt).UnixMilli()
	began := time.Now()
	for number := range teams {
		body := fmt.Sprintf(`{"spec":"work=2000 cpu=500","steps":[{"count":1,"cpu":500,"mem_mb":256,"est_runtime_ms":2000}],"repeat_count":%d,"start_at_ms":%d,"period_ms":%d}`,
			memoryRepeats, start, memoryPeriod.Milliseconds())
		if !f.submit(queues[2], fmt.Sprintf("00000000%08x", number+1), body) {
			return fmt.Errorf("%w: a scheduled job was not accepted", errCannotRun)
		}
		if time.Since(began) < memoryBurst {
			time.Sleep(memoryBurstPause)
		} else {
			time.Sleep(memoryPause)
		}
	}
	f.events.add("%d scheduled jobs are accepted, %d processes were killed for their memory", teams, watch.count())
	return f.checkUrgent(memoryUrgent, func() string {
		return fmt.Sprintf("%d processes were killed for their memory", watch.count())
	})
}
