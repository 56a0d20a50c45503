package e2e

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/teaselcleat/teaselcleat/standin"
)

// machineBack is how long a machine is away whose worker has ended.
const machineBack = 500 * time.Millisecond

// machine is where a worker lives: when its worker ends, another life of it answers at
// the same address some time later.
type machine struct {
	fleet  *fleet
	name   string
	server *httptest.Server

	lock  sync.Mutex
	life  *standin.TaskWorker // nil while it is away
	lives int
}

func newMachine(f *fleet, name string) *machine {
	m := &machine{fleet: f, name: name}
	m.server = httptest.NewServer(m)
	f.t.Cleanup(m.server.Close)
	return m
}

// ServeHTTP implements http.Handler. A machine that is away breaks connections off.
func (m *machine) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	m.lock.Lock()
	life := m.life
	m.lock.Unlock()
	if life == nil {
		panic(http.ErrAbortHandler)
	}
	life.ServeHTTP(out, r)
}

// begin starts the next life, lists it and takes the former one off the list.
func (m *machine) begin() *standin.TaskWorker {
	m.lock.Lock()
	defer m.lock.Unlock()
	former := fmt.Sprintf("%s-%d", m.name, m.lives)
	m.lives++
	life := standin.NewTaskWorker(fmt.Sprintf("%s-%d", m.name, m.lives), taskTime)
	life.Crash = m.end
	m.life = life
	m.fleet.store.Put("keyed.servers", life.ID, fmt.Appendf(nil,
		`{"service":"pool","address":%q,"zone":"z1","state":"ready","capacity":{"cpu":64000,"mem_mb":131072,"gpu":8},"labels":["a","r1-1"]}`,
		strings.TrimPrefix(m.server.URL, "http://")))
	if m.lives > 1 {
		m.fleet.store.Put("keyed.servers", former, nil)
	}
	return life
}

// end ends the present life with all that runs there.
func (m *machine) end() {
	m.lock.Lock()
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
