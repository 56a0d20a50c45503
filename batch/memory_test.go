package batch

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// Guards against jobs that are accepted beyond the memory of the smallest instance, which may become the leader.
func TestJobsBeyondTheMemoryForThemAreRefused(t *testing.T) {
	is := is.New(t)
	instance := New(Settings{Name: "a", StoreParts: 1, Bounds: Bounds{MemoryBytes: 64 << 20}}, downStore{}, nil, nil, metrics.NewRegistry(), discardLog())
	table := instance.fold.table
	add := func(number int) {
		submission := &jobs.Submission{ID: fmt.Sprintf("%016x", number), Queue: jobs.Queue{Name: "q"}, Spec: strings.Repeat("s", 4000), Steps: []jobs.Step{{Tasks: 1}}}
		record, err := jobs.SubmissionRecord(submission)
		is.NoErr(err)
		_, err = table.Apply(record, 0, int64(number))
		is.NoErr(err)
	}
	refused := func(priority int) bool {
		submission := &jobs.Submission{ID: "new", Queue: jobs.Queue{Name: "q", Priority: priority}, Steps: []jobs.Step{{Tasks: 1}}}
		outcome, refused := instance.refuseIfFull(submission)
		is.True(!refused || outcome.Verdict == NotRun && outcome.RetryAfter > 0)
		return refused
	}
	number := 0
	for ; table.SubmissionBytes() < 15<<20; number++ {
		add(number)
	}
	is.True(refused(1))
	is.True(!refused(0)) // a part is kept for urgent jobs
	is.Equal(instance.submit(t.Context(), &jobs.Submission{ID: "new", Queue: jobs.Queue{Priority: 1}, Steps: []jobs.Step{{Tasks: 1}}}).RetryAfter, fullRetryAfter)
	record, err := jobs.InstanceRecord("b", jobs.Instance{Address: "b", MemoryMB: 32})
	is.NoErr(err)
	_, err = table.Apply(record, 0, int64(number))
	is.NoErr(err)
	is.True(refused(0)) // a smaller instance was announced
	for dropped := range number {
		for _, record := range append(jobs.DeleteCallerRecords(fmt.Sprintf("%016x", dropped)), jobs.DeleteStateRecord(fmt.Sprintf("%016x", dropped))) {
			_, err := table.Apply(record, 0, int64(number+1+dropped))
			is.NoErr(err)
		}
	}
	is.Equal(table.SubmissionBytes(), int64(0))
	is.True(!refused(1))
}
