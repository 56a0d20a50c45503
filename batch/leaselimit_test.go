package batch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
	"github.com/teaselcleat/teaselcleat/placing"
)

// longestOutage is the longest outage of the whole store that the users' deployments list.
const longestOutage = 6500 * time.Millisecond

func (s *partitionedStore) setAway(away bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.away = away
}

func (s *partitionedStore) isAway() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.away
}

// lastLease returns the latest end of a lease at any worker.
func (s *simWorkers) lastLease() time.Time {
	s.lock.Lock()
	defer s.lock.Unlock()
	last := time.Time{}
	for _, worker := range s.workers {
		if worker.until.After(last) {
			last = worker.until
		}
	}
	return last
}

func (s *simWorkers) lapseCount() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	count := 0
	for _, worker := range s.workers {
		count += worker.lapses
	}
	return count
}

// Guards against a leader that renews leases for long while it is cut off from the store: the next leader waits for
// them before tasks of lost workers run again.
func TestLeaderCutOffFromTheStoreSoonRequestsNoLeases(t *testing.T) {
	for workers, instances := range map[int]int{8: 0, manyWorkers: 8} {
		t.Run(fmt.Sprint(workers), func(t *testing.T) {
			inFleet(t, workers, instances, 30*time.Second, func(f *testFleet, is *is.I) {
				f.keepListComplete()
				f.submit("a1", workers)
				time.Sleep(5 * time.Second)
				f.leader.instance.store.(*partitionedStore).setAway(true)
				away := time.Now()
				time.Sleep(8 * time.Second)
				is.True(f.workers.lastLease().Sub(away) <= leaseLimit+simLease)
			})
		})
	}
}

// Guards against tasks that are killed in an outage of the store.
func TestTasksOutlastAnOutageOfTheStore(t *testing.T) {
	for workers, instances := range map[int]int{8: 0, manyWorkers: 8} {
		for offset := time.Duration(0); offset < holdWait; offset += 300 * time.Millisecond {
			t.Run(fmt.Sprint(workers, offset), func(t *testing.T) {
				inFleet(t, workers, instances, 30*time.Second, func(f *testFleet, is *is.I) {
					f.keepListComplete()
					f.submit("a1", workers)
					time.Sleep(4*time.Second + offset)
					f.leader.instance.recordStoreAnswer()
					store := f.leader.instance.store.(*partitionedStore)
					store.setAway(true)
					time.Sleep(longestOutage)
					store.setAway(false)
					time.Sleep(400 * time.Millisecond)
					f.leader.instance.recordStoreAnswer() // one of the reads that wait all the time is answered
					time.Sleep(30 * time.Second)
					is.Equal(f.workers.lapseCount(), 0)
					is.Equal(f.doneTasks(), workers)
				})
			})
		}
	}
}

// termReader reads the records of terms as an instance does, in virtual time.
type termReader struct {
	is     *is.I
	leader *leader
	offset int64
}

func (r *termReader) read(term jobs.Term) {
	r.leader.instance.applyTerm(r.is, term, r.offset)
	r.offset++
}

func (i *Instance) applyTerm(is *is.I, term jobs.Term, offset int64) {
	record, err := jobs.TermRecord(term)
	is.NoErr(err)
	i.foldLock.Lock()
	defer i.foldLock.Unlock()
	i.fold.apply(statePart, Batch{Records: []jobs.Record{record}, Offsets: []int64{offset}})
}

// Guards against tasks of lost workers that wait for 15.5 s from the beginning of the next leader, though the former
// one, that was killed, had requested no lease since its newest renewal.
func TestLeasesOfKilledLeaderCountFromItsNewestRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		next := newIdleLeader(6)
		reader := &termReader{is: is, leader: next}
		former := jobs.Term{Epoch: 5, Leader: "c/1", Renewals: 40, FormerLeasesMS: 1, LeaseLimitMS: leaseLimit.Milliseconds()}
		reader.read(former)
		killedAt := next.clock.Now()
		time.Sleep(termTimeout + 100*time.Millisecond)
		reader.read(jobs.Term{Epoch: 6, Leader: "a/1"})
		is.Equal(next.takeOver(former), placing.FormerLeaderUnknown)
		expireAt := next.engine.FormerLeasesExpireAt()
		is.Equal(expireAt.Sub(killedAt), leaseLimit+placing.LeaseExpiry(next.instance.limits().MaxLease))
		// Of the ten seconds that users allow after a leader whose machine is lost for three, 0.5 s are
		// for the records and the starts.
		next.instance.bounds = newBounds(simBounds)
		is.True(leaseLimit+placing.LeaseExpiry(next.instance.limits().MaxLease) <= 9500*time.Millisecond)
	})
}

// Guards against leases that count as expired too early: the newest renewal was read late, or not at all, or the
// former leader is of a version that states no limit.
func TestLeasesOfFormerLeaderCountInFullWhereItsEndIsNotKnown(t *testing.T) {
	limit := leaseLimit.Milliseconds()
	for _, c := range []struct {
		name   string
		former jobs.Term
		read   bool // as a record of its own, before the next term
	}{
		{"states no limit", jobs.Term{Epoch: 5, Leader: "c/1", FormerLeasesMS: 1}, true},
		{"not read", jobs.Term{Epoch: 5, Leader: "c/1", FormerLeasesMS: 1, LeaseLimitMS: limit}, false},
		{"states nothing of earlier leases", jobs.Term{Epoch: 5, Leader: "c/1", LeaseLimitMS: limit}, true},
		{"a term was missed", jobs.Term{Epoch: 4, Leader: "c/1", FormerLeasesMS: 1, LeaseLimitMS: limit}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				next := newIdleLeader(6)
				reader := &termReader{is: is, leader: next}
				if c.read {
					reader.read(c.former)
				}
				time.Sleep(time.Second)
				reader.read(jobs.Term{Epoch: 6, Leader: "a/1"})
				next.takeOver(c.former)
				is.True(next.engine.FormerLeasesExpireAt().Sub(next.clock.Now()) >= leaderGiveUpTimeout+placing.LeaseExpiry(next.instance.limits().MaxLease))
			})
		})
	}
}

// Guards against a wait that counts from a renewal before the newest one, which was read together with the claim.
func TestNewestRenewalReadWithTheClaimCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		next := newIdleLeader(6)
		reader := &termReader{is: is, leader: next}
		former := jobs.Term{Epoch: 5, Leader: "c/1", FormerLeasesMS: 1, LeaseLimitMS: leaseLimit.Milliseconds()}
		reader.read(former)
		time.Sleep(time.Second)
		former.Renewals++
		reader.read(former)
		readAt := next.clock.Now()
		reader.read(jobs.Term{Epoch: 6, Leader: "a/1"})
		end, known := next.instance.formerLeaderEnd(6)
		is.True(known)
		is.Equal(end, readAt.Add(leaseLimit))
	})
}

// Guards against the full wait after a leader that was lost before it could renew its term.
func TestClaimStatesLeasesOfFormerLeaders(t *testing.T) {
	is := is.New(t)
	limit := leaseLimit.Milliseconds()
	expiry := placing.LeaseExpiry(simLease).Milliseconds()
	is.Equal(statedFormerLeases(jobs.Term{}, simLease), int64(1))
	is.Equal(statedFormerLeases(jobs.Term{Epoch: 4, LeaseLimitMS: limit, FormerLeasesMS: 1}, simLease), limit+expiry+1)
	is.Equal(statedFormerLeases(jobs.Term{Epoch: 4, LeaseLimitMS: limit, FormerLeasesMS: 12000}, simLease), int64(12001))
	is.Equal(statedFormerLeases(jobs.Term{Epoch: 4, FormerLeasesMS: 1}, simLease), int64(0))
	is.Equal(statedFormerLeases(jobs.Term{Epoch: 4, LeaseLimitMS: limit}, simLease), int64(0))
}

// Guards against leases that are not renewed before the limit, or not once the store is back.
func TestLeasesAreRenewedBeforeTheLimitAndAfterIt(t *testing.T) {
	is := is.New(t)
	state, renewals := leasesRequested, []time.Duration{}
	for _, left := range []time.Duration{2200, 1900, 600, 400, 100, -100, -2000, 2400, 400, 2300} {
		next, renew := state.next(left * time.Millisecond)
		state = next
		if renew {
			renewals = append(renewals, left)
		}
	}
	is.Equal(renewals, []time.Duration{400, 2400, 400})
}
