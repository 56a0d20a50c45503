package placing

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// details returns the details of the log lines of an event about a job; "" stands for no job.
func (p *Plan) details(event, job string) (details []string) {
	for _, logEvent := range p.LogEvents {
		if logEvent.Event == event && logEvent.Job == job {
			details = append(details, logEvent.Detail)
		}
	}
	return details
}

// The lines of a job's stops add up, and its end states the sum.
func TestLogStatesHowOftenAJobWasStopped(t *testing.T) {
	is := is.New(t)
	c := newCluster(1)
	gang := testJob(hexID(1), 1, wideGang(4, 8))
	c.submit(gang)
	c.steps(20)
	is.True(c.allRunning(gang.ID))
	c.submit(testJob(hexID(2), 0, testStep(1, 8)))
	plan := c.step()
	stops := plan.details("run_stopped", gang.ID)
	is.Equal(len(stops), 4)
	for index, count := range []string{" job_stops 1 ", " job_stops 2 ", " job_stops 3 ", " job_stops 4 "} {
		is.True(strings.Contains(stops[index]+" ", count))
	}
	c.engine.Cancel(gang.ID, c.now)
	plan = c.engine.Decide(c.now)
	ended := plan.details("job_ended", gang.ID)
	is.Equal(len(ended), 1)
	is.True(strings.Contains(ended[0], "job_stops 4 job_lost_core_s "))
	is.True(!strings.HasSuffix(ended[0], " 0"))
}

// While gangs wait the load line states what they wait for: the work that runs, by class, and the
// use of cores and memory.
func TestLoadLineStatesWorkByClass(t *testing.T) {
	is := is.New(t)
	c := newCluster(1)
	single := testStep(4, 4)
	single.Need.MemoryMB = 64 << 10
	c.submit(testJob(hexID(1), 2, single))
	c.steps(3)
	c.submit(testJob(hexID(2), 1, wideGang(4, 8)))
	plan := c.step()
	for len(plan.details("load", "")) == 0 {
		plan = c.step()
	}
	detail := plan.details("load", "")[0]
	is.True(strings.Contains(detail, "running urgent 0.0 gangs 0.0 tasks 2.0 waiting urgent 0.0 gangs 4.0 tasks 0.0"))
	is.True(strings.Contains(detail, "cores_in_use 0.12 memory_in_use 0.50"))
}
