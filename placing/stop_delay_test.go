package placing

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// slowStops drives a cluster in which the end of a stopped run is known only after a delay.
type slowStops struct {
	*cluster
	delay   time.Duration
	pending []Stop
	dueAt   []time.Time
}

// step advances time by 50 ms, and returns how many runs were stopped.
func (s *slowStops) step() int {
	s.now = s.now.Add(50 * time.Millisecond)
	for len(s.pending) > 0 && !s.now.Before(s.dueAt[0]) {
		stop := s.pending[0]
		s.pending, s.dueAt = s.pending[1:], s.dueAt[1:]
		s.endNumbers[stop.Worker]++
		end := EndedTask{Number: s.endNumbers[stop.Worker], Task: stop.Task, Run: stop.Run, Kind: EndStopped}
		s.engine.Report(stop.Worker, s.now, s.runningTasks(stop), []EndedTask{end}, time.Time{}, s.now)
	}
	plan := s.engine.Decide(s.now)
	s.engine.MarkRecordsDurable(s.now)
	started := s.engine.Decide(s.now)
	for _, start := range append(plan.Starts, started.Starts...) {
		s.engine.StartAnswered(start.Worker, start.Task, start.Run, StartAccepted, s.now)
	}
	stops := append(plan.Stops, started.Stops...)
	for _, stop := range stops {
		s.engine.StopAcknowledged(stop.Worker, stop.Task, stop.Run, s.now)
		s.pending = append(s.pending, stop)
		s.dueAt = append(s.dueAt, s.now.Add(s.delay))
	}
	return len(stops)
}

// Guards against an urgent gang for which other runs are stopped again and again, because a
// reservation expires before the ends of its victims are known.
func TestVictimsAreChosenOnceWhereEndsAreKnownLate(t *testing.T) {
	is := is.New(t)
	s := &slowStops{cluster: newCluster(5), delay: 900 * time.Millisecond}
	limits := testLimits
	limits.MaxStopTime = 200 * time.Millisecond
	s.engine.SetLimits(limits)
	s.fillWorkers(20)
	stopped := make([]int, 5)
	for index := range stopped {
		urgent := testJob(hexID(90+index), 0, gangStep(2, 8))
		s.submit(urgent)
		for begin := s.now; !s.allRunning(urgent.ID) && s.now.Sub(begin) < limits.ReclaimTimeout; {
			stopped[index] += s.step()
		}
		is.True(s.allRunning(urgent.ID))
	}
	is.Equal(stopped[2:], []int{16, 16, 16}) // the first ones show how long ends take
}
