package replay

import (
	"os"
	"testing"

	"github.com/teaselcleat/teaselcleat/scheduler"
)

// benchSeeds are the seeds of the traces by which policies are compared. The
// figures of a single trace vary by a quarter with any small change of the order.
var benchSeeds = []uint64{1, 2, 3, 4, 5, 6, 7, 8}

// totals sums up a policy's figures over several traces.
type totals struct {
	missed, wait, fragmentation, completion, urgent float64
	violations                                      int
}

func (t *totals) add(r *Report, urgent string) {
	t.missed += float64(r.TargetsMissed)
	t.wait += r.LargeGangWaitP99S
	t.fragmentation += r.FragmentationMean
	t.completion += r.CompletionP99S
	t.violations += r.Lost + r.Doubled + r.PartialGangs + r.GuaranteeViolations
	for _, class := range r.Classes {
		if class.Name == urgent {
			t.urgent += class.CompletionP99S
		}
	}
}

// withoutFailingWorkers removes the events of workers that fail every task. Under
// the baseline policy these workers end a large part of the jobs early and empty
// the cluster, which makes its waits and its fragmentation look better.
func withoutFailingWorkers(events []Event) []Event {
	var remaining []Event
	for _, event := range events {
		if event.Event != EventWorkerBad && event.Event != EventWorkerGood {
			remaining = append(remaining, event)
		}
	}
	return remaining
}

// BenchmarkPolicy reports the targets policy's figures as fractions of the baseline's,
// over eight traces of each user, as generated and without failing workers.
func BenchmarkPolicy(b *testing.B) {
	for _, user := range []struct {
		name, urgent string
		trace        func(uint64) []Event
	}{
		{"merrimack", "surge-check", merrimack},
		{"authority", "title-search", authority},
		{"merrimack", "surge-check", func(seed uint64) []Event { return withoutFailingWorkers(merrimack(seed)) }},
		{"authority", "title-search", func(seed uint64) []Event { return withoutFailingWorkers(authority(seed)) }},
	} {
		b.Run(user.name, func(b *testing.B) {
			data, err := os.ReadFile("testdata/" + user.name + ".ini")
			if err != nil {
				b.Fatal(err)
			}
			setup, err := ParseSetup(data)
			if err != nil {
				b.Fatal(err)
			}
			for range b.N {
				var ours, base totals
				for _, seed := range benchSeeds {
					for policy, sum := range map[string]*totals{scheduler.PolicyTargets: &ours, scheduler.PolicyBaseline: &base} {
						report, err := Run(setup, user.trace(seed), policy)
						if err != nil {
							b.Fatal(err)
						}
						sum.add(report, user.urgent)
					}
				}
				b.ReportMetric(ours.missed/base.missed, "missed-share")
				b.ReportMetric(ours.wait/base.wait, "large-wait-share")
				b.ReportMetric(ours.fragmentation/base.fragmentation, "fragmentation-share")
				b.ReportMetric(ours.urgent/base.urgent, "urgent-p99-share")
				b.ReportMetric(ours.completion/base.completion, "completion-p99-share")
				b.ReportMetric(float64(ours.violations), "must-be-zero")
			}
		})
	}
}
