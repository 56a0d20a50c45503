package replay

import "github.com/teaselcleat/teaselcleat/structs"

// copiesInRack returns how many disjoint copies of a shape fit into the free
// accelerators of one rack's workers. This is the largest k for which the workers
// can hold k times the shape's members, with at most one member of a copy on each.
func copiesInRack(free []int, shape structs.Shape) int {
	slots := 0
	for _, workerFree := range free {
		slots += workerFree / shape.Accelerators
	}
	for copies := slots / shape.Members; copies > 0; copies-- {
		members := 0
		for _, workerFree := range free {
			members += min(workerFree/shape.Accelerators, copies)
		}
		if members >= copies*shape.Members {
			return copies
		}
	}
	return 0
}

// copiesInRacks returns how many disjoint copies of a shape fit, each within one rack.
func copiesInRacks(racks [][]int, shape structs.Shape) int {
	total := 0
	for _, free := range racks {
		total += copiesInRack(free, shape)
	}
	return total
}

// packRacks returns the best arrangement of a number of free accelerators: wholly
// free workers, racks filled in order.
func (i Inventory) packRacks(free int) [][]int {
	var racks [][]int
	for free > 0 {
		var rack []int
		for range i.WorkersPerRack {
			workerFree := min(free, i.AcceleratorsPerWorker)
			rack = append(rack, workerFree)
			free -= workerFree
		}
		racks = append(racks, rack)
	}
	return racks
}

// fragmentation returns 1 minus the ratio of a shape's copies that fit now to those
// that would fit if the free accelerators were packed best. ok is false if none
// would fit.
func (i Inventory) fragmentation(racks [][]int, shape structs.Shape) (value float64, ok bool) {
	total := 0
	for _, free := range racks {
		for _, workerFree := range free {
			total += workerFree
		}
	}
	best := copiesInRacks(i.packRacks(total), shape)
	if best == 0 {
		return 0, false
	}
	return 1 - float64(min(copiesInRacks(racks, shape), best))/float64(best), true
}
