package batch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// watchfulCount is how many instances watch the holder of the term closely, at most.
const watchfulCount = 3

// watchers are the instances that watch the holder of the term, by name: those that would
// claim a vacant term first, and one outside the first one's availability zone, so that a
// zone which is lost with the holder does not take all of them along. The holder itself is
// none, and watches in nobody's place.
func watchers(known map[string]jobs.Instance, holder string) []string {
	var chosen []string
	add := func(eligible func(name string) bool) {
		name := foremost(known, func(name string) bool {
			return name != holder && !slices.Contains(chosen, name) && eligible(name)
		})
		if name != "" {
			chosen = append(chosen, name)
		}
	}
	anyone := func(string) bool { return true }
	add(anyone)
	add(anyone)
	if len(chosen) == 2 && known[chosen[0]].Zone == known[chosen[1]].Zone {
		add(func(name string) bool { return known[name].Zone != known[chosen[0]].Zone })
	}
	for len(chosen) < min(watchfulCount, len(known)-1) {
		add(anyone)
	}
	return chosen
}

// foremost is the eligible instance that would claim a vacant term first; empty for none.
func foremost(known map[string]jobs.Instance, eligible func(name string) bool) string {
	first, least := "", time.Duration(0)
	for name, instance := range known {
		rank := claimRank(xxhash.Sum64String(name), instance.CPUShare)
		if (first == "" || rank < least || rank == least && name < first) && eligible(name) {
			first, least = name, rank
		}
	}
	return first
}

// watchful reports whether this is one of the instances that watch the holder. One that
// has not made itself known yet is none.
func (i *Instance) watchful() bool {
	i.foldLock.Lock()
	known := i.fold.table.Instances()
	holder := instanceOf(i.fold.table.Term())
	i.foldLock.Unlock()
	return slices.Contains(watchers(known, holder), i.settings.Name)
}
