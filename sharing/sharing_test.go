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

func instances(zones, each int) []Instance {
	var list []Instance
	for zone := range zones {
		for number := range each {
			list = append(list, Instance{Name: fmt.Sprintf("z%d-%d", zone, number), Zone: fmt.Sprintf("z%d", zone), Weight: usualWeight})
		}
	}
	return list
}

func without(list []Instance, name string) []Instance {
	return slices.DeleteFunc(slices.Clone(list), func(i Instance) bool { return i.Name == name })
}

// A fleet that one instance carries is not shared out, and one that grows and
// shrinks by some workers does not switch each time.
func TestSharingBeginsWhereOneInstanceIsNotEnough(t *testing.T) {
	is := is.New(t)
	var sharing Switch
	is.True(!sharing.See(370))
	is.True(sharing.See(beginAt))
	is.True(sharing.See(endAt))
	is.True(!sharing.See(endAt - 1))
	is.True(!sharing.See(endAt))
}

func TestWantedKeepAllWorkersNearThem(t *testing.T) {
	is := is.New(t)
	wanted := Wanted(map[string]int{"z0": 750, "z1": 750, "z2": 750, "z3": 750}, instances(4, 75))
	is.True(len(wanted) >= 3000/shareSize)
	is.True(len(wanted) <= 3000/shareSize+4)
	for zone := range 4 {
		near := 0
		for _, name := range wanted {
			if name[:2] == fmt.Sprintf("z%d", zone) {
				near++
			}
		}
		is.True(near >= 750/shareSize)
	}
}

// The loss of one of few instances must not take half of the workers along.
func TestWantedAreSeveral(t *testing.T) {
	is := is.New(t)
	is.True(len(Wanted(map[string]int{"z0": 130}, instances(2, 5))) >= leastShares)
	is.Equal(len(Wanted(map[string]int{"z0": 5000}, instances(1, 3))), 3) // all that there are
	is.Equal(len(Wanted(map[string]int{"elsewhere": 600}, instances(2, 20))), 5)
}

// Small instances keep fewer workers.
func TestSharesFollowTheProcessor(t *testing.T) {
	is := is.New(t)
	keepers := []Instance{{Name: "small", Weight: 0.2}, {Name: "large", Weight: 0.8}}
	count := map[string]int{}
	for number := range 2000 {
		count[Choose(fmt.Sprintf("w%d", number), "", "", keepers)]++
	}
	is.True(count["large"] > 3*count["small"])
	is.True(count["large"] < 5*count["small"])
	is.True(Most(0.2) < Most(0.8))
}

func TestWorkersGoToTheirZoneAndAwayFromWhereTheyDoNotAnswer(t *testing.T) {
	is := is.New(t)
	keepers := instances(3, 4)
	chosen := Choose("w1", "z1", "", keepers)
	is.Equal(chosen[:2], "z1")
	other := Choose("w1", "z1", chosen, keepers)
	is.Equal(other[:2], "z1")
	is.True(other != chosen)
	is.Equal(Choose("w1", "z1", "only", []Instance{{Name: "only"}}), "only")
	is.Equal(Choose("w1", "z1", "", nil), "")
}

// Whichever instance comes or goes, no worker moves between two others; the order
// in which instances are listed means nothing.
func TestOnlyTheShareOfAnInstanceThatGoesMoves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keepers := instances(rapid.IntRange(1, 4).Draw(t, "zones"), rapid.IntRange(1, 6).Draw(t, "each"))
		gone := keepers[rapid.IntRange(0, len(keepers)-1).Draw(t, "gone")].Name
		left := without(keepers, gone)
		slices.Reverse(left)
		for number := range 50 {
			worker, zone := fmt.Sprintf("w%d", number), fmt.Sprintf("z%d", number%5)
			before, after := Choose(worker, zone, "", keepers), Choose(worker, zone, "", left)
			if before != gone && before != after {
				t.Fatalf("%s moved from %s to %s as %s went", worker, before, after, gone)
			}
		}
	})
}

// BenchmarkChoose is the choice for one worker among the instances of its zone.
func BenchmarkChoose(b *testing.B) {
	keepers := instances(10, 6)
	for b.Loop() {
		Choose("0123456789abcdef", "z3", "", keepers)
	}
}
