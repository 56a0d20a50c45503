package batch

import (
	"context"
	"errors"
	"time"

	"github.com/teaselcleat/teaselcleat/jobs"
)

const (
	// overtakeDelay is how long the committer waits for a group before it sends the next one
	// concurrently. No group is overtaken while the store is merely slow and takes 0.3 s for an append.
	overtakeDelay = 600 * time.Millisecond
	// resolveInterval is how often the log is read for a group without an answer, and
	// resendInterval how often the group is sent again: a store that loses answers, or carries out
	// appends seconds late, usually processes one of several copies. Appending a record twice is
	// harmless. A slow store processes every copy in the end, and repeats only add load.
	resolveInterval = 120 * time.Millisecond
	resendInterval  = 400 * time.Millisecond
	// maxResolveTime bounds the resolution of a group; callers wait for three seconds.
	maxResolveTime = 3 * time.Second
)

// sendGroup sends a group and resolves its outcome while any of its callers waits. It closes
// nextMayBeSent once the next group may be sent.
func (c *committer) sendGroup(ctx context.Context, group []*commit, nextMayBeSent chan<- struct{}) {
	defer c.unresolvedGroups.Add(-1)
	sent := make(chan error, 1)
	go func() { sent <- c.append(ctx, group) }()
	var err error
	select {
	case err = <-sent:
	case <-time.After(overtakeDelay):
		c.unknownAt.Store(c.clock.Now().UnixNano())
		close(nextMayBeSent)
		c.deliver(group, c.resolve(ctx, group, sent))
		return
	}
	if errors.Is(err, ErrResultUnknown) {
		c.unknownAt.Store(c.clock.Now().UnixNano())
	}
	close(nextMayBeSent)
	if c.isUnresolved(err) {
		sent <- err
		err = c.resolve(ctx, group, sent)
	}
	c.deliver(group, err)
}

// isUnresolved reports whether reading the log and sending again may resolve the outcome of a
// group.
func (c *committer) isUnresolved(err error) bool {
	return errors.Is(err, ErrResultUnknown) && !errors.Is(err, errStoreUnreachable) && c.readBack != nil
}

func (c *committer) deliver(group []*commit, err error) {
	for _, pending := range group {
		pending.result <- err
	}
}

// resolve reads the log until it contains a group, and sends the group again concurrently with the
// attempts of append, whose result arrives in sent.
func (c *committer) resolve(ctx context.Context, group []*commit, sent <-chan error) error {
	records := recordsOf(group)
	resendResults := make(chan error, int(maxResolveTime/resendInterval)+1)
	ticker := time.NewTicker(resolveInterval)
	defer ticker.Stop()
	sentAt := time.Now()
	resent := false
	for until := time.Now().Add(maxResolveTime); time.Now().Before(until) && c.hasWaiters(group); {
		select {
		case err := <-sent:
			if resent && errors.Is(err, ErrNotApplied) {
				continue // holds only for append's own attempts
			}
			if !c.isUnresolved(err) {
				return err
			}
		case err := <-resendResults:
			if err == nil {
				return nil
			}
		case <-ticker.C:
			if len(sent) > 0 || len(resendResults) > 0 {
				continue // an answer has arrived; a read takes 0.3 s while the store is slow
			}
			began := c.clock.Now()
			if found, err := c.isInLog(ctx, records); found && err == nil {
				return nil
			}
			c.recordReadTime(began)
		case <-ctx.Done():
			return ErrResultUnknown
		}
		if !c.storeSlow.Load() && time.Since(sentAt) >= max(resendInterval, c.timeout.currentIgnoringUnanswered()) {
			sentAt, resent = time.Now(), true
			go func() { resendResults <- c.resend(ctx, records) }()
		}
	}
	return ErrResultUnknown
}

func (c *committer) resend(ctx context.Context, records []jobs.Record) error {
	ctx, cancel := context.WithTimeout(ctx, maxCallTimeout)
	defer cancel()
	return c.store.Append(ctx, c.part, records, nil)
}

// hasWaiters reports whether any caller of a group still waits.
func (c *committer) hasWaiters(group []*commit) bool {
	for _, pending := range group {
		if pending.state.Load() != commitAbandoned {
			return true
		}
	}
	return false
}

func recordsOf(group []*commit) []jobs.Record {
	records := make([]jobs.Record, 0, len(group))
	for _, pending := range group {
		records = append(records, pending.record)
	}
	return records
}
