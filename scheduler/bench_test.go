package scheduler_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/teaselcleat/teaselcleat/scheduler"
	"github.com/teaselcleat/teaselcleat/structs"
	"github.com/teaselcleat/teaselcleat/targets"
)

// size describes an inventory to benchmark.
type size struct {
	workers, accelerators, perRack, workspaces int
}

// sizes are the inventory of the current users, a medium one and the target size.
var sizes = []size{{50, 8, 8, 4}, {500, 8, 8, 40}, {6800, 2, 8, 190}}

func (s size) String() string { return fmt.Sprintf("workers=%d", s.workers) }

func (s size) workerSpecs() []scheduler.WorkerSpec {
	var specs []scheduler.WorkerSpec
	for n := range s.workers {
		rack := n / s.perRack
		specs = append(specs, scheduler.WorkerSpec{ID: fmt.Sprintf("w%d", n), Rack: fmt.Sprintf("r%d", rack),
			AvailabilityZone: fmt.Sprintf("z%d", rack%10), Accelerators: s.accelerators})
	}
	return specs
}

func (s size) targets() *targets.Targets {
	t := &targets.Targets{Workspaces: map[string]targets.Workspace{}, Classes: map[string]targets.Class{}}
	for n := range s.workspaces {
		name := fmt.Sprintf("ws%d", n)
		t.Workspaces[name] = targets.Workspace{Name: name, Guarantee: []structs.Shape{{Members: 4, Accelerators: s.accelerators, Adjacent: true}}}
	}
	return t
}

// newLoaded returns a scheduler with 80% of its accelerators in use.
func (s size) newLoaded(b *testing.B) *scheduler.Scheduler {
	b.Helper()
	sched := scheduler.New(scheduler.Config{Workers: s.workerSpecs(), Targets: s.targets()})
	total := s.workers * s.accelerators * 8 / 10
	for n := 0; total > 0; n++ {
		job := s.job(fmt.Sprintf("run%d", n), n, 1+n%4, 1)
		if len(placements(sched.Step(scheduler.JobSubmitted{Job: job}, 0))) == 0 {
			b.Fatal("a job of the initial load was not placed")
		}
		total -= job.Shape.Total()
	}
	return sched
}

func (s size) job(id string, n, members, accelerators int) scheduler.JobSpec {
	return scheduler.JobSpec{ID: id, Workspace: fmt.Sprintf("ws%d", n%s.workspaces), Class: "c",
		Shape:    structs.Shape{Members: members, Accelerators: accelerators},
		Deadline: 100 * 3600 * scheduler.Second, DeclaredRunTime: 3600 * scheduler.Second, Idempotent: true}
}

func BenchmarkPlace(b *testing.B) {
	for _, s := range sizes {
		for _, members := range []int{1, 8, 128} {
			if members > s.workers/5 {
				continue
			}
			b.Run(fmt.Sprintf("%s/gang=%d", s, members), func(b *testing.B) {
				sched := s.newLoaded(b)
				b.ReportAllocs()
				b.ResetTimer()
				for n := range b.N {
					places := placements(sched.Step(scheduler.JobSubmitted{Job: s.job(fmt.Sprintf("j%d", n), n, members, 1)}, 1))
					if len(places) != 1 {
						b.Fatal("the gang was not placed")
					}
					b.StopTimer()
					sched.Step(scheduler.RunEnded{Run: places[0].Run, Result: scheduler.RunAborted}, 1)
					b.StartTimer()
				}
			})
		}
	}
}

// BenchmarkRefuse measures the submission of a gang that fits no inventory.
func BenchmarkRefuse(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.String(), func(b *testing.B) {
			sched := s.newLoaded(b)
			job := s.job("impossible", 0, s.perRack+1, 1)
			job.Shape.Adjacent = true
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				sched.Step(scheduler.JobSubmitted{Job: job}, 1)
			}
		})
	}
}

// BenchmarkBlocked measures one tick while every workspace has a blocked gang.
func BenchmarkBlocked(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.String(), func(b *testing.B) {
			sched := s.newLoaded(b)
			for n := range s.workspaces {
				job := s.job(fmt.Sprintf("blocked%d", n), n, min(128, s.workers), s.accelerators)
				job.Shape.Adjacent = s.perRack >= 128
				sched.Step(scheduler.JobSubmitted{Job: job}, 1)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for n := range b.N {
				sched.Step(scheduler.Tick{}, scheduler.Time(2+n*50)) // the interval of the placer's ticks
			}
		})
	}
}

func BenchmarkCancelWaveOf10000(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.String(), func(b *testing.B) {
			for range b.N {
				b.StopTimer()
				sched := s.newLoaded(b)
				for n := range 10000 {
					job := s.job(fmt.Sprintf("q%d", n), n, min(128, s.workers), s.accelerators)
					sched.Step(scheduler.JobSubmitted{Job: job}, 1)
				}
				b.StartTimer()
				for n := range 10000 {
					sched.Step(scheduler.JobCancelled{Job: fmt.Sprintf("q%d", n)}, 1)
				}
			}
		})
	}
}

func BenchmarkLoseRack(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.String(), func(b *testing.B) {
			sched := s.newLoaded(b)
			specs := s.workerSpecs()
			b.ResetTimer()
			for range b.N {
				for n := range s.perRack {
					sched.Step(scheduler.WorkerDown{Worker: specs[n].ID}, 1)
				}
				b.StopTimer()
				for n := range s.perRack {
					sched.Step(scheduler.WorkerUp{Worker: specs[n]}, 1)
				}
				b.StartTimer()
			}
		})
	}
}

// BenchmarkState reports the heap size of a loaded scheduler.
func BenchmarkState(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.String(), func(b *testing.B) {
			var before, after runtime.MemStats
			for range b.N {
				runtime.GC()
				runtime.ReadMemStats(&before)
				sched := s.newLoaded(b)
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(sched)
			}
			b.ReportMetric(float64(after.HeapAlloc-min(before.HeapAlloc, after.HeapAlloc))/(1<<20), "state-MB")
		})
	}
}
