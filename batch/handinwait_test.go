package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestHandInWaitsAShareOfItsCallersTime(t *testing.T) {
	is := is.New(t)
	is.Equal(decideWait(waitingCall{timeLeft: 3 * time.Second}, outageView{}).wait, 1200*time.Millisecond)
	is.Equal(decideWait(waitingCall{timeLeft: 3 * time.Second, waited: time.Second}, outageView{}).wait, 200*time.Millisecond)
	is.Equal(decideWait(waitingCall{timeLeft: 3 * time.Second, waited: 1200 * time.Millisecond}, outageView{}), waitDecision{retryAfter: waitedRetryAfter})
	is.Equal(decideWait(waitingCall{timeLeft: 3 * time.Second, waited: 1400 * time.Millisecond}, outageView{}), waitDecision{retryAfter: waitedRetryAfter})
	is.Equal(decideWait(waitingCall{timeLeft: 100 * time.Millisecond}, outageView{}), waitDecision{retryAfter: storeDownRetryAfter})
}

// Guards against callers that are held although another instance, or a later time, would serve them.
func TestHandInThatIsNotServedWithinItsWaitIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	call := waitingCall{timeLeft: 3 * time.Second}
	is.Equal(decideWait(call, outageView{isolated: true}), waitDecision{retryAfter: isolatedRetryAfter})
	is.Equal(decideWait(call, outageView{draining: true}), waitDecision{retryAfter: isolatedRetryAfter})
	is.Equal(decideWait(call, outageView{remaining: 2 * time.Second}), waitDecision{retryAfter: 2 * time.Second})
	is.Equal(decideWait(call, outageView{remaining: time.Hour}), waitDecision{retryAfter: maxRetryAfter})
	is.True(decideWait(call, outageView{remaining: time.Second}).wait > 0)
}

// Guards against a caller that is held until its time is nearly over: each try leaves three fifths of it,
// and all waits together stay below the caller's time.
func TestWaitLeavesTimeForAnotherTry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		call := waitingCall{
			timeLeft: time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "timeLeft")),
			waited:   time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "waited")),
			spread:   rapid.Float64Range(0, 1).Draw(t, "spread"),
		}
		outage := outageView{
			age:       time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "age")),
			remaining: time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "remaining")),
			isolated:  rapid.Bool().Draw(t, "isolated"),
			draining:  rapid.Bool().Draw(t, "draining"),
		}
		decision := decideWait(call, outage)
		if decision.wait < 0 || float64(call.waited+decision.wait) > maxWaitShare*float64(call.timeLeft) && decision.wait > 0 {
			t.Fatalf("%+v %+v: %+v", call, outage, decision)
		}
		if decision.wait == 0 && (decision.retryAfter <= 0 || decision.retryAfter > maxRetryAfter) {
			t.Fatalf("refused without a time to return: %+v %+v: %+v", call, outage, decision)
		}
	})
}

// Guards against callers that all return at the moment at which the outage is expected to end.
func TestRefusedCallersDoNotReturnTogether(t *testing.T) {
	is := is.New(t)
	first := decideWait(waitingCall{timeLeft: 3 * time.Second}, outageView{remaining: 4 * time.Second})
	last := decideWait(waitingCall{timeLeft: 3 * time.Second, spread: 1}, outageView{remaining: 4 * time.Second})
	is.Equal(first.retryAfter, 4*time.Second)
	is.Equal(last.retryAfter, 5*time.Second)
}

func TestLengthsOfOutagesAreLearned(t *testing.T) {
	is := is.New(t)
	var outages outageLengths
	outages.record(5 * time.Second)
	outages.record(7 * time.Second)
	outages.record(100 * time.Millisecond)                     // too short to be an outage
	is.Equal(outages.remaining(time.Second), time.Duration(0)) // two say nothing
	outages.record(6 * time.Second)
	is.Equal(outages.remaining(time.Second), 4*time.Second)
	is.Equal(outages.remaining(5500*time.Millisecond), 500*time.Millisecond)
	is.Equal(outages.remaining(time.Minute), time.Duration(0)) // none was as long
	for range 2 * maxOutageLengths {
		outages.record(9 * time.Second)
	}
	is.Equal(len(outages.lengths), maxOutageLengths)
	is.Equal(outages.remaining(time.Second), 8*time.Second)
}
