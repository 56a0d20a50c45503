package batch

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/teaselcleat/teaselcleat/jobs"
)

const testParts = 8

// partwiseStore keeps the records of each part. Calls to a part that is away fail; its appends are sent
// all the same, so that their outcome is unknown.
type partwiseStore struct {
	Store
	lock    sync.Mutex
	away    map[int]bool
	lossy   bool // answers to appends are lost
	parts   map[int][]jobs.Record
	appends map[int]int
	reads   map[int]int
}

func newPartwiseStore(away ...int) *partwiseStore {
	s := &partwiseStore{away: map[int]bool{}, parts: map[int][]jobs.Record{}, appends: map[int]int{}, reads: map[int]int{}}
	s.setAway(true, away...)
	return s
}

func (s *partwiseStore) setAway(away bool, parts ...int) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, part := range parts {
		s.away[part] = away
	}
}

func (s *partwiseStore) loseAnswers(lost bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.lossy = lost
}

func (s *partwiseStore) Append(_ context.Context, part int, records []jobs.Record, _ *Fence) error {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.appends[part]++
	if s.away[part] {
		return ErrResultUnknown
	}
	s.parts[part] = append(s.parts[part], records...)
	if s.lossy {
		return ErrResultUnknown
	}
	return nil
}

func (s *partwiseStore) Read(_ context.Context, _ Stream, part int, from int64, _ time.Duration) (Batch, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.reads[part]++
	if s.away[part] {
		return Batch{}, errDown
	}
	batch := Batch{NextOffset: int64(len(s.parts[part])), Records: slices.Clone(s.parts[part][from:])}
	for index := range batch.Records {
		batch.Offsets = append(batch.Offsets, from+int64(index))
	}
	return batch, nil
}

// holders returns the parts that hold a record.
func (s *partwiseStore) holders(key string) []int {
	s.lock.Lock()
	defer s.lock.Unlock()
	var list []int
	for part, records := range s.parts {
		if slices.ContainsFunc(records, func(record jobs.Record) bool { return record.Key == key }) {
			list = append(list, part)
		}
	}
	slices.Sort(list)
	return list
}

// withPartwiseStore runs a test with an instance whose followers are at rest.
func withPartwiseStore(t *testing.T, store *partwiseStore, test func(is *is.I, instance *Instance)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		instance := newLoadedInstance(t, store, "other")
		useTestClock(instance.clock)
		for _, f := range append([]*follower{instance.work}, instance.calls...) {
			f.contactAt = time.Time{}
			f.recordAnswer(instance.clock.Now())
		}
		for _, committer := range instance.committers {
			go committer.run(ctx)
		}
		test(is.New(t), instance)
		cancel()
		synctest.Wait()
	})
}

func submitTestJob(instance *Instance, id string) Outcome {
	return submitWithin(instance, id, 0, 2850*time.Millisecond)
}

func submitWithin(instance *Instance, id string, priority int, timeout time.Duration) Outcome {
	ctx, cancel := context.WithTimeout(WithStatedDeadline(context.Background()), timeout)
	defer cancel()
	return instance.Submit(ctx, &jobs.Submission{ID: id, Queue: jobs.Queue{Priority: priority}, Steps: []jobs.Step{{Tasks: 1}}})
}

// isInOnePartBut reports whether one part holds a record, and not the given one.
func isInOnePartBut(store *partwiseStore, key string, part int) bool {
	holders := store.holders(key)
	return len(holders) == 1 && holders[0] != part
}

// Guards against refused jobs while a part of the store is away and the others answer.
func TestJobWhosePartIsAwayGoesToAnotherPart(t *testing.T) {
	usual := partOf("a1", testParts)
	store := newPartwiseStore(usual)
	withPartwiseStore(t, store, func(is *is.I, instance *Instance) {
		instance.readFailedAt.Store(instance.clock.Now().UnixNano()) // a read has failed
		time.Sleep(time.Millisecond)
		is.Equal(submitTestJob(instance, "a1").Verdict, Accepted)
		is.True(isInOnePartBut(store, "s/a1", partOf("a1", testParts)))
		is.Equal(store.appends[usual], 0)
	})
}

// Guards against undecided answers: the record of an append that got no answer is valid in another part
// too.
func TestUnansweredAppendIsResolvedInAnotherPart(t *testing.T) {
	usual := partOf("a1", testParts)
	store := newPartwiseStore(usual)
	withPartwiseStore(t, store, func(is *is.I, instance *Instance) {
		is.Equal(submitTestJob(instance, "a1").Verdict, Accepted) // no read has failed yet, so it was sent
		is.Equal(store.appends[usual], 1)
		is.Equal(submitTestJob(instance, "a1").Verdict, Accepted)
		is.Equal(store.appends[usual], 1)
	})
}

// Guards against a cancellation that is refused because the part of the job is away.
func TestCancelWhosePartIsAwayGoesToAnotherPart(t *testing.T) {
	store := newPartwiseStore()
	withPartwiseStore(t, store, func(is *is.I, instance *Instance) {
		is.Equal(submitTestJob(instance, "a1").Verdict, Accepted)
		is.NoErr(instance.refreshCalls(context.Background()))
		store.setAway(true, partOf("a1", testParts))
		instance.followerOf(partOf("a1", testParts)).suspect()
		is.Equal(instance.Cancel(context.Background(), "a1", 0).Verdict, Accepted)
		is.True(isInOnePartBut(store, "c/a1", partOf("a1", testParts)))
	})
}

// Guards against "no such job" for a job that was accepted elsewhere, in another part than usual.
func TestJobInAnotherPartIsNotReportedAsUnknown(t *testing.T) {
	store := newPartwiseStore()
	withPartwiseStore(t, store, func(is *is.I, instance *Instance) {
		record, err := jobs.SubmissionRecord(&jobs.Submission{ID: "a1", Steps: []jobs.Step{{Tasks: 1}}})
		is.NoErr(err)
		is.NoErr(store.Append(context.Background(), partsOf("a1", testParts)[3], []jobs.Record{record}, nil))
		_, outcome := instance.State(context.Background(), "a1", 0)
		is.Equal(outcome.Verdict, Accepted)
		_, outcome = instance.State(context.Background(), "a2", 0)
		is.Equal(outcome.Verdict, NoSuchJob)
		store.setAway(true, partsOf("a2", testParts)[3])
		_, outcome = instance.State(context.Background(), "a2", 0)
		is.Equal(outcome.Verdict, Unavailable) // the part that is away may hold it
	})
}

// idWithPart returns the ID of a job whose usual part is the given one.
func idWithPart(part int) string {
	for number := 0; ; number++ {
		if id := fmt.Sprint("n", number); partOf(id, testParts) == part {
			return id
		}
	}
}

// A part that is away is read rarely, and used again once it is back.
func TestPartThatIsAwayIsCheckedRarelyAndUsedAgain(t *testing.T) {
	usual := partOf("a1", testParts)
	store := newPartwiseStore(usual)
	withPartwiseStore(t, store, func(is *is.I, instance *Instance) {
		instance.followerOf(usual).suspect()
		for number := range 100 {
			is.Equal(submitTestJob(instance, fmt.Sprint("b", number)).Verdict, Accepted)
			time.Sleep(10 * time.Millisecond)
		}
		is.True(store.reads[usual] <= 1+int(time.Second/partCheckInterval))
		is.Equal(store.appends[usual], 0)
		store.setAway(false, usual)
		time.Sleep(partCheckInterval)
		is.Equal(submitTestJob(instance, idWithPart(usual)).Verdict, Accepted) // has the part read
		synctest.Wait()
		is.Equal(submitTestJob(instance, "a1").Verdict, Accepted)
		is.Equal(store.holders("s/a1"), []int{usual})
	})
}

// While all parts are away a job is refused at once, nothing is sent, and few reads are made.
func TestNothingIsSentWhileAllPartsAreAway(t *testing.T) {
	store := newPartwiseStore(0, 1, 2, 3, 4, 5, 6, 7)
	withPartwiseStore(t, store, func(is *is.I, instance *Instance) {
		for _, f := range append([]*follower{instance.work}, instance.calls...) {
			f.suspect()
		}
		for number := range 100 {
			outcome := submitTestJob(instance, fmt.Sprint("b", number))
			is.Equal(outcome.Verdict, NotRun)
			is.True(outcome.RetryAfter > 0)
		}
		is.Equal(len(store.appends), 0)
	})
}

// Guards against an address of an instance that is read after a later one, from another part.
func TestAddressIsWrittenToOnePartOnly(t *testing.T) {
	usual := partOf("a", testParts)
	store := newPartwiseStore(usual)
	withPartwiseStore(t, store, func(is *is.I, instance *Instance) {
		instance.settings.RelayAddress = "10.0.0.1:1"
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		instance.registerAddress(ctx)
		store.lock.Lock()
		defer store.lock.Unlock()
		is.Equal(len(store.appends), 1)
		is.True(store.appends[usual] > 0)
	})
}

func TestPartsOfASubjectAreAllCallParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.IntRange(1, 64).Draw(t, "parts")
		subject := rapid.String().Draw(t, "subject")
		list := partsOf(subject, parts)
		if list[0] != partOf(subject, parts) {
			t.Fatal("the usual part is not the first")
		}
		slices.Sort(list)
		if len(slices.Compact(slices.Clone(list))) != len(list) || len(list) != max(1, callPartCount(parts)) {
			t.Fatalf("%d parts: %v", parts, list)
		}
	})
}

// Guards against one part that takes all records of the parts that are away.
func TestRecordsOfAPartThatIsAwayAreSpread(t *testing.T) {
	is := is.New(t)
	counts := map[int]int{}
	for number := range 600 {
		if list := partsOf(fmt.Sprint("job", number), testParts); list[0] == 2 {
			counts[list[1]]++
		}
	}
	is.Equal(len(counts), callPartCount(testParts)-1)
	for _, count := range counts {
		is.True(count >= 8) // of some 20
	}
}

// Guards against undecided answers in an outage that the waiting reads have not noticed, as connections
// went silent: without an answer of the store for a while a part is read before it is written to.
func TestSilentStoreIsReadBeforeItIsWrittenTo(t *testing.T) {
	store := newPartwiseStore()
	withPartwiseStore(t, store, func(is *is.I, instance *Instance) {
		is.Equal(submitTestJob(instance, "a1").Verdict, Accepted)
		is.Equal(store.reads[partOf("a1", testParts)], 0) // the last answer is evidence enough
		time.Sleep(2 * minCallTimeout)
		store.setAway(true, allParts...)
		is.Equal(submitWithin(instance, "a2", 0, 3*time.Second).Verdict, NotRun)
		is.Equal(len(store.appends), 1)
	})
}

// Guards against callers that are held by one append after the other to a store that is away: after one
// without an answer, a part is read before it is written to.
func TestUnansweredAppendIsNotFollowedByOthers(t *testing.T) {
	store := newPartwiseStore(allParts...)
	withPartwiseStore(t, store, func(is *is.I, instance *Instance) {
		is.Equal(submitTestJob(instance, "a1").Verdict, Undecided)
		is.Equal(len(store.appends), 1)
	})
}

// Guards against undecided answers when the other part turns out to be away as well.
func TestUnansweredAppendToAnotherPartIsResolvedToo(t *testing.T) {
	parts := partsOf("a1", testParts)
	store := newPartwiseStore(parts[0], parts[1])
	withPartwiseStore(t, store, func(is *is.I, instance *Instance) {
		instance.followerOf(parts[0]).suspect()
		instance.followerOf(parts[0]).startCheck()
		is.Equal(submitTestJob(instance, "a1").Verdict, Accepted)
		is.Equal(store.appends[parts[1]], 1) // no read of it had failed yet
		is.Equal(len(store.holders("s/a1")), 1)
	})
}

// Guards against a job that runs again after its retention, from a copy of its submission.
func TestCopiesOfASubmissionAreOneJobAndDeletedTogether(t *testing.T) {
	store := newPartwiseStore()
	withPartwiseStore(t, store, func(is *is.I, instance *Instance) {
		parts := partsOf("a1", testParts)[:2]
		record, err := jobs.SubmissionRecord(&jobs.Submission{ID: "a1", Steps: []jobs.Step{{Tasks: 1}}})
		is.NoErr(err)
		for _, part := range parts {
			is.NoErr(store.Append(context.Background(), part, []jobs.Record{record}, nil))
		}
		is.NoErr(instance.refreshCalls(context.Background()))
		is.Equal(instance.fold.table.Len(), 2) // with the one that the instance began with
		l := &leader{instance: instance, log: discardLog()}
		instance.followerOf(parts[1]).suspect()
		is.True(l.expireJob(context.Background(), "a1") != nil) // it may hold a copy that was not read
		is.Equal(len(store.parts[parts[0]]), 1)
		time.Sleep(time.Millisecond)
		is.NoErr(instance.refreshCalls(context.Background()))
		is.NoErr(l.expireJob(context.Background(), "a1"))
		for _, part := range parts {
			is.Equal(len(store.parts[part]), 1+len(jobs.DeleteCallerRecords("a1")))
		}
	})
}
