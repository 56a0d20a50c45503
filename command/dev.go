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

// Size and timeouts of the embedded system.
const (
	devInstances             = 3
	devRunners               = 4
	devWorkers               = 8
	devAccelerators          = 8
	devWorkersPerRack        = 4
	devReadyTimeout          = 20 * time.Second
	devGangTimeout           = 20 * time.Second
	devAcceleratorsPerMember = 8
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

// devSystem runs the whole system in one process: stand-ins of the external systems and
// instances.
type devSystem struct {
	platform  *standin.Platform
	address   string // of the platform
	runners   []*standin.Runner
	instances []*instance.Instance
	servers   []*http.Server
}

// startServer serves handler on a free loopback port and returns its address.
func startServer(handler http.Handler) (string, *http.Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, eris.Wrap(err, "stand-in listener")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }() // runs until the server is closed
	return listener.Addr().String(), server, nil
}

func (s *devSystem) listenAndServe(handler http.Handler) (string, error) {
	address, server, err := startServer(handler)
	if err == nil {
		s.servers = append(s.servers, server)
	}
	return address, err
}

func startDevSystem(log *logrus.Logger) (*devSystem, error) {
	s := &devSystem{platform: standin.NewPlatform()}
	var err error
	if s.address, err = s.listenAndServe(s.platform); err != nil {
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

func (s *devSystem) startRunners() error {
	for n := range devRunners {
		name := "runner-" + strconv.Itoa(n)
		runner := standin.NewRunner(name)
		address, err := s.listenAndServe(runner)
		if err != nil {
			return err
		}
		s.runners = append(s.runners, runner)
		s.platform.AddFixed(membership.Member{ID: name, Role: membership.RoleRunner, Boot: 1, Address: address, Slots: standin.RunnerSlots})
	}
	return nil
}

func (s *devSystem) startWorkers() error {
	for n := range devWorkers {
		address, err := s.listenAndServe(standin.NewWorker(devAccelerators))
		if err != nil {
			return err
		}
		rack := "rack-" + strconv.Itoa(n/devWorkersPerRack)
		s.platform.AddFixed(membership.Member{ID: "worker-" + strconv.Itoa(n), Role: membership.RoleWorker, Boot: 1, Address: address,
			Rack: rack, AvailabilityZone: "lowell-hall", Accelerators: devAccelerators})
	}
	return nil
}

func (s *devSystem) startInstance(n int, log *logrus.Logger) error {
	text := fmt.Sprintf("[instance]\nname = entry-%d\nregion = new-england\navailability_zone = lowell-hall\n"+
		"http = 127.0.0.1:0\npeer = 127.0.0.1:0\n[platform]\naddress = http://%s\n[timing]\nlease_ttl = 2s\nterm_timeout = 1s\n", n, s.address)
	loaded, err := settings.Parse("embedded settings", []byte(text))
	if err != nil {
		return err
	}
	inst, err := instance.New(loaded, log)
	if err != nil {
		return err
	}
	inst.Start()
	s.instances = append(s.instances, inst)
	return nil
}

func (s *devSystem) stop() {
	for _, inst := range s.instances {
		inst.Stop()
	}
	for _, server := range s.servers {
		server.Close()
	}
}

// waitReady waits until every instance is ready and has read a term of a leader.
func (s *devSystem) waitReady(ctx context.Context) error {
	for {
		ready := 0
		for _, inst := range s.instances {
			if status := inst.Status(); status.Ready && status.Term > 0 {
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

// proposeDevTargets applies the embedded targets and waits until every instance has them.
func (s *devSystem) proposeDevTargets(ctx context.Context) error {
	reply, version := s.instances[0].ProposeTargets(ctx, service.TargetsDocument{Version: 0, Text: devTargets})
	if reply.Outcome != structs.OutcomeAccepted {
		return eris.Errorf("targets were not accepted: %s %s", reply.Reason, reply.Detail)
	}
	for _, inst := range s.instances {
		for inst.Status().TargetsVersion < version {
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
	demo := flags.Bool("demo", false, "serve one request of each class and one gang, print the timeline and exit")
	verbose := flags.Bool("verbose", false, "log events of the instances")
	if code, ok := parse(flags, args, 0, 0, to); !ok {
		return code
	}
	log := newLog(to, false)
	if !*verbose {
		log.SetLevel(logrus.WarnLevel)
	}
	sys, err := startDevSystem(log)
	if err != nil {
		return fail(to, "dev", err)
	}
	defer sys.stop()
	ctx, cancel := context.WithTimeout(context.Background(), devReadyTimeout)
	defer cancel()
	if err := sys.waitReady(ctx); err != nil {
		return fail(to, "dev", err)
	}
	if err := sys.proposeDevTargets(ctx); err != nil {
		return fail(to, "dev", err)
	}
	sys.print(to)
	if *demo {
		return sys.demo(to)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	return ExitOK
}

func (s *devSystem) print(to output) {
	fmt.Fprintf(to.out, "platform=%s\n", s.address)
	for n, inst := range s.instances {
		fmt.Fprintf(to.out, "instance=entry-%d http=%s\n", n, inst.HTTPAddress())
	}
}

// demo runs one request of each class at the first instance, submits a gang to the second
// and reads its state from the third.
func (s *devSystem) demo(to output) int {
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
	for _, inst := range s.instances {
		events, _ := inst.Events(timeline.Filter{})
		lists = append(lists, events)
	}
	printEvents(to, timeline.Merge(lists...))
	if job.Outcome != structs.OutcomeRan {
		return ExitFailed
	}
	return ExitOK
}

func (s *devSystem) demoGang(to output) (*service.JobState, error) {
	reply := s.instances[1].SubmitJob(context.Background(), service.JobRequest{Workspace: "manchester", Class: "impeller-wear",
		Key: "demo-wear", Shape: structs.Shape{Members: 4, Accelerators: devAcceleratorsPerMember, Adjacent: true}, Payload: standin.PayloadRunMS + "200"})
	if reply.Outcome != structs.OutcomeAccepted {
		return nil, eris.Errorf("gang was refused: %s %s", reply.Reason, reply.Detail)
	}
	fmt.Fprintf(to.out, "class=impeller-wear outcome=%s id=%s\n", reply.Outcome, reply.ID)
	deadline := time.Now().Add(devGangTimeout)
	for time.Now().Before(deadline) {
		if job := s.instances[2].Job(reply.ID); job != nil && job.Phase == ledger.JobEnded {
			return job, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil, eris.New("gang did not end in time")
}
