package placing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// plan is what the runs of a step are like.
type plan struct {
	work  time.Duration
	flaky int // hundredths of the runs that fail
	lasts bool
}

// draw draws what becomes of a run. The first member fails for a gang.
func (p plan) draw(random *rand.Rand, run *modelRun) {
	run.tells = true
	run.lasts = p.lasts
	run.whole = p.work * time.Duration(80+random.IntN(40)) / 100
	run.work = run.whole
	run.fails = random.IntN(100) < p.flaky && (run.gang == 0 || run.key.Index == 0)
	switch {
	case run.fails && p.lasts:
		run.work = time.Duration(200+random.IntN(3000)) * time.Millisecond
	case run.fails:
		run.work = run.whole * time.Duration(10+random.IntN(50)) / 100
	}
}

// percent is how far a run says it is. One that does not tell stays at its first part.
func (r *modelRun) percent(now time.Time) int {
	switch {
	case !r.tells:
		return 1
	case r.lasts:
		return 100
	}
	return int(min(99, 100*now.Sub(r.since)/r.whole))
}

// fleetWorkers and rackWidth bound the wider draw.
const (
	fleetLeast, fleetMost = 8, 24
	rackLeast, rackMost   = 3, 6
)

// submitWide hands in a job of the wider draw: gangs that may be wider than a rack,
// estimates that are off by up to ten times.
func (w *world) submitWide(workers int) {
	id := testJob("", 0).ID + hexID(len(w.jobs)+1)
	priority := w.random.IntN(3)
	var steps []jobs.Step
	for index := range 1 + w.random.IntN(3) {
		step, plan := w.drawStep(workers)
		if index > 0 {
			step.After = []int{index - 1}
		}
		w.plans[jobs.TaskKey{Job: id, Step: index}] = plan
		steps = append(steps, step)
		if step.Lasting {
			break
		}
	}
	submission := testJob(id, priority, steps...)
	submission.AcceptedMS = w.now.UnixMilli()
	w.handIn(submission)
}

// drawStep draws a step.
func (w *world) drawStep(workers int) (jobs.Step, plan) {
	likely := func(percent int) bool { return w.random.IntN(100) < percent }
	accelerators := []int64{0, 1, 2, 4, 4, 8}[w.random.IntN(6)]
	step := testStep(1+w.random.IntN(8), accelerators)
	drawn := plan{work: time.Duration(400+w.random.IntN(4000)) * time.Millisecond}
	step.EstimateMS = int64(float64(drawn.work.Milliseconds()) * math.Pow(10, 2*w.random.Float64()-1))
	if likely(20) {
		drawn.flaky = 40
	}
	if likely(30) {
		step.DataRack = fmt.Sprintf("r1-%d", w.random.IntN(w.racks))
	}
	step.Gang = likely(50)
	holds := workers
	switch {
	case likely(15):
		step.RequiredLabel = fmt.Sprintf("r1-%d", w.random.IntN(w.racks))
		holds = workers / w.racks
	case !step.Gang && likely(10):
		step.RequiredLabel = soleLabel
		step.Tasks = 1
	case !step.Gang && likely(15):
		step.Lasting, drawn.lasts, drawn.work = true, true, time.Hour
		drawn.flaky /= 4
		step.Tasks = min(3, step.Tasks)
	case likely(10):
		step.PerWorker = 1 + w.random.IntN(2)
	}
	if step.Gang {
		step.OneRack = likely(60)
		slots := 8 / max(1, int(accelerators))
		if step.PerWorker > 0 {
			slots = min(slots, step.PerWorker)
		}
		step.Tasks = 1 + w.random.IntN(max(1, slots*holds*45/100))
	}
	return step, drawn
}

// Ways in which the wider world is disturbed.
const (
	undisturbed     = iota
	someMishaps     // for troubleTime at the beginning
	holdersReplaced // and all else is calm
	disturbances
)

const (
	troubleTime = 2 * time.Second
	wideTime    = 15 * time.Second
	endsWithin  = 60 * time.Second
	wideList    = 50 * time.Millisecond // between two looks at the list of workers
)

// playWide plays a world of the wider draw until all its jobs have ended.
func playWide(w *world, workers, disturbance int) {
	w.watchIdle(disturbance == holdersReplaced)
	w.plans = map[jobs.TaskKey]plan{}
	w.listGap = wideList
	w.takeOver()
	next := w.now
	begun := w.now
	w.run(wideTime, func() {
		w.calm = disturbance != someMishaps || w.now.Sub(begun) > troubleTime
		w.mishap()
		if disturbance == holdersReplaced && !w.now.Before(next) {
			w.takeOver()
			next = w.now.Add(takeOverLeast + time.Duration(w.random.Int64N(int64(takeOverMost-takeOverLeast))))
		}
		if w.random.IntN(60) == 0 && w.asked(workers) < 0.8 {
			w.submitWide(workers)
		}
	})
	w.calm = true
	w.openZones()
	w.cancelLasting()
	for end := w.now.Add(endsWithin); w.now.Before(end) && !w.allEnded(); {
		w.run(time.Second, func() {})
	}
}

// asked is what the jobs that have not ended need, as a share of the workers' room.
func (w *world) asked(workers int) float64 {
	sum := int64(0)
	for _, submission := range w.jobs {
		if w.table.Job(submission.ID).State().Final() {
			continue
		}
		largest := int64(0) // of the steps, which follow each other
		for _, step := range submission.Steps {
			largest = max(largest, int64(step.Tasks)*weight(step.Need))
		}
		sum += largest
	}
	return float64(sum) / float64(int64(workers)*weight(w.workers[0].entry.Capacity))
}

func (w *world) allEnded() bool {
	for _, submission := range w.jobs {
		if !w.table.Job(submission.ID).State().Final() {
			return false
		}
	}
	return true
}

func (w *world) cancelLasting() {
	for _, submission := range w.jobs {
		if submission.Steps[len(submission.Steps)-1].Lasting {
			w.append([]jobs.Record{jobs.CancelRecord(submission.ID)})
			w.holder.engine.Learn(w.table.Job(submission.ID), w.now)
		}
	}
}

// Whatever is drawn, and whoever holds the term: nothing that fits waits for longer than the
// users allow while there is room for it twice over and under half of it is in use. Nor does
// anything run twice or end without cause.
func TestNothingWaitsBesideIdleRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers := rapid.IntRange(fleetLeast, fleetMost).Draw(t, "workers")
		width := rapid.IntRange(rackLeast, rackMost).Draw(t, "width")
		w := newWorldOf(rapid.Uint64().Draw(t, "seed"), workers, (workers+width-1)/width, "w001")
		playWide(w, workers, rapid.IntRange(0, disturbances-1).Draw(t, "disturbance"))
		for _, fault := range w.faults {
			t.Error(fault)
		}
		checkEnds(t, w)
	})
}
