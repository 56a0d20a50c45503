package batch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
	"github.com/teaselcleat/teaselcleat/placing"
)

const (
	shortLease  = 4 * time.Second
	middleLease = 5 * time.Second
	longLease   = 6 * time.Second
)

// Instances read a changed settings file at different times. Until all have, no instance may treat
// a lease as expired that another requested under the previous or the new bounds.
func TestLeasesHoldWhileInstancesDifferInTheirBounds(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		name           string
		leases         []time.Duration // in force one after another, a second apart
		requestedLease time.Duration   // until the change has propagated
		grantedLease   time.Duration
	}{
		{"shorter", []time.Duration{longLease, shortLease}, shortLease, longLease},
		{"longer", []time.Duration{shortLease, longLease}, shortLease, longLease},
		{"shorter and restored", []time.Duration{longLease, shortLease, longLease}, shortLease, longLease},
		{"changed twice", []time.Duration{middleLease, shortLease, longLease}, shortLease, longLease},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newBounds(Bounds{MaxLease: c.leases[0]})
			is.Equal(b.leaseToRequest(start), c.leases[0])
			is.Equal(b.maxGrantedLease(start), c.leases[0])
			now := start
			for _, lease := range c.leases[1:] {
				now = now.Add(time.Second)
				b.update(Bounds{MaxLease: lease}, now)
			}
			newest := c.leases[len(c.leases)-1]
			is.Equal(b.latest().MaxLease, newest)
			// The last lease that another instance requested under the previous bounds has not expired yet.
			lastMoment := now.Add(boundsPropagationTime + placing.LeaseExpiry(longLease) - time.Millisecond)
			for _, at := range []time.Time{now, lastMoment} {
				is.Equal(b.leaseToRequest(at), c.requestedLease)
				is.Equal(b.maxGrantedLease(at), c.grantedLease)
			}
			propagated := lastMoment.Add(time.Millisecond)
			is.Equal(b.leaseToRequest(propagated), newest)
			is.Equal(b.maxGrantedLease(propagated), newest)
		})
	}
}

// A worker keeps the longer lease that was requested before the bound was reduced.
func TestShorterLeaseBoundKeepsGrantedLease(t *testing.T) {
	is := is.New(t)
	link, _, _ := scriptedLink(nil)
	link.env.bounds = newBounds(Bounds{MaxLease: longLease})
	link.recordAnswer(HoldReport{ClockMS: 1}, link.env.clock.Now())
	now := link.env.clock.Now()
	link.extendLease(now)
	grantedLapse := link.leaseExpiry()
	link.env.bounds.update(Bounds{MaxLease: shortLease}, now)
	link.extendLease(now.Add(100 * time.Millisecond))
	is.Equal(link.leaseExpiry(), grantedLapse)
	later := now.Add(3 * time.Second)
	link.extendLease(later)
	is.Equal(link.leaseExpiry(), later.Add(placing.LeaseExpiry(shortLease)))
}

// The leader applies changed bounds within its term: ended jobs are retained for as long as the
// newest bounds say.
func TestHolderGoesByChangedBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		store := newPartitionedStore()
		l := newTestLeader(ctx, store, 3)
		useTestClock(l.clock)
		l.writer.confirmedAt = l.clock.Now()
		l.instance.SetBounds(Bounds{EndedJobRetention: time.Hour})
		l.spawn(ctx, l.loop)
		record, err := jobs.SubmissionRecord(&jobs.Submission{ID: "a1", Steps: []jobs.Step{{Tasks: 1}}})
		l.instance.applyRecord(t, partOf("a1", 8), record, err)
		l.instance.applyRecord(t, partOf("a1", 8), jobs.CancelRecord("a1"), nil)
		forgotten := func() bool {
			last := store.parts[progressPart(8)][len(store.parts[progressPart(8)])-1]
			return last.Key == jobs.DeleteProgressRecord("a1").Key && len(last.Value) == 0
		}
		time.Sleep(10 * time.Minute)
		is.True(!forgotten())
		l.instance.SetBounds(Bounds{EndedJobRetention: time.Second})
		time.Sleep(time.Minute)
		is.True(forgotten())
		cancel()
		l.wg.Wait()
	})
}
