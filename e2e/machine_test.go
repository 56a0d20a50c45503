package e2e

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/teaselcleat/teaselcleat/standin"
)

const (
	// machineRestartDelay is the time a machine is down after its worker ended.
	machineRestartDelay = 500 * time.Millisecond
	// registerDelay is how long the member list keeps showing the former incarnation of a worker
	// that restarts under the same ID; it applies to every second restart.
	registerDelay = 700 * time.Millisecond
	// gangWaitTimeout bounds how long a gang's task waits for the other tasks.
	gangWaitTimeout = 3 * time.Second
	// maxLease is the longest lease that a worker grants.
	maxLease = 6 * time.Second
	// machineGPU is the number of accelerators of a machine.
	machineGPU = 8
	// clockSlowdown is the fraction of time that the clock of every second machine loses.
	clockSlowdown = 0.02
)

// machine hosts a worker. When the worker crashes, its next incarnation answers at the same
// address after machineRestartDelay.
type machine struct {
	fleet         *fleet
	name          string
	zone          string // availability zone
	rack          string
	server        *httptest.Server
	proxy         *standin.Proxy // between instances and the machine; nil for a direct connection
	clockSlowdown float64        // fraction of time that its clock loses

	mu               sync.Mutex
	incarnation      *standin.TaskWorker // nil while the machine is down
	incarnationCount int
	cutOff           bool // it cannot write its entry
	// pollAnswered is called before an answer to a poll is sent, until it returns true. ends is the
	// number of ends that wait for an acknowledgement. It may be nil.
	pollAnswered func(ends int) (last bool)
}

func newMachine(f *fleet, name string) *machine {
	m := &machine{fleet: f, name: name, zone: zoneOf(name), rack: f.rackOf(len(f.machines), zoneOf(name)), clockSlowdown: float64(len(f.machines)%2) * clockSlowdown}
	m.server = httptest.NewUnstartedServer(m)
	m.server.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		m.mu.Lock()
		defer m.mu.Unlock()
		return context.WithValue(ctx, incarnationKey{}, m.incarnation)
	}
	m.server.Start()
	f.t.Cleanup(m.server.Close)
	if f.useProxies {
		m.proxy = f.startProxy(m.server.Listener.Addr().String())
	}
	return m
}

// incarnationKey is the context key of the incarnation that accepted a connection.
type incarnationKey struct{}

// ServeHTTP implements http.Handler. It aborts the connection while the machine is down, and if
// the connection was accepted by an earlier incarnation: delayed requests must not reach the next
// one, unless the fleet delivers late calls.
func (m *machine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	incarnation := m.incarnation
	m.mu.Unlock()
	accepted := r.Context().Value(incarnationKey{})
	if incarnation == nil || accepted != incarnation && !m.fleet.deliverLateCalls {
		panic(http.ErrAbortHandler)
	}
	incarnation.ServeHTTP(w, r)
	if r.URL.Path == "/api/hold" {
		m.notifyPollAnswered(incarnation.UnacknowledgedEnds())
	}
}

// notifyPollAnswered calls pollAnswered. The answer is sent when its handler returns.
func (m *machine) notifyPollAnswered(ends int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.pollAnswered != nil && m.pollAnswered(ends) {
		m.pollAnswered = nil
	}
}

// startIncarnation starts and registers the next incarnation: under the worker's ID, where the start time
// distinguishes incarnations, or under a new ID.
func (m *machine) startIncarnation() *standin.TaskWorker {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.incarnationCount++
	id, formerID := fmt.Sprintf("%s-%d", m.name, m.incarnationCount), fmt.Sprintf("%s-%d", m.name, m.incarnationCount-1)
	bornMS, delay := int64(0), time.Duration(0)
	if m.fleet.reuseIDs {
		id, bornMS = m.name, time.Now().UnixMilli()
		delay = time.Duration((m.incarnationCount+1)%2) * registerDelay
		if m.incarnationCount > 1 && m.fleet.registerAfter > 0 {
			delay = m.fleet.registerAfter
		}
	}
	incarnation := standin.NewTaskWorker(id, m.fleet.taskDuration)
	incarnation.BornMS = bornMS
	incarnation.Gangs = m.fleet.gangs
	incarnation.MaxLease = maxLease
	incarnation.ClockSlowdown = m.clockSlowdown
	incarnation.Checker = m.fleet.checker
	incarnation.Zone = m.zone
	if m.proxy != nil {
		incarnation.UndelayedFor = m.proxy.FaultFreeFor
	}
	if m.incarnationCount == 1 {
		incarnation.InitialUptime = m.fleet.initialUptime
	}
	incarnation.Crash = m.crash
	m.incarnation = incarnation
	time.AfterFunc(delay, func() { m.register(incarnation) })
	if m.incarnationCount > 1 && !m.fleet.reuseIDs {
		m.fleet.store.Put("keyed.servers", formerID, nil)
	}
	return incarnation
}

// register writes the entry of an incarnation to the store, unless it is no longer the current
// one or is cut off.
func (m *machine) register(incarnation *standin.TaskWorker) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.incarnation != incarnation || m.cutOff {
		return
	}
	bornField := ""
	if incarnation.BornMS != 0 {
		bornField = fmt.Sprintf(`"born":%d,`, incarnation.BornMS)
	}
	m.fleet.store.Put("keyed.servers", incarnation.ID, fmt.Appendf(nil,
		`{%s"service":"pool","address":%q,"zone":%q,"state":"ready","capacity":{"cpu":64000,"mem_mb":131072,"gpu":%d},"labels":["a",%q]}`,
		bornField, m.address(), m.zone, machineGPU, m.rack))
}

// rackOf returns the rack of a machine. The machines of a zone, which have every second index,
// fill its racks one after the other.
func (f *fleet) rackOf(index int, zone string) string {
	if f.rackSize == 0 {
		return "r1-1"
	}
	return fmt.Sprintf("r%s-%d", strings.TrimPrefix(zone, "z"), index/2/f.rackSize)
}

// currentIncarnation returns the current incarnation, or nil while the machine is down.
func (m *machine) currentIncarnation() *standin.TaskWorker {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.incarnation
}

// address returns the address at which instances reach the machine.
func (m *machine) address() string {
	if m.proxy != nil {
		return m.proxy.Address()
	}
	return strings.TrimPrefix(m.server.URL, "http://")
}

// crash ends the current incarnation, if there is one, with all its tasks, and starts the next one
// after machineRestartDelay.
func (m *machine) crash() {
	m.mu.Lock()
	if m.incarnation == nil {
		m.mu.Unlock()
		return
	}
	m.incarnation.Halt()
	m.incarnation = nil
	m.mu.Unlock()
	m.server.CloseClientConnections()
	time.AfterFunc(machineRestartDelay, func() { m.fleet.addIncarnation(m.startIncarnation()) })
}

func (f *fleet) addIncarnation(incarnation *standin.TaskWorker) {
	f.incarnationsMu.Lock()
	defer f.incarnationsMu.Unlock()
	f.incarnations = append(f.incarnations, incarnation)
}

// allIncarnations returns all incarnations of all workers so far.
func (f *fleet) allIncarnations() []*standin.TaskWorker {
	f.incarnationsMu.Lock()
	defer f.incarnationsMu.Unlock()
	return append([]*standin.TaskWorker(nil), f.incarnations...)
}
