package batch

import (
	"cmp"
	"maps"
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
	ranked := slices.DeleteFunc(slices.Collect(maps.Keys(known)), func(name string) bool { return name == holder })
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(rankOf(a, known[a]), rankOf(b, known[b])), cmp.Compare(a, b))
	})
	chosen := ranked[:min(len(ranked), watchfulCount-1)]
	for _, name := range ranked[len(chosen):] {
		if !slices.ContainsFunc(chosen, func(other string) bool { return known[other].Zone != known[name].Zone }) {
			return append(chosen, name)
		}
	}
	return ranked[:min(len(ranked), watchfulCount)]
}

// rankOf is how long an instance leaves a vacant term to others.
func rankOf(name string, instance jobs.Instance) time.Duration {
	return claimRank(xxhash.Sum64String(name), instance.CPUShare)
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
