package batch

import (
	"sync"
	"time"
)

const (
	// maxReportsPerMessage and maxAnswersPerMessage bound one message of a session; the remainder
	// goes into the next one. A report has up to 500 ends of a hundred bytes each.
	maxReportsPerMessage = 64
	maxAnswersPerMessage = 512
	// emptyReportWindow is how long after an order or its answer the empty reports of a worker are forwarded.
	// Later ones bring nothing new: the leader has received one that was requested after the
	// order was answered.
	emptyReportWindow = time.Second
)

// outbox queues the answers and reports that a delegate sends to the leader. It holds only
// the newest report of each worker, as ends are reported until they are acknowledged, so its
// size is bounded by the number of workers and of orders in flight.
type outbox struct {
	signal chan struct{} // wakes the sender up

	lock         sync.Mutex
	answers      []event
	latest       map[string]event // newest report or failure, by worker
	pending      []string         // workers in latest, oldest first
	reportStates map[string]reportState
}

// reportState records the newest order to a worker and the newest empty report from it.
type reportState struct {
	lastActivityAt time.Time // of the newest order, or of the answer to one
	lastEmptyAt    time.Time // request time of the newest forwarded report without runs or ends; zero after another report
}

func newOutbox() *outbox {
	return &outbox{signal: make(chan struct{}, 1), latest: map[string]event{}, reportStates: map[string]reportState{}}
}

// wake wakes the sender up.
func (b *outbox) wake() {
	select {
	case b.signal <- struct{}{}:
	default:
	}
}

// recordActivity records an order to a worker, or the answer to one. Empty reports that were
// requested within emptyReportWindow after it are forwarded.
func (b *outbox) recordActivity(worker string, now time.Time) {
	b.lock.Lock()
	defer b.lock.Unlock()
	state := b.reportStates[worker]
	state.lastActivityAt = now
	b.reportStates[worker] = state
}

func (b *outbox) forget(worker string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	delete(b.reportStates, worker)
}

// put queues an answer. It drops reports that bring nothing new.
func (b *outbox) put(answer event) {
	b.lock.Lock()
	defer b.lock.Unlock()
	switch answer := answer.(type) {
	case holdReply:
		if !b.needsForwarding(answer) {
			return
		}
		b.setLatest(answer.worker, answer)
	case holdFailure:
		delete(b.reportStates, answer.worker)
		b.setLatest(answer.worker, answer)
	default:
		b.answers = append(b.answers, answer)
	}
	b.wake()
}

func (b *outbox) setLatest(worker string, report event) {
	if b.latest[worker] == nil {
		b.pending = append(b.pending, worker)
	}
	b.latest[worker] = report
}

// needsForwarding reports whether a report brings news to the leader. It updates the worker's
// reportState.
func (b *outbox) needsForwarding(report holdReply) bool {
	state := b.reportStates[report.worker]
	empty := len(report.report.Running) == 0 && len(report.report.Ended) == 0
	if !empty {
		state.lastEmptyAt = time.Time{}
		b.reportStates[report.worker] = state
		return true
	}
	if !state.lastEmptyAt.IsZero() && state.lastEmptyAt.After(state.lastActivityAt.Add(emptyReportWindow)) {
		return false
	}
	state.lastEmptyAt = report.sent
	b.reportStates[report.worker] = state
	return true
}

// take removes and returns the next events to send, answers first. It wakes the sender again if
// there are more.
func (b *outbox) take() []event {
	b.lock.Lock()
	defer b.lock.Unlock()
	count := min(maxAnswersPerMessage, len(b.answers))
	list := b.answers[:count:count]
	b.answers = b.answers[count:]
	reports := min(maxReportsPerMessage, len(b.pending))
	for _, worker := range b.pending[:reports] {
		list = append(list, b.latest[worker])
		delete(b.latest, worker)
	}
	b.pending = append([]string(nil), b.pending[reports:]...)
	if len(b.answers) > 0 || len(b.pending) > 0 {
		b.wake()
	}
	return list
}
