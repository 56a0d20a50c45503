package sharing

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// The leader uses delegates, each with a shard of the workers, from shardingMinWorkers on and
	// until there are fewer than shardingStopWorkers. Below that it dispatches to all workers
	// itself; even the smallest instances can dispatch to 350 alone. The gap avoids switching
	// back and forth when the fleet grows and shrinks by a few workers.
	shardingMinWorkers  = 480
	shardingStopWorkers = 420
	// shardSize is the shard size of a delegate of defaultWeight: a third of what one instance
	// can handle alone, as a delegate also serves callers. minDelegates such shards have
	// shardingMinWorkers workers.
	shardSize = 120
	// defaultWeight is the share of a core that most instances have.
	defaultWeight = 0.4
	// minDelegates prevents the loss of one instance from affecting half of the workers, as it
	// would with two delegates; it affects about a quarter.
	minDelegates = 4
	// overloadFactor is the ratio of the shard size of a delegate to its capacity above which
	// some workers are moved. With hashing, shard sizes differ by a tenth.
	overloadFactor = 1.25
)

// Instance is a candidate for a delegate.
type Instance struct {
	Name   string
	Zone   string  // availability zone; empty if unknown
	Weight float64 // share of a core, jobs.Instance.CPUShare; 0 if unknown
}

func (i *Instance) weight() float64 {
	if i.Weight <= 0 {
		return defaultWeight
	}
	return i.Weight
}

// Switch decides by the number of workers whether the leader uses delegates. It has
// state because of the gap between its two bounds.
type Switch struct {
	on bool
}

// Update updates the switch with the number of listed workers and returns whether delegates are
// used.
func (s *Switch) Update(workers int) bool {
	switch {
	case workers >= shardingMinWorkers:
		s.on = true
	case workers < shardingStopWorkers:
		s.on = false
	}
	return s.on
}

// SelectDelegates selects the delegates, given the number of workers of each availability zone. Each
// zone gets as many as its workers need, in an order of the instances that does not change
// when others come or go. Workers of zones without instances are spread over all other zones.
func SelectDelegates(workers map[string]int, candidates []Instance) []string {
	ranked := slices.Clone(candidates) // by descending score, then by name
	slices.SortFunc(ranked, func(a, b Instance) int {
		return compareScores(score(b.Name, "", b.weight()), score(a.Name, "", a.weight()), a.Name, b.Name)
	})
	total, withoutInstances := 0, 0
	for zone, count := range workers {
		total += count
		if !slices.ContainsFunc(ranked, func(i Instance) bool { return i.Zone == zone }) {
			withoutInstances += count
		}
	}
	demand := map[string]float64{} // workers without a delegate, by zone
	for zone, count := range workers {
		demand[zone] = float64(count) + float64(withoutInstances)*float64(count)/float64(max(1, total-withoutInstances))
	}
	var delegates []string
	for _, instance := range ranked {
		if demand[instance.Zone] > 0 {
			demand[instance.Zone] -= capacity(instance)
			delegates = append(delegates, instance.Name)
		}
	}
	return addDelegates(delegates, ranked, total)
}

// addDelegates adds instances while there are fewer than minDelegates or the delegates cannot
// handle all workers, as happens if a zone has too few instances.
func addDelegates(delegates []string, ranked []Instance, workers int) []string {
	total := 0.0
	for _, instance := range ranked {
		if slices.Contains(delegates, instance.Name) {
			total += capacity(instance)
		}
	}
	for _, instance := range ranked {
		if len(delegates) >= minDelegates && total >= float64(workers) {
			return delegates
		}
		if !slices.Contains(delegates, instance.Name) {
			delegates = append(delegates, instance.Name)
			total += capacity(instance)
		}
	}
	return delegates
}

// MaxShardSize returns the shard size above which some workers of a delegate with the given share
// of a core are moved: a quarter more than its capacity.
func MaxShardSize(weight float64) int {
	return int(overloadFactor * capacity(Instance{Weight: weight}))
}

// capacity returns the intended shard size of an instance.
func capacity(instance Instance) float64 { return shardSize * instance.weight() / defaultWeight }

// ChooseDelegate returns the delegate for a worker, by weighted rendezvous hashing among the delegates
// of its availability zone, or all if there are none. A delegate that comes or goes moves its
// own shard only. The instance named by avoid is chosen only if it is the only one. The result
// is empty if there are no delegates.
func ChooseDelegate(worker, zone, avoid string, delegates []Instance) string {
	best, bestScore, bestSameZone := "", math.Inf(-1), false
	for _, instance := range delegates {
		if instance.Name == avoid && len(delegates) > 1 {
			continue
		}
		sameZone := zone != "" && instance.Zone == zone
		if bestSameZone && !sameZone {
			continue
		}
		s := score(instance.Name, worker, instance.weight())
		if sameZone && !bestSameZone || s > bestScore || (s == bestScore && instance.Name < best) {
			best, bestScore, bestSameZone = instance.Name, s, sameZone
		}
	}
	return best
}

// score returns the weighted rendezvous hash of an instance for a worker; the highest score wins.
func score(instance, worker string, weight float64) float64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(instance) // never returns an error
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(worker)
	uniform := (float64(digest.Sum64()>>11) + 0.5) / (1 << 53) // in (0, 1)
	return -weight / math.Log(uniform)
}

// compareScores orders by score, then by name.
func compareScores(a, b float64, nameA, nameB string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	case nameA < nameB:
		return -1
	}
	return 1
}
