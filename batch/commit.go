package batch

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/teaselcleat/teaselcleat/jobs"
	"github.com/teaselcleat/teaselcleat/ring"
)

const (
	// statePart is the part (partition) of the work stream with the term and the job states. The
	// leader writes it and every instance reads it.
	statePart = 0
	// maxCallParts bounds the number of parts for callers' records. The store processes one append
	// of a part at a time, which takes 0.3 s while it is slow. Each part adds one more long read
	// on every instance.
	maxCallParts = 6
	// commitQueueSize bounds the records that wait to be appended: 8 groups of maxCommitGroup. An
	// append usually takes 4 ms, so a full queue is written in some 32 ms.
	commitQueueSize = 512
	maxCommitGroup  = 64
	// maxCommitAttempts bounds how often a group is sent. Appending its records twice is harmless.
	maxCommitAttempts = 2
	// readBackTimeout bounds a read-back of an append without an answer. Reads take milliseconds,
	// and up to 0.4 s while the store is slow; a shorter timeout mistook a slow store for an
	// unreachable one.
	readBackTimeout = 600 * time.Millisecond
	// slowReadThreshold is the duration of a read-back from which the store counts as slow.
	// Appends of a part then wait for each other for up to two seconds, so the committer waits for
	// an answer until slowStoreTimeout before it sends a group again. Sending it again after 0.6 s
	// filled the store's queues for six seconds, and 161 of some 280 submissions got no definite
	// answer.
	slowReadThreshold = 60 * time.Millisecond
	slowStoreTimeout  = 2500 * time.Millisecond
	// maxUnresolvedGroups bounds the unresolved groups of a part; beyond it new records are refused at
	// once. While the store does not answer, the next group is sent 0.6 s (overtakeDelay) after the
	// last, and a group is resolved for three seconds more at most (maxResolveTime): six at a time.
	maxUnresolvedGroups = 8
)

// progressPart returns the part with job progress, which is the last one. The leader writes it and
// only instances that may become leader read it, because it has tens of times the data of the
// others. A store with few parts has no separate part for it.
func progressPart(parts int) int {
	if parts < 3 {
		return statePart
	}
	return parts - 1
}

// callPartCount returns how many parts hold callers' records.
func callPartCount(parts int) int {
	if parts < 3 {
		return parts - 1
	}
	return min(maxCallParts, parts-2)
}

// partOf returns the part that usually holds callers' records about a subject; see partsOf for the
// others.
func partOf(subject string, parts int) int {
	if parts < 2 {
		return statePart
	}
	return 1 + int(xxhash.Sum64String(subject)%uint64(callPartCount(parts)))
}

// States of a commit.
const (
	commitQueued    int32 = iota
	commitTaken           // by the committer, for appending
	commitWithdrawn       // by its caller, before it was taken for appending
	commitAbandoned       // by its caller, after it was taken
)

// commit is a record to be appended to the log.
type commit struct {
	record jobs.Record
	state  atomic.Int32
	result chan error // nil, ErrNotApplied or ErrResultUnknown; buffered
}

// readBackFunc reads the log and reports whether it contains all of the records.
type readBackFunc func(ctx context.Context, records []jobs.Record) (found bool, err error)

// errStoreUnreachable reports that neither an append nor a read-back of the log was answered: the
// store is down or this instance is cut off from it.
var errStoreUnreachable = eris.Wrap(ErrResultUnknown, "the store is out of reach")

// committer appends the records of this instance's callers in groups.
type committer struct {
	store            Store
	clock            *Clock
	readBack         readBackFunc // nil if appends cannot be read back
	onAnswer         func()       // called when an append has succeeded; nil for none
	part             int
	queue            *ring.Ring[*commit]
	timeout          adaptiveTimeout
	unresolvedGroups atomic.Int32 // groups sent or being resolved
	storeSlow        atomic.Bool  // according to the newest read-back
	unknownAt        atomic.Int64 // time on clock, in nanoseconds, of the last append with an unknown outcome
}

func newCommitter(store Store, clock *Clock, part int) *committer {
	return &committer{store: store, clock: clock, part: part, queue: ring.New[*commit](commitQueueSize)}
}

// storeUnresponsive reports whether an append got no answer and the store has answered nothing
// since; answeredAt is the time of its last answer. The outcomes of new appends would mostly be
// unknown too, so callers would not get the definite answer that their call had no effect.
func (c *committer) storeUnresponsive(answeredAt time.Time) bool {
	return answeredAt.UnixNano() <= c.unknownAt.Load()
}

// write appends a record and waits for the outcome. ErrNotApplied means that the record never takes
// effect; ErrResultUnknown that it may.
func (c *committer) write(ctx context.Context, record jobs.Record) error {
	pending := &commit{record: record, result: make(chan error, 1)}
	if c.unresolvedGroups.Load() >= maxUnresolvedGroups || !c.queue.Offer(pending) {
		return ErrNotApplied
	}
	select {
	case err := <-pending.result:
		return err
	case <-ctx.Done():
	}
	if pending.state.CompareAndSwap(commitQueued, commitWithdrawn) {
		return ErrNotApplied
	}
	pending.state.Store(commitAbandoned)
	return ErrResultUnknown
}

// run appends queued records in groups until ctx ends.
func (c *committer) run(ctx context.Context) {
	for {
		first, ok := c.queue.Take(ctx)
		if !ok {
			return
		}
		group := c.takeGroup(first)
		if len(group) == 0 {
			continue
		}
		c.unresolvedGroups.Add(1)
		nextMayBeSent := make(chan struct{})
		go c.sendGroup(ctx, group, nextMayBeSent)
		<-nextMayBeSent
	}
}

// takeGroup takes the queued records, except those that their callers have withdrawn.
func (c *committer) takeGroup(first *commit) []*commit {
	var group []*commit
	next, waiting := first, true
	for waiting {
		if next.state.CompareAndSwap(commitQueued, commitTaken) {
			group = append(group, next)
		}
		if len(group) == maxCommitGroup {
			break
		}
		next, waiting = c.queue.TryTake()
	}
	return group
}

// append sends a group until its outcome is known or all attempts are used. Once an attempt went
// unanswered, a later refusal does not prove that the group had no effect.
func (c *committer) append(ctx context.Context, group []*commit) error {
	records := recordsOf(group)
	unanswered := false
	for attempt := 0; attempt < maxCommitAttempts; attempt++ {
		err := c.appendOnce(ctx, records)
		if err == nil {
			return nil
		}
		if errors.Is(err, ErrNotApplied) && !unanswered {
			return ErrNotApplied
		}
		if errors.Is(err, errStoreUnreachable) {
			return err
		}
		unanswered = true
	}
	return ErrResultUnknown
}

// appendOnce sends a group once. Halfway through the timeout and at its end it reads the group
// back: the answer may be lost although the append took effect, and sending the group again makes
// a slow store slower.
func (c *committer) appendOnce(ctx context.Context, records []jobs.Record) error {
	limit := c.timeout.current()
	ctx, cancel := context.WithTimeout(ctx, max(limit, slowStoreTimeout))
	defer cancel()
	sent := c.clock.Now()
	answer := make(chan error, 1)
	go func() { answer <- c.store.Append(ctx, c.part, records, nil) }()
	err := c.awaitAnswer(ctx, answer, records, limit)
	if errors.Is(err, ErrResultUnknown) {
		c.timeout.recordUnanswered()
		return err
	}
	c.timeout.observe(c.clock.Now().Sub(sent))
	if err == nil && c.onAnswer != nil {
		c.onAnswer()
	}
	return err
}

// awaitAnswer waits for an append's answer and reads the records back meanwhile. It waits for
// limit, or longer if the read-back shows that the store is slow.
func (c *committer) awaitAnswer(ctx context.Context, answer <-chan error, records []jobs.Record, limit time.Duration) error {
	sent := c.clock.Now()
	timer := time.NewTimer(limit / 2)
	defer timer.Stop()
	select {
	case err := <-answer:
		return c.resolveUnknown(ctx, err, records)
	case <-timer.C:
	}
	began := c.clock.Now()
	if found, err := c.isInLog(ctx, records); found || err != nil {
		return err
	}
	if c.recordReadTime(began) {
		limit = max(limit, slowStoreTimeout)
	}
	deadline := time.NewTimer(limit - c.clock.Now().Sub(sent))
	defer deadline.Stop()
	select {
	case err := <-answer:
		return c.resolveUnknown(ctx, err, records)
	case <-deadline.C:
		return c.resolveUnknown(ctx, ErrResultUnknown, records)
	}
}

// recordReadTime records whether a read-back that began at the given time was slow, and returns
// true if it was.
func (c *committer) recordReadTime(began time.Time) bool {
	slow := c.clock.Now().Sub(began) >= slowReadThreshold
	c.storeSlow.Store(slow)
	return slow
}

// resolveUnknown reads the log back if the append got no answer.
func (c *committer) resolveUnknown(ctx context.Context, appendErr error, records []jobs.Record) error {
	if !errors.Is(appendErr, ErrResultUnknown) {
		return appendErr
	}
	found, err := c.isInLog(ctx, records)
	if found || err != nil {
		return err
	}
	return appendErr
}

// isInLog reads a group back. Its only error is errStoreUnreachable.
func (c *committer) isInLog(ctx context.Context, records []jobs.Record) (bool, error) {
	if c.readBack == nil {
		return false, nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), readBackTimeout)
	defer cancel()
	found, err := c.readBack(ctx, records)
	if err != nil {
		return false, errStoreUnreachable
	}
	return found, nil
}
