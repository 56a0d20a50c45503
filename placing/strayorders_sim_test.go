package placing

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/teaselcleat/teaselcleat/jobs"
)

const (
	// minStrayDelay and maxStrayDelay bound how late an order without an answer is carried out.
	minStrayDelay = 2 * time.Second
	maxStrayDelay = 12 * time.Second
	// stopGrace is how long after its first answer an incarnation may not have received a stop yet.
	stopGrace = 5 * time.Second
)

// startedRun identifies a run of a task.
type startedRun struct {
	task   jobs.TaskKey
	number int
}

// strayOrderModel delays orders that get no answer, and delivers them to whichever incarnation of
// the worker there is by then.
type strayOrderModel struct {
	percent    int                        // share of the orders
	settled    map[startedRun]bool        // runs that have ended, or that some incarnation refuses
	answeredAt map[*modelWorker]time.Time // when an incarnation first answered a poll
	epochs     map[string]int64           // newest term whose orders a worker has accepted, by name
	active     bool                       // a stray order is being carried out
}

func newStrayOrderModel(percent int) *strayOrderModel {
	return &strayOrderModel{percent: percent, settled: map[startedRun]bool{}, answeredAt: map[*modelWorker]time.Time{}, epochs: map[string]int64{}}
}

// send carries an order out late, if at all.
func (m *strayOrderModel) send(s *simulation, name string, order func(worker *modelWorker) bool) {
	if s.chance(20) {
		return
	}
	delay := minStrayDelay + time.Duration(s.rng.Int64N(int64(maxStrayDelay-minStrayDelay)))
	s.schedule(delay, func() {
		worker := s.currentIncarnation(name)
		if !worker.up {
			return
		}
		m.active = true
		order(worker)
		m.active = false
	})
}

func (m *strayOrderModel) carryingOut() bool { return m != nil && m.active }

func (m *strayOrderModel) settle(run startedRun) {
	if m != nil {
		m.settled[run] = true
	}
}

// recordAnswer records that an incarnation has answered a poll of a term.
func (m *strayOrderModel) recordAnswer(s *simulation, worker *modelWorker, epoch int64) {
	if m == nil {
		return
	}
	m.epochs[worker.entry.Name] = max(m.epochs[worker.entry.Name], epoch)
	if m.answeredAt[worker].IsZero() {
		m.answeredAt[worker] = s.now
	}
}

// cannotBePrevented reports whether a stray start arrives at an incarnation that no order of the leader can have
// reached, after an earlier incarnation has told that the run is over, or has refused the start's term.
func (m *strayOrderModel) cannotBePrevented(s *simulation, worker *modelWorker, epoch int64, run startedRun) bool {
	if !m.carryingOut() || !m.settled[run] && epoch >= m.epochs[worker.entry.Name] {
		return false
	}
	answeredAt := m.answeredAt[worker]
	return answeredAt.IsZero() || s.now.Sub(answeredAt) < stopGrace
}

// carryOutStrayPoll grants the lease of a poll and drops the ends that it acknowledges, at whichever
// incarnation receives it.
func (s *simulation) carryOutStrayPoll(worker *modelWorker, id string, until time.Time, ack int64) {
	if worker.entry.ID != id && !until.IsZero() {
		until = s.now.Add(testLimits.MaxLease)
	}
	worker.leaseUntil = laterTime(worker.leaseUntil, until)
	s.acknowledgeEnds(worker, ack)
}

// Guards against a start that reaches the next incarnation of its worker up to twelve seconds late and runs beside
// the next run of its task.
func TestOrdersAtWhicheverIncarnationRunNothingTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(4, 7).Draw(t, "workers"))
		s.strayOrders = newStrayOrderModel(15)
		playFaults(t, s, 25*time.Second)
	})
}
