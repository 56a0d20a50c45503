package e2e

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/teaselcleat/teaselcleat/standin"
)

// fleet is the program on a stand-in of the users' platform: a store, workers
// and instances as processes of their own.
type fleet struct {
	t         testing.TB
	store     *standin.KeyedStore
	server    *httptest.Server // of the store
	address   string           // of the store
	sameIDs   bool             // workers start again under their IDs
	taskTime  time.Duration    // of a task on a worker
	rackSize  int              // machines in a rack; 0 for all in one
	proxied   bool             // a proxy is on every way: to workers, to the store, to instances
	ledger    *standin.TaskLedger
	gangs     *standin.Gangs
	former    string // program of an earlier version, of which every other instance is; empty for none
	started   int    // instances so far
	machines  []*machine
	lock      sync.Mutex
	workers   []*standin.TaskWorker // all lives so far, the present ones among them
	instances []*frontInstance
}

type frontInstance struct {
	name    string
	store   *standin.Proxy // on its way to the store; nil for none
	callers *standin.Proxy // on the way of callers to it; nil for none
	others  *standin.Proxy // on the way of other instances to it; nil for none
	front   string         // where callers reach it
	ready   string
	metrics string
	file    string // with its settings
	command *exec.Cmd
	log     *os.File
}

const (
	taskTime    = 300 * time.Millisecond
	fleetConfig = `{"version":%d,"routes":[{"name":"wear","host":"wear.example","path_prefix":"/wear/","target_latency_ms":1000,` +
		`"priority":1,"service":"pool","max_attempts":2,"stretch":3}],"services":[{"name":"pool","admission_check":true}],` +
		`"limits":{"max_header_bytes":16384,"max_body_bytes":262144},"tenants":[{"name":"a","api_keys":["key-a"],"guaranteed":{"gpu":8}}]}`
	fleetSettings = `{"node":%q,"zone":%q,"zones":{"z1":"r1","z2":"r1"},"ip":"127.0.0.1","port_range":[%d,%d],"listen":{"front":%q,"ready":%q},` +
		`"limits":{"memory_mb":284,"cpu_share":0.4,"cores":1},"heartbeat_ms":1500,"platform":{"address":%q,"parts":8,"call_bytes":2097152},` +
		`"bounds":{"max_hold_ms":6000,"stop_ms":200,"gang_wait_ms":3000,"status_s":120,"grace_s":2,"reclaim_ms":2700,"remote_factor":3,"evacuate_ms":5000}}`
)

func newFleet(t testing.TB, instances, workers int) *fleet {
	return newFleetOf(&fleet{t: t, store: standin.NewKeyedStore(), taskTime: taskTime}, instances, workers)
}

// newFleetOf starts what a fleet is made of, as its fields say.
func newFleetOf(f *fleet, instances, workers int) *fleet {
	t := f.t
	server := httptest.NewServer(f.store)
	t.Cleanup(server.Close)
	f.server = server
	f.gangs = standin.NewGangs(gangWait)
	f.address = strings.TrimPrefix(server.URL, "http://")
	f.configure(1)
	for index := range workers {
		f.addWorker(index)
	}
	for index := range instances {
		f.startInstance(fmt.Sprintf("instance-%d", index+1))
	}
	f.waitReady()
	return f
}

// evacuateWithin is when nothing may start any more in an evacuated zone, as the settings of
// the instances say.
const evacuateWithin = 5 * time.Second

// zoneOf is the availability zone of a machine or an instance, by the number at the end of
// its name.
func zoneOf(name string) string {
	if last := name[len(name)-1]; last%2 == 0 {
		return "z2"
	}
	return "z1"
}

// evacuate asks for a zone to get nothing new.
func (f *fleet) evacuate(zone string) {
	f.store.Put("keyed.op", "evacuate/"+zone, []byte("{}"))
	if f.ledger != nil {
		f.ledger.Evacuate(zone, evacuateWithin)
	}
}

// takeBack ends an evacuation.
func (f *fleet) takeBack(zone string) {
	if f.ledger != nil {
		f.ledger.Return(zone)
	}
	f.store.Put("keyed.op", "evacuate/"+zone, nil)
}

func (f *fleet) configure(version int) {
	f.store.Put("keyed.op", "config", fmt.Appendf(nil, fleetConfig, version))
}

func (f *fleet) addWorker(index int) {
	made := newMachine(f, fmt.Sprintf("w-%d", index))
	f.machines = append(f.machines, made)
	f.addLife(made.begin())
}

const (
	// firstPort and lastPort bound the ports that instances listen on. They lie below
	// those that the system gives to outgoing connections: one of these may take a port
	// between its choice and the instance's start, which then ends.
	firstPort = 20000
	lastPort  = 32000
	// portStride sets test processes apart that run at the same time.
	portStride = 131
)

// portsGiven counts the ports that were tried, so that none is given twice.
var portsGiven atomic.Int64

func freePort(t testing.TB) int {
	for range lastPort - firstPort {
		given := int64(os.Getpid())*portStride + portsGiven.Add(1)
		port := firstPort + int(given%(lastPort-firstPort))
		listener, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			listener.Close()
			return port
		}
	}
	t.Fatal("no port is free")
	return 0
}

func (f *fleet) startInstance(name string) *frontInstance {
	made := &frontInstance{name: name}
	front := fmt.Sprintf("127.0.0.1:%d", freePort(f.t))
	made.front = front
	made.ready = fmt.Sprintf("127.0.0.1:%d", freePort(f.t))
	inner := freePort(f.t)
	dir := f.t.TempDir()
	path := filepath.Join(dir, "settings.json")
	made.file = path
	address := f.address
	if f.proxied {
		made.store = f.proxy(address)
		address = made.store.Address()
		made.callers = f.proxy(front)
		made.front = made.callers.Address()
		made.others = f.proxy(fmt.Sprintf("127.0.0.1:%d", inner))
		f.store.Translate(fmt.Sprintf("127.0.0.1:%d", inner), made.others.Address())
	}
	content := fmt.Sprintf(fleetSettings, name, zoneOf(name), inner, inner, front, made.ready, address)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		f.t.Fatal(err)
	}
	log, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		f.t.Fatal(err)
	}
	made.log = log
	metricsPort := freePort(f.t)
	made.metrics = fmt.Sprintf("127.0.0.1:%d", metricsPort)
	made.command = exec.Command(filepath.Join(binaries, "teaselcleat"), "front", "-settings", path, "-metrics-port", strconv.Itoa(metricsPort))
	f.started++
	if f.former != "" && f.started%2 == 0 {
		made.command = exec.Command(f.former, "front", "-settings", path)
	}
	made.command.Stdout = log
	made.command.Stderr = log
	if err := made.command.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() {
		made.command.Process.Kill()
		made.command.Wait()
	})
	f.instances = append(f.instances, made)
	return made
}

// proxy returns a stand-in of the network on the way to an address.
func (f *fleet) proxy(address string) *standin.Proxy {
	made, err := standin.NewProxy(address)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(made.Close)
	return made
}

func (f *fleet) waitReady() {
	for _, instance := range f.instances {
		f.until("ready: "+instance.name, func() bool {
			response, err := http.Get("http://" + instance.ready + "/api/ready")
			if err != nil {
				return false
			}
			response.Body.Close()
			return response.StatusCode == http.StatusOK
		})
	}
}

// printLogs shows the end of what each instance wrote, for a failure.
func (f *fleet) printLogs() {
	const last = 2000 // bytes
	for _, instance := range f.instances {
		content, err := os.ReadFile(instance.log.Name())
		if err != nil {
			f.t.Logf("%s: %s", instance.name, err)
			continue
		}
		f.t.Logf("%s:\n%s", instance.name, content[max(0, len(content)-last):])
	}
}

// logged reports whether an instance has written some text to its log.
func (f *fleet) logged(text string) bool {
	for _, instance := range f.instances {
		content, err := os.ReadFile(instance.log.Name())
		if err == nil && strings.Contains(string(content), text) {
			return true
		}
	}
	return false
}

func (f *fleet) until(what string, done func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(lookEvery) {
		if done() {
			return
		}
	}
	f.printLogs()
	f.t.Fatalf("never came: %s", what)
}

// caller gives up after the deadline that it states, also on a frozen instance.
var caller = &http.Client{Timeout: 4 * time.Second}

// call sends a client's call and returns the status and the body. A status of 0
// says that no answer came.
func (f *fleet) call(instance *frontInstance, method, id, key, body string) (int, string) {
	request, err := http.NewRequest(method, "http://"+instance.front+"/wear/"+id, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	request.Host = "wear.example"
	request.Header.Set("X-Api-Key", key)
	request.Header.Set("X-Teaselcleat-Deadline-Ms", "3000")
	response, err := caller.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(answer)
}

func (f *fleet) state(instance *frontInstance, id string) string {
	status, body := f.call(instance, http.MethodGet, id, "key-a", "")
	if status != http.StatusOK {
		return fmt.Sprint(status)
	}
	var reply struct {
		State string `json:"state"`
	}
	if err := json.Unmarshal([]byte(body), &reply); err != nil {
		f.t.Fatal(err)
	}
	return reply.State
}
