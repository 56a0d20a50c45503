package batch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func (h *holders) setStuck(stuck bool) {
	for _, way := range h.ways {
		way.setStuck(stuck)
	}
}

// No other could write better; what waits is started once the part is back.
func TestTermStaysWhileNoInstanceCanWriteProgress(t *testing.T) {
	for _, away := range []time.Duration{stalledAfter, 10 * time.Second, time.Minute} {
		inHolders(t, func(*holders) {}, func(h *holders, is *is.I) {
			first, other := h.roles(is)
			epoch := h.all[first].term().Epoch
			h.setStuck(true)
			h.submit(other, "a1", is)
			time.Sleep(away)
			h.setStuck(false)
			is.True(h.startsWithin("a1", patienceMost+turnWithin))
			time.Sleep(reliefPause + reliefAgain + reliefCheck)
			is.Equal(h.all[other].term().Epoch, epoch)
			is.Equal(h.placing(), first)
			is.Equal(h.all[first].metrics.stalled.Value(), int64(0))
		})
	}
}

// The way to the progress is cut for whichever instance places.
func TestTermGoesToAndFroSeldomWhereEachHolderCannotWriteProgress(t *testing.T) {
	inHolders(t, func(*holders) {}, func(h *holders, is *is.I) {
		first, other := h.roles(is)
		epoch := h.all[first].term().Epoch
		const span = 4 * reliefRest
		handedIn := 0
		for begin := time.Now(); time.Since(begin) < span; time.Sleep(50 * time.Millisecond) {
			if time.Since(begin) >= time.Duration(handedIn)*time.Second { // there is always something to write
				handedIn++
				h.submit(other, fmt.Sprintf("a%d", handedIn), is)
			}
			if at := h.placing(); at != "" {
				h.ways[at].setStuck(true)
				h.ways[map[string]string{"a": "b", "b": "a"}[at]].setStuck(false)
			}
		}
		passed := h.all[first].term().Epoch - epoch
		t.Logf("passed on %d times in %s", passed, span)
		is.True(passed >= 2)
		is.True(passed <= 2*int64(span/reliefRest)+1) // each hands it over once in that time
	})
}

// Nor does an instance that would not place next check anything.
func TestInstanceThatCouldNotWriteProgressRests(t *testing.T) {
	inHolders(t, func(*holders) {}, func(h *holders, is *is.I) {
		first, other := h.roles(is)
		i := h.all[other]
		is.True(i.mayRelieve())
		is.True(!h.all[first].mayRelieve()) // the holder watches nobody
		i.stalledAt.Store(i.clock.Now().UnixNano())
		is.True(!i.mayRelieve())
		time.Sleep(reliefRest)
		is.True(i.mayRelieve())
	})
}
