package gangs

import (
	"time"

	"github.com/teaselcleat/teaselcleat/scheduler"
	"github.com/teaselcleat/teaselcleat/structs"
	"github.com/teaselcleat/teaselcleat/worker"
)

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

func (c *Coordinator) startRead(e StartRead, now time.Time) []Action {
	g := c.gangs[e.Run]
	if g == nil || g.phase == phaseReleasing {
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
