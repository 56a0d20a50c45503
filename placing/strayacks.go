package placing

import "time"

// Ends are numbered from 1 in each incarnation of a worker. An acknowledgement that the next incarnation
// receives in place of the former discards ends of its own that nobody has read. So an incarnation
// gets no work while an acknowledgement for a former one may still arrive.

// sentAcks records the acknowledgements that an incarnation was sent in this term.
type sentAcks struct {
	any          bool
	unansweredAt time.Time // when one was given up last; zero for none
}

// AckUnanswered reports that a worker that has answered until now has not confirmed an acknowledgement.
func (e *Engine) AckUnanswered(worker string, now time.Time) {
	if n := e.nodes[worker]; n != nil && n.answering && n.sentAcks.any {
		n.sentAcks.unansweredAt = now
	}
}

// acksArriveUntil returns until when an acknowledgement to a node may arrive, if none is sent from now on.
// One is under way if the node was last known to answer. It returns zero if none can arrive.
func (n *node) acksArriveUntil(now time.Time) time.Time {
	unansweredAt := n.sentAcks.unansweredAt
	if n.answering && n.sentAcks.any {
		unansweredAt = now
	}
	if unansweredAt.IsZero() {
		return time.Time{}
	}
	return unansweredAt.Add(MaxOrderDelay)
}
