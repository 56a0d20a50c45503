package placing

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	singleInterval    = 350 * time.Millisecond
	denseGangInterval = 1200 * time.Millisecond
	// minServedPercent is what the operators ask for at least of each queue on such days.
	minServedPercent = 27
)

// singleWork returns how long the tasks of a job that start alone work: two to six seconds.
func singleWork(number int) time.Duration { return time.Duration(2+number%5) * time.Second }

// submitSingles submits a job of the lowest priority with ten tasks that start alone and take an
// eighth of a worker each. It has little time to spare from the start.
func (o *overload) submitSingles(number int) {
	job := testJob(hexID(number), 2, testStep(10, 1))
	job.Steps[0].EstimateMS = singleWork(number).Milliseconds()
	job.Queue.Stretch = 2
	o.runTimes[job.ID] = singleWork(number)
	o.submittedAt[o.submit(job)] = o.now
}

// playSingles submits more single tasks than the workers hold beside a stream of gangs that need half
// of the workers.
func (o *overload) playSingles() {
	number := 0
	for begin := o.now; o.now.Sub(begin) < 2*overloadLength; o.tick() {
		elapsed := o.now.Sub(begin)
		if elapsed%singleInterval == 0 {
			number++
			o.submitSingles(number)
		}
		if elapsed%denseGangInterval == 0 {
			number++
			o.submitGang(number)
		}
	}
}

// Single tasks took each half of a worker that came free, so gangs of a higher priority were never started.
func TestGangsKeepTheirShareBesideSingleTasksOfALowerPriority(t *testing.T) {
	is := is.New(t)
	o := newOverload(t)
	o.playSingles()
	gangs, gangsInTime := o.countInTime(1, 3*gangWork+time.Second)
	singles, singlesInTime := o.countInTime(2, 2*singleWork(4)+time.Second)
	t.Log("gangs", gangs, gangsInTime, "singles", singles, singlesInTime)
	is.True(gangsInTime*singles >= singlesInTime*gangs)
	is.True(singlesInTime*100 >= singles*minServedPercent)
}
