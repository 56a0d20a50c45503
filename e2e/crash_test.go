package e2e

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/teaselcleat/teaselcleat/standin"
)

const (
	// machineBack is how long a machine is away whose worker has ended.
	machineBack = 500 * time.Millisecond
	// listLag is how long the list shows the former life of every other one that begins
	// under the same ID.
	listLag = 700 * time.Millisecond
	// gangWait is how long a gang's task waits for the others.
	gangWait = 3 * time.Second
	// leaseMost is the longest lease that a worker grants.
	leaseMost = 6 * time.Second
	// machineGPU is how many accelerators a machine has.
	machineGPU = 8
	// clockSlow is the share of the time that the clock of every other machine loses.
	clockSlow = 0.02
)

// machine is where a worker lives: when its worker ends, another life of it answers at
// the same address some time later.
type machine struct {
	fleet  *fleet
	name   string
	zone   string // availability zone
	rack   string
	server *httptest.Server
	way    *standin.Proxy // by which instances reach it; nil for straight
	slow   float64        // share of the time that its clock loses

	lock  sync.Mutex
	life  *standin.TaskWorker // nil while it is away
	lives int
}

func newMachine(f *fleet, name string) *machine {
	m := &machine{fleet: f, name: name, zone: zoneOf(name), rack: f.rackOf(len(f.machines), zoneOf(name)), slow: float64(len(f.machines)%2) * clockSlow}
	m.server = httptest.NewUnstartedServer(m)
	m.server.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		m.lock.Lock()
		defer m.lock.Unlock()
		return context.WithValue(ctx, acceptedBy{}, m.life)
	}
	m.server.Start()
	f.t.Cleanup(m.server.Close)
	if f.proxied {
		m.way = f.proxy(m.server.Listener.Addr().String())
	}
	return m
}

// acceptedBy is the key of the life that accepted a connection.
type acceptedBy struct{}

// ServeHTTP implements http.Handler. A machine that is away breaks connections off, and a
// connection that one life accepted carries nothing to the next, however late it comes.
func (m *machine) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	m.lock.Lock()
	life := m.life
	m.lock.Unlock()
	if life == nil || r.Context().Value(acceptedBy{}) != life {
		panic(http.ErrAbortHandler)
	}
	life.ServeHTTP(out, r)
}

// begin starts the next life and lists it: under the ID that the worker has, where lives
// are told apart by the moment at which they began, or under a new one.
func (m *machine) begin() *standin.TaskWorker {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.lives++
	id, former := fmt.Sprintf("%s-%d", m.name, m.lives), fmt.Sprintf("%s-%d", m.name, m.lives-1)
	born, lag := int64(0), time.Duration(0)
	if m.fleet.sameIDs {
		id, born = m.name, time.Now().UnixMilli()
		lag = time.Duration((m.lives+1)%2) * listLag
	}
	life := standin.NewTaskWorker(id, m.fleet.taskTime)
	life.BornMS = born
	life.Gangs = m.fleet.gangs
	life.Lease = leaseMost
	life.Slow = m.slow
	life.Ledger = m.fleet.ledger
	life.Zone = m.zone
	if m.way != nil {
		life.CalmFor = m.way.CalmFor
	}
	life.Crash = m.end
	m.life = life
	time.AfterFunc(lag, func() { m.list(life) })
	if m.lives > 1 && !m.fleet.sameIDs {
		m.fleet.store.Put("keyed.servers", former, nil)
	}
	return life
}

// list puts a life's entry into the store, unless the next one has begun.
func (m *machine) list(life *standin.TaskWorker) {
	m.lock.Lock()
	defer m.lock.Unlock()
	if m.life != life {
		return
	}
	born := ""
	if life.BornMS != 0 {
		born = fmt.Sprintf(`"born":%d,`, life.BornMS)
	}
	m.fleet.store.Put("keyed.servers", life.ID, fmt.Appendf(nil,
		`{%s"service":"pool","address":%q,"zone":%q,"state":"ready","capacity":{"cpu":64000,"mem_mb":131072,"gpu":%d},"labels":["a",%q]}`,
		born, m.address(), m.zone, machineGPU, m.rack))
}

// rackOf is the rack of a machine; those of a zone, every other one by their index, fill its
// racks one after the other.
func (f *fleet) rackOf(index int, zone string) string {
	if f.rackSize == 0 {
		return "r1-1"
	}
	return fmt.Sprintf("r%s-%d", strings.TrimPrefix(zone, "z"), index/2/f.rackSize)
}

// at returns the present life; nil while the machine is away.
func (m *machine) at() *standin.TaskWorker {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.life
}

// address is where instances reach the machine.
func (m *machine) address() string {
	if m.way != nil {
		return m.way.Address()
	}
	return strings.TrimPrefix(m.server.URL, "http://")
}

// end ends the present life, if there is one, with all that runs there.
func (m *machine) end() {
	m.lock.Lock()
	if m.life == nil {
		m.lock.Unlock()
		return
	}
	m.life.Halt()
	m.life = nil
	m.lock.Unlock()
	m.server.CloseClientConnections()
	time.AfterFunc(machineBack, func() { m.fleet.addLife(m.begin()) })
}

func (f *fleet) addLife(life *standin.TaskWorker) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.workers = append(f.workers, life)
}

// allWorkers are all lives of workers so far.
func (f *fleet) allWorkers() []*standin.TaskWorker {
	f.lock.Lock()
	defer f.lock.Unlock()
	return append([]*standin.TaskWorker(nil), f.workers...)
}

const crashJob = `{"spec":"crash","steps":[{"count":1,"cpu":1000,"mem_mb":10,"gpu":1,"est_runtime_ms":300}]}`

// crashStartsMost is how often a task that ends its workers may be started: three
// workers are lost under it, and it is started less than three times more.
const crashStartsMost = 5

// A task that ends every worker on which it is started is given up, also when the holder
// of the term is killed meanwhile. Its caller is told, the log says why, and what ran
// beside it is finished.
func TestPlatformGivesUpATaskThatEndsItsWorkers(t *testing.T) {
	f := newFleet(t, 2, 3)
	const id, sound = "00000000000000c5", "00000000000000c6"
	for _, job := range []struct{ id, body string }{{sound, gangJob}, {id, crashJob}} {
		if status, _ := f.call(f.instances[0], http.MethodPost, job.id, "key-a", job.body); status != http.StatusOK {
			t.Fatalf("submission: %d", status)
		}
	}
	f.until("started", func() bool { return f.starts(id+".0.0.0") > 0 })
	holder := f.holder()
	holder.command.Process.Kill()
	// How a killed process ended is known.
	_ = holder.command.Wait()
	rest := f.instances[0]
	if rest == holder {
		rest = f.instances[1]
	}
	f.until("given up", func() bool { return f.state(rest, id) == "failed" })
	f.until("done", func() bool { return f.state(rest, sound) == "done" })
	if starts := f.starts(id + ".0.0.0"); starts > crashStartsMost {
		t.Errorf("started %d times", starts)
	}
	f.explains(id, "msg=task_lost_worker", "msg=job_ended")
}
