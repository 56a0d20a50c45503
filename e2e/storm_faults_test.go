package e2e

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/teaselcleat/teaselcleat/standin"
)

const (
	// unreadStormJobs is how many long and how many short jobs are submitted before parts of the store are
	// away.
	unreadStormJobs = 4
	// unreadStormDelay lets the long jobs end one task's duration after the short ones.
	unreadStormDelay = (standin.LongRunFactor - 2) * stormTaskDuration
	// minPartOutage is longer than the short jobs and the rest of the long ones take.
	minPartOutage = 3 * stormTaskDuration
)

// drawDuration draws the duration of a fault.
func (s *storm) drawDuration() time.Duration {
	limit := maxShortFault
	if s.random.IntN(longFaultOdds) == 0 {
		limit = maxLongFault
	}
	return minFaultDuration + time.Duration(s.random.Int64N(int64(limit)))
}

// drawFault draws a fault of any kind.
func (s *storm) drawFault() stormFault {
	machine := s.machines[s.random.IntN(len(s.machines))]
	faults := s.drawProxyFaults()
	outage := time.Duration(s.random.Int64N(int64(maxLongFault)))
	networkFault := stormFault{machine.name, func(time.Duration) { injectProxyFaults(machine.proxy, faults, outage) }}
	switch s.random.IntN(20) {
	case 0, 1, 2, 3, 4, 5, 6, 7:
		return s.drawInstanceFault(faults)
	case 8, 9, 10:
		return networkFault
	case 11, 12:
		if s.earlierBinary != "" { // an earlier version takes a worker's next incarnation for the former one
			return networkFault
		}
		return stormFault{machine.name, func(duration time.Duration) {
			machine.crash()
			time.Sleep(duration)
		}}
	case 13, 18, 19:
		return stormFault{"store", s.drawStoreFault()}
	case 14, 15, 16:
		if s.earlierBinary == "" { // an earlier version does not support evacuations
			return s.drawZoneFault()
		}
	}
	s.configVersion++
	version := s.configVersion
	return stormFault{"configuration", func(time.Duration) { s.publishConfig(version) }}
}

// drawInstanceFault draws a fault of an instance or of a connection to or from it.
func (s *storm) drawInstanceFault(faults standin.ProxyFaults) stormFault {
	name := fmt.Sprintf("instance-%d", s.random.IntN(*stormInstances)+1)
	kinds := []func(time.Duration){
		func(time.Duration) { s.restartInstance(name, syscall.SIGKILL) },
		func(time.Duration) { s.restartInstance(name, syscall.SIGTERM) },
		func(duration time.Duration) { s.freeze(name, duration) },
		func(duration time.Duration) { injectProxyFaults(s.instanceByName(name).storeProxy, faults, duration) },
		func(duration time.Duration) { injectProxyFaults(s.instanceByName(name).callerProxy, faults, duration) },
		func(duration time.Duration) { injectProxyFaults(s.instanceByName(name).peerProxy, faults, duration) },
		func(duration time.Duration) { s.isolate(name, faults, duration) },
	}
	if s.earlierBinary == "" {
		kinds = append(kinds, func(duration time.Duration) { s.moveStore(name, duration) })
	}
	return stormFault{name, kinds[s.random.IntN(len(kinds))]}
}

// isolate injects faults into all connections of an instance except those to workers.
func (s *storm) isolate(name string, faults standin.ProxyFaults, duration time.Duration) {
	instance := s.instanceByName(name)
	var wg sync.WaitGroup
	for _, proxy := range []*standin.Proxy{instance.storeProxy, instance.callerProxy, instance.peerProxy} {
		wg.Go(func() { injectProxyFaults(proxy, faults, duration) })
	}
	wg.Wait()
}

// moveStore gives the store another address for one instance: it changes the settings file
// without a signal, and closes the former address later.
func (s *storm) moveStore(name string, duration time.Duration) {
	instance := s.instanceByName(name)
	formerProxy := instance.storeProxy
	instance.storeProxy = s.startProxy(s.storeAddr)
	s.rewriteSettings(instance, formerProxy.Address(), instance.storeProxy.Address())
	time.Sleep(duration)
	formerProxy.Close()
}

// drawProxyFaults draws a network fault.
func (s *storm) drawProxyFaults() standin.ProxyFaults {
	switch s.random.IntN(6) {
	case 0:
		return standin.ProxyFaults{Delay: time.Duration(20+s.random.IntN(300)) * time.Millisecond}
	case 1:
		return standin.ProxyFaults{Delay: time.Duration(1+s.random.IntN(20)) * time.Millisecond, MaxChunk: 1 + s.random.IntN(200)}
	case 2:
		return standin.ProxyFaults{BlockToTarget: true, BlockFromTarget: true}
	case 3:
		return standin.ProxyFaults{BlockToTarget: true}
	case 4:
		return standin.ProxyFaults{BlockFromTarget: true}
	}
	return standin.ProxyFaults{Refuse: true}
}

// drawStoreFault draws a fault of the store.
func (s *storm) drawStoreFault() func(time.Duration) {
	faults := standin.StoreFaults{Retain: stormRetention}
	handOver := false // beside the fault
	switch s.random.IntN(7) {
	case 0:
		faults.Down = true
	case 1:
		faults.LoseAnswers = 1 + s.random.IntN(4)
		faults.Retain = 5 + s.random.IntN(20)
	case 2:
		faults.LateAppends = 1 + s.random.IntN(4)
		faults.LateDelay = time.Duration(s.random.Int64N(int64(maxAppendDelay)))
	case 3:
		faults.Slow = time.Duration(20+s.random.IntN(280)) * time.Millisecond
	case 4, 5:
		faults.ResetParts = drawJobParts(s.random)
		handOver = true
	case 6:
		faults.ResetParts = drawParts(s.random)
	}
	random := rand.New(rand.NewPCG(s.random.Uint64(), 7)) // s.random is not for other goroutines
	return func(duration time.Duration) {
		if handOver {
			submitUnread(unreadStormJobs, unreadStormDelay, func(body string) {
				s.recordSubmission(&submittedJob{body: body, wantState: "done"}, random)
			})
		}
		s.store.SetFaults(faults)
		if handOver {
			s.handOver()
			duration = max(duration, minPartOutage)
		}
		time.Sleep(duration)
		s.store.SetFaults(standin.StoreFaults{Retain: stormRetention})
	}
}

// handOver stops and restarts the leader, unless there is none or it has another fault.
func (s *storm) handOver() {
	name := s.leaderName()
	if name == "" || !s.acquireTarget(name) {
		return
	}
	defer s.releaseTarget(name)
	s.restartInstance(name, syscall.SIGTERM)
}

// leaderName returns the name of the instance that leads; empty if there is none.
func (s *storm) leaderName() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, instance := range s.instances {
		if leads, err := instance.leads(); err == nil && leads {
			return instance.name
		}
	}
	return ""
}

// injectProxyFaults injects faults into a connection for some time. If connections are refused,
// established ones are reset first, as if the machine had lost power.
func injectProxyFaults(proxy *standin.Proxy, faults standin.ProxyFaults, duration time.Duration) {
	proxy.SetFaults(faults)
	if faults.Refuse {
		proxy.Reset()
	}
	time.Sleep(duration)
	proxy.SetFaults(standin.ProxyFaults{})
}
