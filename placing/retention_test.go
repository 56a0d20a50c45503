package placing

import (
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// endAll reports every run of the cluster as done.
func (c *cluster) endAll() {
	for _, worker := range c.workerIDs {
		var ends []EndedTask
		for _, run := range c.engine.nodes[worker].runs {
			c.endNumbers[worker]++
			ends = append(ends, EndedTask{Number: c.endNumbers[worker], Task: run.task.key, Run: run.number, Kind: EndDone})
		}
		c.engine.Report(worker, c.now, nil, ends, time.Time{}, c.now)
	}
}

// entryCounts returns the number of entries of each map of the engine.
func entryCounts(e *Engine) map[string]int {
	counts := map[string]int{}
	value := reflect.ValueOf(e).Elem()
	for index := range value.NumField() {
		if field := value.Field(index); field.Kind() == reflect.Map {
			counts[value.Type().Field(index).Name] = field.Len()
		}
	}
	return counts
}

// Guards against memory that grows with the jobs that have ended: once they are expired, the
// engine has as many entries after many of them as after few.
func TestEndedJobsLeaveNoEntries(t *testing.T) {
	is := is.New(t)
	c := newCluster(1)
	ended := 0
	runJobs := func(count int) map[string]int {
		for range count {
			ended++
			c.submit(testJob(hexID(ended), ended%3, testStep(2, 1)))
			c.steps(2)
			c.endAll()
			c.steps(2)
			is.Equal(c.engine.jobs[hexID(ended)].state, jobs.StateDone)
		}
		c.now = c.now.Add(testLimits.EndedJobRetention + retentionMargin)
		c.steps(decisionsPerExpiry)
		is.Equal(len(c.engine.jobs), 0)
		return entryCounts(c.engine)
	}
	few := runJobs(3)
	is.Equal(runJobs(100), few)
	is.Equal(few["queueWork"], 1) // one sum per queue, which the ended jobs still count in
}
