package scheduler_test

import (
	"fmt"

	"pgregory.net/rapid"

	"github.com/teaselcleat/teaselcleat/scheduler"
)

// checkReclaim cancels all jobs of one workspace. If the oracle can then pack every guarantee
// beside the pinned runs, a job of the workspace's guaranteed shape must start once the
// preempted runs have stopped.
func (m *model) checkReclaim() {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(m.t, "reclaiming")
	guarantee := m.targets.Workspaces[name].Guarantee
	for n := range m.seq {
		if id := fmt.Sprintf("j%03d", n+1); m.jobs[id].Workspace == name {
			m.step(scheduler.JobCancelled{Job: id})
		}
	}
	m.endStoppingRuns()
	if len(guarantee) == 0 || !m.packable(m.guaranteeCapacity(), m.guaranteedShapes()) {
		return
	}
	job := scheduler.JobSpec{ID: "probe", Workspace: name, Class: "probe", Shape: guarantee[0], SubmitTime: m.now,
		Deadline: m.now + scheduler.Minute, Idempotent: true}
	m.jobs[job.ID] = job
	m.step(scheduler.JobSubmitted{Job: job})
	m.endStoppingRuns()
	for _, r := range m.runs {
		if r.job.ID == job.ID {
			return
		}
	}
	m.t.Fatalf("workspace %s could not reclaim its guarantee %s; capacity %v%s", name, guarantee[0], m.guaranteeCapacity(), m.s.Describe())
}

// checkFree compares the scheduler's free accelerators with the model's.
func (m *model) checkFree() {
	free := 0
	for _, rack := range m.s.FreeByRack() {
		for _, level := range rack {
			free += level
		}
	}
	want := 0
	for _, spec := range m.specs {
		if !m.down[spec.ID] && !m.quarantined[spec.ID] {
			want += perWorker - m.used(spec.ID)
		}
	}
	if free != want {
		m.t.Fatalf("the scheduler counts %d free accelerators, the model %d", free, want)
	}
}
