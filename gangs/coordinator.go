// Package gangs coordinates gang runs: a run starts on all of its workers or on
// none, stays alive while its leases are renewed, and ends as a whole. The
// coordinator does no I/O and reads no clock: Step takes an event and the time
// and returns actions, which the executor in package instance carries out. It serves the
// product's own interface; package placing decides for jobs on the users' platform.
package gangs

import (
	"errors"
	"sort"
	"time"

	"github.com/teaselcleat/teaselcleat/scheduler"
	"github.com/teaselcleat/teaselcleat/structs"
	"github.com/teaselcleat/teaselcleat/worker"
)

// Config holds the term and the timeouts of a Coordinator.
type Config struct {
	Term     int64 // epoch of the leader's term
	LeaseTTL time.Duration
	// ReclaimTimeout bounds the checkpoint of a run that is stopped to reclaim its capacity.
	ReclaimTimeout time.Duration
	// RecordTimeout bounds how long a run waits until its start is read back from the log.
	RecordTimeout time.Duration
}

// Coordinator manages the gang runs of one term. It is not safe for concurrent use.
type Coordinator struct {
	config   Config
	gangs    map[string]*gang     // by run
	nextPoll map[string]time.Time // by worker
}

// New returns a coordinator without runs.
func New(config Config) *Coordinator {
	return &Coordinator{config: config, gangs: map[string]*gang{}, nextPoll: map[string]time.Time{}}
}

// Step processes an event and returns the actions to execute.
func (c *Coordinator) Step(event Event, now time.Time) []Action {
	switch e := event.(type) {
	case Launch:
		return c.onLaunch(e, now)
	case Adopt:
		c.adopt(e, now)
	case StopRun:
		return c.onStopRun(e, now)
	case CallEnded:
		return c.onCallEnded(e, now)
	case StartRead:
		return c.onStartRead(e, now)
	case WorkerState:
		return c.onWorkerState(e, now)
	case Tick:
		return c.onTick(e, now)
	}
	return nil
}

// adopt takes over a run from its record alone. The first polls show which
// members still hold their leases.
func (c *Coordinator) adopt(e Adopt, now time.Time) {
	g := &gang{job: e.Job, run: e.Run, startRecorded: true, startAppended: true, adoptedAt: now}
	for _, m := range e.Members {
		g.members = append(g.members, &member{Member: m, leaseRenewed: now, phase: worker.TaskRunning})
	}
	c.gangs[g.run] = g
	g.enterPhase(phaseRunning, now)
}

func (g *gang) enterPhase(next phase, now time.Time) {
	g.phase = next
	g.phaseStarted = now
	for _, m := range g.members {
		m.acked = false
		m.callEnded = false
	}
}

func (g *gang) callAll(kind CallKind) []Action {
	var actions []Action
	for _, m := range g.members {
		actions = append(actions, g.newCall(kind, m))
	}
	return actions
}

func (g *gang) newCall(kind CallKind, m *member) Call {
	return Call{Kind: kind, Worker: m.Worker, Run: g.run, Job: g.job, Accelerators: m.Accelerators, Resume: g.resume, Payload: g.payload}
}

func (g *gang) findMember(name string) *member {
	for _, m := range g.members {
		if m.Worker == name {
			return m
		}
	}
	return nil
}

// allMembersAcked reports whether the call of the current phase succeeded at all members;
// see allMembersReported for reports under this term.
func (g *gang) allMembersAcked() bool {
	for _, m := range g.members {
		if !m.acked {
			return false
		}
	}
	return true
}

func (c *Coordinator) onCallEnded(e CallEnded, now time.Time) []Action {
	g := c.gangs[e.Call.Run]
	if g == nil {
		return nil
	}
	m := g.findMember(e.Call.Worker)
	switch {
	case e.Call.Kind == CallReserve && g.phase < phaseStarting:
		return c.onReserveEnded(g, m, e.Err, now)
	case e.Call.Kind == CallStart && g.phase == phaseStarting:
		return c.onStartEnded(g, m, e.Err, now)
	case e.Call.Kind == CallRelease && g.phase == phaseReleasing:
		return c.onReleaseEnded(g, m, e.Err)
	}
	return nil
}

// withdraw ends a run of which no task has started. If a start record was appended, a
// stop record with the reason of the cause revokes it.
func (c *Coordinator) withdraw(g *gang, cause haltCause, now time.Time) []Action {
	actions := g.releaseLeases(cause.result, cause.failedWorker, now)
	if g.startAppended {
		actions = append(actions, AppendStop{structs.Stop{Job: g.job, Run: g.run, Term: c.config.Term,
			Reason: cause.reason, NotStarted: true}})
	}
	return actions
}

// releaseLeases releases the leases of all members. The scheduler is notified of
// the end of the run only after all workers have answered or the leases have
// expired, so that it places no other run on accelerators that are still leased.
func (g *gang) releaseLeases(result scheduler.Result, failedWorker string, now time.Time) []Action {
	g.result = scheduler.RunEnded{Run: g.run, Result: result, Worker: failedWorker}
	g.enterPhase(phaseReleasing, now)
	return g.callAll(CallRelease)
}

// onReleaseEnded ends a run once no worker holds a lease. A release without an answer may not have
// taken effect; that lease expires, see tickGang.
func (c *Coordinator) onReleaseEnded(g *gang, m *member, err error) []Action {
	if err != nil && !errors.Is(err, worker.ErrNoLease) {
		return nil
	}
	m.callEnded = true
	if !g.allCallsEnded() {
		return nil
	}
	return c.removeRun(g)
}

func (c *Coordinator) removeRun(g *gang) []Action {
	delete(c.gangs, g.run)
	return []Action{RunEnded{g.result}}
}

// halt ends a run on all members without a checkpoint. An adopted run is halted
// only after every member has answered under this term or the reservations of
// the previous leader have expired: if one member were released while a start
// call of that leader was in flight to another, the gang would run in part.
func (c *Coordinator) halt(g *gang, cause haltCause, now time.Time) []Action {
	if !c.previousLeaderFenced(g, now) {
		g.pendingHalt = &cause
		return nil
	}
	stop := structs.Stop{Job: g.job, Run: g.run, Term: c.config.Term, Reason: cause.reason}
	if cause.result == scheduler.RunFailed {
		stop.Worker = cause.failedWorker
	}
	return append(g.releaseLeases(cause.result, cause.failedWorker, now), AppendStop{stop})
}

// previousLeaderFenced reports whether no start call of a previous leader can still take effect.
func (c *Coordinator) previousLeaderFenced(g *gang, now time.Time) bool {
	return g.adoptedAt.IsZero() || g.allMembersReported() || now.Sub(g.adoptedAt) > c.config.LeaseTTL
}

func (c *Coordinator) onStopRun(e StopRun, now time.Time) []Action {
	g := c.gangs[e.Run]
	if g == nil {
		return nil
	}
	switch g.phase {
	case phaseReleasing:
		return nil
	case phaseReserving, phaseRecording:
		return c.stopBeforeStart(g, e, now)
	}
	if g.phase == phaseStarting {
		g.pendingStop = &e
		return nil
	}
	if !e.Checkpoint {
		return c.halt(g, haltCause{e.Reason, "", stopResult(e.Reason)}, now)
	}
	if g.phase == phaseStopping {
		return nil
	}
	g.stopReason = e.Reason
	g.enterPhase(phaseStopping, now)
	actions := g.callAll(CallStop)
	for i := range actions {
		call := actions[i].(Call)
		call.Checkpoint = true
		actions[i] = call
	}
	return actions
}

// stopResult returns the result of a run that is stopped without a checkpoint. A run
// that is preempted after a checkpoint gets scheduler.RunPreempted instead.
func stopResult(reason structs.Reason) scheduler.Result {
	switch reason {
	case structs.ReasonCancelled:
		return scheduler.RunAborted
	case structs.ReasonMemberLost:
		return scheduler.RunLost
	}
	return scheduler.RunStopped
}

// stopBeforeStart ends a run that receives a stop request before it has started.
func (c *Coordinator) stopBeforeStart(g *gang, e StopRun, now time.Time) []Action {
	result := scheduler.RunNotStarted
	if e.Reason == structs.ReasonCancelled {
		result = scheduler.RunAborted
	}
	return c.withdraw(g, haltCause{e.Reason, "", result}, now)
}

// onTick polls workers, ends runs whose current phase timed out, and detects
// members whose leases were not renewed in time.
func (c *Coordinator) onTick(e Tick, now time.Time) []Action {
	var actions []Action
	for _, g := range c.sortedGangs() {
		actions = append(actions, c.tickGang(g, e, now)...)
	}
	return append(actions, c.pollWorkers(now)...)
}

func (c *Coordinator) tickGang(g *gang, e Tick, now time.Time) []Action {
	switch g.phase {
	case phaseReserving:
		if now.Sub(g.roundStarted) > c.roundLimit() { // for rounds see reserveAll
			return c.withdraw(g, notReserved(g.firstUnacked()), now)
		}
	case phaseRecording:
		return c.tickRecording(g, e, now)
	case phaseStarting:
		// A start call may still take effect while a lease of the round can be valid.
		if now.Sub(g.roundStarted) > c.config.LeaseTTL {
			return c.halt(g, haltCause{structs.ReasonMemberLost, g.firstUnacked(), scheduler.RunLost}, now)
		}
	case phaseReleasing:
		if now.Sub(g.phaseStarted) > c.config.LeaseTTL+c.pollTimeout() {
			return c.removeRun(g)
		}
	case phaseRunning, phaseStopping:
		if name := c.silentMember(g, now); name != "" {
			return c.halt(g, haltCause{structs.ReasonMemberLost, name, scheduler.RunLost}, now)
		}
		return c.evaluateMembers(g, now)
	}
	return nil
}

// tickRecording renews the reservations while the start record has not been read
// back. An idempotent run starts without the record while the log is unavailable.
func (c *Coordinator) tickRecording(g *gang, e Tick, now time.Time) []Action {
	if g.idempotent && !e.LogAvailable {
		g.startUnrecorded = true
	}
	reserved := g.allMembersAcked()
	switch {
	case !reserved && now.Sub(g.roundStarted) > c.roundLimit():
		return c.withdraw(g, notReserved(g.firstUnacked()), now)
	case g.startUnrecorded || g.startRecorded:
		return c.startOrRenew(g, now)
	case now.Sub(g.phaseStarted) > c.config.RecordTimeout:
		return c.withdraw(g, haltCause{structs.ReasonLogUnavailable, "", scheduler.RunNotStarted}, now)
	case reserved && now.Sub(g.roundStarted) > c.config.LeaseTTL/2:
		return g.reserveAll(now)
	}
	return nil
}

// pollTimeout is how long a poll may take to arrive at a worker and renew its leases.
func (c *Coordinator) pollTimeout() time.Duration { return c.config.LeaseTTL / 4 }

func (g *gang) firstUnacked() string {
	for _, m := range g.members {
		if !m.acked {
			return m.Worker
		}
	}
	return ""
}

// silentMember returns a member whose lease was not renewed for three quarters of
// the lease TTL (three poll intervals, see pollWorkers), or an empty string.
func (c *Coordinator) silentMember(g *gang, now time.Time) string {
	for _, m := range g.members {
		if now.Sub(m.leaseRenewed) > c.config.LeaseTTL*3/4 {
			return m.Worker
		}
	}
	return ""
}

// pollWorkers polls each worker of running gangs every quarter of the lease TTL. A poll
// renews all leases on the worker and fetches its report in a single call.
func (c *Coordinator) pollWorkers(now time.Time) []Action {
	runsByWorker := map[string][]string{}
	var workers []string
	for _, g := range c.sortedGangs() {
		if g.phase < phaseRunning || g.phase == phaseReleasing {
			continue // leases of the other phases are renewed in rounds, see reserveAll
		}
		for _, m := range g.members {
			if runsByWorker[m.Worker] == nil {
				workers = append(workers, m.Worker)
			}
			runsByWorker[m.Worker] = append(runsByWorker[m.Worker], g.run)
		}
	}
	sort.Strings(workers)
	var actions []Action
	for _, name := range workers {
		if now.Before(c.nextPoll[name]) {
			continue
		}
		c.nextPoll[name] = now.Add(c.config.LeaseTTL / 4)
		actions = append(actions, Poll{Worker: name, Runs: runsByWorker[name]})
	}
	for name := range c.nextPoll {
		if runsByWorker[name] == nil && now.After(c.nextPoll[name]) {
			delete(c.nextPoll, name)
		}
	}
	return actions
}

func (c *Coordinator) sortedGangs() []*gang {
	gangs := make([]*gang, 0, len(c.gangs))
	for _, g := range c.gangs {
		gangs = append(gangs, g)
	}
	sort.Slice(gangs, func(i, j int) bool { return gangs[i].run < gangs[j].run })
	return gangs
}
