// Package gangs owns the steps by which a gang's run starts on all of its
// workers or on none, is kept alive by its leases, and ends as a whole. The
// coordinator is pure: it takes events and the time and returns actions; the
// executor in package instance carries them out.
package gangs

import (
	"sort"
	"time"

	"github.com/teaselcleat/teaselcleat/scheduler"
	"github.com/teaselcleat/teaselcleat/structs"
	"github.com/teaselcleat/teaselcleat/worker"
)

// Config holds the coordinator's times.
type Config struct {
	Term          int64
	LeaseTTL      time.Duration
	ReclaimWithin time.Duration
	// RecordWait is how long a run waits for its start to be read back from the log.
	RecordWait time.Duration
}

// Action is something the executor must do.
type Action interface{ isAction() }

// CallKind names a call to a worker.
type CallKind int

// Kinds of calls.
const (
	CallReserve CallKind = iota + 1
	CallStart
	CallStop
	CallRelease
)

// Call asks for a call to one worker; its end comes back as CallEnded.
type Call struct {
	Kind         CallKind
	Worker       string
	Run          string
	Job          string
	Accelerators int
	Checkpoint   bool
	Resume       bool
	Payload      string
	MinLease     time.Duration // for a start: the least that must be left of the lease
}

// Poll asks for the leases of runs on one worker to be renewed; the worker's
// state comes back as WorkerState.
type Poll struct {
	Worker string
	Runs   []string
}

// AppendStart asks for a run's start to be recorded; what the fold makes of it
// comes back as StartRead.
type AppendStart struct{ Start structs.Start }

// AppendStop asks for a run's stop to be recorded.
type AppendStop struct{ Stop structs.Stop }

// AppendEnd asks for a job's end to be recorded.
type AppendEnd struct{ End structs.End }

// RunEnded tells the scheduler that a run's accelerators are free.
type RunEnded struct{ Ended scheduler.RunEnded }

func (Call) isAction()        {}
func (Poll) isAction()        {}
func (AppendStart) isAction() {}
func (AppendStop) isAction()  {}
func (AppendEnd) isAction()   {}
func (RunEnded) isAction()    {}

// Event is something that happened to a run.
type Event interface{ isEvent() }

// Launch starts a run that the scheduler placed.
type Launch struct {
	Place      scheduler.Place
	Payload    string
	Idempotent bool
}

// Adopt takes over a run that another instance recorded as started.
type Adopt struct {
	Job     string
	Run     string
	Members []structs.Member
}

// StopRun ends a run for others (Checkpoint) or at once.
type StopRun struct {
	Run        string
	Checkpoint bool
	Reason     structs.Reason
}

// CallEnded is the end of a call. Err is nil, one of package worker's errors,
// or another one that leaves open whether the call took effect.
type CallEnded struct {
	Call Call
	Err  error
}

// StartRead says how the fold ruled on a run's start.
type StartRead struct {
	Run   string
	Valid bool
}

// WorkerState is a worker's answer to a poll, or the lack of one.
type WorkerState struct {
	Worker string
	Asked  time.Time // before the poll was sent
	State  worker.State
	Err    error
}

// Tick lets time-dependent steps happen. LogAvailable says whether appends are
// being answered.
type Tick struct{ LogAvailable bool }

func (Launch) isEvent()      {}
func (Adopt) isEvent()       {}
func (StopRun) isEvent()     {}
func (CallEnded) isEvent()   {}
func (StartRead) isEvent()   {}
func (WorkerState) isEvent() {}
func (Tick) isEvent()        {}

type phase int

const (
	phaseReserving phase = iota + 1
	phaseRecording
	phaseStarting
	phaseRunning
	phaseStopping
	phaseReleasing // ended; its leases are being given up
)

// member is one worker's part of a run.
type member struct {
	structs.Member
	acked  bool             // the current phase's call was answered well
	ended  bool             // the current phase's call has ended
	phase  worker.TaskPhase // as last reported
	heard  bool             // the worker has reported under this term
	leased time.Time        // the lease is held until TTL after this, at least
}

// gang is one run under way.
type gang struct {
	job        string
	run        string
	payload    string
	resume     bool
	idempotent bool
	phase      phase
	since      time.Time // when the phase began
	recorded   bool      // the start was read back as valid
	appended   bool      // the start was handed to the log
	unrecorded bool      // to be started before its record is read back, as the log is out
	members    []*member
	asked      time.Time      // when the present round of reservations was asked for
	reason     structs.Reason // why it is being stopped
	// failedOn is the first member that did not start, and pending a stop that
	// was asked for while starting. Both wait until every start call has ended:
	// to release one lease while a start is on its way to another worker would
	// let the gang run in part.
	failedOn string
	pending  *StopRun
	// adoptedAt is when the run was taken over, or zero; halting is an end that
	// waits until no start of the earlier holder can count any more.
	adoptedAt time.Time
	halting   *halt
	result    scheduler.RunEnded // told to the scheduler once the leases are given up
}

// halt is the end of a run on all members.
type halt struct {
	reason structs.Reason
	blamed string
	result scheduler.Result
}

// Coordinator holds the runs of one term. It is not safe for concurrent use.
type Coordinator struct {
	config   Config
	gangs    map[string]*gang
	nextPoll map[string]time.Time
}

// New returns a coordinator without runs.
func New(config Config) *Coordinator {
	return &Coordinator{config: config, gangs: map[string]*gang{}, nextPoll: map[string]time.Time{}}
}

// Runs is the number of runs under way.
func (c *Coordinator) Runs() int { return len(c.gangs) }

// Step takes an event and returns what to do.
func (c *Coordinator) Step(event Event, now time.Time) []Action {
	switch e := event.(type) {
	case Launch:
		return c.launch(e, now)
	case Adopt:
		c.adopt(e, now)
	case StopRun:
		return c.stopRun(e, now)
	case CallEnded:
		return c.callEnded(e, now)
	case StartRead:
		return c.startRead(e, now)
	case WorkerState:
		return c.workerState(e, now)
	case Tick:
		return c.tick(e, now)
	}
	return nil
}

func (c *Coordinator) launch(e Launch, now time.Time) []Action {
	g := &gang{job: e.Place.Job, run: e.Place.Run, payload: e.Payload, resume: e.Place.Resume, idempotent: e.Idempotent}
	for _, m := range e.Place.Members {
		g.members = append(g.members, &member{Member: m})
	}
	c.gangs[g.run] = g
	g.enter(phaseReserving, now)
	return g.reserveAll(now)
}

// reserveAll asks every member for its lease, or for a renewed one. Until a run
// has started its leases are renewed in such whole rounds only: if all answers
// of a round come within a quarter of the leases' time, and a worker starts a
// task only with a quarter of its lease left, then at that moment no other
// member's lease of the same round has lapsed.
func (g *gang) reserveAll(now time.Time) []Action {
	g.asked = now
	for _, m := range g.members {
		m.acked = false
		m.leased = now
	}
	return g.callAll(CallReserve)
}

// adopt trusts nothing but the record: the first polls will show which members
// still hold their leases.
func (c *Coordinator) adopt(e Adopt, now time.Time) {
	g := &gang{job: e.Job, run: e.Run, recorded: true, appended: true, adoptedAt: now}
	for _, m := range e.Members {
		g.members = append(g.members, &member{Member: m, leased: now, phase: worker.TaskRunning})
	}
	c.gangs[g.run] = g
	g.enter(phaseRunning, now)
}

func (g *gang) enter(next phase, now time.Time) {
	g.phase = next
	g.since = now
	for _, m := range g.members {
		m.acked = false
		m.ended = false
	}
}

func (g *gang) callAll(kind CallKind) []Action {
	var actions []Action
	for _, m := range g.members {
		actions = append(actions, g.call(kind, m))
	}
	return actions
}

func (g *gang) call(kind CallKind, m *member) Call {
	return Call{Kind: kind, Worker: m.Worker, Run: g.run, Job: g.job, Accelerators: m.Accelerators, Resume: g.resume, Payload: g.payload}
}

func (g *gang) member(name string) *member {
	for _, m := range g.members {
		if m.Worker == name {
			return m
		}
	}
	return nil
}

func (g *gang) allAcked() bool {
	for _, m := range g.members {
		if !m.acked {
			return false
		}
	}
	return true
}

func (c *Coordinator) callEnded(e CallEnded, now time.Time) []Action {
	g := c.gangs[e.Call.Run]
	if g == nil {
		return nil
	}
	m := g.member(e.Call.Worker)
	switch {
	case e.Call.Kind == CallReserve && g.phase < phaseStarting:
		return c.reserved(g, m, e.Err, now)
	case e.Call.Kind == CallStart && g.phase == phaseStarting:
		return c.startEnded(g, m, e.Err, now)
	case e.Call.Kind == CallRelease && g.phase == phaseReleasing:
		return c.released(g, m)
	}
	return nil
}

func (c *Coordinator) reserved(g *gang, m *member, err error, now time.Time) []Action {
	if err != nil || now.Sub(g.asked) > c.roundLimit() {
		return c.withdraw(g, m.Worker, now)
	}
	m.acked = true
	if !g.allAcked() {
		return nil
	}
	if g.phase == phaseReserving {
		return c.record(g, now)
	}
	if g.recorded || g.unrecorded {
		return c.startAll(g, now)
	}
	return nil
}

// roundLimit is the time within which all answers of a round of reservations
// must come; see reserveAll.
func (c *Coordinator) roundLimit() time.Duration { return c.config.LeaseTTL / 4 }

// record hands the start to the log once all members are reserved.
func (c *Coordinator) record(g *gang, now time.Time) []Action {
	g.phase = phaseRecording
	g.since = now
	g.appended = true
	members := make([]structs.Member, 0, len(g.members))
	for _, known := range g.members {
		members = append(members, known.Member)
	}
	return []Action{AppendStart{structs.Start{Job: g.job, Run: g.run, Term: c.config.Term, Members: members}}}
}

// withdraw gives up a run of which no task was told to start. A start record
// that may stand in the log is taken back.
func (c *Coordinator) withdraw(g *gang, blamed string, now time.Time) []Action {
	return c.withdrawAs(g, scheduler.RunNotStarted, blamed, now)
}

func (c *Coordinator) withdrawAs(g *gang, result scheduler.Result, blamed string, now time.Time) []Action {
	actions := g.release(result, blamed, now)
	if g.appended {
		actions = append(actions, AppendStop{structs.Stop{Job: g.job, Run: g.run, Term: c.config.Term,
			Reason: structs.ReasonReserveRefused, NotStarted: true}})
	}
	return actions
}

// release gives up all leases. The scheduler is told of the run's end only when
// the workers have answered, or the leases have lapsed, so that it does not
// place others on accelerators that are still held.
func (g *gang) release(result scheduler.Result, blamed string, now time.Time) []Action {
	g.result = scheduler.RunEnded{Run: g.run, Result: result, Worker: blamed}
	g.enter(phaseReleasing, now)
	return g.callAll(CallRelease)
}

func (c *Coordinator) released(g *gang, m *member) []Action {
	m.ended = true
	if !g.allEnded() {
		return nil
	}
	return c.gone(g)
}

func (c *Coordinator) gone(g *gang) []Action {
	delete(c.gangs, g.run)
	return []Action{RunEnded{g.result}}
}

func (c *Coordinator) startRead(e StartRead, now time.Time) []Action {
	g := c.gangs[e.Run]
	if g == nil {
		return nil
	}
	if !e.Valid {
		return c.startVoid(g, now)
	}
	g.recorded = true
	if g.phase != phaseRecording {
		return nil
	}
	return c.startWhenHeld(g, now)
}

// startVoid ends a run whose start does not count: the job was cancelled or
// another instance places now.
func (c *Coordinator) startVoid(g *gang, now time.Time) []Action {
	result := scheduler.RunAborted
	if g.phase == phaseRecording {
		result = scheduler.RunNotStarted
	}
	return g.release(result, "", now)
}

// startWhenHeld starts a run whose round of reservations is fresh, and renews
// the round first if it is not.
func (c *Coordinator) startWhenHeld(g *gang, now time.Time) []Action {
	if !g.allAcked() {
		return nil // the round's last answer will start it
	}
	if now.Sub(g.asked) > c.config.LeaseTTL/2 {
		return g.reserveAll(now)
	}
	return c.startAll(g, now)
}

func (c *Coordinator) startAll(g *gang, now time.Time) []Action {
	g.enter(phaseStarting, now)
	actions := g.callAll(CallStart)
	for i := range actions {
		call := actions[i].(Call)
		call.MinLease = c.roundLimit()
		actions[i] = call
	}
	return actions
}

func (c *Coordinator) startEnded(g *gang, m *member, err error, now time.Time) []Action {
	m.ended = true
	m.acked = err == nil
	if err == nil {
		m.phase = worker.TaskRunning
	} else if g.failedOn == "" {
		g.failedOn = m.Worker
	}
	if !g.allEnded() {
		return nil
	}
	if g.failedOn != "" {
		return c.halt(g, halt{structs.ReasonMemberLost, g.failedOn, scheduler.RunLost}, now)
	}
	g.enter(phaseRunning, now)
	if g.pending != nil {
		return c.stopRun(*g.pending, now)
	}
	return nil
}

func (g *gang) allEnded() bool {
	for _, m := range g.members {
		if !m.ended {
			return false
		}
	}
	return true
}

// halt ends a run at once on all members. An adopted run waits until every
// member has answered under this term, or until the earlier holder's
// reservations have lapsed: to release one member while a start of that holder
// is on its way to another would let the gang run in part.
func (c *Coordinator) halt(g *gang, end halt, now time.Time) []Action {
	if !c.fenced(g, now) {
		g.halting = &end
		return nil
	}
	stop := structs.Stop{Job: g.job, Run: g.run, Term: c.config.Term, Reason: end.reason}
	if end.result == scheduler.RunFailed {
		stop.Worker = end.blamed
	}
	return append(g.release(end.result, end.blamed, now), AppendStop{stop})
}

// fenced reports whether no start of an earlier holder can count any more.
func (c *Coordinator) fenced(g *gang, now time.Time) bool {
	return g.adoptedAt.IsZero() || g.allHeard() || now.Sub(g.adoptedAt) > c.config.LeaseTTL
}

func (c *Coordinator) stopRun(e StopRun, now time.Time) []Action {
	g := c.gangs[e.Run]
	if g == nil {
		return nil
	}
	switch g.phase {
	case phaseReleasing:
		return nil
	case phaseReserving, phaseRecording:
		return c.withdrawStopped(g, e, now)
	}
	if g.phase == phaseStarting {
		g.pending = &e
		return nil
	}
	if !e.Checkpoint {
		return c.halt(g, halt{e.Reason, "", resultOf(e.Reason)}, now)
	}
	if g.phase == phaseStopping {
		return nil
	}
	g.reason = e.Reason
	g.enter(phaseStopping, now)
	actions := g.callAll(CallStop)
	for i := range actions {
		call := actions[i].(Call)
		call.Checkpoint = true
		actions[i] = call
	}
	return actions
}

func resultOf(reason structs.Reason) scheduler.Result {
	switch reason {
	case structs.ReasonCancelled:
		return scheduler.RunAborted
	case structs.ReasonMemberLost:
		return scheduler.RunLost
	}
	return scheduler.RunStopped
}

// withdrawStopped ends a run that is asked to stop before it started.
func (c *Coordinator) withdrawStopped(g *gang, e StopRun, now time.Time) []Action {
	if e.Reason == structs.ReasonCancelled {
		return c.withdrawAs(g, scheduler.RunAborted, "", now)
	}
	return c.withdraw(g, "", now)
}

func (c *Coordinator) workerState(e WorkerState, now time.Time) []Action {
	var actions []Action
	for _, g := range c.sorted() {
		m := g.member(e.Worker)
		if m == nil || e.Err != nil {
			continue
		}
		if g.phase < phaseStarting {
			continue
		}
		reported := reportedPhase(e.State, g.run)
		if reported != "" && e.Asked.After(m.leased) {
			m.leased = e.Asked
		}
		if e.Asked.Before(g.since) {
			continue // asked before the run came to its present step
		}
		m.phase = reported
		m.heard = true
		actions = append(actions, c.review(g, now)...)
	}
	if e.Err != nil {
		return actions
	}
	return append(actions, c.releaseUnknown(e)...)
}

func reportedPhase(state worker.State, run string) worker.TaskPhase {
	for _, task := range state.Tasks {
		if task.Run == run {
			return task.Phase
		}
	}
	return ""
}

// releaseUnknown frees what earlier holders left on a worker.
func (c *Coordinator) releaseUnknown(e WorkerState) []Action {
	var actions []Action
	for _, task := range e.State.Tasks {
		if c.gangs[task.Run] == nil {
			actions = append(actions, Call{Kind: CallRelease, Worker: e.Worker, Run: task.Run, Job: task.Job})
		}
	}
	return actions
}

// review judges a run by what its members last reported.
func (c *Coordinator) review(g *gang, now time.Time) []Action {
	if g.phase != phaseRunning && g.phase != phaseStopping {
		return nil
	}
	if g.halting != nil {
		return c.halt(g, *g.halting, now)
	}
	finished, down, checkpointed, reserved := 0, 0, 0, 0
	for _, m := range g.members {
		switch m.phase {
		case worker.TaskFailed:
			return c.halt(g, halt{structs.ReasonTaskFailed, m.Worker, scheduler.RunFailed}, now)
		case "":
			return c.halt(g, halt{structs.ReasonMemberLost, m.Worker, scheduler.RunLost}, now)
		case worker.TaskReserved:
			reserved++
		case worker.TaskFinished:
			finished++
			down++
			checkpointed++
		case worker.TaskCheckpointed:
			down++
			checkpointed++
		case worker.TaskStopped:
			down++
		}
	}
	switch {
	case reserved == len(g.members):
		return c.withdraw(g, "", now)
	case reserved > 0 && g.allHeard():
		return c.halt(g, halt{structs.ReasonMemberLost, "", scheduler.RunLost}, now)
	case finished == len(g.members):
		return c.finished(g, now)
	case g.phase == phaseStopping && down == len(g.members):
		return c.stopped(g, checkpointed == len(g.members), now)
	case g.phase == phaseStopping && now.Sub(g.since) > c.config.ReclaimWithin+c.config.LeaseTTL:
		return c.stopped(g, false, now)
	}
	return nil
}

// allHeard reports whether every member has answered under this term. From
// then on no start of an earlier holder can count any more, so a member of an
// adopted run that is only reserved will never start.
func (g *gang) allHeard() bool {
	for _, m := range g.members {
		if !m.heard {
			return false
		}
	}
	return true
}

func (c *Coordinator) finished(g *gang, now time.Time) []Action {
	actions := []Action{AppendEnd{structs.End{Job: g.job, Run: g.run, Term: c.config.Term, Outcome: structs.OutcomeRan}}}
	return append(actions, g.release(scheduler.RunFinished, "", now)...)
}

func (c *Coordinator) stopped(g *gang, checkpointed bool, now time.Time) []Action {
	result := scheduler.RunStopped
	if checkpointed {
		result = scheduler.RunPreempted
	}
	stop := structs.Stop{Job: g.job, Run: g.run, Term: c.config.Term, Reason: g.reason, Checkpointed: checkpointed}
	return append(g.release(result, "", now), AppendStop{stop})
}

// tick polls workers, gives up steps that took too long and notices members
// that went silent.
func (c *Coordinator) tick(e Tick, now time.Time) []Action {
	var actions []Action
	for _, g := range c.sorted() {
		actions = append(actions, c.tickGang(g, e, now)...)
	}
	return append(actions, c.polls(now)...)
}

func (c *Coordinator) tickGang(g *gang, e Tick, now time.Time) []Action {
	switch g.phase {
	case phaseReserving:
		if now.Sub(g.asked) > c.roundLimit() {
			return c.withdraw(g, g.firstUnacked(), now)
		}
	case phaseRecording:
		return c.tickRecording(g, e, now)
	case phaseStarting:
		// A start may be on its way as long as a lease of the round can be held.
		if now.Sub(g.asked) > c.config.LeaseTTL {
			return c.halt(g, halt{structs.ReasonMemberLost, g.firstUnacked(), scheduler.RunLost}, now)
		}
	case phaseReleasing:
		if now.Sub(g.since) > c.config.LeaseTTL {
			return c.gone(g)
		}
	case phaseRunning, phaseStopping:
		if silent := c.silent(g, now); silent != "" {
			return c.halt(g, halt{structs.ReasonMemberLost, silent, scheduler.RunLost}, now)
		}
		return c.review(g, now)
	}
	return nil
}

// tickRecording keeps the reservations fresh while the record is waited for. A
// run that may be repeated starts without it while the log is out.
func (c *Coordinator) tickRecording(g *gang, e Tick, now time.Time) []Action {
	if g.idempotent && !e.LogAvailable {
		g.unrecorded = true
	}
	held := g.allAcked()
	switch {
	case !held && now.Sub(g.asked) > c.roundLimit():
		return c.withdraw(g, g.firstUnacked(), now)
	case g.unrecorded || g.recorded:
		return c.startWhenHeld(g, now)
	case now.Sub(g.since) > c.config.RecordWait:
		return c.withdraw(g, "", now)
	case held && now.Sub(g.asked) > c.config.LeaseTTL/2:
		return g.reserveAll(now)
	}
	return nil
}

func (g *gang) firstUnacked() string {
	for _, m := range g.members {
		if !m.acked {
			return m.Worker
		}
	}
	return ""
}

// silent names a member not heard of for most of its lease.
func (c *Coordinator) silent(g *gang, now time.Time) string {
	for _, m := range g.members {
		if now.Sub(m.leased) > c.config.LeaseTTL*3/4 {
			return m.Worker
		}
	}
	return ""
}

// polls renews the leases of each worker in one call.
func (c *Coordinator) polls(now time.Time) []Action {
	runs := map[string][]string{}
	var workers []string
	for _, g := range c.sorted() {
		if g.phase < phaseRunning || g.phase == phaseReleasing {
			continue // renewed in whole rounds only, see reserveAll
		}
		for _, m := range g.members {
			if runs[m.Worker] == nil {
				workers = append(workers, m.Worker)
			}
			runs[m.Worker] = append(runs[m.Worker], g.run)
		}
	}
	sort.Strings(workers)
	var actions []Action
	for _, name := range workers {
		if now.Before(c.nextPoll[name]) {
			continue
		}
		c.nextPoll[name] = now.Add(c.config.LeaseTTL / 4)
		actions = append(actions, Poll{Worker: name, Runs: runs[name]})
	}
	for name := range c.nextPoll {
		if runs[name] == nil && now.After(c.nextPoll[name]) {
			delete(c.nextPoll, name)
		}
	}
	return actions
}

func (c *Coordinator) sorted() []*gang {
	all := make([]*gang, 0, len(c.gangs))
	for _, g := range c.gangs {
		all = append(all, g)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].run < all[j].run })
	return all
}
