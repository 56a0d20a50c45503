package batch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
	"github.com/teaselcleat/teaselcleat/placing"
	"github.com/teaselcleat/teaselcleat/ring"
)

// Guards against a run that is taken as over while a leader renews its lease that is cut off from the
// store: the leader after that one handed the term over at once, so the next waited for that one alone.
func TestLeasesOfALeaderBeforeTheFormerOneAreWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cutOff := jobs.Term{Epoch: 3, Leader: "c/1", FormerLeasesMS: 1}
		second := newIdleLeader(4)
		is.Equal(second.takeOver(cutOff), placing.FormerLeaderUnknown)
		expireAt := second.engine.FormerLeasesExpireAt()
		time.Sleep(2 * time.Second)
		second.writer.openTerm()
		released := second.writer.nextTerm()
		time.Sleep(time.Second)
		third := newIdleLeader(5)
		is.Equal(third.takeOver(released), placing.FormerLeaderReleased)
		is.True(!third.engine.FormerLeasesExpireAt().Before(expireAt))

		time.Sleep(time.Minute)
		third.writer.openTerm()
		fourth := newIdleLeader(6)
		is.Equal(fourth.takeOver(third.writer.nextTerm()), placing.FormerLeaderReleased)
		limits := fourth.instance.limits()
		is.Equal(fourth.engine.FormerLeasesExpireAt().Sub(fourth.clock.Now()), placing.LeaseExpiry(limits.MaxLease)+limits.ReleasedTermTimeout)
	})
}

// newIdleLeader returns the leader of an epoch with nothing to do.
func newIdleLeader(epoch int64) *leader {
	writer := newTestWriter(&partitionedStore{}, epoch)
	l := writer.leader
	useTestClock(l.clock)
	l.engine = placing.New(l.instance.limits(), epoch, l.clock.WallMS)
	l.writer = writer
	l.epoch = epoch
	return l
}

// takeOver begins the leader's term after the given one.
func (l *leader) takeOver(previous jobs.Term) placing.FormerLeaderState {
	former := l.applyFormerLeases(previous, jobs.Term{Epoch: l.epoch, Leader: "a/1"})
	l.loadEngine(former)
	return former
}

// A leader that never renewed its term has not said whether an earlier one may go on.
func TestLeasesOfFormerLeadersAreUnknownUnlessStated(t *testing.T) {
	is := is.New(t)
	current := jobs.Term{Epoch: 7, Leader: "a/2"}
	left, known := formerLeases(jobs.Term{Epoch: 6, FormerLeasesMS: 2001}, current)
	is.True(known)
	is.Equal(left, 2001*time.Millisecond)
	_, known = formerLeases(jobs.Term{Epoch: 6}, current)
	is.True(!known)
	_, known = formerLeases(jobs.Term{Epoch: 5, FormerLeasesMS: 1}, current)
	is.True(!known) // a term was missed
	_, known = formerLeases(jobs.Term{}, jobs.Term{Epoch: 1})
	is.True(known) // there was no leader before
}

// A leader takes over what the former one has stated of workers that it has not reached.
func TestLeaderTakesOverTheStatementAboutUnreachedWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		stated, err := jobs.NewUnreached(3, map[string]int64{"w1": 0})
		is.NoErr(err)
		record, err := jobs.UnreachedRecord(stated)
		is.NoErr(err)
		for previous, loaded := range map[jobs.Term]bool{
			{Epoch: 3, Leader: "c/1", FormerLeasesMS: 1500}: true,
			{Epoch: 3, Leader: "c/1"}:                       false, // the former leader never renewed the term
		} {
			leader := newIdleLeader(4)
			_, err = leader.instance.fold.table.Apply(record, progressPart(leader.instance.settings.StoreParts), 1)
			is.NoErr(err)
			leader.takeOver(previous)
			events := leader.engine.Decide(leader.clock.Now()).LogEvents
			is.Equal(len(events) > 0 && events[0].Event == "unreached_loaded", loaded)
		}
	})
}

// Workers that were passed over are polled without waiting for the next change of the list.
func TestLeaderRelistsWorkersOnceTheyMayBePolled(t *testing.T) {
	is := is.New(t)
	leader := newIdleLeader(4)
	leader.events = ring.New[event](1)
	leader.execute(t.Context(), placing.Plan{RelistWorkers: true})
	next, ok := leader.events.TryTake()
	is.True(ok)
	is.Equal(next, listChangedEvent{})
}
