package replay

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/scheduler"
	"github.com/teaselcleat/teaselcleat/structs"
)

func loadReplay(t *testing.T, name string) (*Setup, []Event) {
	t.Helper()
	is := is.New(t)
	data, err := os.ReadFile("testdata/" + name + ".ini")
	is.NoErr(err)
	setup, err := ParseSetup(data)
	is.NoErr(err)
	file, err := os.Open("testdata/" + name + ".jsonl")
	is.NoErr(err)
	defer file.Close()
	events, err := ReadTrace(file)
	is.NoErr(err)
	return setup, events
}

// Replays are deterministic, lose or double no job, start no partial gang and violate no
// guarantee.
func TestReplayIsDeterministicWithoutViolations(t *testing.T) {
	for _, name := range []string{"merrimack", "authority"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			setup, events := loadReplay(t, name)
			first, err := Run(setup, events, scheduler.PolicyTargets)
			is.NoErr(err)
			is.Equal(first.Lost+first.Doubled+first.PartialGangs+first.GuaranteeViolations, 0)
			is.Equal(first.Jobs, first.Finished+first.Refused+first.Cancelled+first.Unfinished+first.Lost)
			second, err := Run(setup, events, scheduler.PolicyTargets)
			is.NoErr(err)
			first.DecisionP99, second.DecisionP99 = 0, 0 // the only figure that depends on real time
			is.Equal(first.Line(), second.Line())
			baseline, err := Run(setup, events, scheduler.PolicyBaseline)
			is.NoErr(err)
			is.True(first.TargetsMissed*2 < baseline.TargetsMissed)
		})
	}
}

func TestTraceErrorsNameLine(t *testing.T) {
	for _, c := range []struct{ name, trace, want string }{
		{"unknown event", `{"at_ms":1,"event":"explode"}`, `line 1: unknown event "explode"`},
		{"unknown field", "{\"at_ms\":1,\"event\":\"append_down\"}\n{\"at_ms\":2,\"event\":\"cancel\",\"job\":\"a\",\"why\":1}", "line 2:"},
		{"field of another event", `{"at_ms":1,"event":"cancel","job":"a","worker":"w0"}`, `line 1: field "worker"`},
		{"out of order", "{\"at_ms\":5,\"event\":\"append_down\"}\n{\"at_ms\":4,\"event\":\"append_up\"}", "line 2: at_ms 4"},
		{"no time", `{"event":"append_down"}`, "line 1: at_ms is missing"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := ReadTrace(strings.NewReader(c.trace))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("error %v does not contain %q", err, c.want)
			}
		})
	}
}

func TestFragmentation(t *testing.T) {
	is := is.New(t)
	inventory := Inventory{Workers: 8, AcceleratorsPerWorker: 8, WorkersPerRack: 4}
	shape := structs.Shape{Members: 4, Accelerators: 8, Adjacent: true}
	value, ok := inventory.fragmentation([][]int{{8, 8, 0, 0}, {8, 8, 0, 0}}, shape)
	is.True(ok)
	is.Equal(value, 1.0) // 32 free accelerators hold one copy if packed, none if scattered
	value, _ = inventory.fragmentation([][]int{{8, 8, 8, 8}, {0, 0, 0, 0}}, shape)
	is.Equal(value, 0.0)
	is.Equal(copiesInRack([]int{8, 8, 4, 4}, structs.Shape{Members: 2, Accelerators: 4}), 3) // members of a copy are on distinct workers
	_, ok = inventory.fragmentation([][]int{{8, 0, 0, 0}, {0, 0, 0, 0}}, shape)
	is.True(!ok)
}
