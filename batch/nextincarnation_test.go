package batch

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/placing"
)

var restartSeeds = flag.Int("restart-seeds", 40, "number of random plays of workers that restart and are cut off")

// Guards against a task that runs twice: the next incarnation of a worker accepts its start, which was
// meant for the former, and is cut off before it has answered a hold.
func TestStartAcceptedByNextIncarnationRunsNothingTwice(t *testing.T) {
	for after := time.Duration(0); after < holdWait; after += 200 * time.Millisecond {
		t.Run(fmt.Sprint(after), func(t *testing.T) {
			inFleet(t, 8, 0, 12*time.Second, func(f *testFleet, is *is.I) {
				f.play(restartPlay{crashAfter: after, downtime: 600 * time.Millisecond, listDelay: 2400 * time.Millisecond,
					cutDelay: 2400 * time.Millisecond, cutDuration: 9 * time.Second})
				is.Equal(f.doubleRuns(), 0)
				is.Equal(f.doneTasks(), 4+16)
			})
		})
	}
}

// Orders that reach the next incarnation of a worker, in whatever order it restarts, is listed and is cut
// off, run nothing twice.
func TestOrdersForFormerIncarnationRunNothingTwice(t *testing.T) {
	for seed := range *restartSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(uint64(seed), 61))
			upTo := func(length time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(length))) }
			play := restartPlay{crashAfter: upTo(2 * holdWait), downtime: 300*time.Millisecond + upTo(time.Second), listDelay: 300*time.Millisecond + upTo(4*time.Second),
				cutDuration: 2*time.Second + upTo(12*time.Second), deliverLate: rng.IntN(2) == 0, cutAll: rng.IntN(4) == 0}
			play.cutDelay = play.downtime + upTo(3*time.Second)
			play.lateBy = upTo(holdWait)
			workers, instances := 8, 0
			if seed%40 == 19 {
				workers, instances = manyWorkers, 8
			}
			inFleet(t, workers, instances, 300*time.Millisecond+upTo(time.Duration(1+seed%3)*4*time.Second), func(f *testFleet, is *is.I) {
				f.play(play)
				is.Equal(f.doubleRuns(), 0)
				is.Equal(f.doneTasks(), workers/2+2*workers)
			})
		})
	}
}

// Guards against a task that runs again because an acknowledgement for the former incarnation of its worker
// arrived late and discarded its end at the next one.
func TestLateAckAtNextIncarnationRunsNothingTwice(t *testing.T) {
	for after := time.Duration(0); after < time.Second; after += 100 * time.Millisecond {
		t.Run(fmt.Sprint(after), func(t *testing.T) {
			inFleet(t, 8, 0, 400*time.Millisecond, func(f *testFleet, is *is.I) {
				f.play(restartPlay{crashAfter: after, downtime: 300 * time.Millisecond, listDelay: 350 * time.Millisecond,
					cutDelay: 600 * time.Millisecond, cutDuration: 2 * time.Second, deliverLate: true, lateBy: time.Second, cutAll: true})
				is.Equal(f.doubleRuns(), 0)
				is.Equal(f.doneTasks(), 4+16)
			})
		})
	}
}

// Guards against leases that the next incarnation grants on holds sent while the worker did not answer.
func TestHoldToSilentWorkerRequestsNoLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		link, workers, _ := scriptedLink(accept)
		link.env.bounds = newBounds(simBounds)
		hold := func() int64 {
			_, call, err := link.hold(t.Context(), 0)
			is.NoErr(err)
			return call.order.LeaseUntilMS
		}
		workers.clockMS = 1000
		is.Equal(hold(), int64(0)) // its clock is not known
		is.Equal(hold(), 1000+simLease.Milliseconds())
		link.handleHoldError(t.Context(), holdCall{}, errSimDown)
		is.Equal(hold(), int64(0))
		is.Equal(hold(), 1000+simLease.Milliseconds())
	})
}

// Guards against an acknowledgement that is forgotten because its hold was cancelled in favor of another one, which
// was answered.
func TestAckInSupersededHoldMayStillArrive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		link, _, _ := scriptedLink(accept, nil, accept)
		link.entry.BornMS = 7
		_, _, err := link.hold(t.Context(), 0)
		is.NoErr(err)
		link.acknowledge(5)
		time.AfterFunc(100*time.Millisecond, func() { link.requestReport(time.Now()) })
		_, _, err = link.hold(t.Context(), holdWait)
		is.Equal(err, errHoldSuperseded)
		_, _, err = link.hold(t.Context(), 0)
		is.NoErr(err)
		is.True(link.ackUnanswered())
		time.Sleep(placing.MaxOrderDelay)
		is.True(!link.ackUnanswered())
	})
}

// Guards against restarted workers that get no work for long, as an acknowledgement that had arrived was not confirmed
// before the wait of its hold was over.
func TestAckIsConfirmedAtOnceWhereWorkersRestartUnderTheirNames(t *testing.T) {
	for bornMS, wait := range map[int64]time.Duration{0: holdWait, 7: 0} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			link, _, _ := scriptedLink(accept)
			link.entry.BornMS = bornMS
			_, _, err := link.hold(t.Context(), holdWait)
			is.NoErr(err)
			link.acknowledge(5)
			_, call, err := link.hold(t.Context(), holdWait)
			is.NoErr(err)
			is.Equal(call.order.Ack, int64(5))
			is.Equal(call.order.Wait, wait)
			_, call, err = link.hold(t.Context(), holdWait)
			is.NoErr(err)
			is.Equal(call.order.Wait, holdWait)
		})
	}
}

// Guards against an answer of the next incarnation that is taken for one of the former, and against sound
// answers on a congested link that are not taken for what they are.
func TestClockTellsIncarnationsApart(t *testing.T) {
	const age, latency = 2 * time.Second, 400 * time.Millisecond // of the known clock, of the answer
	for _, c := range []struct {
		name    string
		knownMS int64
		clockMS int64
		bornMS  int64
		origin  placing.AnswerOrigin
	}{
		{"same clock", 10000, 12000, 7, placing.OriginOwn},
		{"read when the start was sent", 10000, 11600, 7, placing.OriginOwn},
		{"slow clock", 10000, 11561, 7, placing.OriginOwn},
		{"earlier answer was late", 10000, 12400, 7, placing.OriginOwn},
		{"clock began anew", 10000, 700, 7, placing.OriginOther},
		{"clock began anew after a short life", 10000, 9000, 7, placing.OriginOther},
		{"clock is far ahead", 10000, 90000, 7, placing.OriginOther},
		{"known incarnation has just started", 200, 2100, 7, placing.OriginUnknown},
		{"no clock", 10000, 0, 7, placing.OriginUnknown},
		{"each incarnation has an ID of its own", 10000, 700, 0, placing.OriginOwn},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			link, _, _ := scriptedLink(nil)
			link.entry.BornMS = c.bornMS
			now := time.Unix(1000, 0)
			link.workerClockMS, link.workerClockAt = c.knownMS, now.Add(-age)
			is.Equal(link.originOf(clockReading{workerMS: c.clockMS, sent: now.Add(-latency), received: now}), c.origin)
		})
	}
}

// Guards against tasks of lost workers that never run again: their delegate reports expired leases again and again.
func TestTasksOfLostWorkersOfDelegateAreDone(t *testing.T) {
	for _, after := range []time.Duration{0, 1200 * time.Millisecond} {
		t.Run(fmt.Sprint(after), func(t *testing.T) {
			inFleet(t, manyWorkers, 1, time.Second, func(f *testFleet, is *is.I) {
				f.keepListComplete()
				time.Sleep(after)
				var lost []string
				for id := range f.workers.workersOf("keeper-0") {
					if len(lost) < 40 {
						lost = append(lost, id)
						f.workers.setCut("*", id, true)
					}
				}
				f.submit("a1", manyWorkers)
				f.at(time.Now().Add(entryExpiry), func() { f.unlistWorkers(lost) })
				time.Sleep(20 * time.Second)
				is.Equal(f.doneTasks(), manyWorkers)
			})
		})
	}
}
