package jobs

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against an estimate of the memory of accepted jobs that is too low.
func TestSubmissionsTakeNoMoreMemoryThanEstimated(t *testing.T) {
	for _, c := range []struct{ steps, spec int }{{1, 0}, {1, 4000}, {4, 100}, {64, 4000}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			is := is.New(t)
			table := NewTable()
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			for number := range 500 {
				submission := &Submission{ID: fmt.Sprintf("%016x", number), Workspace: "manchester", Queue: Queue{Name: "q"}, Spec: strings.Repeat("s", c.spec)}
				for range c.steps {
					submission.Steps = append(submission.Steps, Step{Tasks: 1, After: []int{}, Image: "image", DataRack: "rack"})
				}
				record, err := SubmissionRecord(submission)
				is.NoErr(err)
				mustApply(t, table, record, 0, int64(number))
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			is.True(int64(after.HeapAlloc)-int64(before.HeapAlloc) < table.SubmissionBytes())
		})
	}
}
