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

// A run's worker is on record with its life. Instances of a version that knows of no lives
// read the same record, as during a rolling restart, and this one reads theirs.
func TestProgressRecordsTheIncarnationOfARunsWorker(t *testing.T) {
	is := is.New(t)
	tasks := []TaskProgress{{Flat: 1, Run: 2, Worker: "i-1", BornMS: 1790000000123}, {Flat: 3, Run: 1}, {Flat: 4, Run: 1, Worker: "i-2", BornMS: 1790000000456, Losses: 2, EarlyLosses: 1}}
	decoded, written := roundTrip(t, &Progress{State: StateRunning, Tasks: tasks})
	is.Equal(decoded.Tasks, tasks)

	former := &Progress{}
	is.NoErr(json.Unmarshal([]byte(written[1:]), former)) // as the former version reads it
	is.Equal(former.Tasks[0].Worker, "i-1")

	decoded, err := DecodeProgress([]byte(`r{"t":[[1,2,0,0,"i-1",""]]}`)) // as it wrote
	is.NoErr(err)
	is.Equal(decoded.Tasks, []TaskProgress{{Flat: 1, Run: 2, Worker: "i-1"}})

	decoded, err = DecodeProgress([]byte(`r{"t":[[1,2,0,0,"i-1",""]],"b":[5,6]}`))
	is.NoErr(err)
	is.Equal(decoded.Tasks[0].BornMS, int64(0)) // lives that do not fit the tasks are none
}

// Where no lives are told apart nothing is written of them.
func TestProgressWithoutIncarnationsOmitsTheirField(t *testing.T) {
	is := is.New(t)
	_, written := roundTrip(t, &Progress{State: StateRunning, Tasks: []TaskProgress{{Flat: 1, Run: 2, Worker: "i-1"}}})
	is.True(!strings.Contains(written, `"b"`))
}
