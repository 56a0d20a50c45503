package batch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// maxStandbys bounds the number of standbys.
const maxStandbys = 3

// standbys returns the names of the instances that follow the leader closely: those that would claim
// a vacant term first, and one outside the availability zone of the first one, so that the loss of a
// zone with the leader in it leaves a standby. The leader itself is never a standby.
func standbys(instances map[string]jobs.Instance, leader string) []string {
	var selected []string
	add := func(eligible func(name string) bool) {
		name := firstClaimant(instances, func(name string) bool {
			return name != leader && !slices.Contains(selected, name) && eligible(name)
		})
		if name != "" {
			selected = append(selected, name)
		}
	}
	always := func(string) bool { return true }
	add(always)
	add(always)
	if len(selected) == 2 && instances[selected[0]].Zone == instances[selected[1]].Zone {
		add(func(name string) bool { return instances[name].Zone != instances[selected[0]].Zone })
	}
	for len(selected) < min(maxStandbys, len(instances)-1) {
		add(always)
	}
	return selected
}

// firstClaimant returns the eligible instance that would claim a vacant term first; empty for none.
func firstClaimant(instances map[string]jobs.Instance, eligible func(name string) bool) string {
	first, lowest := "", time.Duration(0)
	for name, instance := range instances {
		rank := claimDelay(xxhash.Sum64String(name), instance.CPUShare)
		if (first == "" || rank < lowest || rank == lowest && name < first) && eligible(name) {
			first, lowest = name, rank
		}
	}
	return first
}

// isStandby reports whether this instance is a standby. An instance that has not registered yet is
// not one.
func (i *Instance) isStandby() bool {
	i.foldLock.Lock()
	instances := i.fold.table.Instances()
	leader := leaderName(i.fold.table.Term())
	i.foldLock.Unlock()
	return slices.Contains(standbys(instances, leader), i.settings.Name)
}
