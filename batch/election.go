package batch

import (
	"strings"
	"time"

	"github.com/teaselcleat/teaselcleat/jobs"
	"github.com/teaselcleat/teaselcleat/placing"
)

const (
	// renewEvery is how often the holder of the term writes.
	renewEvery = 300 * time.Millisecond
	// termSilence is how long the holder may write nothing before another
	// instance claims the term: four renewals, or two while the store takes
	// 0.3 s for each. A holder replaced too soon loses nothing that runs.
	termSilence = 1100 * time.Millisecond
	// claimAgain is the pause between an instance's claims, longer than an
	// append takes while the store is slow.
	claimAgain = 700 * time.Millisecond
	// claimSpread sets the instances' claims apart by their names, so that
	// mostly one of them writes.
	claimSpread = 300 * time.Millisecond
	// ampleShare of a core is enough to place for 350 workers; an instance without any
	// would claim weakPenalty later.
	ampleShare  = 0.4
	weakPenalty = 2 * time.Second
	// holderGone is when a holder that lost the store gives up, whatever the
	// others may think of it; work that it holds goes on until then, as the
	// store may be away for everybody.
	holderGone = 9 * time.Second
)

// election decides when an instance claims the term. It is pure: it is told
// what the log showed and when.
type election struct {
	name      string // of the instance
	holder    string // name and boot of this process
	rank      time.Duration
	term      jobs.Term
	changedAt time.Time // when the term last changed or was renewed, as seen here
	claimedAt time.Time
	urged     int64     // epoch of the holder that asked for its term to be claimed
	vacantAt  time.Time // since when the term is known to be vacant
}

func newElection(name, holder string, rank time.Duration) *election {
	return &election{name: name, holder: holder, rank: rank}
}

// claimRank is how long an instance leaves a vacant term to others: those with
// little processor wait longer, as placing takes most of it.
func claimRank(hash uint64, share float64) time.Duration {
	rank := time.Duration(hash % uint64(claimSpread))
	if share > 0 && share < ampleShare {
		rank += time.Duration((ampleShare - share) / ampleShare * float64(weakPenalty))
	}
	return rank
}

// see takes the newest term of the fold.
func (e *election) see(term jobs.Term, now time.Time) {
	if term == e.term && !e.changedAt.IsZero() {
		return
	}
	stillOpen := term.Holder == "" && e.term.Holder == "" && term.Epoch == e.term.Epoch
	e.term = term
	e.changedAt = now
	if !stillOpen {
		e.vacantAt = time.Time{}
	}
}

// lost says that what was known of the holder is out of date: the store was
// away, or this process led meanwhile.
func (e *election) lost() { e.changedAt = time.Time{} }

// held reports whether the log names this process as the holder.
func (e *election) held() bool { return e.term.Holder == e.holder }

// claim reports whether to claim the next term now. It is asked only while
// this process does not lead. heardAt is when the newest read of the log was
// answered: only until then is silence known to be the holder's.
func (e *election) claim(heardAt, now time.Time) bool {
	if now.Sub(e.claimedAt) < claimAgain {
		return false
	}
	if !e.vacant(heardAt) {
		return false
	}
	if e.vacantAt.IsZero() {
		e.vacantAt = now
	}
	if !e.formerLife() && !e.isUrged() && now.Sub(e.vacantAt) < e.rank {
		return false
	}
	e.claimedAt = now
	return true
}

// urge says that the holder of the term of an epoch has lost the store and asked
// this instance to claim the next.
func (e *election) urge(epoch int64) { e.urged = epoch }

func (e *election) isUrged() bool { return e.urged > 0 && e.urged == e.term.Epoch }

// vacant reports whether nobody holds the term: it was handed over, its holder
// was an earlier life of this instance, has asked for it or is silent.
func (e *election) vacant(heardAt time.Time) bool {
	return e.term.Holder == "" || e.isUrged() || e.formerLife() || heardAt.Sub(e.changedAt) >= termSilence
}

// formerLife reports whether the holder was an earlier life of this instance.
func (e *election) formerLife() bool { return instanceOf(e.term) == e.name }

// instanceOf is the name of the instance that holds a term; empty if none does.
func instanceOf(term jobs.Term) string {
	name, _, _ := strings.Cut(term.Holder, "/")
	return name
}

// formerOf is what an instance that won a term knows of the holder of the one before:
// before is the newest term that it had seen. An earlier life of its own has ended. After
// all instances were lost the former holder mostly wins again, and waiting for a holder
// that may go on took 15.5 s in place of 8.5 s for each run at a worker that had left.
func formerOf(before, won jobs.Term, name string) placing.Former {
	switch {
	case before.Epoch != won.Epoch-1:
		return placing.FormerUnknown
	case before.Holder == "":
		return placing.FormerHandedOver
	case instanceOf(before) == name:
		return placing.FormerEnded
	}
	return placing.FormerUnknown
}
