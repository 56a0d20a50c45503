package ledger_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"github.com/teaselcleat/teaselcleat/ledger"
	"github.com/teaselcleat/teaselcleat/structs"
)

// stateSizes are the benchmarked sizes: running tasks, jobs and keys in the state.
var stateSizes = []struct{ tasks, jobs, keys int }{{400, 400, 1000}, {4000, 4000, 5000}, {54000, 24000, 24000}}

// buildRecords returns a stream whose fold has the given size.
func buildRecords(tasks, jobs, keys int) []*structs.Record {
	list := []*structs.Record{{Term: &structs.Term{Number: 1, Leader: "entry-0/1"}}}
	perJob := max(tasks/jobs, 1)
	for n := range jobs {
		id := fmt.Sprintf("j%013d", n)
		key := structs.KeyID{Workspace: fmt.Sprintf("workspace-%d", n%190), Key: fmt.Sprintf("key-%d", n)}
		list = append(list, &structs.Record{Submit: &structs.Job{ID: id, Key: key, Class: "impeller-wear", SubmitMS: int64(n), Idempotent: true,
			Shape: structs.Shape{Members: perJob, Accelerators: 1}}})
		start := &structs.Start{Job: id, Run: id + "#1.1", Term: 1}
		for m := range perJob {
			start.Members = append(start.Members, structs.Member{Worker: fmt.Sprintf("worker-%d", (n*perJob+m)%6800), Accelerators: 1})
		}
		list = append(list, &structs.Record{Start: start})
	}
	for n := range keys {
		key := structs.KeyID{Workspace: fmt.Sprintf("workspace-%d", n%190), Key: fmt.Sprintf("flow-%d", n)}
		id := fmt.Sprintf("entry-0/1/%d", n)
		list = append(list, &structs.Record{Claim: &structs.Claim{ID: id, Key: key, Class: "flow-reconciliation", Holder: "entry-0/1", IssuedMS: int64(n)}})
		list = append(list, &structs.Record{Complete: &structs.Completion{ClaimID: id, Key: key, Outcome: structs.OutcomeRan, Holder: true, Status: 200, Answer: make([]byte, 64), AnswerStored: true}})
	}
	return list
}

func BenchmarkFold(b *testing.B) {
	for _, s := range stateSizes {
		b.Run(fmt.Sprintf("jobs=%d", s.jobs), func(b *testing.B) {
			list := buildRecords(s.tasks, s.jobs, s.keys)
			var before, after runtime.MemStats
			for range b.N {
				runtime.GC()
				runtime.ReadMemStats(&before)
				state := ledger.New()
				for _, record := range list {
					if verdict := state.Apply(record); !verdict.Valid {
						b.Fatal(verdict.Reason)
					}
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(state)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(list)), "ns/record")
			b.ReportMetric(float64(after.HeapAlloc-min(before.HeapAlloc, after.HeapAlloc))/(1<<20), "state-MB")
		})
	}
}

// BenchmarkReady measures how long a new instance takes to restore a snapshot.
func BenchmarkReady(b *testing.B) {
	for _, s := range stateSizes {
		b.Run(fmt.Sprintf("jobs=%d", s.jobs), func(b *testing.B) {
			state := ledger.New()
			for _, record := range buildRecords(s.tasks, s.jobs, s.keys) {
				data, err := json.Marshal(record)
				if err != nil {
					b.Fatal(err)
				}
				decoded := &structs.Record{}
				if err := json.Unmarshal(data, decoded); err != nil {
					b.Fatal(err)
				}
				state.Apply(decoded)
			}
			snapshot := &ledger.Snapshot{}
			state.CopyTo(snapshot)
			data, err := ledger.Encode(snapshot)
			if err != nil {
				b.Fatal(err)
			}
			b.ResetTimer()
			for range b.N {
				assembler := ledger.NewAssembler()
				for _, part := range ledger.Split("s", data) {
					assembler.Add(part)
				}
				ledger.New().Restore(assembler.Newest())
			}
			b.ReportMetric(float64(len(data))/(1<<20), "snapshot-MB")
		})
	}
}

func BenchmarkWriteSnapshot(b *testing.B) {
	for _, s := range stateSizes {
		b.Run(fmt.Sprintf("jobs=%d", s.jobs), func(b *testing.B) {
			state := ledger.New()
			for _, record := range buildRecords(s.tasks, s.jobs, s.keys) {
				state.Apply(record)
			}
			b.ResetTimer()
			for range b.N {
				snapshot := &ledger.Snapshot{}
				state.CopyTo(snapshot)
				if _, err := ledger.Encode(snapshot); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
