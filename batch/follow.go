package batch

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/teaselcleat/teaselcleat/jobs"
	"github.com/teaselcleat/teaselcleat/logstream"
)

const (
	// retryFirst and retryMost bound the pause after a failed call to the store.
	retryFirst = 100 * time.Millisecond
	retryMost  = 500 * time.Millisecond
	// contactStale is how long after its last answer the store counts as away;
	// reads wait progressWait at most, and take up to 0.3 s when it is slow.
	contactStale = 2200 * time.Millisecond
	// failuresAway reads in a row without an answer mean the same; one may be a
	// connection that was reset.
	failuresAway = 2
	// progressWait is how long a read waits for a record where the holder of the
	// term writes. A silent holder is noticed at the end of such a wait.
	progressWait = 600 * time.Millisecond
	// holderWait is the same for the holder where callers write. The store may not
	// notice a record for a read that arrives while it is being appended (seen in
	// two of a hundred hand-ins); the job is then taken at the end of the wait, and
	// urgent ones have a second to spare.
	holderWait = 400 * time.Millisecond
	// callsWait is the same where callers write, on instances that do not place:
	// what is asked for is read at once, so a silent connection delays nothing.
	callsWait = 4 * time.Second
	// unwantedPause is how often a follower looks whether it is wanted.
	unwantedPause = 200 * time.Millisecond
	// quietWait is the same where only operators write. A read on a
	// connection that has gone silent is given up readSlack after it, which must
	// leave room in the two seconds in which a configuration comes into force.
	quietWait = time.Second
)

// errRoused ends a read of a standby when it becomes the holder of the term.
var errRoused = eris.New("the instance places now")

// follower keeps up with one stream: the newest record of each key, then the
// tail. It is used by one goroutine, but for its accessors.
type follower struct {
	store  Store
	stream Stream
	part   int
	log    *logrus.Entry
	clock  *Clock
	apply  func(Batch)          // called in order, under lock
	reset  func()               // called before newest records are read again
	gap    func() time.Duration // pause after a read that brought records
	wait   func() time.Duration // how long a read may wait for one
	wanted func() bool          // whether to follow now; nil for always
	yields time.Duration        // how long others may read first
	roused chan struct{}        // see rouse
	onLost func()               // called when a read is not answered

	lock     *sync.Mutex // held while records are applied; may be shared
	next     int64
	at       atomic.Int64 // next, for those who must not wait for the lock
	loaded   bool
	contact  time.Time               // when the last answered read was sent
	heard    time.Time               // when it was answered
	reading  context.CancelCauseFunc // ends the read on its way
	failures int                     // reads in a row without an answer that helps
}

// run follows the stream until ctx ends.
func (f *follower) run(ctx context.Context) {
	logstream.Sleep(ctx, f.yields)
	pause := retryFirst
	for ctx.Err() == nil {
		if f.wanted != nil && !f.wanted() {
			f.unload()
			logstream.Sleep(ctx, unwantedPause)
			continue
		}
		if err := f.once(ctx); err != nil && ctx.Err() == nil {
			f.lost(err)
			if !logstream.Sleep(ctx, pause) {
				return
			}
			pause = min(retryMost, 2*pause)
			continue
		}
		pause = retryFirst
	}
}

func (f *follower) once(ctx context.Context) error {
	if !f.isLoaded() {
		return f.load(ctx)
	}
	sent := f.clock.Now()
	batch, err := f.read(ctx)
	if errors.Is(err, errRoused) {
		return nil
	}
	if errors.Is(err, ErrForgotten) {
		f.log.WithField("stream", string(f.stream)).Info("history_forgotten")
		return f.load(ctx)
	}
	if err != nil {
		return err
	}
	f.take(batch, sent)
	if len(batch.Records) > 0 {
		f.rest(ctx, f.gap())
	}
	return nil
}

// read waits for the next records, unless it is roused.
func (f *follower) read(ctx context.Context) (Batch, error) {
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	f.lock.Lock()
	f.reading = end
	f.lock.Unlock()
	batch, err := f.store.Read(ctx, f.stream, f.part, f.position(), f.wait())
	if err != nil && errors.Is(context.Cause(ctx), errRoused) {
		return batch, errRoused
	}
	return batch, err
}

// rest waits, unless it is roused.
func (f *follower) rest(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.roused:
	}
}

// rouse ends a pause or a long wait, as its length was that of a standby and
// this instance now places.
func (f *follower) rouse() {
	select {
	case f.roused <- struct{}{}:
	default:
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.reading != nil {
		f.reading(errRoused)
	}
}

// load reads the newest record of each key. Reading goes on at the offset that
// was noted before the first page.
func (f *follower) load(ctx context.Context) error {
	sent := f.clock.Now()
	batch, err := f.store.Newest(ctx, f.stream, f.part)
	if err != nil {
		return err
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.reset != nil {
		f.reset()
	}
	f.apply(batch)
	f.next = max(f.next, batch.Next)
	f.at.Store(f.next)
	f.loaded = true
	f.touch(sent)
	return nil
}

// unload forgets how far the stream was read: it is read whole once it is
// wanted again, as by then it has mostly gone on far.
func (f *follower) unload() {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.loaded = false
}

// catchUp reads all that was written before the call.
func (f *follower) catchUp(ctx context.Context) error {
	if !f.isLoaded() {
		return f.load(ctx)
	}
	for {
		before := f.position()
		err := f.refresh(ctx, 0)
		if errors.Is(err, ErrForgotten) {
			return f.load(ctx)
		}
		if err != nil || f.position() == before {
			return err
		}
	}
}

// take applies a batch, or the part of it that is new.
func (f *follower) take(batch Batch, sent time.Time) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.touch(sent)
	first := batch.Next - int64(len(batch.Records))
	skip := f.next - first
	if skip < 0 || skip > int64(len(batch.Records)) {
		return
	}
	batch.Records = batch.Records[skip:]
	batch.Offsets = batch.Offsets[skip:]
	if len(batch.Records) == 0 {
		return
	}
	f.apply(batch)
	f.next = batch.Next
	f.at.Store(f.next)
}

// refresh reads what was written before the call, so that a later look at the
// fold misses nothing of it. If there is nothing, it waits up to wait for some.
func (f *follower) refresh(ctx context.Context, wait time.Duration) error {
	sent := f.clock.Now()
	batch, err := f.store.Read(ctx, f.stream, f.part, f.position(), wait)
	if err != nil {
		return err
	}
	f.take(batch, sent)
	return nil
}

func (f *follower) touch(sent time.Time) {
	if f.failures > 0 {
		f.log.WithField("stream", string(f.stream)).WithField("part", f.part).Info("store_regained")
	}
	f.failures = 0
	f.heard = f.clock.Now()
	if sent.After(f.contact) {
		f.contact = sent
	}
}

func (f *follower) lost(err error) {
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.failures == 0 {
		f.log.WithField("stream", string(f.stream)).WithField("part", f.part).WithField("error", err.Error()).Warn("store_lost")
	}
	f.failures++
	f.onLost()
}

// answeredSince reports whether a read that was sent after some moment was answered.
func (f *follower) answeredSince(moment time.Time) bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.contact.After(moment)
}

func (f *follower) isLoaded() bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.loaded
}

func (f *follower) position() int64 {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.next
}

// inContact reports whether the store answered this stream's reads lately.
func (f *follower) inContact() bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.loaded && f.failures < failuresAway && f.clock.Now().Sub(f.contact) < contactStale
}

// awayFor is how long ago the last answered read was sent.
func (f *follower) awayFor() time.Duration {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.clock.Now().Sub(f.contact)
}

// seenAt is as of when the stream is known: when the last answered read was sent.
func (f *follower) seenAt() time.Time {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.contact
}

// heardAt is when the newest read was answered.
func (f *follower) heardAt() time.Time {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.heard
}

// workFold is the fold of the work stream with those who wait for it.
type workFold struct {
	table    *jobs.Table
	log      *logrus.Entry
	dirty    map[string]bool // jobs that changed since the placing duty last looked
	watching atomic.Bool     // a placing duty looks at dirty
	signal   chan struct{}
}

func newWorkFold(log *logrus.Entry) *workFold {
	return &workFold{table: jobs.NewTable(), log: log, dirty: map[string]bool{}, signal: make(chan struct{}, 1)}
}

func (w *workFold) apply(part int, batch Batch) {
	for index, record := range batch.Records {
		change, err := w.table.Apply(record, part, batch.Offsets[index])
		if err != nil {
			w.log.WithField("error", err.Error()).Error("record_unreadable")
			continue
		}
		if change.Job != "" && w.watching.Load() {
			w.dirty[change.Job] = true
		}
	}
	w.wake()
}

// wake has the placing duty look at once.
func (w *workFold) wake() {
	select {
	case w.signal <- struct{}{}:
	default:
	}
}
