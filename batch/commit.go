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
	// statePart is the part of the work stream with the term and the states of
	// jobs. The placing instance writes it, and every instance reads it.
	statePart = 0
	// callParts is the number of parts for what callers hand in, if the store has
	// so many: it works on one append of a part at a time, which takes 0.3 s while
	// it is slow. Each is one more long read in every instance.
	callParts = 6
	// commitRing bounds the records that wait to be appended; with groups of
	// up to commitGroup at 4 ms each, a full ring is half a second of work.
	commitRing  = 512
	commitGroup = 64
	// commitTries is how often a group is sent; its records are harmless when
	// written twice.
	commitTries = 2
	// readBackTimeout bounds a look at the log for an append without an answer;
	// reads take milliseconds, and up to 0.4 s while the store is slow: looks that
	// were given up then passed for a store out of reach.
	readBackTimeout = 600 * time.Millisecond
	// slowLook is how long a look takes at least if the store is slow. Appends of a
	// part then wait for each other for up to two seconds, so the answer is waited for
	// until slowMost, and nothing is sent again: with repeats after 0.6 s the parts
	// were full for six seconds, and 161 of some 280 answers said neither yes nor no.
	slowLook = 60 * time.Millisecond
	slowMost = 2500 * time.Millisecond
	// commitOpen bounds the groups of a part whose fate is open; new records are
	// refused at once beyond it. A group is open for three seconds at most, and the
	// next is sent after 0.6 s.
	commitOpen = 8
)

// detailPart is the part with the progress of jobs, the last one. The placing
// instance writes it, and those read it that may place: it has tens of times as
// much as all others. A store with few parts has none of its own for it.
func detailPart(parts int) int {
	if parts < 3 {
		return statePart
	}
	return parts - 1
}

// callPartsOf is how many parts hold what callers hand in.
func callPartsOf(parts int) int {
	if parts < 3 {
		return parts - 1
	}
	return min(callParts, parts-2)
}

// partOf is the part that holds what callers' records say of a subject, so that
// one part tells whether a job is known.
func partOf(subject string, parts int) int {
	if parts < 2 {
		return statePart
	}
	return 1 + int(xxhash.Sum64String(subject)%uint64(callPartsOf(parts)))
}

// States of a commit.
const (
	commitWaiting int32 = iota
	commitTaken         // by the duty that appends
	commitGivenUp       // by its caller, before it was taken
	commitLeft          // by its caller, afterwards
)

// commit is a record on its way to the log.
type commit struct {
	record jobs.Record
	state  atomic.Int32
	result chan error // nil, ErrNotDone or ErrUnknown; buffered
}

// readBack reads the log and reports whether all of some records are in it.
type readBack func(ctx context.Context, records []jobs.Record) (found bool, err error)

// errOutOfReach says that an append got no answer and a look at the log
// neither, so that the store is away or this instance is cut off from it.
var errOutOfReach = eris.Wrap(ErrUnknown, "the store is out of reach")

// committer appends the records of this instance's callers in groups.
type committer struct {
	store    Store
	clock    *Clock
	readBack readBack // nil if the log cannot be looked at
	part     int
	ring     *ring.Ring[*commit]
	patience patience
	open     atomic.Int32 // groups on their way, or whose fate is being found out
	slow     atomic.Bool  // as the newest look at the log showed
	lostAt   atomic.Int64 // steady nanoseconds of the last append whose fate stayed open
}

func newCommitter(store Store, clock *Clock, part int) *committer {
	return &committer{store: store, clock: clock, part: part, ring: ring.New[*commit](commitRing)}
}

// doubtful reports whether an append got no answer and the store has answered
// nothing since; heardAt is when it last did. What is sent then would mostly be
// open too, and callers cannot be told that it did not run.
func (c *committer) doubtful(heardAt time.Time) bool {
	return heardAt.UnixNano() <= c.lostAt.Load()
}

// write appends a record and waits for its fate. ErrNotDone says that it never
// takes effect; ErrUnknown that it may.
func (c *committer) write(ctx context.Context, record jobs.Record) error {
	made := &commit{record: record, result: make(chan error, 1)}
	if c.open.Load() >= commitOpen || !c.ring.Offer(made) {
		return ErrNotDone
	}
	select {
	case err := <-made.result:
		return err
	case <-ctx.Done():
	}
	if made.state.CompareAndSwap(commitWaiting, commitGivenUp) {
		return ErrNotDone
	}
	made.state.Store(commitLeft)
	return ErrUnknown
}

func (c *committer) run(ctx context.Context) {
	for {
		first, ok := c.ring.Take(ctx)
		if !ok {
			return
		}
		group := c.gather(first)
		if len(group) == 0 {
			continue
		}
		c.open.Add(1)
		overtaken := make(chan struct{})
		go c.settle(ctx, group, overtaken)
		<-overtaken
	}
}

// gather takes what waits, but for what its callers have given up.
func (c *committer) gather(first *commit) []*commit {
	var group []*commit
	next, waiting := first, true
	for waiting {
		if next.state.CompareAndSwap(commitWaiting, commitTaken) {
			group = append(group, next)
		}
		if len(group) == commitGroup {
			break
		}
		next, waiting = c.ring.TryTake()
	}
	return group
}

// append sends a group until its fate is known or the tries are used up. Once a
// try went unanswered, later refusals do not make the group undone.
func (c *committer) append(ctx context.Context, group []*commit) error {
	records := recordsOf(group)
	unknown := false
	for try := 0; try < commitTries; try++ {
		err := c.try(ctx, records)
		if err == nil {
			return nil
		}
		if errors.Is(err, ErrNotDone) && !unknown {
			return ErrNotDone
		}
		if errors.Is(err, errOutOfReach) {
			return err
		}
		unknown = true
	}
	return ErrUnknown
}

// try sends a group once. Half way through its patience, and at the end of it,
// the log is read for the group: an answer may be lost though the append took
// effect, and sending it again makes a slow store slower.
func (c *committer) try(ctx context.Context, records []jobs.Record) error {
	limit := c.patience.limit()
	ctx, cancel := context.WithTimeout(ctx, max(limit, slowMost))
	defer cancel()
	sent := c.clock.Now()
	answer := make(chan error, 1)
	go func() { answer <- c.store.Append(ctx, c.part, records, nil) }()
	err := c.await(ctx, answer, records, limit)
	if errors.Is(err, ErrUnknown) {
		c.patience.lost()
		return err
	}
	c.patience.answered(c.clock.Now().Sub(sent))
	return err
}

// await waits for an append's answer, and looks at the log meanwhile: for limit, or
// longer if the look shows that the store is slow.
func (c *committer) await(ctx context.Context, answer <-chan error, records []jobs.Record, limit time.Duration) error {
	sent := c.clock.Now()
	look := time.NewTimer(limit / 2)
	defer look.Stop()
	select {
	case err := <-answer:
		return c.unlessRead(ctx, err, records)
	case <-look.C:
	}
	began := c.clock.Now()
	if found, err := c.inLog(ctx, records); found || err != nil {
		return err
	}
	if c.sawSlow(began) {
		limit = max(limit, slowMost)
	}
	end := time.NewTimer(limit - c.clock.Now().Sub(sent))
	defer end.Stop()
	select {
	case err := <-answer:
		return c.unlessRead(ctx, err, records)
	case <-end.C:
		return c.unlessRead(ctx, ErrUnknown, records)
	}
}

// sawSlow notes whether a look that began at some time showed a slow store.
func (c *committer) sawSlow(began time.Time) bool {
	slow := c.clock.Now().Sub(began) >= slowLook
	c.slow.Store(slow)
	return slow
}

// unlessRead resolves an append without an answer by a look at the log.
func (c *committer) unlessRead(ctx context.Context, answered error, records []jobs.Record) error {
	if !errors.Is(answered, ErrUnknown) {
		return answered
	}
	found, err := c.inLog(ctx, records)
	if found || err != nil {
		return err
	}
	return answered
}

// inLog looks at the log for a group. An error is errOutOfReach.
func (c *committer) inLog(ctx context.Context, records []jobs.Record) (bool, error) {
	if c.readBack == nil {
		return false, nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), readBackTimeout)
	defer cancel()
	found, err := c.readBack(ctx, records)
	if err != nil {
		return false, errOutOfReach
	}
	return found, nil
}
