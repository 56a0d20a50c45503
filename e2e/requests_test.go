package e2e

import (
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/adapters/fronthttp"
	"github.com/teaselcleat/teaselcleat/ledger"
	"github.com/teaselcleat/teaselcleat/service"
	"github.com/teaselcleat/teaselcleat/structs"
)

var gang4x8 = structs.Shape{Members: 4, Accelerators: 8, Adjacent: true}

// Requests and gangs must succeed and stored answers must be returned at every instance, although
// an instance that serves none of them is killed.
func TestRequestsAndGangsEndDespiteKillOfIdleInstance(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, 3, 3, 8)
	leader := s.leader()
	others := slices.DeleteFunc(s.liveInstances(), func(p *process) bool { return p == leader })
	other, idle := others[0], others[1]
	for _, class := range []string{"surge", "flow"} {
		result := s.request(leader, class, "k-"+class, "station 12")
		is.NoErr(result.err)
		is.Equal(result.outcome, structs.OutcomeRan)
		is.Equal(result.body, "done:station 12")
	}
	reply, status := s.submit(leader, service.JobRequest{Workspace: "a", Class: "wear", Key: "w1", Shape: gang4x8, Payload: "run_ms=300"})
	is.Equal(status, http.StatusAccepted)
	survey, _ := s.submit(other, service.JobRequest{Workspace: "b", Class: "survey", Key: "s1", Shape: structs.Shape{Members: 2, Accelerators: 4}, Payload: "run_ms=300"})
	idle.kill()
	for _, id := range []string{reply.ID, survey.ID} {
		eventually(t, "job ends", func() bool { return s.jobState(other, id).Phase == ledger.JobEnded })
		is.Equal(s.jobState(leader, id).Outcome, structs.OutcomeRan)
	}
	eventually(t, "the answer is recorded", func() bool {
		state, err := getJSON[fronthttp.KeyBody](t, other, "/v1/keys/a/k-flow")
		return err == nil && state.Phase == ledger.KeyRan
	})
	replayed := s.request(other, "flow", "k-flow", "station 12")
	is.Equal(replayed.outcome, structs.OutcomeRan) // the stored answer, read at another instance
	is.Equal(replayed.body, "done:station 12")
	is.Equal(s.executions()["k-flow"], 1)
}

func TestMalformedInputIsRefusedWithAReason(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, 1, 1, 4)
	instance := s.instances[0]
	for _, c := range []struct {
		name, class, key, body string
		status                 int
		reason                 structs.Reason
	}{
		{"unknown class", "nothing", "k", "x", http.StatusNotFound, structs.ReasonUnknownClass},
		{"no key", "flow", "", "x", http.StatusBadRequest, structs.ReasonBadRequest},
		{"not UTF-8", "surge", "k", "\xff\xfe", http.StatusBadRequest, structs.ReasonBadRequest},
		{"too large", "surge", "k", strings.Repeat("x", 2<<20), http.StatusRequestEntityTooLarge, structs.ReasonTooLarge},
	} {
		result := s.request(instance, c.class, c.key, c.body)
		is.NoErr(result.err)
		is.Equal(result.status, c.status)               // status
		is.Equal(result.reason, c.reason)               // reason
		is.Equal(result.outcome, structs.OutcomeNotRun) // nothing ran
	}
	_, status := s.submit(instance, service.JobRequest{Workspace: "a", Class: "wear", Key: "w", Shape: structs.Shape{Members: 5, Accelerators: 8, Adjacent: true}})
	is.Equal(status, http.StatusUnprocessableEntity) // a rack of four cannot hold five members
	is.Equal(len(s.executions()), 0)
}
