package batch

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/teaselcleat/teaselcleat/jobs"
)

const (
	// otherPartCheckTimeout bounds the reads of the other parts when the usual one does not answer. All
	// are read at once; reads take milliseconds.
	otherPartCheckTimeout = 150 * time.Millisecond
	// maxOtherParts bounds the other parts that a record is sent to.
	maxOtherParts = 2
	// partCheckInterval is how often a part that is away is read for callers' records.
	partCheckInterval = 200 * time.Millisecond
	// minEvidenceAge is the age up to which any answer of the store is evidence that it will answer an
	// append: connections may also go silent, and waiting reads notice that late.
	minEvidenceAge = 400 * time.Millisecond
)

// partsOf returns all parts that may hold callers' records about a subject, in the order in which
// they are tried. Parts of the store may be away independently, and a record is valid in any of
// them: the fold identifies a job by its ID. The order of the others depends on the subject, so that
// the records of a part that is away are spread over all others.
func partsOf(subject string, parts int) []int {
	usual := partOf(subject, parts)
	others := callPartCount(parts) - 1
	list := []int{usual}
	if usual == statePart || others < 1 {
		return list
	}
	first := int(xxhash.Sum64String(subject) / uint64(others+1) % uint64(others))
	for number := range others {
		step := 1 + (first+number)%others
		list = append(list, 1+(usual-1+step)%(others+1))
	}
	return list
}

// writeHere appends a caller's record to its usual part, or to another one if that does not answer.
// ErrNotApplied means that nothing was sent or that the store refused what was.
func (i *Instance) writeHere(ctx context.Context, record jobs.Record) error {
	parts := partsOf(record.Subject(), i.settings.StoreParts)
	err := ErrNotApplied
	if i.isAnswering(parts[0]) || i.answersCheck(ctx, parts[0]) {
		err = i.writeTo(ctx, parts[0], record)
	}
	for range maxOtherParts {
		unresolved := errors.Is(err, errStoreUnreachable)
		if ctx.Err() != nil || !unresolved && !errors.Is(err, ErrNotApplied) {
			return err
		}
		other, ok := i.firstAnswering(ctx, parts[1:], !unresolved)
		if !ok {
			return err
		}
		otherErr := i.writeTo(ctx, other, record)
		if otherErr != nil && unresolved {
			return err // a refusal by this part says nothing of the append before
		}
		err = otherErr
	}
	return err
}

// writeTo appends a record to a part.
func (i *Instance) writeTo(ctx context.Context, part int, record jobs.Record) error {
	err := i.committerOf(part).write(ctx, record)
	if errors.Is(err, errStoreUnreachable) {
		i.suspectPart(part)
	}
	return err
}

// firstAnswering returns the first of some parts that is likely to answer. If that is known of none, or is
// not to be trusted as an append has just got no answer, all are read at once and the one that answers
// first is returned. Otherwise the call does not wait for the reads of parts that are known to be away.
func (i *Instance) firstAnswering(ctx context.Context, parts []int, trusted bool) (part int, ok bool) {
	for _, part := range parts {
		if trusted && i.isAnswering(part) {
			return part, true
		}
	}
	answered := make(chan int, len(parts))
	var checks sync.WaitGroup
	for _, part := range parts {
		away := i.followerOf(part).isAway()
		if !i.followerOf(part).startCheck() {
			continue
		}
		check := func() {
			if i.checkPart(context.WithoutCancel(ctx), part, otherPartCheckTimeout) {
				answered <- part
			}
		}
		if away && trusted {
			go check()
		} else {
			checks.Go(check)
		}
	}
	checked := make(chan struct{})
	go func() {
		checks.Wait()
		close(checked)
	}()
	select {
	case part = <-answered:
		return part, true
	case <-checked:
	}
	select {
	case part = <-answered:
		return part, true
	default:
		return 0, false
	}
}

// isAnswering reports whether an append to a part is likely to be answered. The outcome of an append
// to a part that has just become unreachable stays unknown, and its caller gets no definite
// answer: 35 of some 1,200 submissions on days with an outage of the store for all instances. One
// of the waiting reads fails at once in an outage, so after any failed read, after an append without an
// answer, and when the store has answered nothing for a while, the part is read before it is written to.
func (i *Instance) isAnswering(part int) bool {
	f := i.followerOf(part)
	if !i.work.isReachable() || f.isAway() || i.committerOf(part).storeUnresponsive(f.lastContact()) {
		return false
	}
	return f.answeredSince(time.Unix(0, i.readFailedAt.Load())) && i.hasEvidence(part)
}

// hasEvidence reports whether the store has answered any call lately, by the usual latency of appends.
func (i *Instance) hasEvidence(part int) bool {
	age := i.clock.Now().Sub(i.lastStoreAnswer())
	return age <= max(minEvidenceAge, i.committerOf(part).timeout.currentIgnoringUnanswered())
}

// lastStoreAnswer returns when the store last answered any call of this instance.
func (i *Instance) lastStoreAnswer() time.Time { return time.Unix(0, i.storeAnsweredAt.Load()) }

func (i *Instance) recordStoreAnswer() { i.storeAnsweredAt.Store(i.clock.Now().UnixNano()) }

// reachesStore reports whether any part for callers' records is likely to answer. Without evidence it
// reads one.
func (i *Instance) reachesStore(ctx context.Context) bool {
	for number := range i.committers {
		if i.isAnswering(i.partOfCommitter(number)) {
			return true
		}
	}
	part := i.partOfCommitter(rand.IntN(len(i.committers)))
	return i.followerOf(part).startCheck() && i.checkPart(ctx, part, otherPartCheckTimeout)
}

func (i *Instance) partOfCommitter(number int) int {
	return number + min(1, callPartCount(i.settings.StoreParts))
}

// answersCheck reads a part before it is written to and reports whether it answered. The call does not
// wait for the read of a part that is known to be away.
func (i *Instance) answersCheck(ctx context.Context, part int) bool {
	f := i.followerOf(part)
	away := f.isAway()
	if !f.startCheck() {
		return false
	}
	if away {
		go i.checkPart(context.WithoutCancel(ctx), part, refreshTimeout)
		return false
	}
	return i.checkPart(ctx, part, refreshTimeout)
}

// checkPart reads a part up to now and reports whether that succeeded.
func (i *Instance) checkPart(ctx context.Context, part int, timeout time.Duration) bool {
	f := i.followerOf(part)
	checkCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := f.refresh(checkCtx, 0)
	if err != nil && ctx.Err() == nil {
		i.suspectPart(part)
	}
	return err == nil
}

// suspectPart records that a part did not answer. The others have to be read before they are written to.
func (i *Instance) suspectPart(part int) {
	i.followerOf(part).suspect()
	i.readFailedAt.Store(i.clock.Now().UnixNano())
}

// partAway returns a part for callers' records that is away, if any is.
func (i *Instance) partAway() (part int, away bool) {
	for number := range i.committers {
		part = i.partOfCommitter(number)
		if i.followerOf(part).isAway() {
			return part, true
		}
	}
	return 0, false
}

// suspect records that a call to this part of the store went unanswered.
func (f *follower) suspect() {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.suspectedAt = f.clock.Now()
}

// startCheck reports whether the part may be read for a caller's record now: it is loaded and, if it is
// away, was not read so within partCheckInterval.
func (f *follower) startCheck() bool {
	away := f.isAway()
	f.lock.Lock()
	defer f.lock.Unlock()
	now := f.clock.Now()
	if !f.loaded || away && now.Sub(f.checkedAt) < partCheckInterval {
		return false
	}
	f.checkedAt = now
	return true
}

// isAway reports whether a call to this part of the store has failed and none that was sent since was
// answered.
func (f *follower) isAway() bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.failures > 0 || !f.suspectedAt.IsZero() && !f.contactAt.After(f.suspectedAt)
}
