package batch

import (
	"context"
	"errors"
	"io"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/teaselcleat/teaselcleat/jobs"
)

var testNow = time.Unix(5000, 0)

func TestTermIsClaimedOnlyAfterObservedSilence(t *testing.T) {
	is := is.New(t)
	e := newElection("a", "a/1", 100*time.Millisecond)
	e.observe(jobs.Term{Epoch: 4, Leader: "b/1"}, testNow)
	is.True(!e.shouldClaim(testNow, testNow.Add(time.Hour))) // no read has been answered since the term was observed
	silentAt := testNow.Add(termTimeout)
	is.True(!e.shouldClaim(silentAt, silentAt)) // claimDelay has not passed
	is.True(e.shouldClaim(silentAt, silentAt.Add(100*time.Millisecond)))
	is.True(!e.shouldClaim(silentAt, silentAt.Add(200*time.Millisecond))) // claimInterval has not passed since the last claim
	e.observe(jobs.Term{Epoch: 5, Leader: "c/1"}, silentAt.Add(time.Second))
	is.True(!e.shouldClaim(silentAt.Add(time.Second), silentAt.Add(2*time.Second)))
}

func TestReleasedOrOwnFormerTermIsClaimedAtOnce(t *testing.T) {
	is := is.New(t)
	e := newElection("a", "a/2", 0)
	e.observe(jobs.Term{Epoch: 4}, testNow)
	is.True(e.shouldClaim(testNow, testNow))
	e = newElection("a", "a/2", time.Second)
	e.observe(jobs.Term{Epoch: 4, Leader: "a/1"}, testNow) // a former incarnation of this instance
	is.True(e.shouldClaim(testNow, testNow))
}

func TestLowCPUInstancesClaimLater(t *testing.T) {
	is := is.New(t)
	is.True(claimDelay(7, 0.19) > maxClaimJitter)
	is.True(claimDelay(7, 0.8) < maxClaimJitter)
	is.True(claimDelay(7, 0) < maxClaimJitter) // CPU share unknown
}

func TestStoreTimeoutAdaptsAndDoubles(t *testing.T) {
	is := is.New(t)
	var timeout adaptiveTimeout
	is.Equal(timeout.current(), minCallTimeout)
	timeout.recordUnanswered()
	is.Equal(timeout.current(), 2*minCallTimeout)
	for range 20 {
		timeout.observe(300 * time.Millisecond)
	}
	is.True(timeout.current() > time.Second) // four times the usual answer time
	for range 9 {
		timeout.recordUnanswered()
	}
	is.Equal(timeout.current(), maxCallTimeout)
}

func TestRecordsOfOneJobShareOnePart(t *testing.T) {
	is := is.New(t)
	for number := range 50 {
		id := strconv.Itoa(number)
		is.Equal(partOf(id, 1), statePart)
		is.True(partOf(id, 8) >= 1 && partOf(id, 8) <= maxCallParts)
		is.Equal(partOf(id, 2), 1)
	}
	submission, err := jobs.SubmissionRecord(&jobs.Submission{ID: "a1"})
	is.NoErr(err)
	is.Equal(submission.Subject(), jobs.CancelRecord("a1").Subject())
}

// scriptedStore answers appends with the given results, one per call.
type scriptedStore struct {
	Store
	lock    sync.Mutex
	results []error
	groups  [][]jobs.Record
	block   chan struct{} // appends wait until it is closed; nil for no wait
}

func (s *scriptedStore) Append(ctx context.Context, _ int, records []jobs.Record, _ *Fence) error {
	if s.block != nil {
		<-s.block
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.groups = append(s.groups, records)
	if len(s.results) == 0 {
		return nil
	}
	result := s.results[0]
	s.results = s.results[1:]
	return result
}

func startCommitter(t *testing.T, store Store) *committer {
	c := newCommitter(store, NewClock(), 1)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go c.run(ctx)
	return c
}

func TestCommitFates(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		results []error
		want    error
	}{
		{nil, nil},
		{[]error{ErrNotApplied}, ErrNotApplied},
		{[]error{ErrResultUnknown, nil}, nil},
		{[]error{ErrResultUnknown, ErrNotApplied}, ErrResultUnknown}, // the first attempt may still take effect
		{[]error{ErrResultUnknown, ErrResultUnknown}, ErrResultUnknown},
	} {
		committer := startCommitter(t, &scriptedStore{results: c.results})
		is.Equal(committer.write(context.Background(), jobs.CancelRecord("a")), c.want)
	}
}

// A record that its caller withdrew before it was sent is never sent, so the outcome ErrNotApplied is
// correct.
func TestGivenUpBeforeSendingIsNotDone(t *testing.T) {
	is := is.New(t)
	store := &scriptedStore{block: make(chan struct{})}
	committer := startCommitter(t, store)
	first := make(chan error, 1)
	go func() { first <- committer.write(context.Background(), jobs.CancelRecord("first")) }()
	for committer.unresolvedGroups.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	is.Equal(committer.write(cancelled, jobs.CancelRecord("second")), ErrNotApplied)
	close(store.block)
	is.NoErr(<-first)
	is.NoErr(committer.write(context.Background(), jobs.CancelRecord("third")))
	store.lock.Lock()
	defer store.lock.Unlock()
	for _, group := range store.groups {
		for _, record := range group {
			is.True(record.Key != jobs.CancelRecord("second").Key)
		}
	}
}

// downStore fails every call.
type downStore struct{}

var errDown = errors.New("out of reach")

func (downStore) Append(context.Context, int, []jobs.Record, *Fence) error { return ErrNotApplied }
func (downStore) Read(context.Context, Stream, int, int64, time.Duration) (Batch, error) {
	return Batch{}, errDown
}
func (downStore) ReadNewest(context.Context, Stream, int) (Batch, error) { return Batch{}, errDown }

func discardLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// Without the log no job is accepted and none is reported as nonexistent. Submissions are refused
// at once with a retry time.
func TestUnreachableLogReportsNoJobAsUnknown(t *testing.T) {
	is := is.New(t)
	instance := New(Settings{Name: "a", StoreParts: 8}, downStore{}, nil, nil, metrics.NewRegistry(), discardLog())
	outcome := instance.Submit(context.Background(), &jobs.Submission{ID: "x", Steps: []jobs.Step{{Tasks: 1}}})
	is.Equal(outcome.Verdict, NotRun)
	is.True(outcome.RetryAfter > 0)
	_, outcome = instance.State(context.Background(), "x", 0)
	is.Equal(outcome.Verdict, Unavailable)
	is.Equal(instance.Cancel(context.Background(), "x", 0).Verdict, Unavailable)
	is.True(!instance.Ready())
}

// A read that starts before the applied records, or leaves a gap after them, is not applied twice
// or out of order.
func TestFollowerSkipsAppliedRecords(t *testing.T) {
	is := is.New(t)
	var seen []string
	f := &follower{clock: NewClock(), log: discardLog(), lock: &sync.Mutex{}, nextOffset: 2, apply: func(batch Batch) {
		for _, record := range batch.Records {
			seen = append(seen, record.Key)
		}
	}}
	f.applyBatch(Batch{Records: []jobs.Record{{Key: "1"}, {Key: "2"}, {Key: "3"}}, Offsets: []int64{1, 2, 3}, NextOffset: 4}, testNow)
	f.applyBatch(Batch{Records: []jobs.Record{{Key: "2"}, {Key: "3"}}, Offsets: []int64{2, 3}, NextOffset: 4}, testNow)
	f.applyBatch(Batch{Records: []jobs.Record{{Key: "9"}}, Offsets: []int64{9}, NextOffset: 10}, testNow)
	is.Equal(seen, []string{"2", "3"})
	is.Equal(f.nextOffset, int64(4))
}

// After an append with an unknown outcome, nothing is sent until the store has answered again, so
// that callers get the definite answer that their job did not run.
func TestUnresponsiveStoreIsNotWrittenTo(t *testing.T) {
	is := is.New(t)
	committer := startCommitter(t, &scriptedStore{results: []error{ErrResultUnknown, ErrResultUnknown}})
	before := committer.clock.Now()
	is.True(!committer.storeUnresponsive(before))
	is.Equal(committer.write(context.Background(), jobs.CancelRecord("a")), ErrResultUnknown)
	for committer.unknownAt.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	is.True(committer.storeUnresponsive(before))
	is.True(!committer.storeUnresponsive(committer.clock.Now().Add(time.Millisecond)))
}

func TestRetryAfterIsLongerEarlyInOutage(t *testing.T) {
	is := is.New(t)
	is.Equal(retryDelayFor(0, 0, false), storeDownRetryAfter)
	is.Equal(retryDelayFor(1, 0, false), earlyOutageRetryAfter)
	is.Equal(retryDelayFor(1, earlyOutageDuration, false), storeDownRetryAfter)
	is.Equal(retryDelayFor(1, earlyOutageDuration, true), isolatedRetryAfter)
}

// lossyStore adds appends to its log and loses their answers.
type lossyStore struct {
	Store
	lock    sync.Mutex
	records []jobs.Record
	appends int
}

func (s *lossyStore) Append(ctx context.Context, _ int, records []jobs.Record, _ *Fence) error {
	s.lock.Lock()
	s.records = append(s.records, records...)
	s.appends++
	s.lock.Unlock()
	<-ctx.Done()
	return ErrResultUnknown
}

func (s *lossyStore) contains(_ context.Context, records []jobs.Record) (bool, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, record := range records {
		if !slices.ContainsFunc(s.records, func(stored jobs.Record) bool { return stored.Key == record.Key }) {
			return false, nil
		}
	}
	return true, nil
}

// An append whose answer is lost is found in the log and not sent again: in a slow store repeats
// would only lengthen the queue.
func TestLostAnswerIsReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &lossyStore{}
		committer := newCommitter(store, NewClock(), 1)
		committer.readBack = store.contains
		is.NoErr(committer.append(t.Context(), []*commit{{record: jobs.CancelRecord("a")}}))
		is.Equal(store.appends, 1)
		committer.readBack = func(context.Context, []jobs.Record) (bool, error) { return false, nil }
		is.Equal(committer.append(t.Context(), []*commit{{record: jobs.CancelRecord("a")}}), ErrResultUnknown)
		is.Equal(store.appends, 1+maxCommitAttempts)
		// If reads fail too, the call goes to other instances without another attempt.
		committer.readBack = func(context.Context, []jobs.Record) (bool, error) { return false, errDown }
		err := committer.append(t.Context(), []*commit{{record: jobs.CancelRecord("a")}})
		is.True(errors.Is(err, errStoreUnreachable) && errors.Is(err, ErrResultUnknown))
		is.Equal(store.appends, 2+maxCommitAttempts)
	})
}

// The leader reads its own renewals, so a lost answer does not delay its records. Only the renewal
// that it sent last counts.
func TestHolderReadsItsRenewalBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &lossyStore{}
		instance := New(Settings{Name: "a", StoreParts: 8}, store, nil, nil, metrics.NewRegistry(), discardLog())
		l := &leader{instance: instance, clock: instance.clock, log: discardLog()}
		renewed := jobs.Term{Epoch: 3, Leader: "a/1", Renewals: 7}
		writer := newFencedWriter(l, renewed, 1, l.clock.Now())
		record, err := jobs.TermRecord(jobs.Term{Epoch: 3, Leader: "a/1", Renewals: 6})
		is.NoErr(err)
		instance.fold.apply(statePart, Batch{Records: []jobs.Record{record}, Offsets: []int64{0}})
		is.Equal(writer.states.appendOnce(t.Context(), nil), ErrResultUnknown)
		record, err = jobs.TermRecord(renewed)
		is.NoErr(err)
		instance.fold.apply(statePart, Batch{Records: []jobs.Record{record}, Offsets: []int64{1}})
		is.NoErr(writer.states.appendOnce(t.Context(), nil))
	})
}

// partitionedStore stores the appends of each part, and refuses epochs below the highest of the
// part.
type partitionedStore struct {
	Store
	lock   sync.Mutex
	parts  map[int][]jobs.Record
	epochs map[int]int64
	away   bool // appends get no answer and have no effect
}

func newPartitionedStore() *partitionedStore {
	return &partitionedStore{parts: map[int][]jobs.Record{}, epochs: map[int]int64{}}
}

func (s *partitionedStore) Append(ctx context.Context, part int, records []jobs.Record, fence *Fence) error {
	if s.isAway() {
		<-ctx.Done()
		return ErrResultUnknown
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	if fence != nil && fence.Epoch < s.epochs[part] {
		return ErrFenced
	}
	if fence != nil {
		s.epochs[part] = fence.Epoch
	}
	s.parts[part] = append(s.parts[part], records...)
	return nil
}

func (s *partitionedStore) keys(part int) []string {
	var keys []string
	for _, record := range s.parts[part] {
		keys = append(keys, record.Key)
	}
	return keys
}

func newTestWriter(store Store, epoch int64) *fencedWriter {
	instance := New(Settings{Name: "a", StoreParts: 8}, store, nil, nil, metrics.NewRegistry(), discardLog())
	l := &leader{instance: instance, clock: instance.clock, log: discardLog()}
	return newFencedWriter(l, jobs.Term{Epoch: epoch, Leader: "a/1"}, 1, l.clock.Now())
}

// Progress goes to its own part and only states share a part with the term, so that instances that
// are not the leader read little. A group is durable only once both parts are written.
func TestProgressAndStatesUseSeparateParts(t *testing.T) {
	is := is.New(t)
	store := newPartitionedStore()
	writer := newTestWriter(store, 3)
	progress, err := jobs.ProgressRecord("a1", &jobs.Progress{State: jobs.StateDone})
	is.NoErr(err)
	is.NoErr(writer.writeGroup(t.Context(), recordGroup{progress: []jobs.Record{progress}, states: []jobs.Record{jobs.StateRecord("a1", jobs.StateDone)}}))
	is.Equal(store.keys(7), []string{"mark", "p/a1"})
	is.Equal(store.keys(statePart), []string{"term", "e/a1"})
	store.epochs[7] = 9 // a later leader has fenced the progress
	err = writer.writeGroup(t.Context(), recordGroup{progress: []jobs.Record{progress}, states: []jobs.Record{jobs.StateRecord("a1", jobs.StateDone)}})
	is.True(errors.Is(err, ErrFenced))
}

// After the fence a former leader cannot write progress. What it wrote before precedes the fence
// in the log.
func TestFenceEndsFormerProgress(t *testing.T) {
	is := is.New(t)
	store := newPartitionedStore()
	former, next := newTestWriter(store, 3), newTestWriter(store, 4)
	progress, err := jobs.ProgressRecord("a1", &jobs.Progress{State: jobs.StateRunning})
	is.NoErr(err)
	is.NoErr(former.writeGroup(t.Context(), recordGroup{progress: []jobs.Record{progress}}))
	is.NoErr(next.fenceProgress(t.Context()))
	is.Equal(former.writeGroup(t.Context(), recordGroup{progress: []jobs.Record{progress}}), ErrFenced)
	is.Equal(store.keys(7), []string{"mark", "p/a1", "mark"})
}

// A job's progress may be written twice with the same content. An earlier copy in the log must not
// make the second group count as durable: its ends would be acknowledged and lost.
func TestProgressOfBeforeIsNotTakenForTheGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &lossyStore{}
		writer := newTestWriter(store, 3)
		progress, err := jobs.ProgressRecord("a1", &jobs.Progress{State: jobs.StateRunning})
		is.NoErr(err)
		first := []jobs.Record{jobs.GroupMarkRecord(3, 1), progress}
		second := []jobs.Record{jobs.GroupMarkRecord(3, 2), progress}
		instance := writer.leader.instance
		instance.fold.apply(7, Batch{Records: first, Offsets: []int64{0, 1}})
		is.NoErr(writer.progress.appendOnce(t.Context(), first))
		is.Equal(writer.progress.appendOnce(t.Context(), second), ErrResultUnknown)
	})
}
