package placing

import (
	"fmt"
	"testing"
	"time"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// loadedEngine returns an engine whose workers are full of low-priority tasks, with a backlog
// of gangs and tasks.
func loadedEngine(workers int) (*Engine, time.Time) {
	e := testEngine(1)
	e.LoadJobs(nil, FormerLeaderReleased, testStart)
	var entries []WorkerEntry
	for i := range workers {
		entries = append(entries, testWorker(fmt.Sprintf("w%04d", i), fmt.Sprintf("r1-%03d", i/20)))
	}
	e.UpdateWorkers(entries, testStart)
	for _, entry := range entries {
		e.Report(entry.ID, testStart, nil, nil, time.Time{}, testStart)
	}
	for i := range workers {
		e.ApplyJob(&jobs.Job{Submission: testJob(fmt.Sprintf("%016x", i), 2, testStep(8, 1))}, testStart)
	}
	startAll(e, testStart)
	for i := range workers {
		gang := testStep(4+i%5, 4)
		gang.Gang, gang.OneRack = true, i%2 == 0
		e.ApplyJob(&jobs.Job{Submission: testJob(fmt.Sprintf("%016x", workers+i), 1, gang)}, testStart)
	}
	return e, testStart
}

// BenchmarkPass measures one pass with full workers and as many waiting gangs as workers.
func BenchmarkPass(b *testing.B) {
	for _, workers := range []int{48, 350, 6800} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			e, now := loadedEngine(workers)
			e.Decide(now)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				e.runPass(now)
			}
		})
	}
}

// BenchmarkUrgentGang measures the search for capacity for an urgent gang of 8 on full
// workers.
func BenchmarkUrgentGang(b *testing.B) {
	for _, workers := range []int{48, 350, 6800} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			e, now := loadedEngine(workers)
			gang := testStep(8, 8)
			gang.Gang, gang.OneRack = true, true
			urgent := testJob("ffffffffffffffff", 0, gang)
			e.ApplyJob(&jobs.Job{Submission: urgent}, now)
			unit := e.waitingUnits(now)[0]
			if unit.job.submission != urgent {
				b.Fatal("the urgent gang is not first")
			}
			view := e.schedulableView(now)
			b.ReportAllocs()
			for b.Loop() {
				if chosen, _ := e.selectVictims(unit, view, now); chosen == nil {
					b.Fatal("no placement found")
				}
			}
		})
	}
}

// BenchmarkGangOf128 measures the placement of a large gang, for which the target is 1 ms at
// the 99th percentile.
func BenchmarkGangOf128(b *testing.B) {
	e := testEngine(1)
	var nodes []*node
	for i := range 6800 {
		node := &node{entry: testWorker(fmt.Sprintf("w%04d", i), fmt.Sprintf("r1-%03d", i/20))}
		nodes = append(nodes, node)
	}
	gang := testStep(128, 2)
	gang.Gang = true
	e.ApplyJob(&jobs.Job{Submission: testJob("ffffffffffffffff", 1, gang)}, testStart)
	unit := e.waitingUnits(testStart)[0]
	view := newView(nodes)
	b.ReportAllocs()
	for b.Loop() {
		if view.fit(unit, false) == nil {
			b.Fatal("no placement found")
		}
	}
}
