package jobs

import (
	"testing"

	"github.com/matryer/is"
)

// A record with an invalid value, as another writer may append it, changes nothing
// under any key.
func TestRecordOfAnotherWriterChangesNothing(t *testing.T) {
	for _, c := range []struct{ name, key, value string }{
		{"bytes", "s/a1", "\x00\xff"},
		{"another type", "s/a1", `[1]`},
		{"null", "s/a1", `null`},
		{"no steps", "s/a1", `{"id":"a1"}`},
		{"a step without tasks", "s/a1", `{"id":"a1","t":[{"n":0}]}`},
		{"a negative need", "s/a1", `{"id":"a1","t":[{"n":1,"r":{"a":-1}}]}`},
		{"a step that waits for itself", "s/a1", `{"id":"a1","t":[{"n":1,"d":[0]}]}`},
		{"too many tasks", "s/a1", `{"id":"a1","o":1000000,"t":[{"n":1000000}]}`},
		{"negative occurrences", "s/a1", `{"id":"a1","o":-1,"t":[{"n":1}]}`},
		{"another job's", "s/a1", `{"id":"b2","t":[{"n":1}]}`},
		{"an ID that no task's name can hold", "s/a.1", `{"id":"a.1","t":[{"n":1}]}`},
		{"an empty ID", "s/", `{"id":"","t":[{"n":1}]}`},
		{"an ID of control characters", "s/a\n", `{"id":"a\n","t":[{"n":1}]}`},
		{"a need above 2^63", "s/a1", `{"id":"a1","t":[{"n":1,"r":{"a":9223372036854775808}}]}`},
		{"a state that is not named", "e/a1", "z"},
		{"progress in no state", "p/a1", `z{}`},
		{"a term of another type", "term", `"x"`},
		{"a term that is null", "term", `null`},
		{"a negative epoch", "term", `{"e":-4,"h":"x"}`},
		{"an epoch that no claim can exceed", "term", `{"e":9223372036854775807,"h":"x"}`},
		{"former leases whose time overflows", "term", `{"e":4,"h":"x","f":9223372036854775807}`},
		{"negative former leases", "term", `{"e":4,"h":"x","f":-2}`},
		{"an instance of too many cores", "i/x", `{"a":"10.1.0.9:7000","c":1e300}`},
		{"an instance of negative cores", "i/x", `{"a":"10.1.0.9:7000","c":-1}`},
		{"an unreached worker whose lead overflows", "unreached", `{"e":4,"w":{"a":9223372036854775807}}`},
		{"an instance of another type", "i/x", `7`},
		{"an instance that is null", "i/x", `null`},
		{"an instance without an address", "i/x", `{"z":"zone"}`},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table := NewTable()
			change, err := table.Apply(Record{Key: c.key, Value: []byte(c.value)}, 1, 7)
			is.True(err != nil)
			is.Equal(change, Change{})
			is.Equal(table.Len(), 0)
			is.Equal(table.Term(), Term{})
			is.Equal(len(table.Instances()), 0)
		})
	}
}

// A run number or a time that wraps was taken from progress on record.
func TestProgressWithNumbersThatWrapIsNotTaken(t *testing.T) {
	is := is.New(t)
	for _, task := range []string{`[0,9223372036854775807,0,0,"w",""]`, `[0,1,-1,0,"w",""]`, `[0,1,0,0,"w","",4611686018427387904,0]`, `null`} {
		_, err := DecodeProgress([]byte(`r{"t":[` + task + `]}`))
		is.True(err != nil)
	}
	progress, err := DecodeProgress([]byte(`d{"e":9223372036854775807,"u":-9223372036854775808}`))
	is.NoErr(err)
	is.Equal(progress.EndedMS, MaxTimeMS)
	is.Equal(progress.ReadyMS, int64(0))
}

// No value under any key makes the fold panic or accept too many tasks.
func FuzzApply(f *testing.F) {
	f.Add("s/a1", []byte(`{"id":"a1","t":[{"n":2,"d":[]}]}`))
	f.Add("s/a1", []byte(`{"id":"a1","q":{"p":9223372036854775807,"x":1e300,"l":-9223372036854775808},"f":-9223372036854775808,"p":9223372036854775807,"t":[{"n":2,"e":9223372036854775807,"r":{"a":9223372036854775807}}]}`))
	f.Add("p/a1", []byte(`r{"d":"01","t":[[0,1,0,0,"w",""]]}`))
	f.Add("e/a1", []byte("d"))
	f.Add("term", []byte(`{"e":3,"h":"a/1"}`))
	f.Add("i/x", []byte(`{"a":"10.1.0.9:7000"}`))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		table := NewTable()
		if _, err := table.Apply(Record{Key: key, Value: value}, 1, 7); err != nil {
			return
		}
		for _, job := range table.All() {
			if job.Submission.OccurrenceCount()*job.Submission.TasksPerOccurrence() > MaxTasksPerJob {
				t.Error("a submission with too many tasks was accepted")
			}
			estimateMS := int64(0)
			for _, step := range job.Submission.Steps {
				estimateMS += step.EstimateMS
				if step.Need.MilliCores > MaxMilliCores+1 || step.Need.MemoryMB > MaxMemoryMB+1 || step.Need.Accelerators > MaxAccelerators+1 {
					t.Error("a need far above every capacity was accepted")
				}
			}
			if estimateMS < 0 || estimateMS > MaxEstimateMS || job.Submission.Queue.Priority > MaxPriority {
				t.Error("numbers out of bounds were accepted")
			}
		}
	})
}
