package batch

import (
	"context"
	"errors"
	"time"

	"github.com/teaselcleat/teaselcleat/jobs"
	"github.com/teaselcleat/teaselcleat/ring"
)

const (
	// commitRing bounds the records that wait to be appended; with groups of
	// up to commitGroup at 4 ms each, a full ring is half a second of work.
	commitRing  = 512
	commitGroup = 64
	// commitTimeout is how long an append of submissions may take: 4 ms as a
	// rule, 0.3 s while the store is slow, and some waiting in its queue.
	commitTimeout = 800 * time.Millisecond
	// commitTries is how often a group is sent; its records are harmless when
	// written twice.
	commitTries = 3
)

// commit is a record on its way to the log.
type commit struct {
	record jobs.Record
	result chan error // nil, ErrNotDone or ErrUnknown; buffered
}

// committer appends the records of this instance's callers in groups.
type committer struct {
	store Store
	ring  *ring.Ring[*commit]
}

func newCommitter(store Store) *committer {
	return &committer{store: store, ring: ring.New[*commit](commitRing)}
}

// write appends a record and waits for its fate. ErrNotDone says that it never
// takes effect; ErrUnknown that it may.
func (c *committer) write(ctx context.Context, record jobs.Record) error {
	made := &commit{record: record, result: make(chan error, 1)}
	if !c.ring.Offer(made) {
		return ErrNotDone
	}
	select {
	case err := <-made.result:
		return err
	case <-ctx.Done():
		return ErrUnknown
	}
}

func (c *committer) run(ctx context.Context) {
	for {
		first, ok := c.ring.Take(ctx)
		if !ok {
			return
		}
		group := []*commit{first}
		for len(group) < commitGroup {
			next, waiting := c.ring.TryTake()
			if !waiting {
				break
			}
			group = append(group, next)
		}
		err := c.append(ctx, group)
		for _, member := range group {
			member.result <- err
		}
	}
}

// append sends a group until its fate is known or the tries are used up. Once a
// try went unanswered, later refusals do not make the group undone.
func (c *committer) append(ctx context.Context, group []*commit) error {
	records := make([]jobs.Record, 0, len(group))
	for _, member := range group {
		records = append(records, member.record)
	}
	unknown := false
	for try := 0; try < commitTries; try++ {
		err := c.try(ctx, records)
		if err == nil {
			return nil
		}
		if errors.Is(err, ErrNotDone) && !unknown {
			return ErrNotDone
		}
		unknown = true
	}
	return ErrUnknown
}

func (c *committer) try(ctx context.Context, records []jobs.Record) error {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	_, err := c.store.Append(ctx, records, nil)
	return err
}
