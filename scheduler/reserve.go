package scheduler

import "sort"

// Parameters of reservations.
const (
	maxReservations        = 4
	softReservationTimeout = 30 * Second // after it, the workers are chosen again
	firmReservationTimeout = 5 * Minute  // how long to wait for stopped runs to end
)

// reservation holds workers for a blocked job. For a firm one, runs were stopped; a soft one
// lets other jobs use the workers until its start.
type reservation struct {
	job     *job
	nodes   []*node
	slot    *slot // guarantee that the job will be inside; nil if none
	start   Time  // when the workers are expected to be free
	expires Time
	firm    bool
}

// reserve records a reservation and replaces an earlier one of the same job.
func (s *Scheduler) reserve(res *reservation) {
	s.unreserve(res.job)
	res.job.reservation = res
	for _, n := range res.nodes {
		n.reservations = append(n.reservations, res)
	}
	s.reservations = append(s.reservations, res)
}

func (s *Scheduler) unreserve(j *job) {
	res := j.reservation
	if res == nil {
		return
	}
	j.reservation = nil
	for _, n := range res.nodes {
		n.reservations = removeReservation(n.reservations, res)
	}
	s.reservations = removeReservation(s.reservations, res)
}

func removeReservation(reservations []*reservation, target *reservation) []*reservation {
	for i, res := range reservations {
		if res == target {
			return append(reservations[:i], reservations[i+1:]...)
		}
	}
	return reservations
}

// findReserved returns the workers reserved for a job once all of them are free.
func (s *Scheduler) findReserved(j *job, now Time) (placement, bool) {
	res := j.reservation
	if res == nil {
		return placement{}, false
	}
	wanted := j.spec.Shape.Accelerators
	for _, n := range res.nodes {
		free := n.free
		if res.slot == nil {
			free -= s.reservedForOthers(n, j, now)
		}
		if !res.usableOn(n) || free < wanted || !s.eligible(n, j, now) {
			return placement{}, false
		}
		if res.slot == nil && j.pinned() && n.spare() < wanted && s.ownSlot(n, j) == nil {
			return placement{}, false
		}
	}
	return placement{nodes: res.nodes, slot: res.slot}, true
}

// expireReservations drops reservations that have expired, whose workers are no longer usable,
// or whose freed accelerators are used by a guarantee.
func (s *Scheduler) expireReservations(now Time) {
	for _, res := range append([]*reservation(nil), s.reservations...) {
		if now >= res.expires || !allNodes(res.nodes, res.usableOn) || !allNodes(res.nodes, res.willHaveCapacity) {
			s.unreserve(res.job)
			s.capacityChanged = true
		}
	}
}

// usableOn reports whether the reservation can still be used on a node.
func (res *reservation) usableOn(n *node) bool {
	return n.usable() && (res.slot == nil || res.slot.hasFree(n, res.job.spec.Shape.Accelerators))
}

// willHaveCapacity reports whether a node of a firm reservation has capacity for the job, or
// will have it when all stopping runs have ended.
func (res *reservation) willHaveCapacity(n *node) bool {
	if !res.firm {
		return true
	}
	stopping := func(r *run) bool { return r.stopping }
	return n.free+stoppableAccelerators(n, stopping) >= res.job.spec.Shape.Accelerators
}

// hasFree reports whether the slot has a member on the node with that many accelerators not
// used by runs inside it.
func (s *slot) hasFree(n *node, wanted int) bool {
	member := s.memberIndex(n)
	return member >= 0 && s.used[member]+wanted <= s.shape.Accelerators
}

// reserveSoft reserves for a blocked gang the workers expected to be free first.
func (s *Scheduler) reserveSoft(j *job, now Time) {
	if j.reservation != nil || len(s.reservations) >= maxReservations || j.spec.Shape.Members < 2 {
		return
	}
	nodes, start := s.earliestNodes(j, now)
	if nodes == nil {
		return
	}
	s.reserve(&reservation{job: j, nodes: nodes, start: start, expires: now + softReservationTimeout})
}

// nodeTime is a worker and when it is expected to have capacity.
type nodeTime struct {
	node *node
	at   Time
}

// earliestNodes chooses the workers on which a job could start first, in one rack if its shape
// is adjacent.
func (s *Scheduler) earliestNodes(j *job, now Time) ([]*node, Time) {
	if !j.spec.Shape.Adjacent {
		var times []nodeTime
		for _, r := range s.cluster.racks {
			times = append(times, s.freeTimes(r, j, now)...)
		}
		return earliestFreeNodes(times, j.spec.Shape.Members)
	}
	var best []*node
	var bestAt Time
	for _, r := range s.cluster.racks {
		if len(r.nodes) < j.spec.Shape.Members {
			continue
		}
		nodes, at := earliestFreeNodes(s.freeTimes(r, j, now), j.spec.Shape.Members)
		if nodes != nil && (best == nil || at < bestAt) {
			best, bestAt = nodes, at
		}
	}
	return best, bestAt
}

// earliestFreeNodes returns the wanted number of nodes that are free first and when the last of
// them is, or nil if there are too few.
func earliestFreeNodes(times []nodeTime, wanted int) ([]*node, Time) {
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

// freeTimes estimates when the workers of a rack that the job may use have capacity for one
// member.
func (s *Scheduler) freeTimes(r *rack, j *job, now Time) []nodeTime {
	var times []nodeTime
	for _, n := range r.nodes {
		if !s.eligible(n, j, now) || len(n.reservations) > 0 {
			continue
		}
		if j.pinned() && n.spare() < j.spec.Shape.Accelerators && s.ownSlot(n, j) == nil {
			continue
		}
		if at, ok := s.freeTime(n, j.spec.Shape.Accelerators, now); ok {
			times = append(times, nodeTime{n, at})
		}
	}
	return times
}

// freeTime estimates when a worker has that many free accelerators. Runs that are long overdue
// may never end, so they are not expected to free any.
func (s *Scheduler) freeTime(n *node, wanted int, now Time) (Time, bool) {
	if n.free >= wanted {
		return now, true
	}
	type ending struct {
		at           Time
		accelerators int
	}
	endings := make([]ending, 0, len(n.runs))
	for _, r := range n.runs {
		if s.estimates.longOverdue(r, now) {
			continue
		}
		endings = append(endings, ending{now + s.estimates.remainingTime(r, now), r.accelerators})
	}
	sort.SliceStable(endings, func(a, b int) bool { return endings[a].at < endings[b].at })
	free := n.free
	for _, e := range endings {
		free += e.accelerators
		if free >= wanted {
			return e.at, true
		}
	}
	return 0, false
}
