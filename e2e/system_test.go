// Package e2e proves safety with real processes: kills, freezes and cut
// services. Its tests assert what happened, never how fast.
package e2e

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/teaselcleat/teaselcleat/adapters/fronthttp"
	"github.com/teaselcleat/teaselcleat/membership"
	"github.com/teaselcleat/teaselcleat/service"
	"github.com/teaselcleat/teaselcleat/standin"
	"github.com/teaselcleat/teaselcleat/structs"
)

const (
	patience      = 30 * time.Second // bound on any wait; no test asserts a shorter time
	lookEvery     = 20 * time.Millisecond
	testTargets   = "[class \"wear\"]\nfinish_within = 8h\nidempotent = true\n[class \"survey\"]\nfinish_within = 8h\nidempotent = false\n[class \"surge\"]\nfinish_within = 20s\nidempotent = true\n[class \"flow\"]\nfinish_within = 60s\nidempotent = false\n[workspace \"a\"]\nguarantee = 1x8\n[workspace \"b\"]\n"
	instanceINI   = "[instance]\nname = %s\nregion = r1\navailability_zone = z1\nhttp = 127.0.0.1:0\npeer = 127.0.0.1:0\n[platform]\naddress = http://%s\n[timing]\nlease_ttl = 2s\nterm_timeout = 1s\nsnapshot_every = 200ms\n"
	workersInRack = 4
)

var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binaries = dir
	build := exec.Command("go", "build", "-o", dir, "../cmd/teaselcleat", "../cmd/standin")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %s%s\n", out, err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// process is one started program.
type process struct {
	t       testing.TB
	name    string
	command *exec.Cmd
	http    string
	ended   chan struct{}
}

func start(t testing.TB, name, binary string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, command: exec.Command(filepath.Join(binaries, binary), args...), ended: make(chan struct{})}
	out, err := p.command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	logFile, err := os.Create(filepath.Join(t.TempDir(), name+".log"))
	if err != nil {
		t.Fatal(err)
	}
	p.command.Stderr = logFile
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		t.Fatalf("%s printed no address: %v", name, err)
	}
	p.http = strings.TrimPrefix(strings.Fields(line)[0], "http=")
	go func() {
		_, _ = io.Copy(io.Discard, out)
		_ = p.command.Wait()
		close(p.ended)
	}()
	t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		if t.Failed() && binary == "teaselcleat" {
			p.printTimeline()
		}
		p.kill()
		if t.Failed() {
			if data, err := os.ReadFile(logFile.Name()); err == nil {
				t.Logf("log of %s:\n%s", name, data)
			}
		}
	})
	return p
}

func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// terminate asks for a planned stop and returns the exit code.
func (p *process) terminate() int {
	p.signal(syscall.SIGTERM)
	<-p.ended
	return p.command.ProcessState.ExitCode()
}

// system is the whole system as separate processes.
type system struct {
	t         testing.TB
	platform  *process
	runners   []*process
	workers   []*process
	instances []*process
}

func newSystem(t testing.TB, instances, runners, workers int) *system {
	t.Helper()
	return newSystemWith(t, instances, runners, workers, testTargets)
}

func newSystemWith(t testing.TB, instances, runners, workers int, document string) *system {
	t.Helper()
	s := &system{t: t, platform: start(t, "platform", "standin", "-kind", "platform")}
	for n := range runners {
		s.addRunner(fmt.Sprintf("runner-%d", n))
	}
	for n := range workers {
		p := start(t, fmt.Sprintf("worker-%d", n), "standin", "-kind", "worker")
		s.workers = append(s.workers, p)
		s.post(s.platform, "/fixed", membership.Listed{ID: p.name, Role: membership.RoleWorker, Boot: 1, Address: p.http,
			Rack: fmt.Sprintf("rack-%d", n/workersInRack), AvailabilityZone: "z1", Accelerators: 8})
	}
	for n := range instances {
		s.addInstance(fmt.Sprintf("entry-%d", n))
	}
	s.waitReady()
	s.propose(0, document)
	return s
}

func (s *system) addRunner(name string) *process {
	p := start(s.t, name, "standin", "-kind", "runner")
	s.runners = append(s.runners, p)
	s.listRunner(p, false)
	return p
}

func (s *system) listRunner(p *process, leaving bool) {
	s.post(s.platform, "/fixed", membership.Listed{ID: p.name, Role: membership.RoleRunner, Boot: 1, Address: p.http, Slots: 8, Leaving: leaving})
}

// addInstance starts an instance and sends callers to it at once.
func (s *system) addInstance(name string) *process {
	s.t.Helper()
	p := s.startEntry(name)
	s.instances = append(s.instances, p)
	return p
}

// addReadyInstance starts an instance and sends callers to it once it is ready,
// as a balancer does.
func (s *system) addReadyInstance(name string) {
	s.t.Helper()
	p := s.startEntry(name)
	s.waitFor(p)
	s.instances = append(s.instances, p)
}

func (s *system) startEntry(name string) *process {
	s.t.Helper()
	path := filepath.Join(s.t.TempDir(), name+".ini")
	if err := os.WriteFile(path, []byte(fmt.Sprintf(instanceINI, name, s.platform.http)), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return start(s.t, name, "teaselcleat", "serve", "-config", path)
}

// post sends JSON to a stand-in's control path.
func (s *system) post(to *process, path string, message any) {
	s.t.Helper()
	data, err := json.Marshal(message)
	if err != nil {
		s.t.Fatal(err)
	}
	response, err := http.Post("http://"+to.http+path, "application/json", bytes.NewReader(data))
	if err != nil {
		s.t.Fatal(err)
	}
	response.Body.Close()
}

func (s *system) platformFaults(faults standin.PlatformFaults) {
	s.post(s.platform, "/control", faults)
}

func get[T any](t testing.TB, from *process, path string) (T, error) {
	t.Helper()
	var value T
	response, err := http.Get("http://" + from.http + path)
	if err != nil {
		return value, err
	}
	defer response.Body.Close()
	return value, json.NewDecoder(response.Body).Decode(&value)
}

// eventually waits until the condition holds.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(patience)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("did not happen: %s", what)
		}
		time.Sleep(lookEvery)
	}
}

// live returns the instances that still run.
func (s *system) live() []*process {
	var live []*process
	for _, p := range s.instances {
		select {
		case <-p.ended:
		default:
			live = append(live, p)
		}
	}
	return live
}

func (s *system) waitReady() {
	s.t.Helper()
	for _, p := range s.live() {
		s.waitFor(p)
	}
}

func (s *system) waitFor(p *process) {
	s.t.Helper()
	eventually(s.t, p.name+" is ready", func() bool {
		status, err := get[service.Status](s.t, p, "/v1/status")
		return err == nil && status.Ready && status.Term > 0 && status.LogAvailable
	})
}

func (s *system) propose(base int64, text string) {
	s.t.Helper()
	at := s.live()[0]
	data, _ := json.Marshal(service.Document{Version: base, Text: text})
	response, err := http.Post("http://"+at.http+"/v1/targets", "application/json", bytes.NewReader(data))
	if err != nil {
		s.t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(response.Body)
		s.t.Fatalf("targets refused: %s", body)
	}
	for _, p := range s.live() {
		eventually(s.t, "targets reach "+p.name, func() bool {
			status, err := get[service.Status](s.t, p, "/v1/status")
			return err == nil && status.TargetsVersion == base+1
		})
	}
}

// answer is what a caller saw.
type answer struct {
	status  int
	outcome structs.Outcome
	reason  structs.Reason
	retry   string
	body    string
	err     error
}

func (s *system) request(at *process, class, key, body string) answer {
	request, err := http.NewRequest(http.MethodPost, "http://"+at.http+"/v1/requests/"+class, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	request.Header.Set(fronthttp.HeaderWorkspace, "a")
	request.Header.Set(fronthttp.HeaderKey, key)
	response, err := (&http.Client{Timeout: patience}).Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, outcome: structs.Outcome(response.Header.Get(fronthttp.HeaderOutcome)),
		reason: structs.Reason(response.Header.Get(fronthttp.HeaderReason)), retry: response.Header.Get("Retry-After"), body: string(text), err: err}
}

func (s *system) submit(at *process, job service.JobRequest) (fronthttp.ReplyBody, int) {
	s.t.Helper()
	data, _ := json.Marshal(job)
	response, err := http.Post("http://"+at.http+"/v1/jobs", "application/json", bytes.NewReader(data))
	if err != nil {
		s.t.Fatal(err)
	}
	defer response.Body.Close()
	var body fronthttp.ReplyBody
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		s.t.Fatal(err)
	}
	return body, response.StatusCode
}

func (s *system) job(at *process, id string) service.JobState {
	state, _ := get[service.JobState](s.t, at, "/v1/jobs/"+id)
	return state
}

// executions sums over the runners how often each key was executed.
func (s *system) executions() map[string]int {
	total := map[string]int{}
	for _, p := range s.runners {
		counts, err := get[map[string]int](s.t, p, "/executions")
		if err != nil {
			continue
		}
		for key, count := range counts {
			total[key] += count
		}
	}
	return total
}

// history collects the intervals of every worker, by run.
func (s *system) history() map[string][]standin.Interval {
	runs := map[string][]standin.Interval{}
	for _, p := range s.workers {
		list, err := get[[]standin.Interval](s.t, p, "/history")
		if err != nil {
			continue
		}
		for _, interval := range list {
			runs[interval.Run] = append(runs[interval.Run], interval)
		}
	}
	return runs
}

// proposeStatus proposes targets and returns the HTTP status.
func (s *system) proposeStatus(at *process, document service.Document) int {
	data, err := json.Marshal(document)
	if err != nil {
		return 0
	}
	response, err := http.Post("http://"+at.http+"/v1/targets", "application/json", bytes.NewReader(data))
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// printTimeline shows what an instance did.
func (p *process) printTimeline() {
	body, err := get[fronthttp.EventsBody](p.t, p, "/v1/timeline")
	if err != nil {
		return
	}
	for _, event := range body.Events {
		p.t.Logf("%+v", event)
	}
}
