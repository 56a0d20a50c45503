package jobs

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func roundTrip(t *testing.T, p *Progress) (*Progress, string) {
	t.Helper()
	value, err := encodeProgress(p)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := DecodeProgress(value)
	if err != nil {
		t.Fatal(err)
	}
	return decoded, string(value)
}

// Progress records the incarnation of a run's worker. During a rolling restart,
// instances of a version without incarnations read the same record, and this version
// reads theirs.
func TestProgressRecordsTheIncarnationOfARunsWorker(t *testing.T) {
	is := is.New(t)
	tasks := []TaskProgress{{Flat: 1, Run: 2, Worker: "i-1", BornMS: 1790000000123}, {Flat: 3, Run: 1}, {Flat: 4, Run: 1, Worker: "i-2", BornMS: 1790000000456, Losses: 2, EarlyLosses: 1}}
	decoded, written := roundTrip(t, &Progress{State: StateRunning, Tasks: tasks})
	is.Equal(decoded.Tasks, tasks)

	former := &Progress{}
	is.NoErr(json.Unmarshal([]byte(written[1:]), former)) // as the earlier version reads it
	is.Equal(former.Tasks[0].Worker, "i-1")

	decoded, err := DecodeProgress([]byte(`r{"t":[[1,2,0,0,"i-1",""]]}`)) // as the earlier version writes it
	is.NoErr(err)
	is.Equal(decoded.Tasks, []TaskProgress{{Flat: 1, Run: 2, Worker: "i-1"}})

	decoded, err = DecodeProgress([]byte(`r{"t":[[1,2,0,0,"i-1",""]],"b":[5,6]}`))
	is.NoErr(err)
	is.Equal(decoded.Tasks[0].BornMS, int64(0)) // incarnations that do not match the tasks are ignored
}

// If no incarnation is known, the record has no field for them.
func TestProgressWithoutIncarnationsOmitsTheirField(t *testing.T) {
	is := is.New(t)
	_, written := roundTrip(t, &Progress{State: StateRunning, Tasks: []TaskProgress{{Flat: 1, Run: 2, Worker: "i-1"}}})
	is.True(!strings.Contains(written, `"b"`))
}
