package gangs

import (
	"time"

	"github.com/teaselcleat/teaselcleat/scheduler"
	"github.com/teaselcleat/teaselcleat/structs"
	"github.com/teaselcleat/teaselcleat/worker"
)

func (c *Coordinator) onWorkerState(e WorkerState, now time.Time) []Action {
	var actions []Action
	for _, g := range c.sortedGangs() {
		m := g.findMember(e.Worker)
		if m == nil || e.Err != nil {
			continue
		}
		if g.phase < phaseStarting {
			continue
		}
		reported := reportedPhase(e.State, g.run)
		if reported != "" && e.PolledAt.After(m.leaseRenewed) {
			m.leaseRenewed = e.PolledAt
		}
		if e.PolledAt.Before(g.phaseStarted) {
			continue // the poll predates the current phase
		}
		m.phase = reported
		m.reported = true
		actions = append(actions, c.evaluateMembers(g, now)...)
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

// releaseUnknown releases tasks on a worker that belong to no run of this coordinator,
// such as those left by previous leaders.
func (c *Coordinator) releaseUnknown(e WorkerState) []Action {
	var actions []Action
	for _, task := range e.State.Tasks {
		if c.gangs[task.Run] == nil {
			actions = append(actions, Call{Kind: CallRelease, Worker: e.Worker, Run: task.Run, Job: task.Job})
		}
	}
	return actions
}

// evaluateMembers derives the outcome of a run from the last reports of its members.
func (c *Coordinator) evaluateMembers(g *gang, now time.Time) []Action {
	if g.phase != phaseRunning && g.phase != phaseStopping {
		return nil
	}
	if g.pendingHalt != nil {
		return c.halt(g, *g.pendingHalt, now)
	}
	finished, stopped, checkpointed, reserved := 0, 0, 0, 0
	for _, m := range g.members {
		switch m.phase {
		case worker.TaskFailed:
			return c.halt(g, haltCause{structs.ReasonTaskFailed, m.Worker, scheduler.RunFailed}, now)
		case "":
			return c.halt(g, haltCause{structs.ReasonMemberLost, m.Worker, scheduler.RunLost}, now)
		case worker.TaskReserved:
			reserved++
		case worker.TaskFinished:
			finished++
			stopped++
			checkpointed++
		case worker.TaskCheckpointed:
			stopped++
			checkpointed++
		case worker.TaskStopped:
			stopped++
		}
	}
	switch {
	case reserved == len(g.members):
		return c.withdraw(g, haltCause{structs.ReasonStaleTerm, "", scheduler.RunNotStarted}, now)
	case reserved > 0 && g.allMembersReported():
		return c.halt(g, haltCause{structs.ReasonMemberLost, "", scheduler.RunLost}, now)
	case finished == len(g.members):
		return c.finishRun(g, now)
	case g.phase == phaseStopping && stopped == len(g.members):
		return c.finishStop(g, checkpointed == len(g.members), now)
	case g.phase == phaseStopping && now.Sub(g.phaseStarted) > c.config.ReclaimTimeout+c.config.LeaseTTL:
		return c.finishStop(g, false, now)
	}
	return nil
}

// allMembersReported reports whether every member has answered under this term. After
// that no start call of a previous leader can take effect, so a member of an
// adopted run that is only reserved will never start.
func (g *gang) allMembersReported() bool {
	for _, m := range g.members {
		if !m.reported {
			return false
		}
	}
	return true
}

func (c *Coordinator) finishRun(g *gang, now time.Time) []Action {
	actions := []Action{AppendEnd{structs.End{Job: g.job, Run: g.run, Term: c.config.Term, Outcome: structs.OutcomeRan}}}
	return append(actions, g.releaseLeases(scheduler.RunFinished, "", now)...)
}

func (c *Coordinator) finishStop(g *gang, checkpointed bool, now time.Time) []Action {
	result := scheduler.RunStopped
	if checkpointed {
		result = scheduler.RunPreempted
	}
	stop := structs.Stop{Job: g.job, Run: g.run, Term: c.config.Term, Reason: g.stopReason, Checkpointed: checkpointed}
	return append(g.releaseLeases(result, "", now), AppendStop{stop})
}
