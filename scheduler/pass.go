package scheduler

import (
	"container/heap"
	"strconv"

	"github.com/teaselcleat/teaselcleat/structs"
)

// runPass tries to place the first job of each group. Jobs whose target can still be met come
// first, then those with the earliest latest start. If the first job of a group is blocked, the
// group waits for the next pass.
func (s *Scheduler) runPass(groups []*group, now Time) []Action {
	heads := make(contenders, 0, len(groups))
	for _, g := range groups {
		if len(g.jobs) > 0 && !(s.logUnavailable && g.key.pinned) {
			heads = append(heads, s.newContender(g, now))
		}
	}
	heap.Init(&heads)
	var actions []Action
	for len(heads) > 0 {
		next := heads[0]
		placed, tryActions := s.tryPlace(next.job, now)
		actions = append(actions, tryActions...)
		g := next.job.group
		if placed && len(g.jobs) > 0 {
			heads[0] = s.newContender(g, now)
			heap.Fix(&heads, 0)
			continue
		}
		heap.Pop(&heads)
	}
	return actions
}

func (s *Scheduler) newContender(g *group, now Time) contender {
	return contender{job: g.jobs[0], missesTarget: s.missesTarget(g.jobs[0], now)}
}

// tryInterval is the minimum interval between attempts to make capacity for one blocked job,
// which cost more than the search for free workers.
const tryInterval = Second

// tryPlace places a job. If the job is blocked, it preempts runs or reserves workers for it so
// that it does not starve.
func (s *Scheduler) tryPlace(j *job, now Time) (placed bool, actions []Action) {
	if found, ok := s.findPlacement(j, now); ok {
		return true, []Action{s.place(j, found, now)}
	}
	if now < j.nextTry {
		return false, nil
	}
	j.nextTry = now + tryInterval
	if j.avoidance = s.fallbackAvoidance(j, now); j.avoidance != avoidSuspects {
		defer func() { j.avoidance = avoidSuspects }()
		if found, ok := s.findPlacement(j, now); ok {
			return true, []Action{s.place(j, found, now)}
		}
	}
	if found, ok := s.placeMovingGuarantees(j, now); ok {
		return true, []Action{s.place(j, found, now)}
	}
	actions = s.preempt(j, now)
	if len(actions) == 0 {
		actions = s.preemptForGang(j, now)
	}
	if j.reservation == nil {
		s.reserveSoft(j, now)
	}
	return false, actions
}

func (s *Scheduler) place(j *job, found placement, now Time) Action {
	s.queue.remove(j)
	s.unreserve(j)
	j.runCount++
	r := &run{
		id:           s.nextRunID(j),
		job:          j,
		nodes:        found.nodes,
		accelerators: j.spec.Shape.Accelerators,
		slots:        s.slotsFor(j, found),
		pinned:       j.pinned(),
		started:      now,
	}
	s.trackRun(r)
	members := make([]structs.Member, 0, len(found.nodes))
	for _, n := range found.nodes {
		members = append(members, structs.Member{Worker: n.spec.ID, Accelerators: r.accelerators})
	}
	return Place{Job: j.spec.ID, Run: r.id, Members: members, InGuarantee: found.slot != nil, Resume: j.resume}
}

// slotsFor returns the slot whose accelerators the job uses on each node of its placement, or nil
// where it uses none.
func (s *Scheduler) slotsFor(j *job, found placement) []*slot {
	slots := make([]*slot, len(found.nodes))
	for i, n := range found.nodes {
		slots[i] = found.slot
		if found.slot == nil && j.pinned() && n.spare() < j.spec.Shape.Accelerators {
			slots[i] = s.ownSlot(n, j)
		}
	}
	return slots
}

func (s *Scheduler) nextRunID(j *job) string {
	s.seq++
	return j.spec.ID + "#" + strconv.FormatInt(s.epoch, 10) + "." + strconv.FormatInt(s.seq, 10)
}
