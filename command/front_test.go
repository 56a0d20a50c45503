package command

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against calls that are cut although the grace period is not over: with a short one the wait for
// them had an expired context.
func TestEveryGracePeriodLeavesTimeForCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grace := time.Duration(rapid.Int64Range(int64(10*time.Millisecond), int64(time.Minute)).Draw(t, "grace"))
		times := planShutdown(grace)
		if times.accept <= 0 || times.endCalls <= 0 || times.finish <= times.endCalls || times.accept+times.finish >= grace {
			t.Fatalf("%s: %+v", grace, times)
		}
	})
	is := is.New(t)
	is.Equal(planShutdown(6*time.Second), shutdownTimes{accept: loadBalancerRemovalDelay, finish: 2300 * time.Millisecond, endCalls: 2100 * time.Millisecond})
	is.Equal(planShutdown(1400*time.Millisecond).finish, 350*time.Millisecond)
}

// Guards against a cut connection when a call, as while the store is away, takes longer than the process
// may still live: the call is ended and answered in full.
func TestCallThatOutlivesTheGracePeriodIsAnswered(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	callsContext, endCalls := context.WithCancel(context.Background())
	arrived := make(chan struct{})
	server := &http.Server{
		BaseContext: func(net.Listener) context.Context { return callsContext },
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			close(arrived)
			<-r.Context().Done()
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, "refused")
		}),
	}
	go func() { _ = server.Serve(listener) }()
	answered := make(chan string, 1)
	go func() {
		response, err := http.Get("http://" + listener.Addr().String())
		if err != nil {
			answered <- err.Error()
			return
		}
		defer response.Body.Close()
		body, _ := io.ReadAll(response.Body)
		answered <- string(body)
	}()
	<-arrived
	is.NoErr(finishCalls(server, endCalls, planShutdown(1400*time.Millisecond)))
	is.Equal(<-answered, "refused")
}
