package command

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/teaselcleat/teaselcleat/instance"
	"github.com/teaselcleat/teaselcleat/ledger"
	"github.com/teaselcleat/teaselcleat/membership"
	"github.com/teaselcleat/teaselcleat/service"
	"github.com/teaselcleat/teaselcleat/settings"
	"github.com/teaselcleat/teaselcleat/standin"
	"github.com/teaselcleat/teaselcleat/structs"
	"github.com/teaselcleat/teaselcleat/timeline"
)

// Size of the embedded system.
const (
	devInstances       = 3
	devRunners         = 4
	devWorkers         = 8
	devAccelerators    = 8
	devWorkersPerRack  = 4
	devReadyWithin     = 20 * time.Second
	devGangWithin      = 20 * time.Second
	devAccelersPerGang = 8
)

const devTargets = `[class "impeller-wear"]
finish_within = 8h
idempotent = true

[class "surge-check"]
finish_within = 2s
idempotent = true

[class "flow-reconciliation"]
finish_within = 30s
idempotent = false

[workspace "manchester"]
guarantee = 4x8

[workspace "lawrence"]
guarantee = 2x8
`

// system is the whole system in one process: stand-ins and instances.
type system struct {
	platform  *standin.Platform
	address   string // of the platform
	runners   []*standin.Runner
	instances []*instance.Instance
	servers   []*http.Server
}

func serveOn(handler http.Handler) (string, *http.Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, eris.Wrap(err, "stand-in listener")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }() // ends with the process
	return listener.Addr().String(), server, nil
}

func (s *system) serve(handler http.Handler) (string, error) {
	address, server, err := serveOn(handler)
	if err == nil {
		s.servers = append(s.servers, server)
	}
	return address, err
}

func startSystem(log *logrus.Logger) (*system, error) {
	s := &system{platform: standin.NewPlatform()}
	var err error
	if s.address, err = s.serve(s.platform); err != nil {
		return nil, err
	}
	if err := s.startRunners(); err != nil {
		return nil, err
	}
	if err := s.startWorkers(); err != nil {
		return nil, err
	}
	for n := range devInstances {
		if err := s.startInstance(n, log); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *system) startRunners() error {
	for n := range devRunners {
		name := "runner-" + strconv.Itoa(n)
		runner := standin.NewRunner(name)
		address, err := s.serve(runner)
		if err != nil {
			return err
		}
		s.runners = append(s.runners, runner)
		s.platform.Fix(membership.Listed{ID: name, Role: membership.RoleRunner, Boot: 1, Address: address, Slots: standin.RunnerSlots})
	}
	return nil
}

func (s *system) startWorkers() error {
	for n := range devWorkers {
		address, err := s.serve(standin.NewWorker(devAccelerators))
		if err != nil {
			return err
		}
		rack := "rack-" + strconv.Itoa(n/devWorkersPerRack)
		s.platform.Fix(membership.Listed{ID: "worker-" + strconv.Itoa(n), Role: membership.RoleWorker, Boot: 1, Address: address,
			Rack: rack, AvailabilityZone: "lowell-hall", Accelerators: devAccelerators})
	}
	return nil
}

func (s *system) startInstance(n int, log *logrus.Logger) error {
	text := fmt.Sprintf("[instance]\nname = entry-%d\nregion = new-england\navailability_zone = lowell-hall\n"+
		"http = 127.0.0.1:0\npeer = 127.0.0.1:0\n[platform]\naddress = http://%s\n[timing]\nlease_ttl = 2s\nterm_timeout = 1s\n", n, s.address)
	loaded, err := settings.Parse("embedded settings", []byte(text))
	if err != nil {
		return err
	}
	built, err := instance.New(loaded, log)
	if err != nil {
		return err
	}
	built.Start()
	s.instances = append(s.instances, built)
	return nil
}

func (s *system) stop() {
	for _, running := range s.instances {
		running.Stop()
	}
	for _, server := range s.servers {
		server.Close()
	}
}

// waitReady waits until every instance is ready and one of them places.
func (s *system) waitReady(ctx context.Context) error {
	for {
		ready := 0
		for _, running := range s.instances {
			if status := running.Status(); status.Ready && status.Term > 0 {
				ready++
			}
		}
		if ready == len(s.instances) {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.New("instances did not become ready")
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// proposeDevTargets puts the embedded targets in force and waits until every
// instance has them.
func (s *system) proposeDevTargets(ctx context.Context) error {
	reply, version := s.instances[0].Propose(ctx, service.Document{Version: 0, Text: devTargets})
	if reply.Outcome != structs.OutcomeAccepted {
		return eris.Errorf("targets were not accepted: %s %s", reply.Reason, reply.Detail)
	}
	for _, running := range s.instances {
		for running.Status().TargetsVersion < version {
			if ctx.Err() != nil {
				return eris.New("targets did not reach every instance")
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return nil
}

func runDev(args []string, to output) int {
	flags := newFlags("dev", to)
	demo := flags.Bool("demo", false, "serve one request of each class and one gang, print the time line and exit")
	verbose := flags.Bool("verbose", false, "log events of the instances")
	if code, ok := parse(flags, args, 0, 0, to); !ok {
		return code
	}
	log := newLog(to, false)
	if !*verbose {
		log.SetLevel(logrus.WarnLevel)
	}
	running, err := startSystem(log)
	if err != nil {
		return fail(to, "dev", err)
	}
	defer running.stop()
	ctx, cancel := context.WithTimeout(context.Background(), devReadyWithin)
	defer cancel()
	if err := running.waitReady(ctx); err != nil {
		return fail(to, "dev", err)
	}
	if err := running.proposeDevTargets(ctx); err != nil {
		return fail(to, "dev", err)
	}
	running.print(to)
	if *demo {
		return running.demo(to)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	return ExitDone
}

func (s *system) print(to output) {
	fmt.Fprintf(to.out, "platform=%s\n", s.address)
	for n, running := range s.instances {
		fmt.Fprintf(to.out, "instance=entry-%d http=%s\n", n, running.HTTPAddress())
	}
}

// demo serves one request of each class at one instance and one gang submitted
// at another, and reads the gang back from a third.
func (s *system) demo(to output) int {
	for _, class := range []string{"surge-check", "flow-reconciliation"} {
		finish := s.instances[0].Request(context.Background(), service.Request{Workspace: "manchester", Class: class,
			Key: "demo-" + class, Body: []byte("station 12")})
		fmt.Fprintf(to.out, "class=%s outcome=%s answer=%s\n", class, finish.Outcome, strconv.Quote(string(finish.Answer)))
		if finish.Outcome != structs.OutcomeRan {
			return ExitFailed
		}
	}
	job, err := s.demoGang(to)
	if err != nil {
		return fail(to, "dev", err)
	}
	data, err := json.Marshal(job)
	if err != nil {
		return fail(to, "dev", err)
	}
	fmt.Fprintln(to.out, string(data))
	var lists [][]timeline.Event
	for _, running := range s.instances {
		events, _ := running.Events(timeline.Filter{})
		lists = append(lists, events)
	}
	printEvents(to, timeline.Merge(lists...))
	if job.Outcome != structs.OutcomeRan {
		return ExitFailed
	}
	return ExitDone
}

func (s *system) demoGang(to output) (*service.JobState, error) {
	reply := s.instances[1].SubmitJob(context.Background(), service.JobRequest{Workspace: "manchester", Class: "impeller-wear",
		Key: "demo-wear", Shape: structs.Shape{Members: 4, Accelerators: devAccelersPerGang, Adjacent: true}, Payload: standin.PayloadRunMS + "200"})
	if reply.Outcome != structs.OutcomeAccepted {
		return nil, eris.Errorf("gang was refused: %s %s", reply.Reason, reply.Detail)
	}
	fmt.Fprintf(to.out, "class=impeller-wear outcome=%s id=%s\n", reply.Outcome, reply.ID)
	deadline := time.Now().Add(devGangWithin)
	for time.Now().Before(deadline) {
		if job := s.instances[2].Job(reply.ID); job != nil && job.Phase == ledger.JobEnded {
			return job, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil, eris.New("gang did not end in time")
}
