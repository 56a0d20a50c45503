// Package upstream defines the interface to runners, the back ends that answer short
// requests; "upstream" in reasons and texts means a runner. Workers, which run the tasks
// of gangs, have the interface in package worker. Adapters implement it.
package upstream

import (
	"context"

	"github.com/teaselcleat/teaselcleat/balancer"
	"github.com/teaselcleat/teaselcleat/requests"
)

// Attempt is one attempt to execute a request at one runner.
type Attempt struct {
	ID             string // unique; the runner echoes it with its answer
	Address        string // IP:PORT
	Class          string
	Workspace      string
	Key            string
	Body           []byte
	MaxAnswerBytes int64
}

// Result is the result of an attempt: Ended for the state machine of the request,
// Load for the balancer. Busy is the runner's own count of slots in use, or -1.
type Result struct {
	Ended requests.AttemptEnded
	Load  balancer.Result
	Busy  int
}

// Runner sends attempts. It is safe for concurrent use.
type Runner interface {
	// Send returns when the complete answer has arrived or ctx has ended. It reports
	// an attempt as not sent only if no byte of it can have reached the runner, and
	// never reuses the connection of an attempt that did not complete.
	Send(ctx context.Context, attempt Attempt) Result
}
