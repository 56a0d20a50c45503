package scheduler_test

import (
	"fmt"

	"pgregory.net/rapid"

	"github.com/teaselcleat/teaselcleat/scheduler"
)

// checkReclaim withdraws all work of one workspace. If the oracle then seats
// every guarantee beside all runs that may not be stopped, the workspace gets
// its shape as soon as others have stopped.
func (w *world) checkReclaim() {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(w.t, "reclaiming")
	guarantee := w.targets.Workspaces[name].Guarantee
	for n := range w.seq {
		if id := fmt.Sprintf("j%03d", n+1); w.jobs[id].Workspace == name {
			w.step(scheduler.Cancelled{Job: id})
		}
	}
	w.settle()
	if len(guarantee) == 0 || !w.packable(w.room(), w.shapes()) {
		return
	}
	job := scheduler.JobSpec{ID: "probe", Workspace: name, Class: "probe", Shape: guarantee[0], Submit: w.now,
		Deadline: w.now + scheduler.Minute, Idempotent: true}
	w.jobs[job.ID] = job
	w.step(scheduler.Submitted{Job: job})
	w.settle()
	for _, r := range w.runs {
		if r.job.ID == job.ID {
			return
		}
	}
	w.t.Fatalf("workspace %s did not get its %s; room %v%s", name, guarantee[0], w.room(), w.s.Describe())
}

// checkRooms compares the scheduler's books with the test's own.
func (w *world) checkRooms() {
	free := 0
	for _, rack := range w.s.Free() {
		for _, level := range rack {
			free += level
		}
	}
	own := 0
	for _, spec := range w.specs {
		if !w.down[spec.ID] && !w.out[spec.ID] {
			own += perWorker - w.used(spec.ID)
		}
	}
	if free != own {
		w.t.Fatalf("the scheduler counts %d free accelerators, the test %d", free, own)
	}
}
