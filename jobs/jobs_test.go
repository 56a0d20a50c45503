package jobs

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/teaselcleat/teaselcleat/internal/prooftest"
)

// propertySteps is rapid's default number of steps; these properties draw few.
const propertySteps = "30"

func TestMain(m *testing.M) { prooftest.Main(m, propertySteps) }

func exampleSubmission(id string) *Submission {
	return &Submission{ID: id, Queue: Queue{Name: "q"}, Steps: []Step{{Tasks: 2}}}
}

func mustApply(t interface{ Fatal(...any) }, table *Table, record Record, part int, offset int64) {
	if _, err := table.Apply(record, part, offset); err != nil {
		t.Fatal(err)
	}
}

func mustRecord(t interface{ Fatal(...any) }, record Record, err error) Record {
	if err != nil {
		t.Fatal(err)
	}
	return record
}

func TestProgressRoundTrip(t *testing.T) {
	is := is.New(t)
	progress := &Progress{State: StateRunning, Tasks: []TaskProgress{{Flat: 3, Run: 2, Failed: 1, Judged: 1, Worker: "w", Checkpoint: "c"}}}
	progress.Done.Set(0)
	progress.Done.Set(17)
	record := mustRecord(t, mustProgress(t, "a", progress), nil)
	decoded, err := DecodeProgress(record.Value)
	is.NoErr(err)
	is.Equal(decoded, progress)
	is.True(decoded.Done.Has(17))
	is.True(!decoded.Done.Has(16))
	is.True(!decoded.Done.Has(200))
}

func mustProgress(t interface{ Fatal(...any) }, id string, progress *Progress) Record {
	record, err := ProgressRecord(id, progress)
	return mustRecord(t, record, err)
}

// A cancellation that is read before a final state does not override it.
func TestFinalStateStandsAgainstLateCancel(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	submission, err := SubmissionRecord(exampleSubmission("a"))
	mustApply(t, table, mustRecord(t, submission, err), 1, 0)
	mustApply(t, table, CancelRecord("a"), 2, 0)
	is.Equal(table.Job("a").State(), StateCancelled)
	mustApply(t, table, mustProgress(t, "a", &Progress{State: StateDone}), 0, 5)
	is.Equal(table.Job("a").State(), StateDone)
}

// Records of the tail that are older than the page of newest records are ignored.
func TestOlderProgressIsIgnored(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	submission, err := SubmissionRecord(exampleSubmission("a"))
	mustApply(t, table, mustRecord(t, submission, err), 1, 0)
	mustApply(t, table, mustProgress(t, "a", &Progress{State: StateDone}), 0, 9)
	mustApply(t, table, mustProgress(t, "a", &Progress{State: StateRunning}), 0, 4)
	is.Equal(table.Job("a").State(), StateDone)
}

func TestOlderTermIsIgnored(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	for offset, term := range []Term{{Epoch: 3, Leader: "x"}, {Epoch: 2, Leader: "y"}} {
		record, err := TermRecord(term)
		mustApply(t, table, mustRecord(t, record, err), 0, int64(offset))
	}
	is.Equal(table.Term().Leader, "x")
}

func TestDeletedJobsAreRemovedFromTheFold(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	submission, err := SubmissionRecord(exampleSubmission("a"))
	mustApply(t, table, mustRecord(t, submission, err), 1, 0)
	mustApply(t, table, mustProgress(t, "a", &Progress{State: StateDone}), 0, 0)
	for offset, record := range DeleteCallerRecords("a") {
		mustApply(t, table, record, 1, int64(offset+1))
	}
	mustApply(t, table, DeleteProgressRecord("a"), 0, 1)
	is.True(table.Job("a") != nil) // a duplicate of the submission still finds the state
	is.Equal(table.Job("a").State(), StateDone)
	mustApply(t, table, DeleteStateRecord("a"), 2, 2)
	is.True(table.Job("a") == nil)
}

// An instance that reads no progress learns the state from state records, and a
// duplicate submission of an ended job does not requeue it while the state is kept.
func TestStateIsKnownFromStateRecordsAlone(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	submission, err := SubmissionRecord(exampleSubmission("a"))
	mustApply(t, table, mustRecord(t, submission, err), 1, 0)
	is.Equal(table.Job("a").State(), StateQueued)
	mustApply(t, table, StateRecord("a", StateRunning), 0, 4)
	is.Equal(table.Job("a").State(), StateRunning)
	mustApply(t, table, StateRecord("a", StateDone), 0, 9)
	mustApply(t, table, StateRecord("a", StateRunning), 0, 4) // older than the page of newest records
	mustApply(t, table, CancelRecord("a"), 1, 1)
	is.Equal(table.Job("a").State(), StateDone)
	for offset, record := range DeleteCallerRecords("a") {
		mustApply(t, table, record, 1, int64(offset+2))
	}
	mustApply(t, table, mustRecord(t, submission, err), 1, 7)
	is.Equal(table.Job("a").State(), StateDone)
}

// Parts are read independently of each other: the result of the fold does not depend
// on their interleaving.
func TestFoldDoesNotDependOnInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		submission, err := SubmissionRecord(exampleSubmission("a"))
		calls := []Record{mustRecord(t, submission, err), CancelRecord("a")}
		progress := []Record{
			mustProgress(t, "a", &Progress{State: StateRunning}),
			mustProgress(t, "a", &Progress{State: StateFailed, Reason: "r"}),
		}
		states := []Record{StateRecord("a", StateRunning), StateRecord("a", StateFailed)}
		table := NewTable()
		next := [3]int{}
		streams := [][]Record{calls, progress, states}
		for next[0] < len(calls) || next[1] < len(progress) || next[2] < len(states) {
			part := rapid.IntRange(0, 2).Draw(t, "part")
			stream := streams[part]
			if next[part] == len(stream) {
				continue
			}
			mustApply(t, table, stream[next[part]], part, int64(next[part]))
			next[part]++
		}
		if state := table.Job("a").State(); state != StateFailed {
			t.Fatal(state)
		}
	})
}

func FuzzRecords(f *testing.F) {
	f.Add("p/a", []byte(`r{"t":[[0,1,0,0,"w",""]]}`))
	f.Add("s/a", []byte(`{"id":"a","t":[{"n":1}]}`))
	f.Add("e/a", []byte("d"))
	f.Add("term", []byte(`{"e":1,"h":"x"}`))
	f.Fuzz(func(_ *testing.T, key string, value []byte) {
		table := NewTable()
		if _, err := table.Apply(Record{Key: key, Value: value}, 0, 0); err == nil {
			table.All()
			table.CountByState()
		}
		_, _ = DecodeProgress(value)
	})
}

// Losses are appended to the other fields and omitted if there are none, so that
// records of earlier versions are readable and those of most tasks stay short.
func TestTaskProgressCarriesLosses(t *testing.T) {
	is := is.New(t)
	for text, task := range map[string]TaskProgress{
		`[3,2,1,0,"w1",""]`:     {Flat: 3, Run: 2, Failed: 1, Worker: "w1"},
		`[3,2,1,0,"w1","",4,2]`: {Flat: 3, Run: 2, Failed: 1, Worker: "w1", Losses: 4, EarlyLosses: 2},
	} {
		encoded, err := json.Marshal(task)
		is.NoErr(err)
		is.Equal(string(encoded), text)
		var decoded TaskProgress
		is.NoErr(json.Unmarshal(encoded, &decoded))
		is.Equal(decoded, task)
	}
	var decoded TaskProgress
	is.True(json.Unmarshal([]byte(`[3,2,1,0,"w1","",4]`), &decoded) != nil)
}
