package batch

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/teaselcleat/teaselcleat/jobs"
)

const (
	// maxPartChecks bounds the parts that are read before one record is written. A read of a part that
	// does not answer takes refreshTimeout.
	maxPartChecks = 2
	// partCheckInterval is how often a part that is away is read for callers' records.
	partCheckInterval = 200 * time.Millisecond
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

// writeHere appends a caller's record to the first part that is likely to answer. ErrNotApplied
// means that nothing was sent or that the store refused what was.
func (i *Instance) writeHere(ctx context.Context, record jobs.Record) error {
	result := ErrNotApplied
	checks := 0
	for _, part := range partsOf(record.Subject(), i.settings.StoreParts) {
		if ctx.Err() != nil {
			break
		}
		if !i.isAnswering(part) {
			if checks == maxPartChecks || !i.followerOf(part).startCheck() {
				continue
			}
			checks++
			if !i.checkPart(ctx, part) {
				continue
			}
		}
		err := i.committerOf(part).write(ctx, record)
		if err == nil {
			return nil
		}
		if !errors.Is(err, ErrResultUnknown) {
			continue
		}
		result = err
		if !errors.Is(err, errStoreUnreachable) {
			break // the store is slow or loses answers
		}
		i.followerOf(part).suspect()
	}
	return result
}

// isAnswering reports whether an append to a part is likely to be answered. The outcome of an append
// to a part that has just become unreachable stays unknown, and its caller gets no definite
// answer: 35 of some 1,200 submissions on days with an outage of the store for all instances. One
// of the waiting reads fails at once in an outage, so after any failed read, and after an append
// without an answer, the part is read before it is written to.
func (i *Instance) isAnswering(part int) bool {
	f := i.followerOf(part)
	if !i.work.isReachable() || f.isAway() || i.committerOf(part).storeUnresponsive(f.lastContact()) {
		return false
	}
	return f.answeredSince(time.Unix(0, i.readFailedAt.Load()))
}

// reachesStore reports whether any part for callers' records is likely to answer.
func (i *Instance) reachesStore() bool {
	for number := range i.committers {
		if i.isAnswering(i.partOfCommitter(number)) {
			return true
		}
	}
	return false
}

func (i *Instance) partOfCommitter(number int) int {
	return number + min(1, callPartCount(i.settings.StoreParts))
}

// checkPart reads a part up to now and reports whether that succeeded.
func (i *Instance) checkPart(ctx context.Context, part int) bool {
	f := i.followerOf(part)
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	if err := f.refresh(ctx, 0); err != nil {
		f.suspect()
		return false
	}
	return true
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
