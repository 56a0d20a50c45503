package placing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// overload submits urgent gangs at a multiple of the rate that the workers can serve.
type overload struct {
	*delaySim
	submittedAt map[string]time.Time
	begunAt     map[string]time.Time
	endedAt     map[string]time.Time
	guarantees  map[string]int64
}

const (
	overloadWork   = time.Second
	overloadLength = 20 * time.Second
	// overloadRoom is the number of gangs that three racks of four workers hold.
	overloadRoom = 6
)

func newOverload(t *testing.T) *overload {
	return &overload{delaySim: newDelaySim(t, 3, 4), submittedAt: map[string]time.Time{}, begunAt: map[string]time.Time{}, endedAt: map[string]time.Time{}}
}

// urgentGang returns a gang of two whole workers that is to end within 1.5 times its work and a
// quarter of a second.
func urgentGang(number int, workspace string) *jobs.Submission {
	job := testJob(hexID(number), 0, gangStep(2, 8))
	job.Workspace = workspace
	job.Queue.Stretch, job.Queue.TargetMS = 1.5, 250
	job.Steps[0].EstimateMS = overloadWork.Milliseconds()
	return job
}

func (o *overload) submitUrgent(number int, workspace string) {
	job := urgentGang(number, workspace)
	o.runTimes[job.ID] = overloadWork
	o.submittedAt[o.submit(job)] = o.now
}

func (o *overload) tick() {
	o.engine.Configure(nil, o.guarantees, nil) // each new leader reads it too
	o.delaySim.tick()
	for id := range o.submittedAt {
		if _, ended := o.endedAt[id]; !ended && o.table.Job(id).State() == jobs.StateDone {
			o.endedAt[id] = o.now
		}
		if _, begun := o.begunAt[id]; !begun && o.countRunning(id, 0) > 0 {
			o.begunAt[id] = o.now
		}
	}
}

// play submits gangs of a workspace at a multiple of the room, and returns how many of them end in
// time.
func (o *overload) play(load float64, onTick func()) (inTime int) {
	due, number := 0.0, 0
	for end := o.now.Add(overloadLength); o.now.Before(end); {
		for due += load * overloadRoom * delaySimTick.Seconds() / overloadWork.Seconds(); due >= 1; due-- {
			number++
			o.submitUrgent(number, "manchester")
		}
		onTick()
		o.tick()
	}
	for range 60 {
		o.tick()
	}
	for id, ended := range o.endedAt {
		if ended.Sub(o.submittedAt[id]) <= overloadWork*3/2+250*time.Millisecond {
			inTime++
		}
	}
	return inTime
}

// Served alike, a queue of more urgent work than room is late as a whole. What can be in time has to
// rise to what the room holds, and to stay there.
func TestUrgentWorkInTimeStaysAtTheRoomUnderOverload(t *testing.T) {
	served := map[float64]int{}
	for _, load := range []float64{0.5, 1, 2, 3, 4} {
		o := newOverload(t)
		served[load] = o.play(load, func() {})
		t.Log("load", load, "submitted", len(o.submittedAt), "in time", served[load])
	}
	is := is.New(t)
	// A gang occupies its workers for 1.1 s, with the ticks of its start and its end.
	room := int(overloadLength.Seconds()/1.1) * overloadRoom
	is.True(served[0.5]*10 >= room*5*9/10)
	for _, load := range []float64{2, 3, 4} {
		is.True(served[load]*10 >= room*8)
	}
}

// A new leader decides alike what is late, as it follows from the records.
func TestChangeOfLeaderKeepsUrgentWorkInTimeUnderOverload(t *testing.T) {
	is := is.New(t)
	o := newOverload(t)
	half := o.now.Add(overloadLength / 2)
	changed := false
	inTime := o.play(2, func() {
		if !changed && !o.now.Before(half) {
			changed = true
			o.changeLeader()
		}
	})
	is.True(changed)
	room := int((overloadLength-2*time.Second).Seconds()/1.1) * overloadRoom // without two seconds for the change
	is.True(inTime*10 >= room*8)
}

// Work within a guarantee starts within the reclaim time, however much other urgent work can still
// be in time.
func TestGuaranteedWorkStartsInTimeUnderOverload(t *testing.T) {
	is := is.New(t)
	o := newOverload(t)
	o.guarantees = map[string]int64{"nashua": 32}
	number := 1000
	o.play(3, func() {
		if o.now.Sub(testStart)%time.Second == 0 {
			number++
			o.submitUrgent(number, "nashua")
		}
	})
	for id, submitted := range o.submittedAt {
		if o.jobs[id].Workspace == "nashua" {
			begun, ok := o.begunAt[id]
			is.True(ok)
			is.True(begun.Sub(submitted) <= testLimits.ReclaimTimeout)
		}
	}
}

// An estimate that changes a little must not move a job between those that can be in time and those
// that are late.
func TestExpectedLatenessDoesNotFlip(t *testing.T) {
	is := is.New(t)
	deadline := testStart.Add(4 * time.Second)
	o := &occurrence{}
	is.True(!o.updateMissesObjective(deadline.Add(-300*time.Millisecond), deadline, time.Second))
	is.True(o.updateMissesObjective(deadline.Add(-200*time.Millisecond), deadline, time.Second))
	is.True(o.updateMissesObjective(deadline.Add(-300*time.Millisecond), deadline, time.Second))
	is.True(!o.updateMissesObjective(deadline.Add(-600*time.Millisecond), deadline, time.Second))
}
