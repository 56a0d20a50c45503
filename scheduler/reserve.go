package scheduler

import "sort"

// Constants of reservations.
const (
	maxReservations   = 4
	reservationReview = 30 * Second // how long a soft reservation stands before it is chosen anew
	firmReservation   = 5 * Minute  // how long stopped runs are waited for
)

// reservation keeps workers for a job that cannot start yet. A firm one has had
// runs stopped for it; a soft one lets others use the workers until its start.
type reservation struct {
	job     *job
	nodes   []*node
	slot    *slot
	start   Time // when the workers are expected to be free
	expires Time
	firm    bool
}

func (s *Scheduler) reserve(kept *reservation) {
	s.unreserve(kept.job)
	kept.job.reservation = kept
	for _, n := range kept.nodes {
		n.reserved = append(n.reserved, kept)
	}
	s.reservations = append(s.reservations, kept)
}

func (s *Scheduler) unreserve(j *job) {
	kept := j.reservation
	if kept == nil {
		return
	}
	j.reservation = nil
	for _, n := range kept.nodes {
		n.reserved = removeReservation(n.reserved, kept)
	}
	s.reservations = removeReservation(s.reservations, kept)
}

func removeReservation(list []*reservation, gone *reservation) []*reservation {
	for i, known := range list {
		if known == gone {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// findReserved places a job on the workers kept for it once all are free.
func (s *Scheduler) findReserved(j *job, now Time) (placement, bool) {
	kept := j.reservation
	if kept == nil {
		return placement{}, false
	}
	wanted := j.spec.Shape.Accelerators
	for _, n := range kept.nodes {
		free := n.free
		if kept.slot == nil {
			free -= s.keptFor(n, j, now)
		}
		if !kept.holds(n) || free < wanted || !s.admits(n, j, now) {
			return placement{}, false
		}
		if kept.slot == nil && j.pinned() && n.spare() < wanted && s.ownShare(n, j) == nil {
			return placement{}, false
		}
	}
	return placement{nodes: kept.nodes, slot: kept.slot}, true
}

// expireReservations drops those whose time is over, whose workers are gone, or
// whose freed accelerators a guarantee has taken.
func (s *Scheduler) expireReservations(now Time) {
	for _, kept := range append([]*reservation(nil), s.reservations...) {
		if now >= kept.expires || !all(kept.nodes, kept.holds) || !all(kept.nodes, kept.comes) {
			s.unreserve(kept.job)
			s.roomChanged = true
		}
	}
}

// holds reports whether a node still serves the reservation.
func (k *reservation) holds(n *node) bool {
	return n.usable() && (k.slot == nil || k.slot.leaves(n, k.job.spec.Shape.Accelerators))
}

// comes reports whether a node has the room for the job of a firm reservation,
// or will have it when the runs that were asked to stop have stopped.
func (k *reservation) comes(n *node) bool {
	if !k.firm {
		return true
	}
	stopping := func(r *run) bool { return r.stopping }
	return n.free+stoppable(n, stopping) >= k.job.spec.Shape.Accelerators
}

// leaves reports whether the slot has a member on the node with so many
// accelerators not in use by inside runs.
func (s *slot) leaves(n *node, wanted int) bool {
	member := s.member(n)
	return member >= 0 && s.used[member]+wanted <= s.shape.Accelerators
}

// reserveSoftly keeps for a blocked gang the workers that should be free first.
func (s *Scheduler) reserveSoftly(j *job, now Time) {
	if j.reservation != nil || len(s.reservations) >= maxReservations || j.spec.Shape.Members < 2 {
		return
	}
	nodes, start := s.soonest(j, now)
	if nodes == nil {
		return
	}
	s.reserve(&reservation{job: j, nodes: nodes, start: start, expires: now + reservationReview})
}

// nodeTime is a worker and when it should have room.
type nodeTime struct {
	node *node
	at   Time
}

// soonest chooses the workers on which a job could start first, in one rack if
// its shape is adjacent.
func (s *Scheduler) soonest(j *job, now Time) ([]*node, Time) {
	if !j.spec.Shape.Adjacent {
		var everywhere []nodeTime
		for _, r := range s.cluster.racks {
			everywhere = append(everywhere, s.roomTimes(r, j, now)...)
		}
		return firstFree(everywhere, j.spec.Shape.Members)
	}
	var best []*node
	var bestAt Time
	for _, r := range s.cluster.racks {
		if len(r.nodes) < j.spec.Shape.Members {
			continue
		}
		nodes, at := firstFree(s.roomTimes(r, j, now), j.spec.Shape.Members)
		if nodes != nil && (best == nil || at < bestAt) {
			best, bestAt = nodes, at
		}
	}
	return best, bestAt
}

func firstFree(times []nodeTime, wanted int) ([]*node, Time) {
	if len(times) < wanted {
		return nil, 0
	}
	sort.SliceStable(times, func(a, b int) bool { return times[a].at < times[b].at })
	nodes := make([]*node, 0, wanted)
	for _, t := range times[:wanted] {
		nodes = append(nodes, t.node)
	}
	return nodes, times[wanted-1].at
}

func (s *Scheduler) roomTimes(r *rack, j *job, now Time) []nodeTime {
	var times []nodeTime
	for _, n := range r.nodes {
		if !s.admits(n, j, now) || len(n.reserved) > 0 {
			continue
		}
		if j.pinned() && n.spare() < j.spec.Shape.Accelerators && s.ownShare(n, j) == nil {
			continue
		}
		if at, ok := s.roomTime(n, j.spec.Shape.Accelerators, now); ok {
			times = append(times, nodeTime{n, at})
		}
	}
	return times
}

// roomTime estimates when a worker has so many free accelerators. A run that is long overdue
// may go on for ever: no room is expected of it.
func (s *Scheduler) roomTime(n *node, wanted int, now Time) (Time, bool) {
	if n.free >= wanted {
		return now, true
	}
	type ending struct {
		at    Time
		gives int
	}
	endings := make([]ending, 0, len(n.runs))
	for _, r := range n.runs {
		if s.estimates.longOverdue(r, now) {
			continue
		}
		endings = append(endings, ending{now + s.estimates.remaining(r, now), r.accelerators})
	}
	sort.SliceStable(endings, func(a, b int) bool { return endings[a].at < endings[b].at })
	free := n.free
	for _, e := range endings {
		free += e.gives
		if free >= wanted {
			return e.at, true
		}
	}
	return 0, false
}
