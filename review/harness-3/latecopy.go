package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"
)

// Figures of the case "late-copy". Times count from the first copy of the late order.
const (
	copyWindow   = 100 * time.Millisecond  // in which starts to one runner get no answer: the first copy of one start
	copyDelay    = 8 * time.Second         // after which they are carried out: 2 to 12 s
	copyCrashAt  = 2500 * time.Millisecond // the runner crashes
	copyReturnAt = 5500 * time.Millisecond // and starts again under its ID
)

// lateCopyCase has a start of a task get no answer and arrive eight seconds later. Meanwhile its runner
// has crashed and has started again under its ID.
func lateCopyCase(f *fleet, trouble bool) error {
	f.keepIDs = true
	if err := f.run(3, 12); err != nil {
		return err
	}
	q, id := queues[1], "5c0e7a21d94b36f8"
	var mu sync.Mutex
	var late *machine
	var first time.Time
	for _, m := range f.machines {
		m.mu.Lock()
		m.hold = func(path string, body []byte) time.Duration {
			var o order
			if path != "/api/run-start" || json.Unmarshal(body, &o) != nil || !strings.HasPrefix(o.Task, id) {
				return 0
			}
			mu.Lock()
			defer mu.Unlock()
			if !trouble {
				return 0
			}
			if late == nil {
				late, first = m, time.Now()
			}
			if late != m || time.Since(first) > copyWindow {
				return 0
			}
			return copyDelay
		}
		m.mu.Unlock()
	}
	if !f.submit(q, id, `{"spec":"work=25000 cpu=26000","steps":[{"count":1,"cpu":26000,"mem_mb":1024,"gpu":8,"est_runtime_ms":25000}]}`) {
		return fmt.Errorf("%w: the job was not accepted", errCannotRun)
	}
	time.Sleep(copyCrashAt)
	mu.Lock()
	m := late
	mu.Unlock()
	if trouble && m == nil {
		return fmt.Errorf("%w: no start was sent", errCannotRun)
	}
	if trouble {
		m.crash()
		time.Sleep(copyReturnAt - copyCrashAt)
		m.start()
	}
	time.Sleep(30 * time.Second)
	f.events.add("at the end: state %s, runs by their end %v", f.state(q, id), f.judge.endsOf(id))
	if twice := f.judge.twice(); twice != "" {
		return fmt.Errorf("%w: TWICE: %s", errBroken, twice)
	}
	return nil
}
