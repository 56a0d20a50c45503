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

// caller is one submission of a key at one instance.
type caller struct {
	id       string
	key      string
	at       *holder
	machine  *requests.Machine
	inBox    []requests.Event // produced but not yet given to the machine
	claiming bool
	runner   bool // an attempt is on its way
	executed int  // attempts of this submission that a runner executed
	finish   *requests.Finish
}

// holder is one instance's boot: its writer, its fold and its requests.
type holder struct {
	name    string
	writer  []structs.Record // not yet appended
	owner   []*caller        // of writer[i], if it is a claim that may be abandoned
	fold    *ledger.State
	callers []*caller
	dead    bool
	paused  bool
}

// world is the log, the instances and the runner of a proof.
type world struct {
	t        *rapid.T
	now      time.Time
	log      []structs.Record
	holders  []*holder
	callers  []*caller
	executed map[string]int
	issued   map[string]int64 // when the caller made each key
	keys     []string
	seq      int
	// breakage switches off one mechanism, to see that the proof notices.
	breakage breakage
}

type breakage int

const (
	nothingBroken breakage = iota
	sendBeforeClaimRead
	releaseAfterSend
	pruneWithoutRefusal
	othersMayRelease
)

func newWorld(t *rapid.T, broken breakage) *world {
	w := &world{t: t, now: time.Unix(1_800_000_000, 0), executed: map[string]int{}, issued: map[string]int64{}, breakage: broken}
	for range 3 {
		w.addHolder()
	}
	return w
}

func (w *world) addHolder() *holder {
	w.seq++
	h := &holder{name: fmt.Sprintf("h%d", w.seq), fold: ledger.New()}
	w.holders = append(w.holders, h)
	return h
}

func (w *world) live() []*holder {
	var live []*holder
	for _, h := range w.holders {
		if !h.dead && !h.paused {
			live = append(live, h)
		}
	}
	return live
}

func (w *world) drawHolder() *holder {
	live := w.live()
	if len(live) == 0 {
		return w.addHolder()
	}
	return rapid.SampledFrom(live).Draw(w.t, "holder")
}

// newKey makes a key and notes when; callers state that time with each try.
func (w *world) newKey() {
	key := fmt.Sprintf("k%d", len(w.keys)+1)
	w.keys = append(w.keys, key)
	w.issued[key] = w.now.UnixMilli()
}

func (w *world) submit() {
	h := w.drawHolder()
	w.seq++
	if len(w.keys) == 0 || rapid.IntRange(0, 5).Draw(w.t, "new key") == 0 {
		w.newKey()
	}
	recent := w.keys[max(0, len(w.keys)-2):]
	c := &caller{id: fmt.Sprintf("c%d", w.seq), key: rapid.SampledFrom(recent).Draw(w.t, "key"), at: h}
	c.machine = requests.New(requests.Spec{Key: structs.KeyID{Key: c.key}, Class: "flow", Deadline: w.now.Add(20 * time.Second)}, c.id)
	h.callers = append(h.callers, c)
	w.callers = append(w.callers, c)
	w.step(c, requests.Started{})
}

func (w *world) step(c *caller, event requests.Event) {
	for _, action := range c.machine.Step(event, w.now) {
		w.carryOut(c, action)
	}
}

func (w *world) append(h *holder, record structs.Record, owner *caller) {
	h.writer = append(h.writer, record)
	h.owner = append(h.owner, owner)
}

func (w *world) carryOut(c *caller, action requests.Action) {
	key := structs.KeyID{Key: c.key}
	switch a := action.(type) {
	case requests.AppendClaim:
		c.claiming = true
		w.append(c.at, structs.Record{Claim: &structs.Claim{ID: c.id, Key: key, Class: "flow", Holder: c.at.name, IssuedMS: w.issued[c.key]}}, c)
		if w.breakage == sendBeforeClaimRead {
			c.claiming = false
			c.inBox = append(c.inBox, requests.ClaimRead{Entry: &ledger.KeyEntry{Claim: structs.Claim{ID: c.id}, Phase: ledger.KeyOpen}})
		}
	case requests.Pick:
		c.inBox = append(c.inBox, requests.RunnerPicked{Runner: "r"})
	case requests.Send:
		c.runner = true
	case requests.AppendRelease:
		w.append(c.at, structs.Record{Release: &structs.Release{ClaimID: c.id, Key: key, Reason: a.Reason}}, nil)
	case requests.AppendComplete:
		w.append(c.at, structs.Record{Complete: &structs.Complete{ClaimID: c.id, Key: key, Outcome: a.Outcome, Reason: a.Reason, Holder: true, Status: a.Status, Answer: a.Answer, Kept: a.Kept}}, nil)
		if w.breakage == releaseAfterSend && a.Outcome == structs.OutcomeUnknown {
			w.append(c.at, structs.Record{Release: &structs.Release{ClaimID: c.id, Key: key}}, nil)
			c.at.writer[len(c.at.writer)-2].Complete = nil
		}
	case requests.Finish:
		c.finish = &a
	}
}

// deliver gives one waiting event to its machine.
func (w *world) deliver() {
	for _, h := range w.live() {
		for _, c := range h.callers {
			if len(c.inBox) > 0 {
				event := c.inBox[0]
				c.inBox = c.inBox[1:]
				w.step(c, event)
				return
			}
		}
	}
}

// flush appends the oldest record of a writer. The answer may be lost, so that
// the record is appended again later.
func (w *world) flush() {
	h := w.drawHolder()
	if len(h.writer) == 0 {
		return
	}
	record, owner := h.writer[0], h.owner[0]
	if owner != nil && owner.finish != nil && rapid.Bool().Draw(w.t, "abandoned in time") {
		h.writer, h.owner = h.writer[1:], h.owner[1:]
		return
	}
	w.log = append(w.log, record)
	if !rapid.Bool().Draw(w.t, "answer lost") {
		h.writer, h.owner = h.writer[1:], h.owner[1:]
	}
}

// read folds some of the log at one instance and tells claims their ruling.
func (w *world) read() {
	h := w.drawHolder()
	for range rapid.IntRange(1, 4).Draw(w.t, "records") {
		if int(h.fold.Next) >= len(w.log) {
			return
		}
		record := w.log[h.fold.Next]
		verdict := h.fold.Apply(&record)
		if record.Claim != nil {
			w.ruled(h, record.Claim, verdict)
		}
	}
}

func (w *world) ruled(h *holder, claim *structs.Claim, verdict ledger.Verdict) {
	for _, c := range h.callers {
		if c.id != claim.ID || !c.claiming {
			continue
		}
		c.claiming = false
		if verdict.Why == ledger.VoidExpired {
			c.inBox = append(c.inBox, requests.ClaimRead{Reason: structs.ReasonKeyExpired})
			return
		}
		entry := *h.fold.Keys[claim.Key]
		lost := entry.Phase == ledger.KeyOpen && entry.Claim.ID != c.id && w.dead(entry.Claim.Holder)
		c.inBox = append(c.inBox, requests.ClaimRead{Entry: &entry, HolderLost: lost})
		return
	}
	if verdict.Valid && claim.Holder == h.name { // nobody waits for it any more
		w.append(h, structs.Record{Release: &structs.Release{ClaimID: claim.ID, Key: claim.Key}}, nil)
	}
}

func (w *world) dead(name string) bool {
	for _, h := range w.holders {
		if h.name == name {
			return h.dead || h.paused // a paused holder looks just as dead
		}
	}
	return true
}

// attempt lets the runner end an attempt, whoever still waits for it.
func (w *world) attempt() {
	var waiting []*caller
	for _, c := range w.callers {
		if c.runner {
			waiting = append(waiting, c)
		}
	}
	if len(waiting) == 0 {
		return
	}
	c := rapid.SampledFrom(waiting).Draw(w.t, "attempt")
	c.runner = false
	end := requests.AttemptEnded{RetryAllowed: rapid.Bool().Draw(w.t, "retry")}
	switch rapid.IntRange(0, 4).Draw(w.t, "attempt ends") {
	case 0:
		end.Kind = requests.AttemptNotSent
	case 1:
		end.Kind = requests.AttemptRefused
	case 2:
		end.Kind = requests.AttemptBroken
	case 3:
		end.Kind = requests.AttemptBroken
		w.execute(c)
	case 4:
		end.Kind = requests.AttemptAnswered
		end.Status = 200
		end.Answer = []byte("for " + c.key)
		w.execute(c)
	}
	c.inBox = append(c.inBox, end)
}

func (w *world) execute(c *caller) {
	c.executed++
	w.executed[c.key]++
}

func (w *world) pass() {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 12000).Draw(w.t, "ms")) * time.Millisecond)
}

func (w *world) expire() {
	for _, h := range w.live() {
		for _, c := range h.callers {
			if c.finish == nil && rapid.Bool().Draw(w.t, "deadline") {
				w.step(c, requests.DeadlinePassed{})
			}
		}
	}
}

// check states what must hold at every moment.
func (w *world) check() {
	for key, times := range w.executed {
		if times > 1 {
			w.t.Fatalf("key %s ran %d times", key, times)
		}
	}
	for _, c := range w.callers {
		if c.finish == nil {
			continue
		}
		if c.finish.Outcome == structs.OutcomeNotRun && c.executed > 0 {
			w.t.Fatalf("caller %s was told not run and it ran", c.id)
		}
		if c.finish.Outcome == structs.OutcomeRan && string(c.finish.Answer) != "for "+c.key {
			w.t.Fatalf("caller %s of %s got answer %q", c.id, c.key, c.finish.Answer)
		}
	}
}

func (w *world) run() {
	w.t.Repeat(map[string]func(*rapid.T){
		"submit":     func(*rapid.T) { w.submit() },
		"deliver":    func(*rapid.T) { w.deliver() },
		"advance":    func(*rapid.T) { w.flush(); w.read(); w.deliver(); w.deliver() },
		"advance2":   func(*rapid.T) { w.flush(); w.read(); w.deliver(); w.attempt(); w.deliver() },
		"flush":      func(*rapid.T) { w.flush() },
		"flush2":     func(*rapid.T) { w.flush() },
		"read":       func(*rapid.T) { w.read() },
		"read2":      func(*rapid.T) { w.read() },
		"attempt":    func(*rapid.T) { w.attempt() },
		"kill":       func(*rapid.T) { w.kill() },
		"pause":      func(*rapid.T) { w.pauseOrResume() },
		"close lost": func(*rapid.T) { w.closeLost() },
		"restart":    func(*rapid.T) { w.restart() },
		"pass":       func(*rapid.T) { w.pass() },
		"expire":     func(*rapid.T) { w.expire() },
		"prune":      func(*rapid.T) { w.prune() },
		"":           func(*rapid.T) { w.check() },
	})
}

func TestNonIdempotentRequestsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { newWorld(t, nothingBroken).run() })
}

// The proof must notice each mechanism that is taken out.
func TestProofNoticesBrokenMechanisms(t *testing.T) {
	for name, broken := range map[string]breakage{
		"send before the claim is read back":  sendBeforeClaimRead,
		"release after something was sent":    releaseAfterSend,
		"forget keys without refusing them":   pruneWithoutRefusal,
		"release of a lost holder by another": othersMayRelease,
	} {
		t.Run(name, func(t *testing.T) {
			if !prooftest.Violates(func(t *rapid.T) { newWorld(t, broken).run() }) {
				t.Fatal("no violation was found")
			}
		})
	}
}
