package placing

import (
	"time"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// send brings an order to whatever life of a worker is there then, and its answer back;
// lost says that no answer came, whatever became of the order.
func (w *world) send(name string, order func(worker *modelWorker) bool, answer func(done, lost bool)) {
	lost := w.chance(6)
	if lost {
		w.disturb()
	}
	late := time.Duration(0)
	if lost && w.chance(70) {
		late = time.Duration(w.random.IntN(4000)) * time.Millisecond
	}
	answered := false
	reply := func(done, silent bool) {
		if !answered {
			answered = true
			answer(done, silent)
		}
	}
	w.later(w.way(), func() {
		worker := w.present(name)
		w.later(late, func() {
			if late > 0 {
				w.disturb()
			}
			if !worker.up || w.now.Before(worker.cut) {
				return // what a life has not carried out is gone with it
			}
			done := order(worker)
			if !lost {
				w.later(w.way(), func() { reply(done, false) })
			}
		})
	})
	w.later(700*time.Millisecond, func() { reply(false, true) })
}

func (w *world) find(id string) *modelWorker {
	for _, worker := range w.workers {
		if worker.entry.ID == id {
			return worker
		}
	}
	return nil
}

func (w *world) sendStart(h *holder, start Start) {
	id := start.Worker
	if h.answered[id] {
		h.until[id] = w.now.Add(testLimits.Lease)
		h.lapseAt[id] = w.now.Add(LeaseLapse(testLimits.Lease))
	}
	until := h.until[id]
	w.send(w.find(id).entry.Name, func(worker *modelWorker) bool {
		if worker.entry.ID != id && !until.IsZero() {
			// On the clock of another life the lease is far off, so it is shortened.
			until = w.now.Add(testLimits.Lease)
		}
		return w.start(worker, h.epoch, start, until)
	}, func(done, lost bool) {
		result := StartRefused
		switch {
		case lost:
			result = StartUnknown
			h.lapseAt[id] = latest(h.lapseAt[id], w.now.Add(LeaseLapse(testLimits.Lease)))
		case done:
			result = StartAccepted
		}
		h.engine.StartAnswered(start.Worker, start.Task, start.Run, result, w.now)
	})
}

func (w *world) start(worker *modelWorker, epoch int64, start Start, until time.Time) bool {
	if epoch < worker.fence {
		return false
	}
	worker.fence = epoch
	worker.until = latest(worker.until, until)
	if run := worker.running[start.Task]; run != nil && run.number == start.Run {
		return true
	}
	if start.Run <= worker.refused[start.Task] || worker.running[start.Task] != nil || !w.room(worker, start) || until.Before(w.now) {
		return false
	}
	if w.noted[start.Task] {
		w.fault("%s starts after its end was noted", start.Task)
	}
	step := w.step(start.Task)
	for _, earlier := range step.After {
		if !w.stepDone(start.Task, earlier) {
			w.fault("%s starts before step %d", start.Task, earlier)
		}
	}
	members := 0
	if step.Gang {
		members = step.Tasks
	}
	worker.running[start.Task] = w.drawRun(start, members)
	return true
}

// drawRun draws what becomes of a run that begins.
func (w *world) drawRun(start Start, members int) *modelRun {
	run := &modelRun{key: start.Task, number: start.Run, since: w.now, gang: members}
	if plan, known := w.plans[stepKey(start.Task)]; known {
		plan.draw(w.random, run)
		return run
	}
	run.work = time.Duration(500+w.random.IntN(1500)) * time.Millisecond
	run.fails = w.chance(5)
	return run
}

func (w *world) room(worker *modelWorker, start Start) bool {
	free := worker.entry.Capacity
	for key := range worker.running {
		free = free.Sub(w.step(key).Need)
	}
	return free.Fits(w.step(start.Task).Need)
}

func (w *world) step(key jobs.TaskKey) *jobs.Step {
	for _, submission := range w.jobs {
		if submission.ID == key.Job {
			return &submission.Steps[key.Step]
		}
	}
	panic("unknown job")
}

// stepDone reports whether all tasks of a step have ended somewhere as done.
func (w *world) stepDone(key jobs.TaskKey, step int) bool {
	key.Step = step
	for index := range w.step(key).Tasks {
		key.Index = index
		if !w.done[key] {
			return false
		}
	}
	return true
}

func (w *world) sendStop(h *holder, stop Stop) {
	w.send(w.find(stop.Worker).entry.Name, func(worker *modelWorker) bool {
		if h.epoch < worker.fence {
			return false
		}
		worker.fence = h.epoch
		worker.refused[stop.Task] = max(worker.refused[stop.Task], stop.Run)
		if run := worker.running[stop.Task]; run != nil && run.number == stop.Run {
			w.later(time.Duration(w.random.IntN(300))*time.Millisecond, func() { w.end(worker, run, EndStopped) })
		}
		return true
	}, func(done, _ bool) {
		if done {
			h.engine.StopAnswered(stop.Worker, stop.Task, stop.Run, w.now)
		}
	})
}
