package placing

import "time"

// preference is a reason to leave work waiting though it fits somewhere.
type preference int

const (
	preferOneRack   preference = iota // a gang's tasks in one rack
	preferDataRack                    // the rack where the data lies
	preferKeptClear                   // room that is kept clear of work that can wait
	preferRested                      // workers that rest after failures
	preferApart                       // a worker that a suspected task has to itself
	preferEmpty                       // an empty and steady worker for a suspected task
	preferOther                       // another worker than the last that it failed on
	preferences
)

var preferenceNames = [preferences]string{"one_rack", "data_rack", "kept_clear", "rested", "apart", "empty", "other_worker"}

// against names the preferences that a unit's seats would go against. kept are the nodes
// that are kept clear of its class.
func (u *unit) against(seats []seat, kept map[*node]bool, now time.Time) []string {
	var found [preferences]bool
	for _, seat := range seats {
		node := seat.node
		for preference, goes := range [preferences]bool{
			preferOneRack:   u.step.spec.Gang && u.step.spec.OneRack && node.entry.Rack != seats[0].node.entry.Rack,
			preferDataRack:  u.step.spec.DataRack != "" && node.entry.Rack != u.step.spec.DataRack,
			preferKeptClear: kept[node],
			preferRested:    now.Before(node.health.until),
			preferApart:     node.isolating > 0,
			preferEmpty:     u.isolated && len(node.runs) > 0,
			preferOther:     u.avoid == node.entry.ID,
		} {
			found[preference] = found[preference] || goes
		}
	}
	var names []string
	for preference, goes := range found {
		if goes {
			names = append(names, preferenceNames[preference])
		}
	}
	return names
}

// keptNodes are the nodes that are kept clear, by the class of work that they are kept
// clear of.
func (v *view) keptNodes() [classes]map[*node]bool {
	var kept [classes]map[*node]bool
	for class, closed := range v.closed {
		kept[class] = map[*node]bool{}
		for at, isClosed := range closed {
			if isClosed {
				kept[class][v.nodes[at]] = true
			}
		}
	}
	return kept
}
