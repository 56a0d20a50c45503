package runnerhttp_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/adapters/runnerhttp"
	"github.com/teaselcleat/teaselcleat/requests"
	"github.com/teaselcleat/teaselcleat/standin"
	"github.com/teaselcleat/teaselcleat/structs"
	"github.com/teaselcleat/teaselcleat/upstream"
)

func newAttempt(address string) upstream.Attempt {
	return upstream.Attempt{ID: "a1", Address: strings.TrimPrefix(address, "http://"), Class: "surge", Workspace: "w", Key: "k",
		Body: []byte("station 12"), MaxAnswerBytes: 1024}
}

// Checks the result of an attempt for each fault of a runner.
func TestResultsAreTruthful(t *testing.T) {
	for _, c := range []struct {
		name     string
		faults   standin.RunnerFaults
		kind     requests.AttemptKind
		reason   structs.Reason
		executed int
	}{
		{"healthy", standin.RunnerFaults{}, requests.AttemptAnswered, structs.ReasonNone, 1},
		{"leaving", standin.RunnerFaults{Leaving: true}, requests.AttemptRefused, structs.ReasonUpstreamRefused, 0},
		{"reset before executing", standin.RunnerFaults{ResetBefore: true}, requests.AttemptInterrupted, structs.ReasonUpstreamFailed, 0},
		{"reset after executing", standin.RunnerFaults{ResetAfter: true}, requests.AttemptInterrupted, structs.ReasonUpstreamFailed, 1},
		{"truncated", standin.RunnerFaults{Truncate: true}, requests.AttemptInterrupted, structs.ReasonAnswerTruncated, 1},
		{"no stated end", standin.RunnerFaults{Endless: true}, requests.AttemptInterrupted, structs.ReasonAnswerTruncated, 1},
		{"answer of another attempt", standin.RunnerFaults{OtherAttempt: true}, requests.AttemptInterrupted, structs.ReasonAnswerMismatched, 1},
		{"over the size limit", standin.RunnerFaults{AnswerBytes: 4096}, requests.AttemptInterrupted, structs.ReasonAnswerTooLarge, 1},
		{"complete error answer", standin.RunnerFaults{Status: 500}, requests.AttemptAnswered, structs.ReasonNone, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			runner := standin.NewRunner("r")
			runner.SetFaults(c.faults)
			server := httptest.NewServer(runner)
			defer server.Close()
			result := runnerhttp.New().Send(context.Background(), newAttempt(server.URL))
			is.Equal(result.Ended.Kind, c.kind)
			is.Equal(result.Ended.Reason, c.reason)
			is.Equal(runner.Executions()["k"], c.executed)
		})
	}
}

func TestNotSentWithoutAConnection(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	result := runnerhttp.New().Send(context.Background(), newAttempt(server.URL))
	is.Equal(result.Ended.Kind, requests.AttemptNotSent)
}

// Checks that the connection of an abandoned attempt is closed; otherwise its late answer
// could be taken for that of a later attempt.
func TestTheConnectionOfAnAbandonedAttemptIsNotReused(t *testing.T) {
	is := is.New(t)
	runner := standin.NewRunner("r")
	runner.SetFaults(standin.RunnerFaults{Work: 300 * time.Millisecond})
	connections := 0
	server := httptest.NewUnstartedServer(runner)
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections++
		}
	}
	server.Start()
	defer server.Close()
	client := runnerhttp.New()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan upstream.Result)
	go func() { done <- client.Send(ctx, newAttempt(server.URL)) }()
	for len(runner.Executions()) == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	is.Equal((<-done).Ended.Kind, requests.AttemptInterrupted)
	runner.SetFaults(standin.RunnerFaults{})
	next := newAttempt(server.URL)
	next.ID = "a2"
	is.Equal(client.Send(context.Background(), next).Ended.Kind, requests.AttemptAnswered)
	is.Equal(connections, 2)
}
