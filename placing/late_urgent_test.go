package placing

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	burstInterval = 8 * time.Second
	burstLength   = 2 * time.Second
	burstLoad     = 4.0 // multiple of the room that urgent work asks for in a burst
	burstCount    = 5
	gangInterval  = 2 * time.Second
	gangWork      = 3 * time.Second
)

// submitGang submits a gang of the middle priority that needs a third of the workers whole, and is to
// end within three times its work and a second.
func (o *overload) submitGang(number int) {
	job := testJob(hexID(number), 1, wideGang(4, 8))
	job.Steps[0].EstimateMS = gangWork.Milliseconds()
	o.runTimes[job.ID] = gangWork
	o.submittedAt[o.submit(job)] = o.now
}

// playBursts submits bursts of urgent work beside a steady stream of gangs, until all has ended.
func (o *overload) playBursts() {
	due, number := 0.0, 0
	for begin := o.now; o.now.Sub(begin) < burstCount*burstInterval; o.tick() {
		elapsed := o.now.Sub(begin)
		if elapsed%gangInterval == 0 {
			number++
			o.submitGang(number)
		}
		if elapsed%burstInterval >= burstLength {
			continue
		}
		for due += burstLoad * overloadRoom * delaySimTick.Seconds() / overloadWork.Seconds(); due >= 1; due-- {
			number++
			o.submitUrgent(number, "manchester")
		}
	}
	for range 400 {
		o.tick()
	}
}

// countInTime returns the number of submitted jobs of a priority, and of those that ended within a time.
func (o *overload) countInTime(priority int, within time.Duration) (submitted, inTime int) {
	for id, at := range o.submittedAt {
		if o.jobs[id].Queue.Priority != priority {
			continue
		}
		submitted++
		if ended, ok := o.endedAt[id]; ok && ended.Sub(at) <= within {
			inTime++
		}
	}
	return submitted, inTime
}

// Urgent work that was late in any case kept gangs from their room, and stopped them, after each burst.
func TestGangsAreInTimeBesideUrgentWorkThatIsLateInAnyCase(t *testing.T) {
	is := is.New(t)
	o := newOverload(t)
	o.playBursts()
	gangs, gangsInTime := o.countInTime(1, 3*gangWork+time.Second)
	urgent, urgentInTime := o.countInTime(0, overloadWork*3/2+250*time.Millisecond)
	t.Log("gangs", gangs, gangsInTime, "urgent", urgent, urgentInTime)
	is.True(gangsInTime*2 >= gangs)
}
