package batch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/placing"
	"github.com/teaselcleat/teaselcleat/relay/relaypb"
)

// Without a grant no hold and no order is sent.
func TestNoOrderWithoutAGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		link, workers, _ := scriptedLink(accept)
		granted := true
		link.env.hasGrant = func() bool { return granted }
		_, _, err := link.hold(t.Context(), 0)
		is.NoErr(err)
		granted = false
		_, _, err = link.hold(t.Context(), 0)
		is.Equal(err, errNoGrant)
		is.Equal(link.sendOnce(t.Context(), stopOrders, nil, func(context.Context) error { return nil }), errNoGrant)
		is.Equal(workers.calls, 1)
	})
}

// The grant counts from when the leader's message was requested, not from when it arrived: a message
// that was in transit for long grants nothing.
func TestGrantCountsFromTheEcho(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := NewClock()
		useTestClock(clock)
		d := &delegation{clock: clock, outbox: newOutbox()}
		is.True(!d.hasGrant()) // nothing has been received yet
		requestedAt := clock.Now().UnixNano()
		time.Sleep(grantDuration / 2)
		d.renewGrant(&relaypb.Orders{Clock: 1, Echo: requestedAt})
		is.True(d.hasGrant())
		time.Sleep(grantDuration / 2)
		is.True(!d.hasGrant())
		is.True(d.grantExpired())
		d.renewGrant(&relaypb.Orders{Clock: 1, Echo: requestedAt})
		is.True(!d.hasGrant())
	})
}

// A report without runs is forwarded once after an order to its worker was answered, if it was
// requested late enough to reflect the order; then none until there is news.
func TestReportsThatSayNothingNewAreNotPassedOn(t *testing.T) {
	is := is.New(t)
	box := newOutbox()
	at := func(ms int) time.Time { return testNow.Add(time.Duration(ms) * time.Millisecond) }
	put := func(ms int, running int) int {
		answer := holdReply{worker: "w", sent: at(ms)}
		answer.report.Running = make([]placing.RunningTask, running)
		box.put(answer)
		return len(box.take())
	}
	is.Equal(put(0, 0), 1)
	is.Equal(put(2000, 0), 0)
	box.recordActivity("w", at(3000))
	is.Equal(put(2900, 0), 1) // requested before the order, so it does not reflect it
	is.Equal(put(3100, 0), 1)
	is.Equal(put(4100, 0), 1) // after this one the leader knows that the order was answered
	is.Equal(put(6000, 0), 0)
	is.Equal(put(8000, 1), 1)
	is.Equal(put(10000, 1), 1)
	is.Equal(put(12000, 0), 1) // the run is gone
	is.Equal(put(14000, 0), 0)
	box.put(holdFailure{worker: "w"})
	is.Equal(len(box.take()), 1)
	is.Equal(put(16000, 0), 1) // the worker answers again
}

// Only the newest report of each worker is queued, so the outbox is bounded.
func TestOnlyTheNewestWordOfAWorkerWaits(t *testing.T) {
	is := is.New(t)
	box := newOutbox()
	for range 100 {
		box.put(holdReply{worker: "w", report: HoldReport{Running: make([]placing.RunningTask, 1)}})
	}
	box.put(holdFailure{worker: "w"})
	list := box.take()
	is.Equal(len(list), 1)
	_, silent := list[0].(holdFailure)
	is.True(silent)
	for number := range 3 * maxReportsPerMessage {
		box.put(holdFailure{worker: string(rune('a' + number))})
	}
	is.Equal(len(box.take()), maxReportsPerMessage)
	is.Equal(len(box.take()), maxReportsPerMessage)
}

// Times in reports never lead to a conclusion too early: a hold counts as sent no later than it was,
// and a lease as expired no earlier.
func TestTimesOfReportsAreOnTheSafeSide(t *testing.T) {
	is := is.New(t)
	transit := 30 * time.Millisecond // of a message
	clockLead := time.Hour           // of the delegate's clock
	d := &delegation{clock: NewClock(), outbox: newOutbox()}
	now := testNow.Add(clockLead + transit)
	d.clock.readTime = func() time.Time { return now }
	d.renewGrant(&relaypb.Orders{Clock: testNow.UnixNano(), Echo: 1})
	sent, expiry := now.Add(time.Second), now.Add(7*time.Second)
	d.outbox.put(holdReply{worker: "w", sent: sent, expiry: expiry, report: HoldReport{Running: make([]placing.RunningTask, 1)}})
	now = now.Add(2 * time.Second)
	message := d.nextMessage(false)
	receivedAt := now.Add(transit - clockLead) // on the leader's clock
	report := reportFromPB(message.Reports[0], receivedAt)
	is.True(!report.sent.After(sent.Add(-clockLead)))
	is.True(report.sent.After(sent.Add(-clockLead - 2*transit)))
	is.True(!report.expiry.Before(expiry.Add(-clockLead)))
	is.True(report.expiry.Before(expiry.Add(2*transit - clockLead)))
}
