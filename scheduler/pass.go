package scheduler

import (
	"container/heap"
	"strconv"

	"github.com/teaselcleat/teaselcleat/structs"
)

// pass tries to place queued jobs: the first of each group of alike jobs, those
// whose target is nearest out of reach first. A group whose first job is
// blocked waits for the next pass.
func (s *Scheduler) pass(groups []*group, now Time) []Action {
	first := make(contenders, 0, len(groups))
	for _, g := range groups {
		if len(g.jobs) > 0 && !(s.logOut && g.key.pinned) {
			first = append(first, s.contend(g, now))
		}
	}
	heap.Init(&first)
	var actions []Action
	for len(first) > 0 {
		next := first[0]
		placed, did := s.try(next.job, now)
		actions = append(actions, did...)
		g := next.job.group
		if placed && len(g.jobs) > 0 {
			first[0] = s.contend(g, now)
			heap.Fix(&first, 0)
			continue
		}
		heap.Pop(&first)
	}
	return actions
}

func (s *Scheduler) contend(g *group, now Time) contender {
	return contender{job: g.jobs[0], hopeless: s.hopeless(g.jobs[0], now)}
}

// tryEvery spaces the searches for room for one blocked job, which cost more
// than the search for free workers.
const tryEvery = Second

// try places a job or, if it is blocked, sees to it that it will not starve.
func (s *Scheduler) try(j *job, now Time) (placed bool, actions []Action) {
	if found, ok := s.find(j, now); ok {
		return true, []Action{s.place(j, found, now)}
	}
	if now < j.nextTry {
		return false, nil
	}
	j.nextTry = now + tryEvery
	if j.heeds = s.heeded(j, now); j.heeds != anyDoubt {
		defer func() { j.heeds = anyDoubt }()
		if found, ok := s.find(j, now); ok {
			return true, []Action{s.place(j, found, now)}
		}
	}
	if found, ok := s.rearrange(j, now); ok {
		return true, []Action{s.place(j, found, now)}
	}
	actions = s.makeRoom(j, now)
	if len(actions) == 0 {
		actions = s.makeWay(j, now)
	}
	if j.reservation == nil {
		s.reserveSoftly(j, now)
	}
	return false, actions
}

func (s *Scheduler) place(j *job, found placement, now Time) Action {
	s.queue.remove(j)
	s.unreserve(j)
	j.runs++
	r := &run{
		id:           s.nextRun(j),
		job:          j,
		nodes:        found.nodes,
		accelerators: j.spec.Shape.Accelerators,
		shares:       s.sharesFor(j, found),
		pinned:       j.pinned(),
		started:      now,
	}
	s.begin(r)
	members := make([]structs.Member, 0, len(found.nodes))
	for _, n := range found.nodes {
		members = append(members, structs.Member{Worker: n.spec.ID, Accelerators: r.accelerators})
	}
	return Place{Job: j.spec.ID, Run: r.id, Members: members, Inside: found.slot != nil, Resume: j.resume}
}

func (s *Scheduler) sharesFor(j *job, found placement) []*slot {
	shares := make([]*slot, len(found.nodes))
	for i, n := range found.nodes {
		shares[i] = found.slot
		if found.slot == nil && j.pinned() && n.spare() < j.spec.Shape.Accelerators {
			shares[i] = s.ownShare(n, j)
		}
	}
	return shares
}

func (s *Scheduler) nextRun(j *job) string {
	s.seq++
	return j.spec.ID + "#" + strconv.FormatInt(s.epoch, 10) + "." + strconv.FormatInt(s.seq, 10)
}
