package main

import (
	"fmt"
	"time"
)

// Figures of the case "losses". One runner of ten is away at a time, for three seconds.
const (
	lossCrashes  = 5
	lossRest     = 9 * time.Second // between two crashes
	lossDownTime = 3 * time.Second
)

// lossesCase hands in a job whose three tasks last. Again and again the runner of one of them crashes
// and comes back three seconds later. Nobody cancels the job, and no run of it ends as failed.
func lossesCase(f *fleet, trouble bool) error {
	if err := f.run(3, 10); err != nil {
		return err
	}
	q, id := queues[1], "5c0e7a21d94b36f8"
	body := `{"spec":"lasting cpu=8000","steps":[{"count":3,"cpu":8000,"mem_mb":1024,"gpu":1,"est_runtime_ms":600000,"long_running":true,"may_miss":1,"anti_affinity":1}]}`
	if !f.submit(q, id, body) {
		return fmt.Errorf("%w: the job was not accepted", errCannotRun)
	}
	task := id + ".0.0.0"
	for crash := range lossCrashes {
		time.Sleep(lossRest - lossDownTime)
		runner := f.judge.running(task)
		state := f.state(q, id)
		f.events.add("before crash %d: state %s, %s is on %q", crash+1, state, task, runner)
		if state == "failed" {
			break
		}
		if runner == "" {
			return fmt.Errorf("%w: %s does not run", errCannotRun, task)
		}
		if !trouble {
			time.Sleep(lossDownTime)
			continue
		}
		for _, m := range f.machines {
			if life := m.current(); life != nil && life.id == runner {
				m.crash()
				time.Sleep(lossDownTime)
				m.start()
			}
		}
	}
	time.Sleep(12 * time.Second)
	state, ends := f.state(q, id), f.judge.endsOf(id)
	f.events.add("at the end: state %s, runs by their end %v", state, ends)
	if state == "failed" && ends["failed"] == 0 {
		return fmt.Errorf("%w: LOST: the job is shown as failed, though nobody cancelled it and no run of it has ended as failed (%v)", errBroken, ends)
	}
	if state != "running" {
		return fmt.Errorf("%w: the state is %s", errCannotRun, state)
	}
	return nil
}
