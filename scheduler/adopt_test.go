package scheduler_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/scheduler"
	"github.com/teaselcleat/teaselcleat/structs"
	"github.com/teaselcleat/teaselcleat/targets"
)

// newWorkers returns workers of eight accelerators that fill one rack after the other.
func newWorkers(count, perRack int) []scheduler.WorkerSpec {
	var specs []scheduler.WorkerSpec
	for n := range count {
		specs = append(specs, scheduler.WorkerSpec{ID: fmt.Sprintf("w%03d", n), Rack: fmt.Sprintf("r%03d", n/perRack),
			AvailabilityZone: fmt.Sprintf("z%d", n/perRack%3), Accelerators: 8})
	}
	return specs
}

func newJobSpec(id, workspace string, members, accelerators int) scheduler.JobSpec {
	return scheduler.JobSpec{ID: id, Workspace: workspace, Class: "c", Shape: structs.Shape{Members: members, Accelerators: accelerators},
		Deadline: 3600 * scheduler.Second, Idempotent: true}
}

func placements(actions []scheduler.Action) []scheduler.Place {
	var places []scheduler.Place
	for _, action := range actions {
		if place, ok := action.(scheduler.Place); ok {
			places = append(places, place)
		}
	}
	return places
}

func TestAnAdoptedRunThatDidNotStartIsPlacedAgain(t *testing.T) {
	is := is.New(t)
	s := scheduler.New(scheduler.Config{Workers: newWorkers(8, 4)})
	var members []structs.Member
	for _, spec := range newWorkers(8, 4) {
		members = append(members, structs.Member{Worker: spec.ID, Accelerators: 8})
	}
	s.Step(scheduler.RunAdopted{Job: newJobSpec("j0", "b", 8, 8), Run: "j0#1.1", Members: members}, 0)
	for n := 1; n < 4; n++ {
		is.Equal(len(placements(s.Step(scheduler.JobSubmitted{Job: newJobSpec(fmt.Sprintf("j%d", n), "b", 8, 8)}, 1))), 0)
	}
	is.Equal(len(placements(s.Step(scheduler.RunEnded{Run: "j0#1.1", Result: scheduler.RunNotStarted}, 100))), 1)
}

// A guarantee must not move to a worker on probation.
func TestGuaranteesStayOffWorkersOnProbation(t *testing.T) {
	is := is.New(t)
	specs := newWorkers(2, 1)
	guaranteed := &targets.Targets{Workspaces: map[string]targets.Workspace{
		"b": {Name: "b", Guarantee: []structs.Shape{{Members: 1, Accelerators: 8, Adjacent: true}}}}}
	s := scheduler.New(scheduler.Config{Workers: specs, Targets: guaranteed})
	for _, id := range []string{"f1", "f2", "f3"} { // three jobs fail on w001, which quarantines it
		run := placements(s.Step(scheduler.JobSubmitted{Job: newJobSpec(id, "c", 1, 1)}, 0))[0].Run
		for _, retry := range placements(s.Step(scheduler.RunEnded{Run: run, Result: scheduler.RunFailed, Worker: "w001"}, 0)) {
			s.Step(scheduler.JobCancelled{Job: id}, 0)
			s.Step(scheduler.RunEnded{Run: retry.Run, Result: scheduler.RunAborted}, 0)
		}
	}
	s.Step(scheduler.Tick{}, 3*scheduler.Minute) // the quarantine of w001 is over; it is on probation
	s.Step(scheduler.JobSubmitted{Job: newJobSpec("borrower", "c", 1, 4)}, 3*scheduler.Minute)
	owner := newJobSpec("owner", "b", 1, 8)
	owner.DeclaredRunTime = scheduler.Minute
	for _, place := range placements(s.Step(scheduler.JobSubmitted{Job: owner}, 3*scheduler.Minute)) {
		is.True(!place.InGuarantee || place.Members[0].Worker == "w000")
	}
}
