package placing

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
)

func advisedJob(number, priority int, step jobs.Step) *jobs.Submission {
	job := testJob(hexID(number), priority, step)
	job.Queue.Advised = true
	return job
}

// A step in front that no worker may run is of the same kind as one behind it that all may.
func TestStepThatMayRunNowhereDoesNotHideAnAlikeOneBehind(t *testing.T) {
	for name, gang := range map[string]bool{"tasks": false, "gang": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newHeldSite(t, 2, 6)
			step := testStep(2, 4)
			step.Gang, step.EstimateMS = gang, heldWork.Milliseconds()
			barred := advisedJob(1, 1, step)
			s.allowed = func(job, _ string) bool { return job != barred.ID }
			s.submit(barred)
			s.play(time.Second)
			behind := s.submit(advisedJob(2, 1, step))
			is.True(s.wait(behind, 0) <= heldBound)
		})
	}
}

// A step in front still waits for tickets while an alike one behind it has them.
func TestStepWithoutTicketsDoesNotHideAnAlikeOneWithThem(t *testing.T) {
	is := is.New(t)
	s := newHeldSite(t, 2, 6)
	s.valid = 30 * time.Second
	for worker := range 12 {
		s.occupy(worker, 8)
	}
	s.play(time.Second)
	long, short := testStep(1, 1), testStep(1, 1)
	long.EstimateMS, short.EstimateMS = 2*heldWork.Milliseconds(), heldWork.Milliseconds()
	behind := s.submit(advisedJob(2, 1, long))
	s.play(time.Second) // all workers are asked about
	is.Equal(s.runs(behind, 0), 0)
	s.askTime = 10 * time.Second
	s.submit(advisedJob(1, 1, short))
	s.play(time.Second)
	for _, life := range s.lives {
		for _, key := range life.keys() {
			s.work[key.Job] = time.Second
		}
	}
	s.play(2 * heldTick)
	is.True(s.wait(behind, 0) <= heldBound)
}

// Work with time to spare leaves idle workers alone; late work of its kind takes them,
// whether or not it comes after such work.
func TestWorkThatCanWaitDoesNotHideLateWorkOfItsKind(t *testing.T) {
	for _, example := range []struct {
		name  string
		step  jobs.Step
		racks int // of four workers, all but one rack in use
	}{{"task", testStep(1, 4), 3}, {"gang", wideGang(2, 4), 10}} {
		for _, alone := range []bool{true, false} {
			t.Run(example.name+" alone "+strconv.FormatBool(alone), func(t *testing.T) {
				is := is.New(t)
				c := newCluster(example.racks)
				for _, node := range c.engine.nodeOrder[4:] {
					node.used = node.entry.Capacity
				}
				late := testJob(hexID(1), 1, example.step)
				late.AcceptedMS = c.now.Add(-12 * time.Second).UnixMilli()
				c.submit(late)
				if !alone {
					c.submit(testJob(hexID(2), 1, example.step))
				}
				c.engine.demandsOf("pool").urgent.see(40, c.now)
				units := c.engine.waiting(c.now)
				is.Equal(units[0].patient, !alone)
				is.Equal(units[len(units)-1].tier, tierLate)
				starts := startAll(c.engine, c.now)
				is.Equal(len(starts), example.step.Tasks)
				for _, start := range starts {
					is.Equal(start.Task.Job, late.ID)
				}
			})
		}
	}
}
