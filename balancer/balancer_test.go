package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/teaselcleat/teaselcleat/balancer"
	"github.com/teaselcleat/teaselcleat/internal/prooftest"
	"github.com/teaselcleat/teaselcleat/membership"
	"github.com/teaselcleat/teaselcleat/structs"
)

func TestMain(m *testing.M) { prooftest.Main(m, "100") }

var startTime = time.Unix(1_800_000_000, 0)

func listed(id string, boot int64, leaving bool) membership.Member {
	return membership.Member{ID: id, Role: membership.RoleRunner, Boot: boot, Leaving: leaving, Slots: 2}
}

// A runner's boot that was marked as leaving gets no new request, regardless of later
// lists. Slots are never oversubscribed and never leak.
func TestLeavingRunnersGetNothingNew(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := balancer.New(1)
		now := startTime
		slotsInUse := map[string]int{}
		leavingBoots := map[string]int64{}
		boots := map[string]int64{"r0": 1, "r1": 1, "r2": 1}
		listedBoots := map[string]int64{} // by runner, the boot in the latest list
		waiting := 0
		checkResult := func(acquired balancer.AcquireResult) {
			if acquired.Runner == "" {
				return
			}
			slotsInUse[acquired.Runner]++
			if leavingBoot, ok := leavingBoots[acquired.Runner]; ok && listedBoots[acquired.Runner] <= leavingBoot {
				t.Fatalf("%s was assigned work although it is leaving", acquired.Runner)
			}
			if slotsInUse[acquired.Runner] > 2 {
				t.Fatalf("%s uses %d of 2 slots", acquired.Runner, slotsInUse[acquired.Runner])
			}
		}
		next := balancer.WaiterID(0)
		t.Repeat(map[string]func(*rapid.T){
			"list": func(t *rapid.T) {
				var list []membership.Member
				for _, id := range []string{"r0", "r1", "r2"} {
					if rapid.IntRange(0, 4).Draw(t, "missing") == 0 {
						continue
					}
					leaving := rapid.IntRange(0, 3).Draw(t, "leaving") == 0
					if leaving {
						leavingBoots[id] = max(leavingBoots[id], boots[id])
					}
					listedBoots[id] = boots[id]
					list = append(list, listed(id, boots[id], leaving))
				}
				b.UpdateRunners(list)
			},
			"restart": func(t *rapid.T) {
				id := rapid.SampledFrom([]string{"r0", "r1", "r2"}).Draw(t, "runner")
				if slotsInUse[id] == 0 {
					boots[id]++
				}
			},
			"acquire": func(t *rapid.T) {
				next++
				acquired, decided := b.Acquire(next, "c", now.Add(time.Minute), nil, now)
				if !decided {
					waiting++
					return
				}
				checkResult(acquired)
			},
			"done": func(t *rapid.T) {
				id := rapid.SampledFrom([]string{"r0", "r1", "r2"}).Draw(t, "runner")
				if slotsInUse[id] == 0 {
					return
				}
				slotsInUse[id]--
				result := rapid.SampledFrom([]balancer.Result{balancer.ResultAnswered, balancer.ResultBusy, balancer.ResultLeaving, balancer.ResultFailed}).Draw(t, "result")
				if result == balancer.ResultLeaving {
					leavingBoots[id] = max(leavingBoots[id], listedBoots[id])
				}
				b.Release(id, "c", result, 10*time.Millisecond, -1, now)
				for _, acquired := range b.Dispatch(now) {
					waiting--
					checkResult(acquired)
				}
			},
			"pass": func(t *rapid.T) { now = now.Add(time.Second) },
			"": func(t *rapid.T) {
				if b.QueueLength() != waiting {
					t.Fatalf("%d requests wait, want %d", b.QueueLength(), waiting)
				}
			},
		})
	})
}

func TestRequestsThatCannotMeetTheirDeadlineAreRefusedWithRetryAfter(t *testing.T) {
	is := is.New(t)
	b := balancer.New(1)
	b.UpdateRunners([]membership.Member{listed("r0", 1, false)})
	for n := range 2 {
		result, decided := b.Acquire(balancer.WaiterID(n), "slow", startTime.Add(time.Hour), nil, startTime)
		is.True(decided)
		is.Equal(result.Runner, "r0")
	}
	b.Release("r0", "slow", balancer.ResultAnswered, 10*time.Second, 2, startTime)
	_, decided := b.Acquire(10, "slow", startTime.Add(time.Hour), nil, startTime)
	is.True(decided) // gets the slot that was just released
	result, decided := b.Acquire(11, "slow", startTime.Add(5*time.Second), nil, startTime)
	is.True(decided)
	is.Equal(result.Refusal.Reason, structs.ReasonCannotMeetTarget)
	is.True(result.Refusal.RetryAfter >= time.Second)
}

func TestRequestWithTheEarliestDeadlineIsServedFirst(t *testing.T) {
	is := is.New(t)
	b := balancer.New(1)
	b.UpdateRunners([]membership.Member{{ID: "r0", Role: membership.RoleRunner, Boot: 1, Slots: 1}})
	_, decided := b.Acquire(0, "c", startTime.Add(time.Hour), nil, startTime)
	is.True(decided)
	for id, within := range map[balancer.WaiterID]time.Duration{1: time.Hour, 2: time.Minute, 3: time.Second} {
		_, decided := b.Acquire(id, "c", startTime.Add(within), nil, startTime)
		is.True(!decided)
	}
	b.Release("r0", "c", balancer.ResultAnswered, time.Millisecond, 0, startTime)
	is.Equal(fmt.Sprint(b.Dispatch(startTime)[0].Waiter), "3")
}

func TestRetriesStayWithinBudget(t *testing.T) {
	is := is.New(t)
	budget := balancer.NewRetryBudget()
	spent := 0
	for range 1000 {
		budget.AddRequest()
		for budget.TrySpend() {
			spent++
		}
	}
	is.True(spent <= 50+200) // the initial 50 tokens and a fifth of 1000 requests
}
