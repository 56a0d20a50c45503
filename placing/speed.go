package placing

import (
	"math"
	"slices"
	"time"
)

// Workers of one kind differ in speed, and a gang is as slow as its slowest member. The speed
// of a worker is estimated from steps with tasks on many workers: the tasks of a step take
// about equally long, whatever the caller's estimate was.
const (
	// speedSampleAfter is how long a run has to be running before its progress is compared: by
	// then the reports, in percent, are accurate enough. All runs are sampled after the same time,
	// as sampling them at the same progress would select the fast ones.
	speedSampleAfter = 1500 * time.Millisecond
	// minSpeedSiblings is the minimum number of tasks of a step for a comparison.
	minSpeedSiblings = 6
	// minSpeedWorkers is the minimum number of workers that these are on.
	minSpeedWorkers = 3
	// maxSpeedSamples bounds the runs that an estimate is based on: a worker may change.
	maxSpeedSamples = 8
	// minCountedSpeed and maxCountedSpeed bound the samples that count: beyond them a worker is
	// stalled or slow for some seconds, which its health tracks.
	minCountedSpeed = 0.5
	maxCountedSpeed = 2.0
	// speedVarianceOn and speedVarianceOff are the variances of the logarithms of worker speeds
	// above which workers start, and below which they stop, to count as different: about 8 and 5
	// percent apart. If all are alike, the estimates are noise, and worse than none.
	speedVarianceOn  = 0.0064
	speedVarianceOff = 0.0025
	// minSpeedPairs is the number of pairs of runs required first, and maxSpeedPairs bounds the
	// number that the variance is based on.
	minSpeedPairs = 20
	maxSpeedPairs = 200
	// speedCaution is the logarithm by which a worker without samples counts as slower than usual:
	// one slow member makes an urgent gang late, a fast one gains nothing.
	speedCaution = 0.3
	// speedWeight makes urgent work prefer fast workers to tightly filled ones, whose weights lie
	// within four, also where they differ by a fifth; rackSpeedWeight, in cores, makes it prefer
	// fast racks to those that it fills best.
	speedWeight     = 20
	rackSpeedWeight = 1000
	// explorationWeight is above the weights of filled workers and of racks in use. It makes work that
	// is not urgent prefer workers of unknown speed, so that few are left when an urgent gang comes.
	explorationWeight = 8
)

// speedEstimate is the speed of a worker relative to the usual one, estimated from its own
// runs.
type speedEstimate struct {
	logSum float64 // of the logarithms of the samples
	count  float64 // number of samples
}

// factor returns the estimate, which stays near one while there are few samples.
func (s speedEstimate) factor() float64 { return math.Exp(s.logSum / (s.count + 1)) }

// lowerFactor returns a cautious estimate, in which a worker with few samples counts as slower.
func (s speedEstimate) lowerFactor() float64 {
	return math.Exp((s.logSum - speedCaution) / (s.count + 1))
}

// add adds a sample. Beyond maxSpeedSamples it replaces an average one.
func (s *speedEstimate) add(speed float64) {
	if s.count >= maxSpeedSamples {
		s.logSum -= s.logSum / s.count
		s.count--
	}
	s.logSum += math.Log(speed)
	s.count++
}

// speedVariance estimates how much workers differ in speed. Runs of one worker have its speed
// in common and nothing else, so the mean product of their deviations is the variance of
// speeds.
type speedVariance struct {
	variance    float64
	pairs       float64
	significant bool
}

// add adds the product of the deviations of two runs of one worker.
func (v *speedVariance) add(product float64) {
	v.pairs = min(maxSpeedPairs, v.pairs+1)
	v.variance += (product - v.variance) / v.pairs
	switch {
	case v.pairs >= minSpeedPairs && v.variance > speedVarianceOn:
		v.significant = true
	case v.variance < speedVarianceOff:
		v.significant = false
	}
}

// recordSpeed adds the relative speed of a node in one run.
func (e *Engine) recordSpeed(n *node, speed float64) {
	if speed < minCountedSpeed || speed > maxCountedSpeed {
		return
	}
	if n.speed.count > 0 {
		e.speedVariance.add(math.Log(speed) * n.speed.logSum / n.speed.count)
	}
	n.speed.add(speed)
}

// progressRate is the rate of progress of one run.
type progressRate struct {
	node             *node
	percentPerSecond float64
}

// comparesSpeed reports whether the runs of the step tell the speeds of workers. The members of a gang
// advance together.
func (s *step) comparesSpeed() bool {
	return !s.spec.Gang && !s.spec.LongRunning && !s.spec.Filler
}

// compareSpeed samples the progress of a run once, after it has run for a while, and compares
// it with that of its siblings.
func (e *Engine) compareSpeed(run *run, now time.Time) {
	step := run.task.step
	if run.speedCompared || run.resumed || run.throttled || !step.comparesSpeed() || run.startedAt.IsZero() {
		return
	}
	elapsed := now.Sub(run.startedAt)
	if elapsed < speedSampleAfter || run.percent <= 0 {
		return
	}
	run.speedCompared = true
	step.rates = append(step.rates, progressRate{node: run.node, percentPerSecond: float64(run.percent) / elapsed.Seconds()})
	if len(step.rates) < minSpeedSiblings || countWorkers(step.rates) < minSpeedWorkers {
		return
	}
	median := medianRate(step.rates)
	added := step.rates[step.comparedRates:]
	step.comparedRates = len(step.rates)
	for _, r := range added {
		e.recordSpeed(r.node, r.percentPerSecond/median)
	}
}

// medianRate returns the rate of a worker of the usual speed: the median over the workers of
// the mean of their samples, each divided by the speed of its worker.
func medianRate(rates []progressRate) float64 {
	sums := map[*node]speedEstimate{}
	for _, r := range rates {
		sum := sums[r.node]
		sum.logSum += math.Log(r.percentPerSecond / r.node.speed.factor())
		sum.count++
		sums[r.node] = sum
	}
	means := make([]float64, 0, len(sums))
	for _, sum := range sums {
		means = append(means, sum.logSum/sum.count)
	}
	slices.Sort(means)
	middle := len(means) / 2
	return math.Exp((means[middle] + means[(len(means)-1)/2]) / 2)
}

// countWorkers returns the number of workers that samples are from.
func countWorkers(rates []progressRate) int {
	workers := map[*node]bool{}
	for _, r := range rates {
		workers[r.node] = true
	}
	return len(workers)
}

// nodeSpeedWeight returns the part of a node's weight that comes from its speed, 0 unless the
// unit is urgent.
func (v *view) nodeSpeedWeight(node *node, unit *unit) float64 {
	if !v.speedsSignificant || !unit.urgent() {
		return 0
	}
	return speedWeight * (1 - node.speed.lowerFactor())
}

// rackSpeedValue returns the value, in cores, of the speed of a gang's placements in a rack, 0
// unless the unit is urgent.
func (v *view) rackSpeedValue(placements []placement, unit *unit) float64 {
	if !v.speedsSignificant || !unit.urgent() {
		return 0
	}
	return rackSpeedWeight * slowestSpeedOf(placements)
}

// slowestSpeedOf returns the speed of a gang on the given placements.
func slowestSpeedOf(placements []placement) float64 {
	slowest := math.Inf(1)
	for _, p := range placements {
		slowest = min(slowest, p.node.speed.lowerFactor())
	}
	return slowest
}

// nodeExplorationWeight returns the part of a node's weight that is due to its speed being unknown, 0
// unless the unit is one from which the speed is learned and can wait.
func (v *view) nodeExplorationWeight(node *node, unit *unit) float64 {
	explores := v.speedsSignificant && !unit.urgent() && unit.step.comparesSpeed() && len(unit.step.tasks) >= minSpeedSiblings
	if !explores || node.speed.count > 0 {
		return 0
	}
	return -explorationWeight
}
