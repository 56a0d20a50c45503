package placing

import (
	"math"
	"slices"
	"time"
)

// Workers of one kind differ in speed, and a gang is as slow as its slowest member. How fast
// a worker is shows where the tasks of one step are at work on many: they are about equally
// long, whatever the caller's estimate was.
const (
	// speedAfter is how long a run has to be at work before its progress is compared: by
	// then reports, which count hundredths, tell it well enough. All are looked at after the
	// same time, as those that are looked at by their progress would be the fast ones.
	speedAfter = 1500 * time.Millisecond
	// speedSiblings is how many tasks of a step have to be compared at least.
	speedSiblings = 6
	// speedMemory is how many runs an estimate rests on at most: a worker may change.
	speedMemory = 8
	// slowestSpeed and fastestSpeed bound what counts: beyond them a worker stands still or
	// is slow for some seconds, which its health tells.
	slowestSpeed = 0.5
	fastestSpeed = 2.0
	// differOn and differOff are the variances of the logarithms of workers' speeds from which
	// on, and below which no more, they count as different: about 8 and 5 in a hundred apart.
	// Where all are alike, what is learned of each is chance, and worse to go by than nothing.
	differOn  = 0.0064
	differOff = 0.0025
	// differLeast is how many pairs of runs have to be seen before, and differMemory how
	// many the variance rests on at most.
	differLeast  = 20
	differMemory = 200
	// speedWeight makes urgent work prefer fast workers to tight ones, whose weights lie
	// within four; rackSpeedWeight, in cores, fast racks to those that it fills best.
	speedWeight     = 6
	rackSpeedWeight = 1000
)

// speed is how fast a worker is against the usual one, by its own runs.
type speed struct {
	sum   float64 // of logarithms
	count float64 // of runs they are of
}

// factor is the estimate, near one while little is known.
func (s speed) factor() float64 { return math.Exp(s.sum / (s.count + 1)) }

func (s *speed) take(seen float64) {
	if s.count >= speedMemory {
		s.sum -= s.sum / s.count
		s.count--
	}
	s.sum += math.Log(seen)
	s.count++
}

// differences is how much workers differ in speed: runs of one worker have its speed in
// common and nothing else, so the mean product of their deviations is the variance of speeds.
type differences struct {
	variance float64
	pairs    float64
	matter   bool
}

func (d *differences) see(product float64) {
	d.pairs = min(differMemory, d.pairs+1)
	d.variance += (product - d.variance) / d.pairs
	switch {
	case d.pairs >= differLeast && d.variance > differOn:
		d.matter = true
	case d.variance < differOff:
		d.matter = false
	}
}

// learnSpeed takes how fast a node was in one run.
func (e *Engine) learnSpeed(known *node, seen float64) {
	if seen < slowestSpeed || seen > fastestSpeed {
		return
	}
	if known.speed.count > 0 {
		e.differences.see(math.Log(seen) * known.speed.sum / known.speed.count)
	}
	known.speed.take(seen)
}

// rate is the progress of one run.
type rate struct {
	node *node
	each float64 // hundredths a second
}

// compareSpeed takes the progress of a run that has been at work for a while, once, and
// compares it with that of its siblings.
func (e *Engine) compareSpeed(run *run, now time.Time) {
	step := run.task.step
	if run.compared || run.resumed || run.slowed || step.spec.Gang || step.spec.Lasting || step.spec.Fills || run.startedAt.IsZero() {
		return
	}
	worked := now.Sub(run.startedAt)
	if worked < speedAfter || run.percent <= 0 {
		return
	}
	run.compared = true
	step.rates = append(step.rates, rate{node: run.node, each: float64(run.percent) / worked.Seconds()})
	if len(step.rates) < speedSiblings {
		return
	}
	usual := usualRate(step.rates)
	fresh := step.rates[len(step.rates)-1:]
	if len(step.rates) == speedSiblings {
		fresh = step.rates
	}
	for _, each := range fresh {
		e.learnSpeed(each.node, each.each/usual)
	}
}

// usualRate is what a worker of the usual speed does: the middle of what was seen, each put
// right by what is known of its worker.
func usualRate(rates []rate) float64 {
	each := make([]float64, len(rates))
	for index, seen := range rates {
		each[index] = seen.each / seen.node.speed.factor()
	}
	slices.Sort(each)
	return each[len(each)/2]
}

// speedOf is what the speed of a node adds to its weight for a unit.
func (v *view) speedOf(node *node, unit *unit) float64 {
	if !v.speedsMatter || unit.tier != tierUrgent {
		return 0
	}
	return speedWeight * (1 - node.speed.factor())
}

// speedOfRack is what the speed of a gang's seats in a rack is worth, in cores.
func (v *view) speedOfRack(seats []seat, unit *unit) float64 {
	if !v.speedsMatter || unit.tier != tierUrgent {
		return 0
	}
	return rackSpeedWeight * slowest(seats)
}

// slowest is the speed of a gang on some seats.
func slowest(seats []seat) float64 {
	least := math.Inf(1)
	for _, seat := range seats {
		least = min(least, seat.node.speed.factor())
	}
	return least
}
