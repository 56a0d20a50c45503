package gangs

import (
	"time"

	"github.com/teaselcleat/teaselcleat/scheduler"
	"github.com/teaselcleat/teaselcleat/structs"
	"github.com/teaselcleat/teaselcleat/worker"
)

func (c *Coordinator) onLaunch(e Launch, now time.Time) []Action {
	g := &gang{job: e.Place.Job, run: e.Place.Run, payload: e.Payload, resume: e.Place.Resume, idempotent: e.Idempotent}
	for _, m := range e.Place.Members {
		g.members = append(g.members, &member{Member: m})
	}
	c.gangs[g.run] = g
	g.enterPhase(phaseReserving, now)
	return g.reserveAll(now)
}

// reserveAll reserves or renews the leases of all members in one round. Before a
// run has started, its leases are renewed only in such rounds: all answers of a
// round must arrive within a quarter of the lease TTL, and a worker starts a task
// only while a quarter of its lease is left, so when a task starts no lease of
// the same round has expired.
func (g *gang) reserveAll(now time.Time) []Action {
	g.roundStarted = now
	for _, m := range g.members {
		m.acked = false
		m.leaseRenewed = now
	}
	return g.callAll(CallReserve)
}

func (c *Coordinator) onReserveEnded(g *gang, m *member, err error, now time.Time) []Action {
	if err != nil || now.Sub(g.roundStarted) > c.roundLimit() {
		return c.withdraw(g, notReserved(m.Worker), now)
	}
	m.acked = true
	if !g.allMembersAcked() {
		return nil
	}
	if g.phase == phaseReserving {
		return c.recordStart(g, now)
	}
	if g.startRecorded || g.startUnrecorded {
		return c.startAll(g, now)
	}
	return nil
}

// notReserved is the cause of a withdrawal after a worker did not confirm its lease in time.
func notReserved(name string) haltCause {
	return haltCause{structs.ReasonReserveRefused, name, scheduler.RunNotStarted}
}

// roundLimit is the time within which all answers of a reservation round must
// arrive, see reserveAll.
func (c *Coordinator) roundLimit() time.Duration { return c.config.LeaseTTL / 4 }

// recordStart appends the start record after all members are reserved.
func (c *Coordinator) recordStart(g *gang, now time.Time) []Action {
	g.phase = phaseRecording
	g.phaseStarted = now
	g.startAppended = true
	members := make([]structs.Member, 0, len(g.members))
	for _, m := range g.members {
		members = append(members, m.Member)
	}
	return []Action{AppendStart{structs.Start{Job: g.job, Run: g.run, Term: c.config.Term, Members: members}}}
}

func (c *Coordinator) onStartRead(e StartRead, now time.Time) []Action {
	g := c.gangs[e.Run]
	if g == nil || g.phase == phaseReleasing {
		return nil
	}
	if !e.Valid {
		return c.onVoidStart(g, now)
	}
	g.startRecorded = true
	if g.phase != phaseRecording {
		return nil
	}
	return c.startOrRenew(g, now)
}

// onVoidStart ends a run whose start record is void, because the job was cancelled
// or another instance is the leader.
func (c *Coordinator) onVoidStart(g *gang, now time.Time) []Action {
	result := scheduler.RunAborted
	if g.phase == phaseRecording {
		result = scheduler.RunNotStarted
	}
	return g.releaseLeases(result, "", now)
}

// startOrRenew starts a run, or renews its reservations first if half of their
// lease TTL has passed.
func (c *Coordinator) startOrRenew(g *gang, now time.Time) []Action {
	if !g.allMembersAcked() {
		return nil // the last answer of the round triggers the start
	}
	if now.Sub(g.roundStarted) > c.config.LeaseTTL/2 {
		return g.reserveAll(now)
	}
	return c.startAll(g, now)
}

func (c *Coordinator) startAll(g *gang, now time.Time) []Action {
	g.enterPhase(phaseStarting, now)
	actions := g.callAll(CallStart)
	for i := range actions {
		call := actions[i].(Call)
		call.MinLease = c.roundLimit()
		actions[i] = call
	}
	return actions
}

func (c *Coordinator) onStartEnded(g *gang, m *member, err error, now time.Time) []Action {
	m.callEnded = true
	m.acked = err == nil
	if err == nil {
		m.phase = worker.TaskRunning
	} else if g.failedMember == "" {
		g.failedMember = m.Worker
	}
	if !g.allCallsEnded() {
		return nil
	}
	if g.failedMember != "" {
		return c.halt(g, haltCause{structs.ReasonMemberLost, g.failedMember, scheduler.RunLost}, now)
	}
	g.enterPhase(phaseRunning, now)
	if g.pendingStop != nil {
		return c.onStopRun(*g.pendingStop, now)
	}
	return nil
}

func (g *gang) allCallsEnded() bool {
	for _, m := range g.members {
		if !m.callEnded {
			return false
		}
	}
	return true
}
