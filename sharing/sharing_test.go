package sharing

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/teaselcleat/teaselcleat/internal/prooftest"
)

func TestMain(m *testing.M) { prooftest.Main(m, "30") }

func instances(zones, perZone int) []Instance {
	var list []Instance
	for zone := range zones {
		for number := range perZone {
			list = append(list, Instance{Name: fmt.Sprintf("z%d-%d", zone, number), Zone: fmt.Sprintf("z%d", zone), Weight: defaultWeight})
		}
	}
	return list
}

func without(list []Instance, name string) []Instance {
	return slices.DeleteFunc(slices.Clone(list), func(i Instance) bool { return i.Name == name })
}

// A fleet that one instance can handle gets no delegates, and one that grows and shrinks by a
// few workers does not switch each time.
func TestSharingBeginsWhereOneInstanceIsNotEnough(t *testing.T) {
	is := is.New(t)
	var sharding Switch
	is.True(!sharding.Update(370))
	is.True(sharding.Update(shardingMinWorkers))
	is.True(sharding.Update(shardingStopWorkers))
	is.True(!sharding.Update(shardingStopWorkers - 1))
	is.True(!sharding.Update(shardingStopWorkers))
}

func TestSelectedDelegatesCoverEveryZone(t *testing.T) {
	is := is.New(t)
	delegates := SelectDelegates(map[string]int{"z0": 750, "z1": 750, "z2": 750, "z3": 750}, instances(4, 75))
	is.True(len(delegates) >= 3000/shardSize)
	is.True(len(delegates) <= 3000/shardSize+4)
	for zone := range 4 {
		count := 0
		for _, name := range delegates {
			if name[:2] == fmt.Sprintf("z%d", zone) {
				count++
			}
		}
		is.True(count >= 750/shardSize)
	}
}

// The loss of one of few delegates must not affect half of the workers.
func TestAtLeastMinDelegatesAreSelected(t *testing.T) {
	is := is.New(t)
	is.True(len(SelectDelegates(map[string]int{"z0": 130}, instances(2, 5))) >= minDelegates)
	is.Equal(len(SelectDelegates(map[string]int{"z0": 5000}, instances(1, 3))), 3) // all instances
	is.Equal(len(SelectDelegates(map[string]int{"elsewhere": 600}, instances(2, 20))), 5)
}

// Delegates with a smaller share of a core get fewer workers.
func TestAssignmentFollowsTheWeight(t *testing.T) {
	is := is.New(t)
	delegates := []Instance{{Name: "small", Weight: 0.2}, {Name: "large", Weight: 0.8}}
	count := map[string]int{}
	for number := range 2000 {
		count[ChooseDelegate(fmt.Sprintf("w%d", number), "", "", delegates)]++
	}
	is.True(count["large"] > 3*count["small"])
	is.True(count["large"] < 5*count["small"])
	is.True(MaxShardSize(0.2) < MaxShardSize(0.8))
}

func TestWorkerIsAssignedInItsZoneButNotToTheAvoidedInstance(t *testing.T) {
	is := is.New(t)
	delegates := instances(3, 4)
	chosen := ChooseDelegate("w1", "z1", "", delegates)
	is.Equal(chosen[:2], "z1")
	second := ChooseDelegate("w1", "z1", chosen, delegates)
	is.Equal(second[:2], "z1")
	is.True(second != chosen)
	is.Equal(ChooseDelegate("w1", "z1", "only", []Instance{{Name: "only"}}), "only")
	is.Equal(ChooseDelegate("w1", "z1", "", nil), "")
}

// When an instance leaves, no worker moves between two others, and the order in which
// instances are listed has no effect.
func TestOnlyTheShareOfAnInstanceThatGoesMoves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		delegates := instances(rapid.IntRange(1, 4).Draw(t, "zones"), rapid.IntRange(1, 6).Draw(t, "each"))
		removed := delegates[rapid.IntRange(0, len(delegates)-1).Draw(t, "gone")].Name
		remaining := without(delegates, removed)
		slices.Reverse(remaining)
		for number := range 50 {
			worker, zone := fmt.Sprintf("w%d", number), fmt.Sprintf("z%d", number%5)
			before, after := ChooseDelegate(worker, zone, "", delegates), ChooseDelegate(worker, zone, "", remaining)
			if before != removed && before != after {
				t.Fatalf("%s moved from %s to %s when %s was removed", worker, before, after, removed)
			}
		}
	})
}

// BenchmarkChoose measures the choice of a delegate for one worker among the 6 instances of
// its zone.
func BenchmarkChoose(b *testing.B) {
	delegates := instances(10, 6)
	for b.Loop() {
		ChooseDelegate("0123456789abcdef", "z3", "", delegates)
	}
}
