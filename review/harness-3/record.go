package main

import (
	"fmt"
	"time"
)

// Figures of the case "record". The large job keeps to the widest step, the most steps and the most
// occurrences that the site file states for a kind of request: 94 tasks, 3 steps, 8 times.
const (
	recordWidth  = 94
	recordSteps  = 3
	recordTimes  = 8
	recordSaves  = 128 // bytes of a checkpoint
	recordWatch  = 25 * time.Second
	finishTime   = 14 * time.Second // finish_s
	idleTime     = 3 * time.Second
	recordPeriod = 4500 * time.Millisecond
	recordCalm   = 36 * time.Second // from the large job's start on, before the other jobs come
	recordOthers = 17
)

// recordCase hands in one large job whose tasks save checkpoints, and then small urgent jobs. The
// large job uses less than two fifths of the runners' capacity. Without the trouble the large job has
// a tenth of the width.
func recordCase(f *fleet, trouble bool) error {
	if err := f.run(6, 48); err != nil {
		return err
	}
	width := recordWidth
	if !trouble {
		width /= 10
	}
	now := time.Now().UnixMilli()
	large := "00000000000a79e1"
	step := fmt.Sprintf(`{"count":%d,"cpu":500,"mem_mb":128,"est_runtime_ms":600000,"checkpoints":true}`, width)
	steps := step
	for range recordSteps - 1 {
		steps += "," + step
	}
	body := fmt.Sprintf(`{"spec":"mixed work=600000 short=9000 cpu=500 saves=%d","steps":[%s],"repeat_count":%d,"start_at_ms":%d,"period_ms":%d}`,
		recordSaves, steps, recordTimes, now, recordPeriod.Milliseconds())
	if !f.submit(queues[2], large, body) {
		return fmt.Errorf("%w: the large job was not accepted", errCannotRun)
	}
	time.Sleep(recordCalm)
	f.events.add("the large job: state %s, runs by their end %v", f.state(queues[2], large), f.judge.endsOf(large))
	return f.checkUrgent(recordOthers, func() string {
		f.events.add("the large job: runs by their end %v", f.judge.endsOf(large))
		return fmt.Sprintf("appends refused for the size of a record: %d, the largest record had %d bytes", f.store.refusals, f.store.largest)
	})
}

// checkUrgent hands in small urgent jobs, one a second, and checks after finish_s that none has nothing
// running for three seconds while there is ample capacity. describe adds to what is recorded then.
func (f *fleet) checkUrgent(count int, describe func() string) error {
	var ids []string
	for number := range count {
		id := fmt.Sprintf("5c0e7a21d94b36%02x", number)
		if !f.submit(queues[0], id, `{"spec":"work=2500 cpu=7500","steps":[{"count":3,"cpu":7500,"mem_mb":1024,"gpu":1,"est_runtime_ms":2500}]}`) {
			return fmt.Errorf("%w: an urgent job was not accepted", errCannotRun)
		}
		ids = append(ids, id)
		time.Sleep(time.Second)
	}
	f.events.add("the traffic has ended")
	time.Sleep(finishTime)
	idleSince := map[string]time.Time{}
	for watch := time.Now(); time.Since(watch) < recordWatch; time.Sleep(500 * time.Millisecond) {
		for _, id := range ids {
			if f.judge.starts(id) > 0 || f.used() > 0.5 {
				delete(idleSince, id)
				continue
			}
			if idleSince[id].IsZero() {
				idleSince[id] = time.Now()
				f.events.add("%s: state %s, nothing of it has started", id, f.state(queues[0], id))
			}
			if time.Since(idleSince[id]) > idleTime {
				f.events.add("%s", describe())
				return fmt.Errorf("%w: LOST: the accepted job %s has nothing running for over %.0f s, %.0f s after the end of the traffic, with %.0f %% of the capacity in use",
					errBroken, id, idleTime.Seconds(), (finishTime + time.Since(watch)).Seconds(), 100*f.used())
			}
		}
	}
	for _, id := range ids {
		f.events.add("%s: state %s", id, f.state(queues[0], id))
	}
	return nil
}

// used returns the share of the runners' capacity that is in use; an accelerator counts as eight cores.
func (f *fleet) used() float64 {
	var used, total int64
	for _, m := range f.machines {
		total += f.capacity + 8*8000
		if life := m.current(); life != nil {
			life.mu.Lock()
			used += life.used
			life.mu.Unlock()
		}
	}
	return float64(used) / float64(total)
}
