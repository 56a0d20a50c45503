package placing

import "time"

// preference is a reason to delay work although it fits on some worker.
type preference int

const (
	preferOneRack        preference = iota // all tasks of a gang in one rack
	preferDataRack                         // the rack that holds the data
	preferHeadroom                         // no worker that is withheld from deferrable work as headroom
	preferOutOfBackoff                     // no worker in backoff after failures
	preferNotIsolated                      // no worker that runs an isolated suspect task
	preferEmptyWorker                      // an empty worker that has not recently restarted, for a suspect task
	preferOtherWorker                      // not the worker on which it failed last
	preferHigherPriority                   // no room while a higher priority lacks its share
	preferenceCount
)

// preferenceNames holds the names in log events, by preference.
var preferenceNames = [preferenceCount]string{"one_rack", "data_rack", "kept_clear", "rested", "apart", "empty", "other_worker", "higher_priority"}

// violatedPreferences names the preferences that some placements of a unit violate. headroom
// holds the nodes that are withheld from its class.
func (u *unit) violatedPreferences(placements []placement, headroom map[*node]bool, now time.Time) []string {
	var violated [preferenceCount]bool
	for _, p := range placements {
		node := p.node
		for preference, violates := range [preferenceCount]bool{
			preferOneRack:        u.step.spec.Gang && u.step.spec.OneRack && node.entry.Rack != placements[0].node.entry.Rack,
			preferDataRack:       u.step.spec.DataRack != "" && node.entry.Rack != u.step.spec.DataRack,
			preferHeadroom:       headroom[node],
			preferOutOfBackoff:   now.Before(node.health.backoffUntil),
			preferNotIsolated:    node.isolatedRuns > 0,
			preferEmptyWorker:    u.isolated && len(node.runs) > 0,
			preferOtherWorker:    u.avoidWorker == node.entry.ID,
			preferHigherPriority: u.heldBack,
		} {
			violated[preference] = violated[preference] || violates
		}
	}
	var names []string
	for preference, violates := range violated {
		if violates {
			names = append(names, preferenceNames[preference])
		}
	}
	return names
}

// headroomNodes returns the nodes that are reserved as headroom, by the class of work that they
// are withheld from.
func (v *view) headroomNodes() [classes]map[*node]bool {
	var headroom [classes]map[*node]bool
	for class, closed := range v.headroom {
		headroom[class] = map[*node]bool{}
		for index, isClosed := range closed {
			if isClosed {
				headroom[class][v.nodes[index]] = true
			}
		}
	}
	return headroom
}
