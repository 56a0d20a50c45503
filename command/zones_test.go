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

// Evacuates the only availability zone of a system. Checks that a gang waits, and runs
// after the zone is returned to service.
func TestZoneIsEvacuatedAndReturned(t *testing.T) {
	is := is.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	sys, err := startDevSystem(log)
	is.NoErr(err)
	defer sys.stop()
	ctx, cancel := context.WithTimeout(context.Background(), devReadyTimeout)
	defer cancel()
	is.NoErr(sys.waitReady(ctx))
	is.NoErr(sys.proposeDevTargets(ctx))
	address := sys.instances[0].HTTPAddress()
	code, _, errs := run("zones", "evacuate", "-addr", address, "lowell-hall")
	is.Equal(code, ExitOK) // errs
	is.Equal(errs, "")
	_, out, _ := run("zones", "list", "-addr", address)
	is.True(strings.Contains(out, "zone=lowell-hall evacuated=true"))
	for _, inst := range sys.instances {
		for inst.Status().TargetsVersion < sys.instances[0].Status().TargetsVersion {
			is.NoErr(ctx.Err())
		}
	}
	reply := sys.instances[1].SubmitJob(ctx, service.JobRequest{Workspace: "manchester", Class: "impeller-wear", Key: "wear",
		Shape: structs.Shape{Members: 1, Accelerators: 1, Adjacent: true}, Payload: standin.PayloadRunMS + "50"})
	is.Equal(reply.Outcome, structs.OutcomeAccepted)
	phase := func() string { return string(sys.instances[2].Job(reply.ID).Phase) }
	for sys.instances[2].Job(reply.ID) == nil {
		is.NoErr(ctx.Err())
	}
	queued := phase()
	code, _, _ = run("zones", "return", "-addr", address, "lowell-hall")
	is.Equal(code, ExitOK)
	_, out, _ = run("zones", "list", "-addr", address)
	is.Equal(out, "")
	for phase() == queued {
		is.NoErr(ctx.Err())
	}
	job := sys.instances[2].Job(reply.ID)
	for ; job.Outcome != structs.OutcomeRan; job = sys.instances[2].Job(reply.ID) {
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
