package e2e

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/teaselcleat/teaselcleat/batch"
	"github.com/teaselcleat/teaselcleat/standin"
)

const wideJob = `{"spec":"x","steps":[{"count":8,"cpu":1000,"mem_mb":10,"gpu":4,"est_runtime_ms":300}]}`

// startsInZone returns the number of task starts of a job in a zone.
func (f *fleet) startsInZone(zone, id string) int {
	count := 0
	for _, worker := range f.allIncarnations() {
		for index := range 8 {
			if worker.Zone == zone {
				count += worker.Starts(fmt.Sprintf("%s.0.0.%d", id, index))
			}
		}
	}
	return count
}

// While a zone is evacuated, work starts only in the other one, even after the leader was killed
// and the store dropped its old records. The status, which `fleet` shows, and the metrics report
// the evacuation. Work starts in the zone again after the evacuation ends.
func TestPlatformEvacuation(t *testing.T) {
	f := startFleet(&fleet{t: t, store: standin.NewKeyedStore(), taskDuration: defaultTaskDuration, checker: standin.NewTaskChecker()}, 3, 4)
	f.evacuate("z2")
	f.waitEvacuated("z2")
	const first, second, third = "00000000000000a1", "00000000000000a2", "00000000000000a3"
	f.runJob(f.instances[0], first)
	if started := f.startsInZone("z2", first); started > 0 {
		t.Errorf("%d tasks were started in the evacuated zone", started)
	}
	if metrics := f.metricsText(f.leader()); !strings.Contains(metrics, "zones.evacuated") {
		t.Error("the metrics do not show evacuated zones")
	}
	leader := f.leader()
	_ = leader.cmd.Process.Signal(syscall.SIGKILL) // the process exists
	// The exit status only repeats the signal.
	_ = leader.cmd.Wait()
	f.store.SetFaults(standin.StoreFaults{Retain: 1})
	for index, instance := range f.instances {
		if instance == leader {
			f.instances = append(f.instances[:index], f.instances[index+1:]...)
			break
		}
	}
	f.startInstance(leader.name)
	f.waitReady()
	f.runJob(f.instances[0], second)
	if started := f.startsInZone("z2", second); started > 0 {
		t.Errorf("%d tasks were started in the evacuated zone by the next leader", started)
	}
	f.endEvacuation("z2")
	f.waitEvacuated()
	f.runJob(f.instances[1], third)
	if f.startsInZone("z2", third) == 0 {
		t.Error("no task was started in the zone after the evacuation ended")
	}
	for _, violation := range f.checker.Violations() {
		t.Error(violation)
	}
}

// runJob submits a job and waits until it is done.
func (f *fleet) runJob(instance *frontInstance, id string) {
	f.t.Helper()
	if status, body := f.call(instance, http.MethodPost, id, "key-a", wideJob); status != http.StatusOK {
		f.t.Fatalf("submission: %d %s", status, body)
	}
	f.waitUntil("done: "+id, func() bool { return f.jobState(instance, id) == "done" })
}

// waitEvacuated waits until all instances report exactly these zones as evacuated.
func (f *fleet) waitEvacuated(zones ...string) {
	f.t.Helper()
	for _, instance := range f.instances {
		f.waitUntil(fmt.Sprintf("%s reports %v as evacuated", instance.name, zones), func() bool {
			response, err := http.Get("http://" + instance.readyAddr + "/status")
			if err != nil {
				return false
			}
			defer response.Body.Close()
			var status batch.Status
			return json.NewDecoder(response.Body).Decode(&status) == nil && slices.Equal(status.Evacuated, zones)
		})
	}
}

// drawZoneFault draws a fault of an availability zone: its loss, or an evacuation of one zone or
// both.
func (s *storm) drawZoneFault() stormFault {
	zone := []string{"z1", "z2"}[s.random.IntN(2)]
	if s.random.IntN(2) == 0 {
		return stormFault{zone, func(time.Duration) { s.loseZone(zone) }}
	}
	bothZones := s.random.IntN(4) == 0
	return stormFault{"evacuation", func(duration time.Duration) {
		s.evacuate(zone)
		if bothZones {
			s.evacuate(otherZone(zone))
		}
		time.Sleep(evacuationDeadline + duration)
		s.endEvacuation(otherZone(zone))
		s.endEvacuation(zone)
	}}
}

func otherZone(zone string) string {
	if zone == "z1" {
		return "z2"
	}
	return "z1"
}

// loseZone ends all instances and workers of a zone at once, except those that are targets of
// another fault. All of them restart.
func (s *storm) loseZone(zone string) {
	var wg sync.WaitGroup
	for number := range *stormInstances {
		name := fmt.Sprintf("instance-%d", number+1)
		if zoneOf(name) != zone || !s.acquireTarget(name) {
			continue
		}
		wg.Go(func() {
			defer s.releaseTarget(name)
			s.restartInstance(name, syscall.SIGKILL)
		})
	}
	for _, machine := range s.machines {
		if machine.zone == zone && s.acquireTarget(machine.name) {
			machine.crash()
			s.releaseTarget(machine.name)
		}
	}
	wg.Wait()
}

// Zone faults are drawn from a seed: the loss of each zone and evacuations must all occur.
func TestStormDrawsAllZoneFaults(t *testing.T) {
	s := &storm{fleet: &fleet{t: t}, random: rand.New(rand.NewPCG(1, 1))}
	drawn := map[string]bool{}
	for range 100 {
		drawn[s.drawZoneFault().target] = true
	}
	for _, target := range []string{"z1", "z2", "evacuation"} {
		if !drawn[target] {
			t.Errorf("%s is never drawn", target)
		}
	}
}
