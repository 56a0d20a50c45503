package e2e

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/teaselcleat/teaselcleat/standin"
)

// drawLasting draws how long a fault lasts.
func (s *storm) drawLasting() time.Duration {
	most := faultMost
	if s.random.IntN(longOdds) == 0 {
		most = longFault
	}
	return faultLeast + time.Duration(s.random.Int64N(int64(most)))
}

func (s *storm) draw() stormFault {
	machine := s.machines[s.random.IntN(len(s.machines))]
	way := s.drawWay()
	outage := time.Duration(s.random.Int64N(int64(longFault)))
	harmMachine := stormFault{machine.name, func(time.Duration) { harm(machine.way, way, outage) }}
	switch s.random.IntN(18) {
	case 0, 1, 2, 3, 4, 5, 6, 7:
		return s.drawOfInstance(way)
	case 8, 9, 10:
		return harmMachine
	case 11, 12:
		if s.former != "" { // such a version takes a worker's next life for the one it knows
			return harmMachine
		}
		return stormFault{machine.name, func(lasting time.Duration) {
			machine.end()
			time.Sleep(lasting)
		}}
	case 13:
		return stormFault{"store", s.drawStore()}
	case 14, 15, 16:
		if s.former == "" { // such a version reads of no evacuation
			return s.drawOfZone()
		}
	}
	s.version++
	version := s.version
	return stormFault{"configuration", func(time.Duration) { s.configure(version) }}
}

// drawOfInstance draws what befalls an instance, or a way to or from it.
func (s *storm) drawOfInstance(way standin.ProxyFaults) stormFault {
	name := fmt.Sprintf("instance-%d", s.random.IntN(*stormInstances)+1)
	kinds := []func(time.Duration){
		func(time.Duration) { s.replace(name, syscall.SIGKILL) },
		func(time.Duration) { s.replace(name, syscall.SIGTERM) },
		func(lasting time.Duration) { s.freeze(name, lasting) },
		func(lasting time.Duration) { harm(s.instance(name).store, way, lasting) },
		func(lasting time.Duration) { harm(s.instance(name).callers, way, lasting) },
		func(lasting time.Duration) { harm(s.instance(name).others, way, lasting) },
		func(lasting time.Duration) { s.cutOff(name, way, lasting) },
	}
	if s.former == "" {
		kinds = append(kinds, func(lasting time.Duration) { s.moveStore(name, lasting) })
	}
	return stormFault{name, kinds[s.random.IntN(len(kinds))]}
}

// cutOff harms all ways to and from an instance but those to the workers.
func (s *storm) cutOff(name string, way standin.ProxyFaults, lasting time.Duration) {
	instance := s.instance(name)
	var all sync.WaitGroup
	for _, each := range []*standin.Proxy{instance.store, instance.callers, instance.others} {
		all.Go(func() { harm(each, way, lasting) })
	}
	all.Wait()
}

// moveStore lets an instance reach the store at another address, which its settings file
// names without a signal; some time later the former one ends.
func (s *storm) moveStore(name string, lasting time.Duration) {
	instance := s.instance(name)
	former := instance.store
	instance.store = s.proxy(s.address)
	s.rewrite(instance, former.Address(), instance.store.Address())
	time.Sleep(lasting)
	former.Close()
}

// drawWay draws what befalls a way of the network.
func (s *storm) drawWay() standin.ProxyFaults {
	switch s.random.IntN(6) {
	case 0:
		return standin.ProxyFaults{Delay: time.Duration(20+s.random.IntN(300)) * time.Millisecond}
	case 1:
		return standin.ProxyFaults{Delay: time.Duration(1+s.random.IntN(20)) * time.Millisecond, Piece: 1 + s.random.IntN(200)}
	case 2:
		return standin.ProxyFaults{HoldUp: true, HoldIn: true}
	case 3:
		return standin.ProxyFaults{HoldUp: true}
	case 4:
		return standin.ProxyFaults{HoldIn: true}
	}
	return standin.ProxyFaults{Refuse: true}
}

func (s *storm) drawStore() func(time.Duration) {
	faults := standin.StoreFaults{Keep: stormKeep}
	switch s.random.IntN(4) {
	case 0:
		faults.Down = true
	case 1:
		faults.LoseAnswers = 1 + s.random.IntN(4)
		faults.Keep = 5 + s.random.IntN(20)
	case 2:
		faults.LateAppends = 1 + s.random.IntN(4)
		faults.LateBy = time.Duration(s.random.Int64N(int64(lateMost)))
	case 3:
		faults.Slow = time.Duration(20+s.random.IntN(280)) * time.Millisecond
	}
	return func(lasting time.Duration) {
		s.store.SetFaults(faults)
		time.Sleep(lasting)
		s.store.SetFaults(standin.StoreFaults{Keep: stormKeep})
	}
}

// harm lets faults befall a way for some time; connections that were refused are reset
// first, as where a machine has lost power.
func harm(way *standin.Proxy, faults standin.ProxyFaults, lasting time.Duration) {
	way.SetFaults(faults)
	if faults.Refuse {
		way.Reset()
	}
	time.Sleep(lasting)
	way.SetFaults(standin.ProxyFaults{})
}
