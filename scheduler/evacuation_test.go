package scheduler_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/scheduler"
	"github.com/teaselcleat/teaselcleat/structs"
	"github.com/teaselcleat/teaselcleat/targets"
)

// countMembersByZone counts the members of the runs that the actions start, by availability
// zone.
func countMembersByZone(actions []scheduler.Action, zoneOf map[string]string) map[string]int {
	count := map[string]int{}
	for _, action := range actions {
		if start, ok := action.(scheduler.Place); ok {
			for _, member := range start.Members {
				count[zoneOf[member.Worker]]++
			}
		}
	}
	return count
}

// Nothing starts in an evacuated zone, nor on workers that join it later. Guarantees move to
// the other zones. The zone is used again once it is no longer evacuated.
func TestEvacuatedZoneGetsNothing(t *testing.T) {
	is := is.New(t)
	zoneOf := map[string]string{}
	var specs []scheduler.WorkerSpec
	for n := range 4 {
		id, zone := fmt.Sprintf("w%d", n), fmt.Sprintf("z%d", n/2)
		zoneOf[id] = zone
		specs = append(specs, scheduler.WorkerSpec{ID: id, Rack: "r-" + zone, AvailabilityZone: zone, Accelerators: 4})
	}
	guarantee := map[string]targets.Workspace{"a": {Name: "a", Guarantee: []structs.Shape{{Members: 2, Accelerators: 4, Adjacent: true}}}}
	open := &targets.Targets{Workspaces: guarantee}
	closed := &targets.Targets{Workspaces: guarantee, Evacuated: map[string]bool{"z0": true}}
	s := scheduler.New(scheduler.Config{Workers: specs[:3], Targets: closed})
	s.Step(scheduler.WorkerUp{Worker: specs[3]}, 0)
	job := func(id string) scheduler.JobSubmitted {
		return scheduler.JobSubmitted{Job: scheduler.JobSpec{ID: id, Workspace: "a", Class: "c", Deadline: 1000, Idempotent: true,
			Shape: structs.Shape{Members: 2, Accelerators: 4, Adjacent: true}}}
	}
	is.Equal(countMembersByZone(s.Step(job("first"), 1), zoneOf), map[string]int{"z1": 2})
	is.Equal(len(countMembersByZone(s.Step(job("second"), 2), zoneOf)), 0)
	is.Equal(countMembersByZone(s.Step(scheduler.TargetsChanged{Targets: open}, 3), zoneOf), map[string]int{"z0": 2})
}
