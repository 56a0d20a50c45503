package batch

import (
	"testing"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// Guards against a job that is shown as running for good: the state of its start, written after its end.
func TestStateOfAStartIsWrittenBeforeThatOfTheEnd(t *testing.T) {
	is := is.New(t)
	store := newPartitionedStore()
	writer := newTestWriter(store, 3)
	writer.queueStates([]jobs.Record{jobs.StateRecord("a1", jobs.StateRunning)})
	is.NoErr(writer.writeGroup(t.Context(), recordGroup{states: []jobs.Record{jobs.StateRecord("a1", jobs.StateDone)}}))
	is.Equal(store.keys(statePart), []string{"term", "e/a1", "e/a1"})
	records := store.parts[statePart]
	is.Equal(records[len(records)-1], jobs.StateRecord("a1", jobs.StateDone))
}
