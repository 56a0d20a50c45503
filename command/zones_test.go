package command

import (
	"context"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/teaselcleat/teaselcleat/service"
	"github.com/teaselcleat/teaselcleat/standin"
	"github.com/teaselcleat/teaselcleat/structs"
)

// An operator evacuates the only availability zone of a system: a gang waits, and runs once
// the zone is taken back.
func TestZonesAreEvacuatedAndTakenBack(t *testing.T) {
	is := is.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	running, err := startSystem(log)
	is.NoErr(err)
	defer running.stop()
	ctx, cancel := context.WithTimeout(context.Background(), devReadyWithin)
	defer cancel()
	is.NoErr(running.waitReady(ctx))
	is.NoErr(running.proposeDevTargets(ctx))
	address := running.instances[0].HTTPAddress()
	code, _, errs := run("zones", "evacuate", "-addr", address, "lowell-hall")
	is.Equal(code, ExitDone) // errs
	is.Equal(errs, "")
	_, out, _ := run("zones", "list", "-addr", address)
	is.True(strings.Contains(out, "zone=lowell-hall evacuated=true"))
	for _, instance := range running.instances {
		for instance.Status().TargetsVersion < running.instances[0].Status().TargetsVersion {
			is.NoErr(ctx.Err())
		}
	}
	reply := running.instances[1].SubmitJob(ctx, service.JobRequest{Workspace: "manchester", Class: "impeller-wear", Key: "wear",
		Shape: structs.Shape{Members: 1, Accelerators: 1, Adjacent: true}, Payload: standin.PayloadRunMS + "50"})
	is.Equal(reply.Outcome, structs.OutcomeAccepted)
	phase := func() string { return string(running.instances[2].Job(reply.ID).Phase) }
	for running.instances[2].Job(reply.ID) == nil {
		is.NoErr(ctx.Err())
	}
	queued := phase()
	code, _, _ = run("zones", "return", "-addr", address, "lowell-hall")
	is.Equal(code, ExitDone)
	_, out, _ = run("zones", "list", "-addr", address)
	is.Equal(out, "")
	for phase() == queued {
		is.NoErr(ctx.Err())
	}
	job := running.instances[2].Job(reply.ID)
	for ; job.Outcome != structs.OutcomeRan; job = running.instances[2].Job(reply.ID) {
		is.NoErr(ctx.Err())
	}
}

func TestZonesUsage(t *testing.T) {
	is := is.New(t)
	for _, args := range [][]string{{"zones"}, {"zones", "empty"}, {"zones", "evacuate", "-addr", "127.0.0.1:1"}, {"zones", "list", "-addr", "127.0.0.1:1", "z"}} {
		code, _, _ := run(args...)
		is.Equal(code, ExitUsage)
	}
	code, _, _ := run("zones", "list", "-addr", "127.0.0.1:1")
	is.Equal(code, ExitFailed)
}
