package replay

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"

	"github.com/teaselcleat/teaselcleat/scheduler"
	"github.com/teaselcleat/teaselcleat/structs"
	"github.com/teaselcleat/teaselcleat/targets"
)

const sectionInventory = "inventory"

// Limits of an Inventory.
const (
	maxWorkers        = 100_000
	maxWorkersPerRack = 1000
)

// Inventory describes the workers of a replay. Racks are filled in order and are
// assigned to the availability zones in turn.
type Inventory struct {
	Workers               int
	AcceleratorsPerWorker int
	WorkersPerRack        int
	AvailabilityZones     []string
}

// Setup is a validated replay settings file.
type Setup struct {
	Inventory Inventory
	Targets   *targets.Targets
}

// ParseSetup parses replay settings: the operators' sections and an [inventory]
// section. A *targets.FaultsError lists every fault.
func ParseSetup(data []byte) (*Setup, error) {
	file, err := ini.LoadSources(targets.LoadOptions(), data)
	if err != nil {
		return nil, eris.Wrap(err, "settings are not INI")
	}
	parsed, faults := targets.ParseFile(file, map[string]bool{sectionInventory: true})
	inventory, inventoryFaults := readInventory(file)
	if faults = append(faults, inventoryFaults...); len(faults) > 0 {
		return nil, &targets.FaultsError{Faults: faults}
	}
	return &Setup{Inventory: inventory, Targets: parsed}, nil
}

func readInventory(file *ini.File) (Inventory, []targets.Fault) {
	var inventory Inventory
	var faults []targets.Fault
	fault := func(key, problem string) {
		faults = append(faults, targets.Fault{Section: sectionInventory, Key: key, Problem: problem})
	}
	numbers := map[string]struct {
		into *int
		high int
	}{
		"workers":                 {&inventory.Workers, maxWorkers},
		"accelerators_per_worker": {&inventory.AcceleratorsPerWorker, structs.MaxAcceleratorsPerMember},
		"workers_per_rack":        {&inventory.WorkersPerRack, maxWorkersPerRack},
	}
	section := file.Section(sectionInventory)
	for _, key := range section.Keys() {
		number, ok := numbers[key.Name()]
		switch {
		case ok:
			value, err := strconv.Atoi(key.String())
			if err != nil || value < 1 || value > number.high {
				fault(key.Name(), fmt.Sprintf("must be a whole number from 1 to %d", number.high))
			}
			*number.into = value
		case key.Name() == "zones":
			inventory.AvailabilityZones = splitList(key.String())
		default:
			fault(key.Name(), "unknown key; allowed are workers, accelerators_per_worker, workers_per_rack and zones")
		}
	}
	for _, name := range []string{"workers", "accelerators_per_worker", "workers_per_rack", "zones"} {
		if !section.HasKey(name) {
			fault(name, "is missing")
		}
	}
	return inventory, faults
}

func splitList(text string) []string {
	var list []string
	for _, part := range strings.Split(text, ",") {
		if trimmed := strings.TrimSpace(part); trimmed != "" {
			list = append(list, trimmed)
		}
	}
	return list
}

// WorkerSpecs returns the workers, with IDs from w0 up.
func (i Inventory) WorkerSpecs() []scheduler.WorkerSpec {
	specs := make([]scheduler.WorkerSpec, 0, i.Workers)
	for n := range i.Workers {
		rack := n / i.WorkersPerRack
		zone := ""
		if len(i.AvailabilityZones) > 0 {
			zone = i.AvailabilityZones[rack%len(i.AvailabilityZones)]
		}
		specs = append(specs, scheduler.WorkerSpec{ID: "w" + strconv.Itoa(n), Rack: "rack-" + strconv.Itoa(rack),
			AvailabilityZone: zone, Accelerators: i.AcceleratorsPerWorker})
	}
	return specs
}
