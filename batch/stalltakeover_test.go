package batch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func (p *instancePair) setStuck(stuck bool) {
	for _, client := range p.clients {
		client.setStuck(stuck)
	}
}

// While no instance can write progress the term does not move. Waiting tasks start once the part is
// up.
func TestTermStaysWhileNoInstanceCanWriteProgress(t *testing.T) {
	for _, outage := range []time.Duration{stallTimeout, 10 * time.Second, time.Minute} {
		withInstancePair(t, func(*instancePair) {}, func(pair *instancePair, is *is.I) {
			leader, standby := pair.leaderAndStandby(is)
			epoch := pair.instances[leader].term().Epoch
			pair.setStuck(true)
			pair.submit(standby, "a1", is)
			time.Sleep(outage)
			pair.setStuck(false)
			is.True(pair.startsWithin("a1", maxCallTimeout+maxTaskWait))
			time.Sleep(takeoverDelay + takeoverRetryInterval + probeTimeout)
			is.Equal(pair.instances[standby].term().Epoch, epoch)
			is.Equal(pair.leader(), leader)
			is.Equal(pair.instances[leader].metrics.stalled.Value(), int64(0))
		})
	}
}

// The instance that leads is always cut off from the part with the progress. The term moves, but at
// most once per takeoverBackoff and instance.
func TestTermRarelyAlternatesWhenNoLeaderCanWriteProgress(t *testing.T) {
	withInstancePair(t, func(*instancePair) {}, func(pair *instancePair, is *is.I) {
		firstLeader, standby := pair.leaderAndStandby(is)
		epoch := pair.instances[firstLeader].term().Epoch
		const duration = 4 * takeoverBackoff
		submitted := 0
		for begin := time.Now(); time.Since(begin) < duration; time.Sleep(50 * time.Millisecond) {
			if time.Since(begin) >= time.Duration(submitted)*time.Second { // there is always something to write
				submitted++
				pair.submit(standby, fmt.Sprintf("a%d", submitted), is)
			}
			if leader := pair.leader(); leader != "" {
				pair.clients[leader].setStuck(true)
				pair.clients[map[string]string{"a": "b", "b": "a"}[leader]].setStuck(false)
			}
		}
		handovers := pair.instances[firstLeader].term().Epoch - epoch
		t.Logf("the term moved %d times in %s", handovers, duration)
		is.True(handovers >= 2)
		is.True(handovers <= 2*int64(duration/takeoverBackoff)+1) // each instance hands the term over once in that time
	})
}

// An instance that was recently unable to write progress, or is not a standby, does not take over.
func TestInstanceThatCouldNotWriteProgressBacksOff(t *testing.T) {
	withInstancePair(t, func(*instancePair) {}, func(pair *instancePair, is *is.I) {
		leader, standby := pair.leaderAndStandby(is)
		i := pair.instances[standby]
		is.True(i.canTakeOver())
		is.True(!pair.instances[leader].canTakeOver()) // the leader is not a standby
		i.stalledAt.Store(i.clock.Now().UnixNano())
		is.True(!i.canTakeOver())
		time.Sleep(takeoverBackoff)
		is.True(i.canTakeOver())
	})
}
