package batch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func (h *twoInstances) setStuck(stuck bool) {
	for _, way := range h.clients {
		way.setStuck(stuck)
	}
}

// No other could write better; what waits is started once the part is back.
func TestTermStaysWhileNoInstanceCanWriteProgress(t *testing.T) {
	for _, away := range []time.Duration{stallTimeout, 10 * time.Second, time.Minute} {
		withTwoInstances(t, func(*twoInstances) {}, func(h *twoInstances, is *is.I) {
			first, other := h.leaderAndStandby(is)
			epoch := h.instances[first].term().Epoch
			h.setStuck(true)
			h.submit(other, "a1", is)
			time.Sleep(away)
			h.setStuck(false)
			is.True(h.startsWithin("a1", maxCallTimeout+turnWithin))
			time.Sleep(takeoverDelay + takeoverRetryInterval + probeTimeout)
			is.Equal(h.instances[other].term().Epoch, epoch)
			is.Equal(h.leader(), first)
			is.Equal(h.instances[first].metrics.stalled.Value(), int64(0))
		})
	}
}

// The way to the progress is cut for whichever instance places.
func TestTermGoesToAndFroSeldomWhereEachHolderCannotWriteProgress(t *testing.T) {
	withTwoInstances(t, func(*twoInstances) {}, func(h *twoInstances, is *is.I) {
		first, other := h.leaderAndStandby(is)
		epoch := h.instances[first].term().Epoch
		const span = 4 * takeoverBackoff
		handedIn := 0
		for begin := time.Now(); time.Since(begin) < span; time.Sleep(50 * time.Millisecond) {
			if time.Since(begin) >= time.Duration(handedIn)*time.Second { // there is always something to write
				handedIn++
				h.submit(other, fmt.Sprintf("a%d", handedIn), is)
			}
			if at := h.leader(); at != "" {
				h.clients[at].setStuck(true)
				h.clients[map[string]string{"a": "b", "b": "a"}[at]].setStuck(false)
			}
		}
		passed := h.instances[first].term().Epoch - epoch
		t.Logf("passed on %d times in %s", passed, span)
		is.True(passed >= 2)
		is.True(passed <= 2*int64(span/takeoverBackoff)+1) // each hands it over once in that time
	})
}

// Nor does an instance that would not place next check anything.
func TestInstanceThatCouldNotWriteProgressRests(t *testing.T) {
	withTwoInstances(t, func(*twoInstances) {}, func(h *twoInstances, is *is.I) {
		first, other := h.leaderAndStandby(is)
		i := h.instances[other]
		is.True(i.canTakeOver())
		is.True(!h.instances[first].canTakeOver()) // the holder watches nobody
		i.stalledAt.Store(i.clock.Now().UnixNano())
		is.True(!i.canTakeOver())
		time.Sleep(takeoverBackoff)
		is.True(i.canTakeOver())
	})
}
