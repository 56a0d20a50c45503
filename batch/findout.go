package batch

import (
	"context"
	"errors"
	"time"

	"github.com/teaselcleat/teaselcleat/jobs"
)

const (
	// overtakeAfter is how long a group is waited for before the next is sent beside
	// it: with a store that takes 0.3 s for an append no group is overtaken.
	overtakeAfter = 600 * time.Millisecond
	// findOutEvery is how often the log is looked at for a group whose answer is
	// missing, and sendAgainEvery how often the group is sent again: a store that loses
	// answers, or carries appends out seconds late, mostly takes one of several. A
	// record that is written twice is harmless. A slow store takes all
	// in the end, and repeats only fill it.
	findOutEvery   = 120 * time.Millisecond
	sendAgainEvery = 400 * time.Millisecond
	// findOutMost bounds it all; callers stay for three seconds.
	findOutMost = 3 * time.Second
)

// settle sends a group and finds out what became of it, while any of its callers
// waits. overtaken is closed once the next group need not wait any more.
func (c *committer) settle(ctx context.Context, group []*commit, overtaken chan<- struct{}) {
	defer c.open.Add(-1)
	sent := make(chan error, 1)
	go func() { sent <- c.append(ctx, group) }()
	var err error
	select {
	case err = <-sent:
	case <-time.After(overtakeAfter):
		c.lostAt.Store(c.clock.Now().UnixNano())
		close(overtaken)
		c.deliver(group, c.findOut(ctx, group, sent))
		return
	}
	if errors.Is(err, ErrUnknown) {
		c.lostAt.Store(c.clock.Now().UnixNano())
	}
	close(overtaken)
	if c.stillOpen(err) {
		sent <- err
		err = c.findOut(ctx, group, sent)
	}
	c.deliver(group, err)
}

// stillOpen reports whether looking and sending again may tell what became of a
// group.
func (c *committer) stillOpen(err error) bool {
	return errors.Is(err, ErrUnknown) && !errors.Is(err, errOutOfReach) && c.readBack != nil
}

func (c *committer) deliver(group []*commit, err error) {
	for _, member := range group {
		member.result <- err
	}
}

// findOut looks at the log for a group until it is there, and sends it again beside
// the tries of append, whose result comes in sent.
func (c *committer) findOut(ctx context.Context, group []*commit, sent <-chan error) error {
	records := recordsOf(group)
	again := make(chan error, int(findOutMost/sendAgainEvery)+1)
	looks := time.NewTicker(findOutEvery)
	defer looks.Stop()
	sentAt := time.Now()
	resent := false
	for until := time.Now().Add(findOutMost); time.Now().Before(until) && c.awaited(group); {
		select {
		case err := <-sent:
			if resent && errors.Is(err, ErrNotDone) {
				continue // of append's own tries alone
			}
			if !c.stillOpen(err) {
				return err
			}
		case err := <-again:
			if err == nil {
				return nil
			}
		case <-looks.C:
			if len(sent) > 0 || len(again) > 0 {
				continue // an answer is there; a look takes 0.3 s while the store is slow
			}
			began := c.clock.Now()
			if found, err := c.inLog(ctx, records); found && err == nil {
				return nil
			}
			c.sawSlow(began)
		case <-ctx.Done():
			return ErrUnknown
		}
		if !c.slow.Load() && time.Since(sentAt) >= max(sendAgainEvery, c.patience.usualLimit()) {
			sentAt, resent = time.Now(), true
			go func() { again <- c.sendAgain(ctx, records) }()
		}
	}
	return ErrUnknown
}

func (c *committer) sendAgain(ctx context.Context, records []jobs.Record) error {
	ctx, cancel := context.WithTimeout(ctx, patienceMost)
	defer cancel()
	return c.store.Append(ctx, c.part, records, nil)
}

// awaited reports whether a caller still waits for one of a group.
func (c *committer) awaited(group []*commit) bool {
	for _, member := range group {
		if member.state.Load() != commitLeft {
			return true
		}
	}
	return false
}

func recordsOf(group []*commit) []jobs.Record {
	records := make([]jobs.Record, 0, len(group))
	for _, member := range group {
		records = append(records, member.record)
	}
	return records
}
