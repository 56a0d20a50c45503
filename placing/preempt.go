package placing

import (
	"sort"
	"strconv"
	"time"
)

const (
	// claimSlack is how long beyond the stop of what must go a claim is kept:
	// the answer of the stop and the report with the end take some
	// milliseconds, or a repeated order.
	claimSlack = 1200 * time.Millisecond
	// checkpointLoss is the work lost by stopping a task that saves its state,
	// which it also does at the stop.
	checkpointLoss = 300 * time.Millisecond
)

// claim is capacity set aside for a step while what runs there is stopped.
type claim struct {
	step  *step
	seats []seat
	until time.Time
}

// victim is what is stopped together: a gang's run or one task's.
type victim struct {
	runs []*run
	loss float64 // core-seconds that would be done again
}

// makeRoom stops work of lower priority so that an urgent unit fits, at the
// least loss, and sets the room aside for it.
func (e *Engine) makeRoom(unit *unit, open *view, now time.Time) {
	coming := open.copy()
	for _, node := range coming.nodes {
		for _, run := range node.runs {
			if !run.stopSentAt.IsZero() || run.phase == phaseStopping {
				coming.give(node, run.need())
			}
		}
	}
	if seats := coming.fit(unit, true); seats != nil {
		e.claim(unit, seats, open, now)
		return
	}
	chosen, seats := e.choose(unit, coming.copy(), true, now)
	if seats == nil && !e.patient(unit, now) {
		chosen, seats = e.choose(unit, coming, false, now)
	}
	if seats == nil {
		return
	}
	for _, victim := range chosen {
		for _, run := range victim.runs {
			e.stopRun(run, "room for "+unit.job.submission.ID, now)
		}
	}
	e.note("preempted", unit.job, "", "victims "+strconv.Itoa(len(chosen)))
	e.claim(unit, seats, open, now)
}

func (e *Engine) claim(unit *unit, seats []seat, open *view, now time.Time) {
	unit.job.claim = &claim{step: unit.step, seats: seats, until: now.Add(e.limits.StopWithin + claimSlack)}
	for _, seat := range seats {
		open.take(seat.node, unit.step.need())
	}
}

// choose adds victims, least loss first, until the unit fits, and then spares
// those that turn out not to be needed.
func (e *Engine) choose(unit *unit, coming *view, strict bool, now time.Time) ([]victim, []seat) {
	candidates := e.victims(unit, now)
	var chosen []victim
	var seats []seat
	for _, candidate := range candidates {
		coming.giveAll(candidate)
		chosen = append(chosen, candidate)
		if seats = coming.fit(unit, strict); seats != nil {
			break
		}
	}
	if seats == nil {
		return nil, nil
	}
	for index := len(chosen) - 1; index >= 0; index-- {
		coming.takeAll(chosen[index])
		if fewer := coming.fit(unit, strict); fewer != nil {
			seats = fewer
			chosen = append(chosen[:index], chosen[index+1:]...)
			continue
		}
		coming.giveAll(chosen[index])
	}
	return chosen, seats
}

func (v *view) giveAll(victim victim) {
	for _, run := range victim.runs {
		if _, counted := v.free[run.node]; counted {
			v.give(run.node, run.need())
		}
	}
}

func (v *view) takeAll(victim victim) {
	for _, run := range victim.runs {
		if _, counted := v.free[run.node]; counted {
			v.take(run.node, run.need())
		}
	}
}

// victims lists what may be stopped for a unit, least loss first.
func (e *Engine) victims(unit *unit, now time.Time) []victim {
	var list []victim
	seen := map[*step]bool{}
	for _, node := range e.nodeOrder {
		for _, candidate := range node.runs {
			step := candidate.task.step
			if !candidate.stoppable(unit) || seen[step] {
				continue
			}
			if step.spec.Gang {
				seen[step] = true
				list = append(list, gangVictim(step, now))
			} else {
				list = append(list, victim{runs: []*run{candidate}, loss: candidate.loss(now)})
			}
		}
	}
	sort.SliceStable(list, func(a, b int) bool { return list[a].loss < list[b].loss })
	return list
}

func (r *run) stoppable(unit *unit) bool {
	job := r.task.step.job
	return job.queue.Priority > unit.job.queue.Priority && !r.task.step.spec.Lasting && r.stopSentAt.IsZero() && r.task.run == r
}

func gangVictim(step *step, now time.Time) victim {
	var made victim
	for _, member := range step.tasks {
		if member.run != nil {
			made.runs = append(made.runs, member.run)
			made.loss += member.run.loss(now)
		}
	}
	return made
}

// loss is the core-seconds that a stop would throw away.
func (r *run) loss(now time.Time) float64 {
	if r.startedAt.IsZero() {
		return 0
	}
	worked := now.Sub(r.startedAt)
	if r.task.step.spec.Checkpoints {
		worked = min(worked, checkpointLoss)
	}
	return worked.Seconds() * cores(r.task.step.spec.Need)
}
