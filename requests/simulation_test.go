package requests_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/teaselcleat/teaselcleat/internal/prooftest"
	"github.com/teaselcleat/teaselcleat/ledger"
	"github.com/teaselcleat/teaselcleat/requests"
	"github.com/teaselcleat/teaselcleat/structs"
)

func TestMain(m *testing.M) { prooftest.Main(m, "150") }

// caller is one submission of a request key at one instance.
type caller struct {
	id             string
	key            string
	instance       *instance
	machine        *requests.Machine
	pendingEvents  []requests.Event // produced but not yet processed by the machine
	claiming       bool
	attemptPending bool // an attempt is in flight
	executions     int  // number of attempts that a runner executed
	finish         *requests.Finish
}

// instance is one boot of a scheduler instance: its log writer, fold and requests.
type instance struct {
	name      string
	unflushed []structs.Record // records to append to the log
	claimants []*caller        // claimants[i] is the caller of unflushed[i] if that is a claim, else nil
	fold      *ledger.State
	callers   []*caller
	dead      bool
	paused    bool
}

// simulation models the log, the instances and one runner.
type simulation struct {
	t          *rapid.T
	now        time.Time
	log        []structs.Record
	instances  []*instance
	callers    []*caller
	executions map[string]int
	issuedAt   map[string]int64 // Unix milliseconds at which each key was created
	keys       []string
	seq        int
	// mutation disables one mechanism, to verify that the property test detects it.
	mutation mutation
}

type mutation int

const (
	noMutation mutation = iota
	sendBeforeClaimRead
	releaseAfterSend
	pruneWithoutRefusal
	releaseByAnother
)

func newSimulation(t *rapid.T, mutated mutation) *simulation {
	s := &simulation{t: t, now: time.Unix(1_800_000_000, 0), executions: map[string]int{}, issuedAt: map[string]int64{}, mutation: mutated}
	for range 3 {
		s.addInstance()
	}
	return s
}

func (s *simulation) addInstance() *instance {
	s.seq++
	inst := &instance{name: fmt.Sprintf("h%d", s.seq), fold: ledger.New()}
	s.instances = append(s.instances, inst)
	return inst
}

func (s *simulation) liveInstances() []*instance {
	var live []*instance
	for _, inst := range s.instances {
		if !inst.dead && !inst.paused {
			live = append(live, inst)
		}
	}
	return live
}

func (s *simulation) drawInstance() *instance {
	live := s.liveInstances()
	if len(live) == 0 {
		return s.addInstance()
	}
	return rapid.SampledFrom(live).Draw(s.t, "holder")
}

// newKey creates a key and records the time, which callers send with each submission.
func (s *simulation) newKey() {
	key := fmt.Sprintf("k%d", len(s.keys)+1)
	s.keys = append(s.keys, key)
	s.issuedAt[key] = s.now.UnixMilli()
}

func (s *simulation) submit() {
	inst := s.drawInstance()
	s.seq++
	if len(s.keys) == 0 || rapid.IntRange(0, 5).Draw(s.t, "new key") == 0 {
		s.newKey()
	}
	recent := s.keys[max(0, len(s.keys)-2):]
	c := &caller{id: fmt.Sprintf("c%d", s.seq), key: rapid.SampledFrom(recent).Draw(s.t, "key"), instance: inst}
	c.machine = requests.New(requests.Spec{Key: structs.KeyID{Key: c.key}, Class: "flow", Deadline: s.now.Add(20 * time.Second)}, c.id)
	inst.callers = append(inst.callers, c)
	s.callers = append(s.callers, c)
	s.stepMachine(c, requests.Started{})
}

func (s *simulation) stepMachine(c *caller, event requests.Event) {
	for _, action := range c.machine.Step(event, s.now) {
		s.executeAction(c, action)
	}
}

func (s *simulation) enqueue(inst *instance, record structs.Record, owner *caller) {
	inst.unflushed = append(inst.unflushed, record)
	inst.claimants = append(inst.claimants, owner)
}

func (s *simulation) executeAction(c *caller, action requests.Action) {
	key := structs.KeyID{Key: c.key}
	switch a := action.(type) {
	case requests.AppendClaim:
		c.claiming = true
		s.enqueue(c.instance, structs.Record{Claim: &structs.Claim{ID: c.id, Key: key, Class: "flow", Holder: c.instance.name, IssuedMS: s.issuedAt[c.key]}}, c)
		if s.mutation == sendBeforeClaimRead {
			c.claiming = false
			c.pendingEvents = append(c.pendingEvents, requests.ClaimResult{Entry: &ledger.KeyEntry{Claim: structs.Claim{ID: c.id}, Phase: ledger.KeyOpen}})
		}
	case requests.PickRunner:
		c.pendingEvents = append(c.pendingEvents, requests.RunnerPicked{Runner: "r"})
	case requests.SendAttempt:
		c.attemptPending = true
	case requests.AppendRelease:
		s.enqueue(c.instance, structs.Record{Release: &structs.Release{ClaimID: c.id, Key: key, Reason: a.Reason}}, nil)
	case requests.AppendComplete:
		s.enqueue(c.instance, structs.Record{Complete: &structs.Completion{ClaimID: c.id, Key: key, Outcome: a.Outcome, Reason: a.Reason, Holder: true, Status: a.Status, Answer: a.Answer, AnswerStored: a.AnswerStored}}, nil)
		if s.mutation == releaseAfterSend && a.Outcome == structs.OutcomeUnknown {
			s.enqueue(c.instance, structs.Record{Release: &structs.Release{ClaimID: c.id, Key: key}}, nil)
			c.instance.unflushed[len(c.instance.unflushed)-2].Complete = nil
		}
	case requests.Finish:
		c.finish = &a
	}
}

// deliverEvent passes one pending event to its machine.
func (s *simulation) deliverEvent() {
	for _, inst := range s.liveInstances() {
		for _, c := range inst.callers {
			if len(c.pendingEvents) > 0 {
				event := c.pendingEvents[0]
				c.pendingEvents = c.pendingEvents[1:]
				s.stepMachine(c, event)
				return
			}
		}
	}
}

// flushRecord appends the oldest record of an instance. The answer may be lost, in which
// case the record is appended again later.
func (s *simulation) flushRecord() {
	inst := s.drawInstance()
	if len(inst.unflushed) == 0 {
		return
	}
	record, owner := inst.unflushed[0], inst.claimants[0]
	if owner != nil && owner.finish != nil && rapid.Bool().Draw(s.t, "abandoned in time") {
		inst.unflushed, inst.claimants = inst.unflushed[1:], inst.claimants[1:]
		return
	}
	s.log = append(s.log, record)
	if !rapid.Bool().Draw(s.t, "answer lost") {
		inst.unflushed, inst.claimants = inst.unflushed[1:], inst.claimants[1:]
	}
}

// readLog folds some records at one instance and reports verdicts on claims to callers.
func (s *simulation) readLog() {
	inst := s.drawInstance()
	for range rapid.IntRange(1, 4).Draw(s.t, "records") {
		if int(inst.fold.NextOffset) >= len(s.log) {
			return
		}
		record := s.log[inst.fold.NextOffset]
		verdict := inst.fold.Apply(&record)
		if record.Claim != nil {
			s.deliverVerdict(inst, record.Claim, verdict)
		}
	}
}

func (s *simulation) deliverVerdict(inst *instance, claim *structs.Claim, verdict ledger.Verdict) {
	for _, c := range inst.callers {
		if c.id != claim.ID || !c.claiming {
			continue
		}
		c.claiming = false
		if verdict.Reason == ledger.VoidExpired {
			c.pendingEvents = append(c.pendingEvents, requests.ClaimResult{Reason: structs.ReasonKeyExpired})
			return
		}
		entry := *inst.fold.Keys[claim.Key]
		lost := entry.Phase == ledger.KeyOpen && entry.Claim.ID != c.id && s.appearsLost(entry.Claim.Holder)
		c.pendingEvents = append(c.pendingEvents, requests.ClaimResult{Entry: &entry, HolderLost: lost})
		return
	}
	if verdict.Valid && claim.Holder == inst.name { // no caller waits for the claim any more
		s.enqueue(inst, structs.Record{Release: &structs.Release{ClaimID: claim.ID, Key: claim.Key}}, nil)
	}
}

func (s *simulation) appearsLost(name string) bool {
	for _, inst := range s.instances {
		if inst.name == name {
			return inst.dead || inst.paused // a paused instance cannot be distinguished from a dead one
		}
	}
	return true
}

// endAttempt lets the runner end an attempt, even if no caller waits for it any more.
func (s *simulation) endAttempt() {
	var pending []*caller
	for _, c := range s.callers {
		if c.attemptPending {
			pending = append(pending, c)
		}
	}
	if len(pending) == 0 {
		return
	}
	c := rapid.SampledFrom(pending).Draw(s.t, "attempt")
	c.attemptPending = false
	end := requests.AttemptEnded{RetryAllowed: rapid.Bool().Draw(s.t, "retry")}
	switch rapid.IntRange(0, 4).Draw(s.t, "attempt ends") {
	case 0:
		end.Kind = requests.AttemptNotSent
	case 1:
		end.Kind = requests.AttemptRefused
	case 2:
		end.Kind = requests.AttemptInterrupted
	case 3:
		end.Kind = requests.AttemptInterrupted
		s.executeAtRunner(c)
	case 4:
		end.Kind = requests.AttemptAnswered
		end.Status = 200
		end.Answer = []byte("for " + c.key)
		s.executeAtRunner(c)
	}
	c.pendingEvents = append(c.pendingEvents, end)
}

func (s *simulation) executeAtRunner(c *caller) {
	c.executions++
	s.executions[c.key]++
}

func (s *simulation) advanceTime() {
	s.now = s.now.Add(time.Duration(rapid.IntRange(1, 12000).Draw(s.t, "ms")) * time.Millisecond)
}

func (s *simulation) expireDeadlines() {
	for _, inst := range s.liveInstances() {
		for _, c := range inst.callers {
			if c.finish == nil && rapid.Bool().Draw(s.t, "deadline") {
				s.stepMachine(c, requests.DeadlinePassed{})
			}
		}
	}
}

// checkInvariants verifies the invariants after every step.
func (s *simulation) checkInvariants() {
	for key, times := range s.executions {
		if times > 1 {
			s.t.Fatalf("key %s ran %d times", key, times)
		}
	}
	for _, c := range s.callers {
		if c.finish == nil {
			continue
		}
		if c.finish.Outcome == structs.OutcomeNotRun && c.executions > 0 {
			s.t.Fatalf("caller %s got outcome not run, but the request ran", c.id)
		}
		if c.finish.Outcome == structs.OutcomeRan && string(c.finish.Answer) != "for "+c.key {
			s.t.Fatalf("caller %s of %s got answer %q", c.id, c.key, c.finish.Answer)
		}
	}
}

func (s *simulation) run() {
	s.t.Repeat(map[string]func(*rapid.T){
		"submit":     func(*rapid.T) { s.submit() },
		"deliver":    func(*rapid.T) { s.deliverEvent() },
		"advance":    func(*rapid.T) { s.flushRecord(); s.readLog(); s.deliverEvent(); s.deliverEvent() },
		"advance2":   func(*rapid.T) { s.flushRecord(); s.readLog(); s.deliverEvent(); s.endAttempt(); s.deliverEvent() },
		"flush":      func(*rapid.T) { s.flushRecord() },
		"flush2":     func(*rapid.T) { s.flushRecord() },
		"read":       func(*rapid.T) { s.readLog() },
		"read2":      func(*rapid.T) { s.readLog() },
		"attempt":    func(*rapid.T) { s.endAttempt() },
		"kill":       func(*rapid.T) { s.killInstance() },
		"pause":      func(*rapid.T) { s.pauseOrResume() },
		"close lost": func(*rapid.T) { s.closeLostClaims() },
		"restart":    func(*rapid.T) { s.restoreFromSnapshot() },
		"pass":       func(*rapid.T) { s.advanceTime() },
		"expire":     func(*rapid.T) { s.expireDeadlines() },
		"prune":      func(*rapid.T) { s.prune() },
		"":           func(*rapid.T) { s.checkInvariants() },
	})
}

func TestNonIdempotentRequestsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { newSimulation(t, noMutation).run() })
}

// The property test must detect each mechanism that a mutation disables.
func TestProofNoticesBrokenMechanisms(t *testing.T) {
	for name, broken := range map[string]mutation{
		"send before the claim is read back":          sendBeforeClaimRead,
		"release after something was sent":            releaseAfterSend,
		"prune keys without rejecting them":           pruneWithoutRefusal,
		"release of a lost claim by another instance": releaseByAnother,
	} {
		t.Run(name, func(t *testing.T) {
			if !prooftest.Fails(func(t *rapid.T) { newSimulation(t, broken).run() }) {
				t.Fatal("the mutation was not detected")
			}
		})
	}
}
