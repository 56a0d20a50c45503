package batch

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// newInstances returns instances in some availability zones, the first two of each with much CPU.
func newInstances(zones, perZone int) map[string]jobs.Instance {
	instances := map[string]jobs.Instance{}
	for zone := range zones {
		for number := range perZone {
			share := 0.192
			if number < 2 {
				share = 0.8
			}
			instances[fmt.Sprintf("z%d-%d", zone, number)] = jobs.Instance{Zone: fmt.Sprintf("z%d", zone), CPUShare: share}
		}
	}
	return instances
}

// With any number of instances, and of instances with little CPU, there are a few standbys. They are
// never all in one zone, and the leader is not one of them.
func TestSomeInstancesAlwaysWatchTheHolder(t *testing.T) {
	is := is.New(t)
	for _, perZone := range []int{1, 2, 13, 33, 100} {
		instances := newInstances(3, perZone)
		for leader := range instances {
			selected := standbys(instances, leader)
			is.Equal(len(selected), min(maxStandbys, len(instances)-1))
			is.True(!slices.Contains(selected, leader))
			zones := map[string]bool{}
			for _, name := range selected {
				zones[instances[name].Zone] = true
			}
			is.True(len(zones) > 1)
		}
	}
	is.Equal(len(standbys(newInstances(1, 5), "")), maxStandbys) // all in one zone if there is no other
	is.Equal(len(standbys(nil, "")), 0)
}

// Guards against workers that wait for unreachable delegates after the loss of an availability zone
// with a third of the instances and workers and the leader. Instances of the lost zone were tried one
// after the other, so that some session was always being opened, and the next leader reached no
// worker for a second and more. In its log six of nine sessions were open within milliseconds; the
// others were not reached half a second later, nor were the next five that were tried.
func TestLostZoneHoldsUpNoWorker(t *testing.T) {
	for _, instances := range []int{12, 60} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newTestFleet(t, newSimWorkers(manyWorkers, time.Second), instances)
				f.registerInstances(f.leader.instance, zoneOfInstance)
				lost := f.hangEveryThirdZone()
				f.start()
				defer f.stop()
				begin := time.Now()
				f.submit("a1", manyWorkers)
				time.Sleep(2 * time.Second)
				is.True(lost > 0)
				is.Equal(f.startedAfter(begin.Add(maxRecoveryDelay)), 0)
				is.Equal(f.doneTasks(), manyWorkers)
				is.Equal(f.doubleRuns(), 0)
			})
		})
	}
}

// maxRecoveryDelay is how long a new leader may take to start the tasks that fit. Two seconds are
// allowed for the whole recovery, and it takes more than one to notice that the former leader is
// silent.
const maxRecoveryDelay = 600 * time.Millisecond

// zoneOfInstance returns the availability zone of an instance, one of those that workers are in.
func zoneOfInstance(name string) string { return "z" + name[len(name)-1:] }

// hangEveryThirdZone hangs the instances of every third zone and returns their number.
func (f *testFleet) hangEveryThirdZone() int {
	lost := 0
	for name := range f.instances {
		if number := int(name[len(name)-1] - '0'); number%3 == 0 {
			f.hang(name)
			lost++
		}
	}
	return lost
}

// startedAfter counts the workers whose newest run began after the given time.
func (f *testFleet) startedAfter(at time.Time) int {
	return f.workers.sum(func(w *simWorker) int {
		if w.startedAt.After(at) {
			return 1
		}
		return 0
	})
}

// After a loss of all instances, the first ones to be called are still reading the log. Their sessions
// wait for that instead of being refused and put into a backoff of seconds.
func TestSessionWaitsForAnInstanceThatReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(t, newSimWorkers(manyWorkers, time.Second), 8)
		for _, instance := range f.instances {
			instance.work.loaded = false
		}
		f.start()
		defer f.stop()
		begin := time.Now()
		f.submit("a1", manyWorkers)
		time.Sleep(300 * time.Millisecond)
		is.Equal(len(f.workers.dispatchedBy(time.Second)), 0) // rather than all by the leader
		for _, instance := range f.instances {
			instance.work.lock.Lock()
			instance.work.loaded = true
			instance.work.lock.Unlock()
		}
		time.Sleep(2 * time.Second)
		is.Equal(f.startedAfter(begin.Add(300*time.Millisecond+maxRecoveryDelay)), 0)
		is.Equal(f.doneTasks(), manyWorkers)
		for name := range f.workers.dispatchedBy(2 * holdWait) {
			is.True(strings.HasPrefix(name, "keeper-"))
		}
	})
}

// firstReadStore records when each part was first read from the start.
type firstReadStore struct {
	downStore
	lock      sync.Mutex
	firstRead map[int]time.Time
}

func (s *firstReadStore) ReadNewest(_ context.Context, stream Stream, part int) (Batch, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if stream == StreamWork && s.firstRead[part].IsZero() {
		s.firstRead[part] = time.Now()
	}
	return Batch{}, nil
}

// When all instances start at once, those with little CPU leave the store to those that would lead. With
// 300 instances reading all that callers had written, a claim was read back only after 0.7 s. All of
// them read the terms at once.
func TestInstancesThatWouldNotPlaceYieldTheStore(t *testing.T) {
	for _, c := range []struct {
		cpuShare float64
		delay    time.Duration
	}{{0.8, 0}, {0.192, startupReadDelay}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			store := &firstReadStore{firstRead: map[int]time.Time{}}
			instance := New(Settings{Name: "a", StoreParts: 8, CPUShare: c.cpuShare}, store, zoneDecoder{}, nil, metrics.NewRegistry(), discardLog())
			begin := time.Now()
			instance.Start()
			time.Sleep(2 * startupReadDelay)
			instance.Stop()
			is.Equal(store.firstRead[statePart].Sub(begin), time.Duration(0))
			for part := 1; part <= callPartCount(8); part++ {
				is.Equal(store.firstRead[part].Sub(begin), c.delay)
			}
		})
	}
}
