package results

import (
	"fmt"
	"strings"
	"testing"
)

func readRecord(t *testing.T, path string) []Line {
	t.Helper()
	lines, err := ReadRecord(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, ok := Find(lines, "disruption: true"); !ok {
		t.Fatalf("%s is not of a play with its disruption", path)
	}
	return lines
}

// LOST: only ends as failed count as attempts, and tasks that last have no limit of them.
func TestLastingJobIsNotGivenUp(t *testing.T) {
	lines := readRecord(t, "../1/record.txt")
	failedEnds := 0
	for _, run := range Runs(lines) {
		if run.How == "failed" {
			failedEnds++
		}
	}
	_, cancelled := Find(lines, "client: DELETE")
	if shown, ok := Find(lines, "client: GET", ": failed"); ok && failedEnds == 0 && !cancelled {
		t.Errorf("at %.3f a job that nobody cancelled is shown as failed, after no end as failed", shown.At)
	}
}

// LOST: a task whose turn has come does not stay without a run beside idle workers.
func TestTasksOfLostWorkersRunAgain(t *testing.T) {
	for _, path := range []string{"../2/report.json", "../2/report-2.json", "../2/report-3.json"} {
		broken, err := Broken(path)
		if err != nil {
			t.Fatal(err)
		}
		if broken["LOST"] > 0 {
			t.Errorf("%s: LOST was broken %d times", path, broken["LOST"])
		}
	}
	lines := readRecord(t, "../2/record.txt")
	span, ok := Find(lines, "has to run at some time from")
	if !ok {
		t.Fatal("the record names no span")
	}
	var task string
	var from, to float64
	if _, err := fmt.Sscanf(span.Text, "task %s has to run at some time from %f to %f", &task, &from, &to); err != nil {
		t.Fatal(err)
	}
	for _, run := range Runs(lines) {
		if run.Task == task && run.Start < to && (run.End == 0 || run.End > from) {
			return
		}
	}
	t.Errorf("task %s has no run from %.3f to %.3f", task, from, to)
}

// UNASKED: a task does not run on once the time after the acknowledged cancelling is over.
func TestCancelledJobStaysCancelled(t *testing.T) {
	const cancelAndStop = 3.2 // cancel_ms and stop_ms, in seconds
	lines := readRecord(t, "../3/record.txt")
	acknowledged, ok := Find(lines, "client: DELETE", ": 410")
	if !ok {
		acknowledged, ok = Find(lines, "client: DELETE", ": 200")
	}
	if !ok {
		t.Fatal("the cancelling was not acknowledged")
	}
	end := lines[len(lines)-1].At
	job := strings.Fields(acknowledged.Text)[2] // client: DELETE JOB at ...
	for _, run := range Runs(lines) {
		if !strings.HasPrefix(run.Task, job+".") {
			continue
		}
		if run.End == 0 && end > acknowledged.At+cancelAndStop {
			t.Errorf("%s still runs at %.3f, the cancelling was acknowledged at %.3f", run.Task, end, acknowledged.At)
		}
		if run.Start > acknowledged.At+cancelAndStop {
			t.Errorf("%s starts at %.3f, the cancelling was acknowledged at %.3f", run.Task, run.Start, acknowledged.At)
		}
	}
}

func TestRunsPairsStartsWithEnds(t *testing.T) {
	runs := Runs([]Line{{1, `i-1 starts a.0.0.0 run 1 checkpoint "" fence 1`}, {2, "i-1 a.0.0.0 run 1 ends done after 5 ms of work"}, {3, `i-2 starts b.0.0.0 run 2 checkpoint "" fence 1`}})
	if len(runs) != 2 || runs[0].How != "done" || runs[0].End != 2 || runs[1].How != "" || !strings.HasPrefix(runs[1].Task, "b") {
		t.Errorf("runs %+v", runs)
	}
}
