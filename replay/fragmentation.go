package replay

import "github.com/teaselcleat/teaselcleat/structs"

// copiesInRack is how many disjoint copies of a shape fit the free accelerators
// of one rack's workers: the most copies k for which the workers, each giving
// at most one member to a copy, have k times the members.
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

func copiesInRacks(racks [][]int, shape structs.Shape) int {
	total := 0
	for _, free := range racks {
		total += copiesInRack(free, shape)
	}
	return total
}

// packRacks is the best arrangement of as many free accelerators: wholly free
// workers, racks filled in order.
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

// fragmentation of a shape is one less the share of its copies that fit now of
// those that would fit if the free accelerators were packed best. ok is false
// if none would fit.
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
