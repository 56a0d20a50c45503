package placing

import (
	"sort"
	"time"
)

const (
	// maxAdviceWorkers is how many workers one question names. Its answer takes longer
	// with each, and the users count thirty in a step's objective.
	maxAdviceWorkers = 30
	// ticketMargin is kept off a ticket's life for the record of a placement and
	// the way of the start.
	ticketMargin = 400 * time.Millisecond
	// adviceRetryDelay is the pause after a question that was not answered.
	adviceRetryDelay = 200 * time.Millisecond
)

// Ask is a question which of some workers may run a step, for the service that
// knows. One is under way at a time, as the service answers an instance's
// questions one after the other.
type Ask struct {
	Job        string
	Occurrence int
	Step       int
	Workers    []AskedWorker
}

// AskedWorker is a worker that a question names, and the life that a ticket is for.
type AskedWorker struct {
	ID   string
	Name string
}

// advice is what is known of the workers that a step may run on.
type advice struct {
	tickets   map[string]ticket
	forbidden map[string]bool // may never run it
}

// ticket lets a worker run a step's tasks for some time.
type ticket struct {
	text      string
	expiresAt time.Time
}

// hasValidTicket reports whether the policy of the unit's queue lets a node run it
// now, as far as is known.
func (u *unit) hasValidTicket(node *node) bool {
	if !u.job.queue.Advised {
		return true
	}
	advice := u.step.advice
	return advice != nil && u.now.Before(advice.tickets[node.entry.ID].expiresAt)
}

// hasAnyTicket reports whether the policy of the unit's queue lets a node run it, by any answer
// so far; the ticket may have run out.
func (u *unit) hasAnyTicket(node *node) bool {
	if !u.job.queue.Advised {
		return true
	}
	advice := u.step.advice
	return advice != nil && advice.tickets[node.entry.ID].text != ""
}

// forbiddenOn reports whether the policy of the unit's queue never lets a node run it.
func (u *unit) forbiddenOn(node *node) bool {
	return u.job.queue.Advised && u.step.advice != nil && u.step.advice.forbidden[node.entry.ID]
}

// queueForAdvice notes a unit that has no seats, or not for all of its tasks.
func (e *Engine) queueForAdvice(unit *unit) {
	if unit.job.queue.Advised {
		e.adviceQueue = append(e.adviceQueue, unit)
	}
}

// requestAdvice asks for one of the units that want advice: in turn for the first that there are
// workers to ask about, and for the one of them that was not asked for the longest. So a
// step that finds no seats whatever the answer does not take all questions.
func (e *Engine) requestAdvice(open *view, now time.Time) {
	units := e.adviceQueue
	e.adviceQueue = nil
	if len(units) == 0 || e.adviceStep != nil || now.Before(e.nextAdviceAt) {
		return
	}
	if e.oldestAdviceFirst {
		sort.SliceStable(units, func(a, b int) bool { return units[a].adviceWaitingSince().Before(units[b].adviceWaitingSince()) })
	}
	for _, unit := range units {
		workers := e.adviceCandidates(unit, open, now)
		if len(workers) == 0 {
			continue
		}
		e.oldestAdviceFirst = !e.oldestAdviceFirst
		e.adviceStep = unit.step
		unit.step.adviceRequestedAt = now
		key := unit.tasks[0].key
		e.plan.Ask = &Ask{Job: key.Job, Occurrence: key.Occurrence, Step: key.Step, Workers: workers}
		return
	}
}

// adviceWaitingSince is when the last question for a unit was sent, or else its turn came.
func (u *unit) adviceWaitingSince() time.Time {
	return laterTime(u.step.readyAt, u.step.adviceRequestedAt)
}

// adviceCandidates lists the nodes that would suit a unit and of which no ticket is known: emptiest
// first, as they are the likeliest to seat it, and those that are better left alone last.
func (e *Engine) adviceCandidates(unit *unit, open *view, now time.Time) []AskedWorker {
	var nodes, closed []*node
	for _, node := range open.nodes {
		if unit.needsTicket(node, now) {
			nodes = append(nodes, node)
		}
	}
	for _, node := range e.nodeOrder {
		if node.usable(now) && !node.schedulable(now) && unit.needsTicket(node, now) {
			closed = append(closed, node)
		}
	}
	sort.SliceStable(nodes, func(a, b int) bool {
		return coreEquivalents(open.free[nodes[a].at]) > coreEquivalents(open.free[nodes[b].at])
	})
	nodes = append(nodes, closed...)
	var workers []AskedWorker
	for _, node := range nodes[:min(maxAdviceWorkers, len(nodes))] {
		workers = append(workers, AskedWorker{ID: node.entry.ID, Name: node.entry.Name})
	}
	return workers
}

// needsTicket reports whether it is to be asked if a unit may run on a node that suits it.
func (u *unit) needsTicket(node *node, now time.Time) bool {
	advice := u.step.advice
	return u.eligible(node) && (advice == nil || !now.Before(advice.tickets[node.entry.ID].expiresAt))
}

// Advised takes the answer to a question that was sent at sentAt: tickets by
// worker, valid for some time. Workers without one may never run the step. ok
// is false if no answer came.
func (e *Engine) Advised(ask Ask, ok bool, tickets map[string]string, valid time.Duration, sentAt, now time.Time) {
	step := e.adviceStep
	e.adviceStep = nil
	if !ok {
		e.nextAdviceAt = now.Add(adviceRetryDelay)
		return
	}
	if step.advice == nil {
		step.advice = &advice{tickets: map[string]ticket{}, forbidden: map[string]bool{}}
	}
	for _, worker := range ask.Workers {
		text, permitted := tickets[worker.ID]
		if permitted {
			step.advice.tickets[worker.ID] = ticket{text: text, expiresAt: sentAt.Add(valid - ticketMargin)}
		} else {
			step.advice.forbidden[worker.ID] = true
		}
	}
}

// ticketFor is what a start of a task on a worker carries.
func (s *step) ticketFor(worker string) string {
	if s.advice == nil {
		return ""
	}
	return s.advice.tickets[worker].text
}

// dropTicket forgets a ticket that the worker did not take.
func (s *step) dropTicket(worker string) {
	if s.advice != nil {
		delete(s.advice.tickets, worker)
	}
}
