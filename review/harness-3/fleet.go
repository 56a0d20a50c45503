package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of an instance, on an address of its own on loopback.
const (
	frontPort   = 8521
	readyPort   = 8523
	relayPort   = 7000
	metricsPort = 9464 // as the deploy file states it
)

const (
	apiKey       = "d4a3hwrr6x73d3zji9n7"
	jobDeadline  = 3 * time.Second
	startTimeout = 20 * time.Second
)

var errCannotRun = errors.New("the case cannot run")

// events is the record of what was sent, answered and run.
type events struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
}

func (e *events) add(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fmt.Fprintf(e.file, "%8.3f  %s\n", time.Since(e.began).Seconds(), fmt.Sprintf(format, args...))
}

// fleet is a small deployment: instances as processes, and stand-ins of all else in this one.
type fleet struct {
	events    *events
	judge     *judge
	store     *store
	storeAddr string
	folder    string // for settings and logs, removed at the end
	service   string
	keepIDs   bool // runners that start again keep their IDs, as on the newer deployments
	zones     []string
	capacity  int64 // of a runner, in thousandths of cores
	machines  []*machine
	instances []*instance
	client    *http.Client
	version   int
	// The fields below are of the search alone.
	storeFaults *storeFaults
	advice      string // address of the service that decides which runners may run a step
	mixedKinds  bool   // every second machine is of kind b as well
}

type instance struct {
	name  string
	ip    string
	path  string // of its settings
	cmd   *exec.Cmd
	ended chan struct{}
}

type queue struct {
	name, host, prefix           string
	priority, attempts, targetMS int
	stretch                      float64
}

// queues are those of the deployment, from the most urgent on.
var queues = []queue{
	{"r-urgent", "ficu95.example", "/pufi791/", 0, 4, 250, 1.5},
	{"r-large", "nony24.example", "/lohu930/", 1, 3, 1000, 3},
	{"r-batch", "nony24.example", "/pule252/", 2, 2, 3000, 3},
}

func newFleet(record *os.File) (*fleet, error) {
	folder, err := os.MkdirTemp("", "harness-3-")
	if err != nil {
		return nil, err
	}
	log := &events{began: time.Now(), file: record}
	f := &fleet{events: log, store: newStore(log), folder: folder, service: "huvo11a", zones: []string{"z1", "z2", "z3"}, capacity: 64000,
		client: &http.Client{Timeout: jobDeadline + time.Second}}
	f.judge = newJudge(log)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.storeAddr = listener.Addr().String()
	f.storeFaults = &storeFaults{next: f.store}
	go http.Serve(listener, f.storeFaults)
	f.publish()
	return f, nil
}

// publish writes the next version of the configuration.
func (f *fleet) publish() {
	f.version++
	var routes []map[string]any
	for _, q := range queues {
		route := map[string]any{"name": q.name, "host": q.host, "path_prefix": q.prefix, "kind": "unsafe", "timeout_ms": 3000,
			"target_latency_ms": q.targetMS, "priority": q.priority, "service": f.service, "max_attempts": q.attempts, "stretch": q.stretch, "public": false}
		if q.name == "r-advised" {
			route["advice"] = map[string]any{"decide_ms": adviceTime.Milliseconds(), "each_ms": 0, "valid_ms": ticketTime.Milliseconds()}
		}
		routes = append(routes, route)
	}
	config := map[string]any{"version": f.version, "routes": routes,
		"services": []map[string]any{{"name": f.service, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "admission_check": true, "spare": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "kaje80", "api_keys": []string{apiKey}, "priority": 1, "guaranteed": map[string]int{"gpu": 24}}}}
	encoded, err := json.Marshal(config)
	if err != nil {
		panic(err)
	}
	f.store.put("keyed.op", "config", encoded)
}

// freeAddress returns an address of loopback with none of the ports of an instance in use.
func freeAddress(index int) (string, error) {
	pid := os.Getpid()
	for try := range 50 {
		ip := fmt.Sprintf("127.%d.%d.%d", 64+pid%128, (pid/128+try)%250+1, index+2)
		free := true
		for _, port := range []int{frontPort, readyPort, relayPort, metricsPort} {
			listener, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			listener.Close()
		}
		if free {
			return ip, nil
		}
	}
	return "", errCannotRun
}

// startInstance starts an instance with the command of the deploy file.
func (f *fleet) startInstance(index int) error {
	ip, err := freeAddress(index)
	if err != nil {
		return err
	}
	i := &instance{name: fmt.Sprintf("front-%d", index+1), ip: ip}
	zone := f.zones[index%len(f.zones)]
	regions := map[string]string{}
	for _, name := range f.zones {
		regions[name] = "r1"
	}
	at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	settings := map[string]any{
		"node": i.name, "role": "instance", "machine_class": "front", "serves": []string{"front"}, "ip": ip, "zone": zone, "region": "r1", "zones": regions,
		"listen": map[string]string{"front": at(frontPort), "ready": at(readyPort)}, "port_range": []int{relayPort, relayPort + 15},
		"seeds": []string{}, "bootstrap": true, "counts_as_loss": false,
		"limits":   map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": heartbeat.Milliseconds(),
		"contracts": []string{"base", "drain", "config", "cost", "recover", "sched", "tenants", "platform", "advice", "upkeep", "sharing"},
		"tolerate":  map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6,
			"loss_slack_ms": 200, "config_apply_ms": 2000, "downgrade_slack_ms": 250, "max_skew_ms": 5000, "revoke_strict": false, "revoke_ms": 5000,
			"recovery_s": 12, "max_hold_ms": maxHold.Milliseconds(), "stop_ms": 200, "gang_wait_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250,
			"finish_s": 14, "status_s": 120, "remote_factor": 3, "checkpoint_s": checkpointTime.Seconds(), "restore_ms": 250, "notice_ms": 4500, "move_s": 1.5,
			"upkeep_s": 2, "require_fence": true, "lease_ms": 3000, "thaw_slack_ms": 300, "pace_ms": 100, "harm_ms": 4000, "reclaim_ms": 2700},
		"orders": "call",
		"platform": map[string]any{"address": f.storeAddr, "form": "log", "writes_per_s": 600, "reads_per_s": 2000, "parts": 8, "append_ms": 4.0, "part_mb_s": 20.0,
			"read_mb_s": 80.0, "record_bytes": recordBytes, "call_bytes": callBytes, "keep_s": 300, "part_mb": 200, "ttl_min_ms": 1000},
		"cloud": map[string]any{"address": "127.0.0.1:9", "rate_per_s": 60.0, "duties": []string{}, "duty_per_s": 60.0},
	}
	if f.advice != "" {
		settings["advice"] = f.advice
	}
	encoded, err := json.MarshalIndent(settings, "", " ")
	if err != nil {
		return err
	}
	path := filepath.Join(f.folder, i.name+".json")
	if err := os.WriteFile(path, encoded, 0o600); err != nil {
		return err
	}
	i.path = path
	if err := f.launch(i); err != nil {
		return err
	}
	f.instances = append(f.instances, i)
	return nil
}

// launch starts the process of an instance.
func (f *fleet) launch(i *instance) error {
	logFile, err := os.OpenFile(filepath.Join(f.folder, i.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	i.ended = make(chan struct{})
	i.cmd = exec.Command("target/teaselcleat", "front", "-metrics-port", fmt.Sprint(metricsPort))
	i.cmd.Env = []string{"TEASELCLEAT_CONFIG=" + i.path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
	i.cmd.Stdout, i.cmd.Stderr = logFile, logFile
	i.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := i.cmd.Start(); err != nil {
		return err
	}
	cmd, ended := i.cmd, i.ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// restart starts an instance again that has ended, as the platform does.
func (f *fleet) restart(i *instance) {
	if err := f.launch(i); err != nil {
		f.events.add("%s does not start: %s", i.name, err)
	}
}

// run starts a deployment and waits until all of it is ready.
func (f *fleet) run(instances, machines int) error {
	for index := range machines {
		if _, err := f.addMachine(index); err != nil {
			return err
		}
	}
	for index := range instances {
		if err := f.startInstance(index); err != nil {
			return err
		}
	}
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, i := range f.instances {
			response, err := f.client.Get(fmt.Sprintf("http://%s:%d/api/ready", i.ip, readyPort))
			if err != nil {
				continue
			}
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == instances {
			f.events.add("%d instances are ready, %d runners are up", instances, machines)
			return nil
		}
	}
	return fmt.Errorf("%w: the instances are not ready", errCannotRun)
}

// close ends the processes that were started. The logs are kept where KEEP names a folder.
func (f *fleet) close() {
	for _, i := range f.instances {
		_ = i.cmd.Process.Kill()
		<-i.ended
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.RemoveAll(keep)
		_ = os.Rename(f.folder, keep)
		return
	}
	_ = os.RemoveAll(f.folder)
}

// call sends one call of a client to an instance. A status of 0 means that no answer came.
func (f *fleet) call(i *instance, method string, q queue, id, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), jobDeadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s%s", i.ip, frontPort, q.prefix, id), strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Host = q.host
	request.Header.Set("X-Api-Key", apiKey)
	request.Header.Set("X-Teaselcleat-Deadline-Ms", fmt.Sprint(jobDeadline.Milliseconds()))
	if body != "" {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := f.client.Do(request)
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

// submit hands a job in, with up to four tries at the instances in turn.
func (f *fleet) submit(q queue, id, body string) bool {
	for try := range 5 {
		i := f.instances[try%len(f.instances)]
		status, _ := f.call(i, http.MethodPost, q, id, body)
		f.events.add("POST %s%s to %s (%d bytes): %d", q.prefix, id, i.name, len(body), status)
		if status/100 == 2 {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// state asks all instances in turn for the state of a job until one answers.
func (f *fleet) state(q queue, id string) string {
	last := ""
	for _, i := range f.instances {
		status, body := f.call(i, http.MethodGet, q, id, "")
		f.events.add("GET %s%s to %s: %d %s", q.prefix, id, i.name, status, body)
		if status == http.StatusOK {
			var answer struct {
				State string `json:"state"`
			}
			if json.Unmarshal([]byte(body), &answer) == nil {
				return answer.State
			}
		}
		last = fmt.Sprint(status)
	}
	return last
}
