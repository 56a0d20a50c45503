// Package upstream owns the interface to runners, the back ends that execute
// requests. Adapters implement it.
package upstream

import (
	"context"

	"github.com/teaselcleat/teaselcleat/balancer"
	"github.com/teaselcleat/teaselcleat/requests"
)

// Attempt is one try of one request at one runner.
type Attempt struct {
	ID        string // unique; the runner echoes it with its answer
	Address   string // IP:PORT
	Class     string
	Workspace string
	Key       string
	Body      []byte
	MaxAnswer int64 // bytes
}

// Result is how an attempt ended: Ended for the request, Load for the choice of
// runners. Busy is the runner's own count of slots in use, or -1.
type Result struct {
	Ended requests.AttemptEnded
	Load  balancer.Result
	Busy  int
}

// Runner sends attempts. It is safe for concurrent use.
type Runner interface {
	// Send returns when the whole answer arrived or ctx ended. It never reports
	// an attempt as not sent unless no byte of it can have reached the runner,
	// and never reuses the connection of an attempt that did not end whole.
	Send(ctx context.Context, attempt Attempt) Result
}
