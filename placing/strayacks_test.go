package placing

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against ends that an acknowledgement for the former incarnation of a worker discards at the next one.
func TestNoWorkWhileAckForFormerIncarnationMayArrive(t *testing.T) {
	for _, c := range []struct {
		name      string
		ack, lost bool // an acknowledgement was sent, and not confirmed
		byAnswer  bool // the former's link has met the next incarnation; otherwise that one's own link has
		heldBack  bool
	}{
		{"none was sent", false, false, true, false},
		{"confirmed", true, false, true, false},
		{"not confirmed", true, true, true, true},
		{"not known", true, false, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			first, later := incarnationEntry("w1", 100), incarnationEntry("w1", 200)
			e, key := engineWithStart(first)
			e.StartAnswered(first.ID, key, 1, StartAccepted, testStart)
			if c.ack {
				now := testStart.Add(time.Second)
				e.Report(first.ID, now, nil, []EndedTask{{Number: 1, Task: key, Run: 1, Kind: EndFailed}}, time.Time{}, now)
				e.Decide(now)
				e.MarkRecordsDurable(now)
				is.Equal(len(e.Decide(now).Acks), 1)
			}
			now := testStart.Add(2 * time.Second)
			if c.lost {
				e.AckUnanswered(first.ID, now)
			}
			if c.byAnswer {
				e.ReplaceIncarnation(first.ID, 200, now)
			}
			e.UpdateWorkers([]WorkerEntry{later}, now)
			e.Report(later.ID, now, nil, nil, time.Time{}, now)
			is.Equal(e.nodes[later.ID].usable(now), !c.heldBack)
			is.Equal(e.nodes[later.ID].usable(now.Add(MaxOrderDelay-time.Millisecond)), !c.heldBack)
			is.True(e.nodes[later.ID].usable(now.Add(MaxOrderDelay)))
		})
	}
}

// Guards against ends that the acknowledgement of a delegate that was lost discards at the next incarnation.
func TestNoWorkWhileAckOfLostDelegateMayArrive(t *testing.T) {
	is := is.New(t)
	first, later := incarnationEntry("w1", 100), incarnationEntry("w1", 200)
	e, key := engineWithStart(first)
	e.StartAnswered(first.ID, key, 1, StartAccepted, testStart)
	e.Report(first.ID, testStart, nil, []EndedTask{{Number: 1, Task: key, Run: 1, Kind: EndFailed}}, time.Time{}, testStart)
	e.Decide(testStart)
	e.MarkRecordsDurable(testStart)
	is.Equal(len(e.Decide(testStart).Acks), 1)
	lostAt := testStart.Add(time.Second)
	e.AckUnanswered(first.ID, lostAt) // as for each worker of a session that ends
	e.WorkerUnreachable(first.ID, lostAt.Add(LeaseExpiry(testLimits.MaxLease)), lostAt)
	e.UpdateWorkers([]WorkerEntry{later}, lostAt)
	e.Report(later.ID, lostAt, nil, nil, time.Time{}, lostAt)
	is.True(!e.nodes[later.ID].usable(lostAt.Add(MaxOrderDelay - time.Millisecond)))
	is.True(e.nodes[later.ID].usable(lostAt.Add(MaxOrderDelay)))
}

// Guards against a worker that gets no work for a while though it has not restarted: its entry was absent for a
// moment.
func TestWorkerThatIsListedOnceMoreIsUsedAtOnce(t *testing.T) {
	is := is.New(t)
	first := incarnationEntry("w1", 100)
	e, key := engineWithStart(first)
	e.StartAnswered(first.ID, key, 1, StartAccepted, testStart)
	e.Report(first.ID, testStart, nil, []EndedTask{{Number: 1, Task: key, Run: 1, Kind: EndFailed}}, time.Time{}, testStart)
	e.Decide(testStart)
	e.MarkRecordsDurable(testStart)
	is.Equal(len(e.Decide(testStart).Acks), 1)
	e.Cancel(key.Job, testStart)
	e.UpdateWorkers(nil, testStart)
	is.Equal(len(e.nodes), 0)
	now := testStart.Add(time.Second)
	e.UpdateWorkers([]WorkerEntry{first}, now)
	e.Report(first.ID, now, nil, nil, time.Time{}, now)
	is.True(e.nodes[first.ID].usable(now))
}
