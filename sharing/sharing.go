package sharing

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// beginAt is how many workers one instance keeps alone, and endAt below how many
	// it takes them back: the smallest instances can still keep 350 workers. The
	// gap keeps a fleet that grows and shrinks by some workers from switching.
	beginAt = 480
	endAt   = 420
	// shareSize is how many workers an instance of usualWeight keeps for another: a
	// third of what one alone can, as it serves callers beside.
	shareSize = 120
	// usualWeight is the share of a core that most instances have.
	usualWeight = 0.4
	// leastShares keeps one lost instance from taking half of the workers along.
	leastShares = 4
	// mostShare times its capacity is what an instance keeps before some are moved.
	// Hashing gives shares that differ by a tenth.
	mostShare = 1.25
)

// Instance is one that can keep workers.
type Instance struct {
	Name   string
	Zone   string  // availability zone; empty if unknown
	Weight float64 // share of a core; 0 if unknown
}

func (i *Instance) weight() float64 {
	if i.Weight <= 0 {
		return usualWeight
	}
	return i.Weight
}

// Switch decides whether links are shared out, by the number of workers.
type Switch struct {
	on bool
}

// See takes how many workers are listed now.
func (s *Switch) See(workers int) bool {
	switch {
	case workers >= beginAt:
		s.on = true
	case workers < endAt:
		s.on = false
	}
	return s.on
}

// Wanted returns which instances are to keep workers, given how many workers each
// availability zone has: as many in each as its workers ask for, the first in an
// order that does not change when others come or go. Zones without instances of
// their own are served by all.
func Wanted(workers map[string]int, candidates []Instance) []string {
	ranked := slices.Clone(candidates)
	slices.SortFunc(ranked, func(a, b Instance) int {
		return compare(score(b.Name, "", b.weight()), score(a.Name, "", a.weight()), a.Name, b.Name)
	})
	total, elsewhere := 0, 0
	for zone, count := range workers {
		total += count
		if !slices.ContainsFunc(ranked, func(i Instance) bool { return i.Zone == zone }) {
			elsewhere += count
		}
	}
	room := map[string]float64{} // still asked for, in workers
	for zone, count := range workers {
		room[zone] = float64(count) + float64(elsewhere)*float64(count)/float64(max(1, total-elsewhere))
	}
	var wanted []string
	for _, instance := range ranked {
		if room[instance.Zone] > 0 {
			room[instance.Zone] -= capacity(instance)
			wanted = append(wanted, instance.Name)
		}
	}
	return fillUp(wanted, ranked, total)
}

// fillUp adds instances while there are fewer than leastShares, or while those
// wanted cannot keep all workers, as some zones have too few instances.
func fillUp(wanted []string, ranked []Instance, workers int) []string {
	kept := 0.0
	for _, instance := range ranked {
		if slices.Contains(wanted, instance.Name) {
			kept += capacity(instance)
		}
	}
	for _, instance := range ranked {
		if len(wanted) >= leastShares && kept >= float64(workers) {
			return wanted
		}
		if !slices.Contains(wanted, instance.Name) {
			wanted = append(wanted, instance.Name)
			kept += capacity(instance)
		}
	}
	return wanted
}

// Most is how many workers an instance with a share of a core may come to keep
// before some are moved: a quarter more than it is meant to.
func Most(weight float64) int {
	return int(mostShare * capacity(Instance{Weight: weight}))
}

// capacity is how many workers an instance is meant to keep.
func capacity(instance Instance) float64 { return shareSize * instance.weight() / usualWeight }

// Choose returns which of the keeping instances drives a worker: one in its
// availability zone if there is any, by weighted rendezvous hashing, so that one
// that comes or goes moves its own share only. The instance named by avoid is
// chosen only if there is no other. Empty if there is none at all.
func Choose(worker, zone, avoid string, keepers []Instance) string {
	best, bestScore, bestNear := "", math.Inf(-1), false
	for _, keeper := range keepers {
		if keeper.Name == avoid && len(keepers) > 1 {
			continue
		}
		near := zone != "" && keeper.Zone == zone
		if bestNear && !near {
			continue
		}
		value := score(keeper.Name, worker, keeper.weight())
		if near && !bestNear || value > bestScore || (value == bestScore && keeper.Name < best) {
			best, bestScore, bestNear = keeper.Name, value, near
		}
	}
	return best
}

// score is the weight of an instance's claim to a worker: the higher, the better.
func score(instance, worker string, weight float64) float64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(instance) // a digest takes all that is written
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(worker)
	unit := (float64(digest.Sum64()>>11) + 0.5) / (1 << 53) // in (0, 1)
	return -weight / math.Log(unit)
}

func compare(a, b float64, nameA, nameB string) int {
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
