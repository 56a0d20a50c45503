package placing

import (
	"sort"
	"time"
)

const (
	// maxAdviceWorkers bounds the workers named in one request. The response time
	// grows with each, and the objective of a step allows for thirty.
	maxAdviceWorkers = 30
	// ticketMargin is subtracted from the validity of a ticket. It covers recording
	// the placement and delivering the start.
	ticketMargin = 400 * time.Millisecond
	// adviceRetryDelay is the delay after a request that failed.
	adviceRetryDelay = 200 * time.Millisecond
)

// AdviceRequest is a request to the advice service: which of some workers may run a step.
// One request is outstanding at a time, as the service answers the requests of an
// instance one after the other.
type AdviceRequest struct {
	Job        string
	Occurrence int
	Step       int
	Workers    []AdviceWorker
}

// AdviceWorker is a worker named in a request, and the incarnation that a ticket is for.
type AdviceWorker struct {
	ID   string
	Name string
}

// advice holds the answers of the advice service about the workers for a step.
type advice struct {
	tickets   map[string]ticket
	forbidden map[string]bool // may never run the step
}

// ticket permits a worker to run the tasks of a step until it expires. The start of a task
// carries its text.
type ticket struct {
	text      string
	expiresAt time.Time
}

// hasValidTicket reports whether the policy of the unit's queue permits a node to run it
// now. It is true for queues without advice.
func (u *unit) hasValidTicket(node *node) bool {
	if !u.job.queue.NeedsAdvice {
		return true
	}
	advice := u.step.advice
	return advice != nil && u.now.Before(advice.tickets[node.entry.ID].expiresAt)
}

// hasAnyTicket reports whether the policy of the unit's queue permits a node to run it by
// any answer so far; the ticket may have expired.
func (u *unit) hasAnyTicket(node *node) bool {
	if !u.job.queue.NeedsAdvice {
		return true
	}
	advice := u.step.advice
	return advice != nil && advice.tickets[node.entry.ID].text != ""
}

// forbiddenOn reports whether the policy of the unit's queue never permits a node to run it.
func (u *unit) forbiddenOn(node *node) bool {
	return u.job.queue.NeedsAdvice && u.step.advice != nil && u.step.advice.forbidden[node.entry.ID]
}

// queueForAdvice adds a unit that is not placed, or not completely, to the candidates of
// the next advice request.
func (e *Engine) queueForAdvice(unit *unit) {
	if unit.job.queue.NeedsAdvice {
		e.adviceQueue = append(e.adviceQueue, unit)
	}
}

// requestAdvice plans a request for one of the queued units. It alternates between the
// first unit with workers to request and the one that has waited longest since its last
// request, so that a step that cannot be placed whatever the answer does not use up all
// requests.
func (e *Engine) requestAdvice(view *view, now time.Time) {
	queued := e.adviceQueue
	e.adviceQueue = nil
	if len(queued) == 0 || e.adviceStep != nil || now.Before(e.nextAdviceAt) {
		return
	}
	if e.oldestAdviceFirst {
		sort.SliceStable(queued, func(a, b int) bool { return queued[a].unadvisedSince().Before(queued[b].unadvisedSince()) })
	}
	for _, unit := range queued {
		workers := e.adviceCandidates(unit, view, now)
		if len(workers) == 0 {
			continue
		}
		e.oldestAdviceFirst = !e.oldestAdviceFirst
		e.adviceStep = unit.step
		unit.step.adviceSentAt = now
		key := unit.tasks[0].key
		e.plan.AdviceRequest = &AdviceRequest{Job: key.Job, Occurrence: key.Occurrence, Step: key.Step, Workers: workers}
		return
	}
}

// unadvisedSince returns when the last request for the unit was sent or, if there was
// none, when its step became ready.
func (u *unit) unadvisedSince() time.Time { return laterTime(u.step.readyAt, u.step.adviceSentAt) }

// adviceCandidates lists the eligible nodes for which the unit has no valid ticket:
// emptiest first, as they are the likeliest to take it, and unschedulable ones last.
func (e *Engine) adviceCandidates(unit *unit, v *view, now time.Time) []AdviceWorker {
	var list, unschedulable []*node
	for _, node := range v.nodes {
		if unit.needsTicket(node, now) {
			list = append(list, node)
		}
	}
	for _, node := range e.nodeOrder {
		if node.usable(now) && !node.schedulable(now) && unit.needsTicket(node, now) {
			unschedulable = append(unschedulable, node)
		}
	}
	sort.SliceStable(list, func(a, b int) bool { return coreEquivalents(v.free[list[a].at]) > coreEquivalents(v.free[list[b].at]) })
	list = append(list, unschedulable...)
	var workers []AdviceWorker
	for _, node := range list[:min(maxAdviceWorkers, len(list))] {
		workers = append(workers, AdviceWorker{ID: node.entry.ID, Name: node.entry.Name})
	}
	return workers
}

// needsTicket reports whether a node is eligible for the unit but has no valid ticket.
func (u *unit) needsTicket(node *node, now time.Time) bool {
	advice := u.step.advice
	return u.eligible(node) && (advice == nil || !now.Before(advice.tickets[node.entry.ID].expiresAt))
}

// HandleAdvice takes the response to a request that was sent at sentAt: tickets by worker,
// and how long they are valid. Workers without a ticket may never run the step. ok is
// false if the request failed.
func (e *Engine) HandleAdvice(request AdviceRequest, ok bool, tickets map[string]string, valid time.Duration, sentAt, now time.Time) {
	step := e.adviceStep
	e.adviceStep = nil
	if !ok {
		e.nextAdviceAt = now.Add(adviceRetryDelay)
		return
	}
	if step.advice == nil {
		step.advice = &advice{tickets: map[string]ticket{}, forbidden: map[string]bool{}}
	}
	for _, worker := range request.Workers {
		text, permitted := tickets[worker.ID]
		if permitted {
			step.advice.tickets[worker.ID] = ticket{text: text, expiresAt: sentAt.Add(valid - ticketMargin)}
		} else {
			step.advice.forbidden[worker.ID] = true
		}
	}
}

// ticketFor returns the ticket that the start of a task on a worker carries.
func (s *step) ticketFor(worker string) string {
	if s.advice == nil {
		return ""
	}
	return s.advice.tickets[worker].text
}

// dropTicket removes a ticket that the worker rejected.
func (s *step) dropTicket(worker string) {
	if s.advice != nil {
		delete(s.advice.tickets, worker)
	}
}
