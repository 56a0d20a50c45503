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

// startedIn is how many tasks of a job were started in a zone.
func (f *fleet) startedIn(zone, id string) int {
	count := 0
	for _, worker := range f.allWorkers() {
		for index := range 8 {
			if worker.Zone == zone {
				count += worker.Starts(fmt.Sprintf("%s.0.0.%d", id, index))
			}
		}
	}
	return count
}

// A zone is evacuated: work goes to the other one alone, also once the holder of the term was
// killed and the store has forgotten its history; `fleet` and the metrics name it; it is used
// again when it is taken back.
func TestPlatformEvacuation(t *testing.T) {
	f := newFleetOf(&fleet{t: t, store: standin.NewKeyedStore(), taskTime: taskTime, ledger: standin.NewTaskLedger()}, 3, 4)
	f.evacuate("z2")
	f.everywhere("z2")
	const first, second, third = "00000000000000a1", "00000000000000a2", "00000000000000a3"
	f.runs(f.instances[0], first)
	if started := f.startedIn("z2", first); started > 0 {
		t.Errorf("%d tasks were started in the evacuated zone", started)
	}
	if shown := f.shown(f.holder()); !strings.Contains(shown, "zones.evacuated") {
		t.Error("the metrics do not show evacuated zones")
	}
	holder := f.holder()
	_ = holder.command.Process.Signal(syscall.SIGKILL) // it is there
	// How a killed process ended is known.
	_ = holder.command.Wait()
	f.store.SetFaults(standin.StoreFaults{Keep: 1})
	for index, instance := range f.instances {
		if instance == holder {
			f.instances = append(f.instances[:index], f.instances[index+1:]...)
			break
		}
	}
	f.startInstance(holder.name)
	f.waitReady()
	f.runs(f.instances[0], second)
	if started := f.startedIn("z2", second); started > 0 {
		t.Errorf("%d tasks were started in the evacuated zone by the next holder", started)
	}
	f.takeBack("z2")
	f.everywhere()
	f.runs(f.instances[1], third)
	if f.startedIn("z2", third) == 0 {
		t.Error("the zone is not used though it was taken back")
	}
	for _, fault := range f.ledger.Faults() {
		t.Error(fault)
	}
}

// runs hands a job in and waits for its end.
func (f *fleet) runs(at *frontInstance, id string) {
	f.t.Helper()
	if status, body := f.call(at, http.MethodPost, id, "key-a", wideJob); status != http.StatusOK {
		f.t.Fatalf("submission: %d %s", status, body)
	}
	f.until("done: "+id, func() bool { return f.state(at, id) == "done" })
}

// everywhere waits until all instances know just these zones as evacuated.
func (f *fleet) everywhere(zones ...string) {
	f.t.Helper()
	for _, instance := range f.instances {
		f.until(fmt.Sprintf("%s knows %v", instance.name, zones), func() bool {
			response, err := http.Get("http://" + instance.ready + "/status")
			if err != nil {
				return false
			}
			defer response.Body.Close()
			var status batch.Status
			return json.NewDecoder(response.Body).Decode(&status) == nil && slices.Equal(status.Evacuated, zones)
		})
	}
}

// drawOfZone draws what befalls an availability zone.
func (s *storm) drawOfZone() stormFault {
	zone := []string{"z1", "z2"}[s.random.IntN(2)]
	if s.random.IntN(2) == 0 {
		return stormFault{zone, func(time.Duration) { s.loseZone(zone) }}
	}
	both := s.random.IntN(4) == 0
	return stormFault{"evacuation", func(lasting time.Duration) {
		s.evacuate(zone)
		if both {
			s.evacuate(otherZone(zone))
		}
		time.Sleep(evacuateWithin + lasting)
		s.takeBack(otherZone(zone))
		s.takeBack(zone)
	}}
}

func otherZone(zone string) string {
	if zone == "z1" {
		return "z2"
	}
	return "z1"
}

// loseZone ends all instances and workers of a zone at once, but for those that another
// fault has at present. They come back.
func (s *storm) loseZone(zone string) {
	var lost sync.WaitGroup
	for number := range *stormInstances {
		name := fmt.Sprintf("instance-%d", number+1)
		if zoneOf(name) != zone || !s.claim(name) {
			continue
		}
		lost.Go(func() {
			defer s.release(name)
			s.replace(name, syscall.SIGKILL)
		})
	}
	for _, machine := range s.machines {
		if machine.zone == zone && s.claim(machine.name) {
			machine.end()
			s.release(machine.name)
		}
	}
	lost.Wait()
}

// Whatever is drawn is valid; the seed of a storm draws the same each time.
func TestStormDrawsZones(t *testing.T) {
	s := &storm{fleet: &fleet{t: t}, random: rand.New(rand.NewPCG(1, 1))}
	kinds := map[string]bool{}
	for range 100 {
		kinds[s.drawOfZone().take] = true
	}
	for _, kind := range []string{"z1", "z2", "evacuation"} {
		if !kinds[kind] {
			t.Errorf("%s is never drawn", kind)
		}
	}
}
