package placing

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// leaseHandover makes the leaders of a simulation pass on which workers they have not reached. Workers
// that are alive are absent from the list at times, and former leaders go on until the log
// rejects their writes, or until they have certainly given up.
type leaseHandover struct {
	hiddenUntil map[string]time.Time
	shownUntil  time.Time // until when the worker of toggle is listed, after hiddenUntil
	former      []*modelLeader
	inherited   int // workers that a leader took over as unreached
	passedOver  int // times that a listed worker was not polled
}

// maxRenewalAge is how old the newest renewal of the term may be that a new leader has observed.
const maxRenewalAge = 2 * time.Second

// apply hands over from the present leader to the next one.
func (h *leaseHandover) apply(s *simulation, next *modelLeader) {
	if h == nil || s.leader == nil {
		return
	}
	former := s.leader
	if renewalAge := time.Duration(s.rng.Int64N(int64(maxRenewalAge))); !s.chance(10) {
		next.engine.SetFormerLeases(former.engine.FormerLeasesExpireAt().Add(renewalAge))
	}
	next.engine.LoadUnreached(s.table.Unreached())
	h.inherited += len(next.engine.unreached.inherited)
	h.former = append(h.former, former)
	s.schedule(time.Duration(s.rng.Int64N(int64(testLimits.LostLeaderTimeout))), func() { former.deposed = true })
}

// runFormerLeaders lets former leaders decide as long as nothing has told them of a later term.
func (h *leaseHandover) runFormerLeaders(s *simulation) {
	if h == nil {
		return
	}
	remaining := h.former[:0]
	for _, leader := range h.former {
		if leader.deposed {
			continue
		}
		remaining = append(remaining, leader)
		s.readWorkerList(leader)
		s.executePlan(leader, leader.engine.Decide(s.now))
	}
	h.former = remaining
	h.passedOver += len(s.leader.engine.unreached.returned)
}

// hides reports whether a worker is absent from the list although it may be alive.
func (h *leaseHandover) hides(name string, now time.Time) bool {
	return h != nil && now.Before(h.hiddenUntil[name])
}

// appendLatency returns how long an append to the log takes.
func (h *leaseHandover) appendLatency(s *simulation) time.Duration {
	if h == nil {
		return 4 * time.Millisecond
	}
	return time.Duration(4+s.rng.IntN(600)) * time.Millisecond
}

// toggle hides a worker that is listed, or lists it again for a moment.
func (h *leaseHandover) toggle(s *simulation, name string) {
	if !s.now.Before(h.shownUntil) {
		h.hiddenUntil[name] = s.now.Add(time.Duration(500+s.rng.IntN(4000)) * time.Millisecond)
		h.shownUntil = h.hiddenUntil[name].Add(time.Duration(50+s.rng.IntN(500)) * time.Millisecond)
	}
}

// submitLongJob submits a job whose runs outlast several leaders.
func (s *simulation) submitLongJob() {
	step := testStep(1+s.rng.IntN(3), int64(1+s.rng.IntN(4)))
	step.Gang = s.rng.IntN(4) == 0
	job := testJob(hexID(len(s.jobs)+1), s.rng.IntN(3), step)
	s.profiles[jobs.TaskKey{Job: job.ID}] = runProfile{runTime: time.Duration(40+s.rng.IntN(60)) * time.Second}
	s.submitJob(job)
}

// Leaders change faster than leases expire, and the list lacks workers that are alive: a leader that
// takes over the time for unreached workers must not start a task that still runs there.
func TestTaskAtAnUnreachedWorkerRunsOnceOverQuickChangesOfLeader(t *testing.T) {
	inherited, passedOver := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 5).Draw(t, "workers"))
		s.profiles = map[jobs.TaskKey]runProfile{}
		s.handover = &leaseHandover{hiddenUntil: map[string]time.Time{}}
		s.changeLeader()
		s.submitLongJob()
		s.submitLongJob()
		s.run(2*time.Second, func() {})
		nextChange := s.now
		s.run(50*time.Second, func() {
			s.handover.toggle(s, "w001")
			if !s.now.Before(nextChange) {
				s.changeLeader()
				nextChange = s.now.Add(time.Duration(200+s.rng.IntN(3000)) * time.Millisecond)
			}
			if len(s.jobs) < 10 && s.rng.IntN(1000) == 0 {
				s.submitLongJob()
			}
		})
		inherited += s.handover.inherited
		passedOver += s.handover.passedOver
		for _, violation := range s.violations {
			t.Error(violation)
		}
	})
	if inherited == 0 || passedOver == 0 {
		t.Fatalf("the model shows nothing: %d workers inherited, %d passed over", inherited, passedOver)
	}
}
