package e2e

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/teaselcleat/teaselcleat/standin"
)

// A long manual run is `go test ./e2e -run AtNextIncarnation -restartcut.seeds 10 -restartcut.seed N`. It draws the
// times of each seed; -restartcut.kill injects another fault.
var (
	restartCutSeeds = flag.Int("restartcut.seeds", 0, "number of seeds that draw the times of restarts and cuts; 0 for fixed times")
	restartCutSeed  = flag.Uint64("restartcut.seed", 1, "first seed")
	restartCutKill  = flag.Bool("restartcut.kill", false, "kill the leader after the restarts")
	restartCutLogs  = flag.String("restartcut.logs", "", "folder to copy the instances' logs to")
)

const (
	restartCutWorkers = 8
	// restartCutTask times standin.LongRunFactor is the duration of long tasks, over ten seconds.
	restartCutTask = 1600 * time.Millisecond
	// restartCutUptime sets the clocks of the first incarnations far ahead of those of the next ones.
	restartCutUptime = time.Hour
	darkDuration     = 600 * time.Millisecond
	// entryTTL is three heartbeat intervals, after which the entry of a silent worker is removed.
	entryTTL = 4500 * time.Millisecond
	// killDuration is how long a killed instance is down.
	killDuration = 3 * time.Second
	// jobInterval is the time between submissions.
	jobInterval = 120 * time.Millisecond
	// warmUp is the time of submissions before the crashes.
	warmUp = time.Second

	longSingleJob  = `{"spec":"long","steps":[{"count":1,"cpu":1000,"mem_mb":10,"gpu":1,"est_runtime_ms":11000}]}`
	shortSingleJob = `{"spec":"x","steps":[{"count":1,"cpu":1000,"mem_mb":10,"est_runtime_ms":1000}]}`
)

// restartCutPlan says what happens in one run. Times after the crash of a worker count from there.
type restartCutPlan struct {
	workers       int
	taskDuration  time.Duration // of short tasks
	shortInterval int           // one job in so many is short; 0 for none
	afterPoll     bool          // each worker crashes as a poll arrives, not all at once
	afterEnds     bool          // with afterPoll: after an answer that lists ends, which the next poll acknowledges
	othersJoin    bool          // the workers of the other zone are listed when the cuts start, not from the beginning
	cutAfter      time.Duration // start of the cut
	registerAfter time.Duration // from the restart until the entry of the next incarnation is written
	cutDuration   time.Duration
	removeAfter   time.Duration // from the start of the cut until the entry is removed
	killAfter     time.Duration // kill of the leader
	heldBefore    time.Duration // from the answer to a poll, or from when late calls are held up, until the crash
	heldUntil     time.Duration // delivery of late calls
	submitUntil   time.Duration // end of the submissions
}

// fixedRestartCutPlan lets the poll in flight at the crash fail shortly after the start of the cut.
// Late calls arrive when the last start has been sent.
// All tasks are long, so that none ends before the cut.
var fixedRestartCutPlan = restartCutPlan{workers: restartCutWorkers, taskDuration: restartCutTask, afterPoll: true, othersJoin: true,
	cutAfter: 2400 * time.Millisecond, registerAfter: time.Hour, cutDuration: 7 * time.Second, removeAfter: entryTTL - time.Second, killAfter: 1800 * time.Millisecond,
	heldBefore: 50 * time.Millisecond, heldUntil: 2200 * time.Millisecond, submitUntil: 1600 * time.Millisecond}

// lateAckPlan lets tasks end at the next incarnation before a late call acknowledges ends of the
// former one under the same numbers.
func lateAckPlan() restartCutPlan {
	plan := fixedRestartCutPlan
	plan.workers, plan.taskDuration, plan.shortInterval, plan.afterEnds = 2, time.Second, 1, true
	return plan
}

func drawRestartCutPlan(random *rand.Rand) restartCutPlan {
	plan := restartCutPlan{
		workers:       restartCutWorkers,
		taskDuration:  restartCutTask,
		shortInterval: 4,
		afterPoll:     random.IntN(2) == 0,
		othersJoin:    random.IntN(2) == 0,
		cutAfter:      2200*time.Millisecond + drawUpTo(random, 500*time.Millisecond),
		registerAfter: time.Millisecond + drawUpTo(random, 3*time.Second),
		cutDuration:   9 * time.Second,
		removeAfter:   entryTTL - drawUpTo(random, 1500*time.Millisecond),
		killAfter:     time.Second + drawUpTo(random, 2*time.Second),
		heldBefore:    drawUpTo(random, 300*time.Millisecond),
	}
	plan.submitUntil = time.Second + drawUpTo(random, plan.cutAfter-time.Second)
	plan.heldUntil = darkDuration + drawUpTo(random, plan.cutAfter-darkDuration)
	return plan
}

func drawUpTo(random *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(limit)))
}

// restartCut is a fleet of which the workers of one zone restart under their IDs and are cut off
// soon after.
type restartCut struct {
	*fleet
	plan        restartCutPlan
	zone        string
	late        bool // calls to the former incarnations arrive late at the next ones
	kill        bool // the leader is killed
	random      *rand.Rand
	instancesMu sync.Mutex // guards fleet.instances
	firstCrash  sync.Once
	stop        chan struct{} // closed to end the submissions
	nextID      int
	ids         []string // accepted jobs of one task each
}

// Guards against a task that runs on two workers at once after a restarted worker accepted a start
// that was meant for its former incarnation and was cut off before it was polled.
func TestPlatformStartAtNextIncarnationRunsOnce(t *testing.T) {
	testRestartCut(t, false)
}

// Guards against a task that runs on two workers at once after a renewal for the former incarnation
// of its worker arrived late and extended the lease of the next one.
func TestPlatformLateRenewalAtNextIncarnationRunsOnce(t *testing.T) {
	testRestartCut(t, true)
}

// Guards against tasks that run again after the end of their run was discarded at the next incarnation
// of their worker by an acknowledgement for the former one that arrived late.
func TestPlatformLateAckAtNextIncarnationLosesNoEnd(t *testing.T) {
	newRestartCut(t, true, lateAckPlan(), rand.New(rand.NewPCG(*restartCutSeed, 11))).run()
}

// testRestartCut runs the fixed plan, or one drawn for each seed if there are any.
func testRestartCut(t *testing.T, late bool) {
	if *restartCutSeeds == 0 {
		newRestartCut(t, late, fixedRestartCutPlan, rand.New(rand.NewPCG(*restartCutSeed, 11))).run()
		return
	}
	for seed := range uint64(*restartCutSeeds) {
		t.Run(fmt.Sprint(*restartCutSeed+seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(*restartCutSeed+seed, 11))
			newRestartCut(t, late, drawRestartCutPlan(random), random).run()
		})
	}
}

func newRestartCut(t *testing.T, late bool, plan restartCutPlan, random *rand.Rand) *restartCut {
	f := startFleet(&fleet{t: t, store: standin.NewKeyedStore(), taskDuration: plan.taskDuration, reuseIDs: true, useProxies: true, checker: standin.NewTaskChecker(),
		registerAfter: plan.registerAfter, initialUptime: restartCutUptime, deliverLateCalls: late}, 3, plan.workers)
	r := &restartCut{fleet: f, plan: plan, zone: fmt.Sprintf("z%d", 1+random.IntN(2)), late: late, kill: *restartCutKill, random: random, stop: make(chan struct{})}
	t.Logf("zone %s, plan %+v", r.zone, plan)
	t.Cleanup(r.copyLogs)
	return r
}

// run injects the faults while jobs are submitted, waits until every task runs or is done, and
// checks that none ran twice.
func (r *restartCut) run() {
	var faults, callers sync.WaitGroup
	r.unlistOthers()
	callers.Go(r.submitJobs)
	time.Sleep(warmUp)
	for _, m := range r.machines {
		if m.zone == r.zone {
			faults.Go(func() { r.restartAndCut(m, &faults) })
		}
	}
	faults.Wait()
	callers.Wait()
	r.waitUntil("every task started", r.allStarted)
	r.check()
}
