package standin

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// endOutcomes returns the outcomes of the ended runs that a worker lists.
func (w *TaskWorker) endOutcomes() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var outcomes []string
	for _, end := range w.ends {
		outcomes = append(outcomes, end.row[3].(string))
	}
	return outcomes
}

// The tasks of a gang start their work when all have joined, and end together: as done,
// as broken if one task ends early, or as alone if a task never joins.
func TestGangTasksRunAndEndTogether(t *testing.T) {
	const wait, runTime = 3 * time.Second, time.Second
	for _, c := range []struct {
		name   string
		second time.Duration // start of the second task after the first; 0 for never
		stop   bool          // the first task is stopped half way
		halt   bool          // the first task's worker halts half way
		want   [2][]string   // outcomes on both workers
	}{
		{"both there", 2 * time.Second, false, false, [2][]string{{"done"}, {"done"}}},
		{"one never comes", 0, false, false, [2][]string{{"alone"}, nil}},
		{"one is stopped", 2 * time.Second, true, false, [2][]string{{"stopped"}, {"broken"}}},
		{"one is lost", 2 * time.Second, false, true, [2][]string{nil, {"broken"}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				gangs := NewGangCoordinator(wait)
				var workers [2]*TaskWorker
				for i := range workers {
					workers[i] = NewTaskWorker("w", runTime)
					workers[i].Gangs = gangs
				}
				start := func(i int, task string) {
					status, _ := sendOrder(t, workers[i], "/api/run-start", taskOrder{Task: task, Run: 1, Spec: "gang2", UntilMS: 60_000})
					is.Equal(status, http.StatusOK)
				}
				start(0, "a.0.0.0")
				if c.second > 0 {
					time.Sleep(c.second)
					start(1, "a.0.0.1")
				}
				time.Sleep(runTime / 2)
				if c.stop {
					sendOrder(t, workers[0], "/api/run-stop", taskOrder{Task: "a.0.0.0", Run: 1})
				}
				if c.halt {
					workers[0].Halt()
				}
				time.Sleep(2 * wait)
				for i, worker := range workers {
					is.Equal(worker.endOutcomes(), c.want[i])
					worker.Halt()
				}
			})
		})
	}
}
