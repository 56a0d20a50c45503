package batch

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/teaselcleat/teaselcleat/logstream"
)

const (
	// minRetryBackoff and maxRetryBackoff bound the pause after a failed call to the store.
	minRetryBackoff = 100 * time.Millisecond
	maxRetryBackoff = 500 * time.Millisecond
	// contactTimeout is how long after its last answer the store counts as unreachable. Reads wait
	// stateReadWait at most, and take up to 0.3 s when the store is slow.
	contactTimeout = 2200 * time.Millisecond
	// unreachableFailures is the number of consecutive failed reads after which the store counts
	// as unreachable; one failure may be a connection that was reset.
	unreachableFailures = 2
	// stateReadWait is how long a read waits for a record of the leader. A silent leader is
	// noticed at the end of such a wait.
	stateReadWait = 600 * time.Millisecond
	// leaderCallReadWait is how long the leader's reads wait for callers' records. The store may
	// miss a record for a read that arrives while it is being appended (seen in two of a hundred
	// submissions). The job is then read at the end of the wait; urgent jobs tolerate a
	// delay of a second.
	leaderCallReadWait = 400 * time.Millisecond
	// callReadWait is how long reads wait for callers' records on instances that are not the
	// leader. Requests trigger a read at once, so a silent connection delays nothing.
	callReadWait = 4 * time.Second
	// inactiveCheckInterval is how often a follower checks whether it is active.
	inactiveCheckInterval = 200 * time.Millisecond
	// operatorStreamReadWait is how long reads wait for operators' records at least. Half the time in
	// which a configuration takes effect leaves the other half for a second read after one on a
	// silent connection; that time is two seconds where the deployment states none.
	operatorStreamReadWait = time.Second
	// minReadMargin is the shortest time added to the wait of a read before it is given up. The
	// margin follows the latency of answers and doubles with each read that is not answered: a
	// crowded store answers late, and a read that is given up is work for it all the same.
	minReadMargin = 600 * time.Millisecond
)

// errWoken cancels a long read when the instance becomes the leader.
var errWoken = eris.New("the instance is now the leader")

// errPartIncomplete is returned if the store does not return records that a part has.
var errPartIncomplete = eris.New("an answer without records before the end of the part")

// follower keeps up with one stream: it reads the newest record of each key, then the tail. It is
// used by one goroutine, except for its accessors.
type follower struct {
	store        Store
	stream       Stream
	part         int
	log          *logrus.Entry
	clock        *Clock
	apply        func(Batch)          // called in log order with lock held
	reset        func()               // called before the newest records are applied again
	readInterval func() time.Duration // pause after a read that returned records
	readWait     func() time.Duration // how long a read may wait for a record
	readTimeout  func() time.Duration // longest time until a read is given up; nil or 0 for no bound but that of margin
	active       func() bool          // reports whether to follow now; nil for always
	startDelay   time.Duration        // delay of the first read
	wakeup       chan struct{}        // ends a pause; see wake
	onFailure    func()               // called when a read fails
	onAnswer     func()               // called when a read was answered; nil for none
	onRegained   func(time.Duration)  // called when a read succeeds after failures, with the time since contact; nil for none
	pacer        *loadPacer           // of full reads; nil for no limit
	margin       adaptiveTimeout      // of reads, beyond their wait

	lock            *sync.Mutex // held while records are applied; may be shared by followers
	nextOffset      int64
	publishedOffset atomic.Int64 // nextOffset, readable without the lock
	loaded          bool
	contactAt       time.Time               // when the last answered read was sent
	answeredAt      time.Time               // when it was answered
	steadySince     time.Time               // since when every read was answered
	cancelRead      context.CancelCauseFunc // ends the read in progress
	failures        int                     // consecutive failed reads
	suspectedAt     time.Time               // when a call for a caller's record last went unanswered
	checkedAt       time.Time               // when it was last read for a caller's record
}

// run follows the stream until ctx ends.
func (f *follower) run(ctx context.Context) {
	logstream.Sleep(ctx, f.startDelay)
	backoff := minRetryBackoff
	for ctx.Err() == nil {
		if f.active != nil && !f.active() {
			f.unload()
			logstream.Sleep(ctx, inactiveCheckInterval)
			continue
		}
		if err := f.readOnce(ctx); err != nil && ctx.Err() == nil {
			f.recordFailure(err)
			if !logstream.Sleep(ctx, backoff/2+rand.N(backoff)) {
				return
			}
			backoff = min(maxRetryBackoff, 2*backoff)
			continue
		}
		backoff = minRetryBackoff
	}
}

func (f *follower) readOnce(ctx context.Context) error {
	if !f.isLoaded() {
		return f.load(ctx)
	}
	sent := f.clock.Now()
	batch, err := f.awaitRecords(ctx)
	if errors.Is(err, errWoken) {
		return nil
	}
	if errors.Is(err, ErrNotRetained) {
		f.log.WithField("stream", string(f.stream)).Info("history_forgotten")
		return f.load(ctx)
	}
	if err != nil {
		return err
	}
	f.applyBatch(batch, sent)
	if len(batch.Records) > 0 {
		f.pause(ctx, f.readInterval())
	}
	return nil
}

// awaitRecords waits for the next records or until it is woken.
func (f *follower) awaitRecords(ctx context.Context) (Batch, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	f.lock.Lock()
	f.cancelRead = cancel
	f.lock.Unlock()
	batch, err := f.read(ctx, f.readWait())
	if err != nil && errors.Is(context.Cause(ctx), errWoken) {
		return batch, errWoken
	}
	return batch, err
}

// timeoutOf returns when a read with a wait is given up.
func (f *follower) timeoutOf(wait time.Duration) time.Duration {
	timeout := wait + f.margin.current()
	if f.readTimeout == nil || f.readTimeout() == 0 {
		return timeout
	}
	return min(timeout, max(f.readTimeout(), wait+minReadMargin))
}

// read reads from the current position on, within the usual latency.
func (f *follower) read(ctx context.Context, wait time.Duration) (Batch, error) {
	callCtx, cancel := context.WithTimeout(ctx, f.timeoutOf(wait))
	defer cancel()
	sent := f.clock.Now()
	batch, err := f.store.Read(callCtx, f.stream, f.part, f.position(), wait)
	switch elapsed := f.clock.Now().Sub(sent); {
	case err == nil && elapsed >= wait:
		f.margin.observe(elapsed - wait)
	case err != nil && callCtx.Err() != nil && ctx.Err() == nil:
		f.margin.recordUnanswered()
	}
	return batch, err
}

// pause waits for a duration or until it is woken.
func (f *follower) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.wakeup:
	}
}

// wake ends a pause or a long read, because this instance is now the leader and reads at shorter
// intervals.
func (f *follower) wake() {
	select {
	case f.wakeup <- struct{}{}:
	default:
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.cancelRead != nil {
		f.cancelRead(errWoken)
	}
}

// load reads the newest record of each key. Reading continues at the offset that was recorded
// before the first page.
func (f *follower) load(ctx context.Context) error {
	if f.pacer == nil {
		return f.loadNow(ctx)
	}
	return f.pacer.run(ctx, func() error { return f.loadNow(ctx) })
}

func (f *follower) loadNow(ctx context.Context) error {
	sent := f.clock.Now()
	batch, err := f.store.ReadNewest(ctx, f.stream, f.part)
	if err != nil {
		return err
	}
	f.margin.observe(f.clock.Now().Sub(sent)) // a store that is crowded now will be for the next reads too
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.reset != nil {
		f.reset()
	}
	f.apply(batch)
	f.nextOffset = max(f.nextOffset, batch.NextOffset)
	f.publishedOffset.Store(f.nextOffset)
	f.loaded = true
	f.recordAnswer(sent)
	return nil
}

// unload discards the read position. The stream is read from the newest records when the follower
// is active again, as by then the log has usually grown far.
func (f *follower) unload() {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.loaded = false
}

// catchUp reads all records written before the call.
func (f *follower) catchUp(ctx context.Context) error {
	if !f.isLoaded() {
		return f.load(ctx)
	}
	for {
		previous := f.position()
		err := f.refresh(ctx, 0)
		if errors.Is(err, ErrNotRetained) {
			return f.load(ctx)
		}
		if err != nil || f.position() == previous {
			return err
		}
	}
}

// applyBatch applies the records of a batch that have not been applied.
func (f *follower) applyBatch(batch Batch, sent time.Time) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.recordAnswer(sent)
	first := batch.NextOffset - int64(len(batch.Records))
	skip := f.nextOffset - first
	if skip < 0 || skip > int64(len(batch.Records)) {
		return
	}
	batch.Records = batch.Records[skip:]
	batch.Offsets = batch.Offsets[skip:]
	if len(batch.Records) == 0 {
		return
	}
	f.apply(batch)
	f.nextOffset = batch.NextOffset
	f.publishedOffset.Store(f.nextOffset)
}

// refresh reads the records written before the call, so that the fold then contains them. If there
// are none, it waits up to wait for one.
func (f *follower) refresh(ctx context.Context, wait time.Duration) error {
	batch, err := f.readNext(ctx, wait)
	if err != nil {
		return err
	}
	for end := batch.End; f.position() < end; {
		if batch, err = f.readNext(ctx, 0); err != nil {
			return err
		}
		if len(batch.Records) == 0 && f.position() < end {
			return errPartIncomplete
		}
	}
	return nil
}

// readNext reads and applies the records of one answer.
func (f *follower) readNext(ctx context.Context, wait time.Duration) (Batch, error) {
	sent := f.clock.Now()
	batch, err := f.read(ctx, wait)
	if err == nil {
		f.applyBatch(batch, sent)
	}
	return batch, err
}

func (f *follower) recordAnswer(sent time.Time) {
	if f.failures > 0 {
		f.log.WithField("stream", string(f.stream)).WithField("part", f.part).Info("store_regained")
		if f.onRegained != nil {
			f.onRegained(f.clock.Now().Sub(f.contactAt))
		}
	}
	f.answeredAt = f.clock.Now()
	if f.failures > 0 || f.steadySince.IsZero() {
		f.steadySince = f.answeredAt
	}
	f.failures = 0
	if f.onAnswer != nil {
		f.onAnswer()
	}
	if sent.After(f.contactAt) {
		f.contactAt = sent
	}
}

func (f *follower) recordFailure(err error) {
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.failures == 0 {
		f.log.WithField("stream", string(f.stream)).WithField("part", f.part).WithField("error", err.Error()).Warn("store_lost")
	}
	f.failures++
	f.onFailure()
}

// answeredSince reports whether a read that was sent after the given time was answered.
func (f *follower) answeredSince(moment time.Time) bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.contactAt.After(moment)
}

func (f *follower) isLoaded() bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.loaded
}

func (f *follower) position() int64 {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.nextOffset
}

// isReachable reports whether the store answered reads of this stream recently.
func (f *follower) isReachable() bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.loaded && f.failures < unreachableFailures && f.clock.Now().Sub(f.contactAt) < contactTimeout
}

// sinceContact returns the time since the last answered read was sent.
func (f *follower) sinceContact() time.Duration {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.clock.Now().Sub(f.contactAt)
}

// lastContact returns when the last answered read was sent; the applied records are complete up to
// then.
func (f *follower) lastContact() time.Time {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.contactAt
}

// lastAnswer returns when the newest read was answered.
func (f *follower) lastAnswer() time.Time {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.answeredAt
}
