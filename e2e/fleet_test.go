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

// fleet runs `teaselcleat front` instances as processes on a stand-in of the users' platform,
// with stand-ins of its store and workers in the test process.
type fleet struct {
	t                testing.TB
	store            *standin.KeyedStore
	storeServer      *httptest.Server
	storeAddr        string
	reuseIDs         bool                     // restarted workers keep their IDs
	registerAfter    time.Duration            // after a restart until a worker that keeps its ID is listed; 0 for registerDelay at every second restart
	initialUptime    time.Duration            // by which the clocks of the first incarnations of workers are ahead
	deliverLateCalls bool                     // a worker carries out calls that were sent to its earlier incarnations and arrive late
	taskDuration     time.Duration            // duration of a task on a worker
	rackSize         int                      // machines per rack; 0 puts all in one rack
	useProxies       bool                     // every connection to workers, the store and instances passes a proxy
	checker          *standin.TaskChecker     // checks that no task runs twice or in an evacuated zone; nil for none
	gangs            *standin.GangCoordinator // lets the tasks of a gang start and end together
	limits           string                   // replaces memory_mb in the limits of the settings; empty for fleetSettings as it is
	earlierBinary    string                   // binary of an earlier version that every second instance runs; empty for none
	startCount       int                      // instances started so far
	machines         []*machine
	incarnationsMu   sync.Mutex
	incarnations     []*standin.TaskWorker // all incarnations so far, including the current ones
	instances        []*frontInstance
}

// frontInstance is one instance of a fleet: its process, proxies, addresses and files.
type frontInstance struct {
	name         string
	storeProxy   *standin.Proxy // between the instance and the store; nil for none
	callerProxy  *standin.Proxy // between callers and the instance; nil for none
	peerProxy    *standin.Proxy // between the other instances and this one; nil for none
	frontAddr    string         // address for callers
	readyAddr    string         // address for readiness and status
	metricsAddr  string
	settingsPath string
	cmd          *exec.Cmd
	logFile      *os.File
}

const (
	defaultTaskDuration = 300 * time.Millisecond
	storeParts          = 8 // as in fleetSettings
	fleetConfig         = `{"version":%d,"routes":[{"name":"wear","host":"wear.example","path_prefix":"/wear/","target_latency_ms":1000,` +
		`"priority":1,"service":"pool","max_attempts":2,"stretch":3}],"services":[{"name":"pool","admission_check":true}],` +
		`"limits":{"max_header_bytes":16384,"max_body_bytes":262144},"tenants":[{"name":"a","api_keys":["key-a"],"guaranteed":{"gpu":8}}]}`
	fleetSettings = `{"node":%q,"zone":%q,"zones":{"z1":"r1","z2":"r1"},"ip":"127.0.0.1","port_range":[%d,%d],"listen":{"front":%q,"ready":%q},` +
		`"limits":{"memory_mb":284,"cpu_share":0.4,"cores":1},"heartbeat_ms":1500,"platform":{"address":%q,"parts":8,"call_bytes":2097152},` +
		`"bounds":{"max_hold_ms":6000,"stop_ms":200,"gang_wait_ms":3000,"status_s":120,"grace_s":2,"reclaim_ms":2700,"remote_factor":3,"evacuate_ms":5000}}`
)

// newFleet starts a fleet with one rack and without faults.
func newFleet(t testing.TB, instances, workers int) *fleet {
	return startFleet(&fleet{t: t, store: standin.NewKeyedStore(), taskDuration: defaultTaskDuration}, instances, workers)
}

// startFleet starts the store, workers and instances of a fleet according to its fields, and
// waits until the instances are ready.
func startFleet(f *fleet, instances, workers int) *fleet {
	t := f.t
	server := httptest.NewServer(f.store)
	t.Cleanup(server.Close)
	f.storeServer = server
	f.gangs = standin.NewGangCoordinator(gangWaitTimeout)
	f.storeAddr = strings.TrimPrefix(server.URL, "http://")
	f.publishConfig(1)
	for index := range workers {
		f.addMachine(index)
	}
	for index := range instances {
		f.startInstance(fmt.Sprintf("instance-%d", index+1))
	}
	f.waitReady()
	return f
}

// evacuationDeadline is the time after which nothing may start in an evacuated zone. It equals
// evacuate_ms in the settings of the instances.
const evacuationDeadline = 5 * time.Second

// zoneOf returns the availability zone of a machine or an instance, chosen by the number at the
// end of its name.
func zoneOf(name string) string {
	if last := name[len(name)-1]; last%2 == 0 {
		return "z2"
	}
	return "z1"
}

// evacuate requests the evacuation of a zone: no new work starts there.
func (f *fleet) evacuate(zone string) {
	f.store.Put("keyed.op", "evacuate/"+zone, []byte("{}"))
	if f.checker != nil {
		f.checker.Evacuate(zone, evacuationDeadline)
	}
}

// endEvacuation returns an evacuated zone to service.
func (f *fleet) endEvacuation(zone string) {
	if f.checker != nil {
		f.checker.EndEvacuation(zone)
	}
	f.store.Put("keyed.op", "evacuate/"+zone, nil)
}

// publishConfig publishes a version of the platform's configuration.
func (f *fleet) publishConfig(version int) {
	f.store.Put("keyed.op", "config", fmt.Appendf(nil, fleetConfig, version))
}

// addMachine adds a machine with a running worker.
func (f *fleet) addMachine(index int) {
	m := newMachine(f, fmt.Sprintf("w-%d", index))
	f.machines = append(f.machines, m)
	f.addIncarnation(m.startIncarnation())
}

const (
	// firstPort and lastPort bound the ports that instances listen on. They lie below the
	// ephemeral ports of outgoing connections: such a connection could take a port between
	// its choice and the start of the instance, which would then exit.
	firstPort = 20000
	lastPort  = 32000
	// portStride separates the ports of test processes that run at the same time.
	portStride = 131
)

// portsTried counts the ports that were tried, so that none is returned twice.
var portsTried atomic.Int64

// freePort returns a port on which nothing listens.
func freePort(t testing.TB) int {
	for range lastPort - firstPort {
		offset := int64(os.Getpid())*portStride + portsTried.Add(1)
		port := firstPort + int(offset%(lastPort-firstPort))
		listener, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			listener.Close()
			return port
		}
	}
	t.Fatal("no port is free")
	return 0
}

// startInstance starts an instance with its own settings file, log and ports.
func (f *fleet) startInstance(name string) *frontInstance {
	instance := &frontInstance{name: name}
	frontAddr := fmt.Sprintf("127.0.0.1:%d", freePort(f.t))
	instance.frontAddr = frontAddr
	instance.readyAddr = fmt.Sprintf("127.0.0.1:%d", freePort(f.t))
	peerPort := freePort(f.t)
	dir := f.t.TempDir()
	settingsPath := filepath.Join(dir, "settings.json")
	instance.settingsPath = settingsPath
	storeAddr := f.storeAddr
	if f.useProxies {
		instance.storeProxy = f.startProxy(storeAddr)
		storeAddr = instance.storeProxy.Address()
		instance.callerProxy = f.startProxy(frontAddr)
		instance.frontAddr = instance.callerProxy.Address()
		instance.peerProxy = f.startProxy(fmt.Sprintf("127.0.0.1:%d", peerPort))
		f.store.TranslateAddress(fmt.Sprintf("127.0.0.1:%d", peerPort), instance.peerProxy.Address())
	}
	content := fmt.Sprintf(fleetSettings, name, zoneOf(name), peerPort, peerPort, frontAddr, instance.readyAddr, storeAddr)
	if f.limits != "" {
		content = strings.Replace(content, `"memory_mb":284`, f.limits, 1)
	}
	if err := os.WriteFile(settingsPath, []byte(content), 0o600); err != nil {
		f.t.Fatal(err)
	}
	logFile, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		f.t.Fatal(err)
	}
	instance.logFile = logFile
	metricsPort := freePort(f.t)
	instance.metricsAddr = fmt.Sprintf("127.0.0.1:%d", metricsPort)
	instance.cmd = exec.Command(filepath.Join(binDir, "teaselcleat"), "front", "-settings", settingsPath, "-metrics-port", strconv.Itoa(metricsPort))
	f.startCount++
	if f.earlierBinary != "" && f.startCount%2 == 0 {
		instance.cmd = exec.Command(f.earlierBinary, "front", "-settings", settingsPath)
	}
	instance.cmd.Stdout = logFile
	instance.cmd.Stderr = logFile
	if err := instance.cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() {
		instance.cmd.Process.Kill()
		instance.cmd.Wait()
	})
	f.instances = append(f.instances, instance)
	return instance
}

// startProxy starts a fault-injecting proxy in front of an address.
func (f *fleet) startProxy(address string) *standin.Proxy {
	proxy, err := standin.NewProxy(address)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(proxy.Close)
	return proxy
}

// waitReady waits until every instance reports that it is ready.
func (f *fleet) waitReady() {
	for _, instance := range f.instances {
		f.waitUntil("ready: "+instance.name, func() bool {
			response, err := http.Get("http://" + instance.readyAddr + "/api/ready")
			if err != nil {
				return false
			}
			response.Body.Close()
			return response.StatusCode == http.StatusOK
		})
	}
}

// printLogs logs the end of each instance's log, to explain a failure.
func (f *fleet) printLogs() {
	const tailBytes = 2000
	for _, instance := range f.instances {
		content, err := os.ReadFile(instance.logFile.Name())
		if err != nil {
			f.t.Logf("%s: %s", instance.name, err)
			continue
		}
		f.t.Logf("%s:\n%s", instance.name, content[max(0, len(content)-tailBytes):])
	}
}

// anyLogContains reports whether the log of any instance contains a text.
func (f *fleet) anyLogContains(text string) bool {
	for _, instance := range f.instances {
		content, err := os.ReadFile(instance.logFile.Name())
		if err == nil && strings.Contains(string(content), text) {
			return true
		}
	}
	return false
}

// waitUntil polls until the condition holds and fails the test after waitTimeout.
func (f *fleet) waitUntil(desc string, condition func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if condition() {
			return
		}
	}
	f.printLogs()
	f.t.Fatalf("timed out waiting for: %s", desc)
}

// callClient times out after the deadline that a call states, so that a frozen instance does
// not block the test.
var callClient = &http.Client{Timeout: 4 * time.Second}

// call sends a client's call and returns the status and the body. A status of 0 means that no
// complete response came.
func (f *fleet) call(instance *frontInstance, method, id, key, body string) (int, string) {
	request, err := http.NewRequest(method, "http://"+instance.frontAddr+"/wear/"+id, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	request.Host = "wear.example"
	request.Header.Set("X-Api-Key", key)
	request.Header.Set("X-Teaselcleat-Deadline-Ms", "3000")
	response, err := callClient.Do(request)
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

// jobState returns the state that an instance reports for a job, or the HTTP status if the call
// failed.
func (f *fleet) jobState(instance *frontInstance, id string) string {
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
