// Package runnerhttp is the adapter that sends requests to runners over HTTP/1.1.
//
// A request is POST /run/CLASS with the headers below. The runner echoes the ID of the
// attempt. A refusal is status 503 with X-Not-Started set to busy or leaving; any other
// complete answer is relayed to the caller.
package runnerhttp

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/teaselcleat/teaselcleat/balancer"
	"github.com/teaselcleat/teaselcleat/kernel"
	"github.com/teaselcleat/teaselcleat/requests"
	"github.com/teaselcleat/teaselcleat/structs"
	"github.com/teaselcleat/teaselcleat/upstream"
)

// Headers between instances and runners. The header of the request key is not the
// standard one, because net/http retries requests with a standard idempotency header.
const (
	HeaderAttempt    = "X-Attempt-Id"
	HeaderKey        = "X-Request-Key"
	HeaderWorkspace  = "X-Workspace"
	HeaderBusy       = "X-Slots-Busy"
	HeaderNotStarted = "X-Not-Started"
)

// Values of HeaderNotStarted.
const (
	NotStartedBusy    = "busy"
	NotStartedLeaving = "leaving"
)

// Connection limits.
const (
	maxConnections    = 8 // per runner and instance; seven instances stay within the runner's limit of 64
	dialTimeout       = time.Second
	idleTimeout       = 10 * time.Second
	refusedRetryAfter = time.Second
)

func init() {
	kernel.Register(kernel.PointRunner, "http", func(*kernel.Env) (upstream.Runner, error) { return New(), nil })
}

// Client sends attempts over pooled connections.
type Client struct {
	transport *http.Transport
}

// New returns a client without open connections.
func New() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     maxConnections,
		MaxIdleConnsPerHost: maxConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
}

// Send implements upstream.Runner. The transport closes the connection of an attempt whose
// context ends or whose body is not read completely.
func (c *Client) Send(ctx context.Context, attempt upstream.Attempt) upstream.Result {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost,
		"http://"+attempt.Address+"/run/"+attempt.Class, bytes.NewReader(attempt.Body))
	if err != nil {
		return failedResult(requests.AttemptNotSent, structs.ReasonNoUpstream, balancer.ResultFailed)
	}
	request.Header.Set(HeaderAttempt, attempt.ID)
	request.Header.Set(HeaderKey, attempt.Key)
	request.Header.Set(HeaderWorkspace, attempt.Workspace)
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return sendErrorResult(ctx, connected.Load())
	}
	defer response.Body.Close()
	return readResult(ctx, attempt, response)
}

// sendErrorResult classifies an attempt without an answer. Only without a connection is it
// certain that nothing was sent.
func sendErrorResult(ctx context.Context, connected bool) upstream.Result {
	load := balancer.ResultFailed
	if ctx.Err() != nil {
		load = balancer.ResultAbandoned
	}
	if !connected {
		return failedResult(requests.AttemptNotSent, structs.ReasonNoUpstream, load)
	}
	return failedResult(requests.AttemptInterrupted, structs.ReasonUpstreamFailed, load)
}

func failedResult(kind requests.AttemptKind, reason structs.Reason, load balancer.Result) upstream.Result {
	return upstream.Result{Ended: requests.AttemptEnded{Kind: kind, Reason: reason}, Load: load, Busy: -1}
}

// readResult reads the answer. An attempt with an incomplete answer counts as
// interrupted.
func readResult(ctx context.Context, attempt upstream.Attempt, response *http.Response) upstream.Result {
	if response.Header.Get(HeaderAttempt) != attempt.ID {
		return failedResult(requests.AttemptInterrupted, structs.ReasonAnswerMismatched, balancer.ResultFailed)
	}
	body, reason := readBody(response, attempt.MaxAnswerBytes)
	if reason != structs.ReasonNone {
		load := balancer.ResultFailed
		if ctx.Err() != nil {
			load = balancer.ResultAbandoned
		}
		return failedResult(requests.AttemptInterrupted, reason, load)
	}
	busy := busySlots(response)
	if refusal := response.Header.Get(HeaderNotStarted); response.StatusCode == http.StatusServiceUnavailable && refusal != "" {
		load := balancer.ResultBusy
		if refusal == NotStartedLeaving {
			load = balancer.ResultLeaving
		}
		return upstream.Result{Load: load, Busy: busy, Ended: requests.AttemptEnded{
			Kind: requests.AttemptRefused, Reason: structs.ReasonUpstreamRefused, RetryAfter: refusedRetryAfter}}
	}
	return upstream.Result{Load: balancer.ResultAnswered, Busy: busy, Ended: requests.AttemptEnded{
		Kind: requests.AttemptAnswered, Status: response.StatusCode, Answer: body}}
}

// readBody returns the body if its end is certain: the stated length was reached, or the
// final chunk was read. A body that is delimited by the end of the connection is treated
// as truncated.
func readBody(response *http.Response, limit int64) ([]byte, structs.Reason) {
	chunked := len(response.TransferEncoding) > 0 && response.TransferEncoding[0] == "chunked"
	if response.ContentLength < 0 && !chunked {
		return nil, structs.ReasonAnswerTruncated
	}
	if response.ContentLength > limit {
		return nil, structs.ReasonAnswerTooLarge
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, structs.ReasonAnswerTruncated
	}
	if int64(len(body)) > limit {
		return nil, structs.ReasonAnswerTooLarge
	}
	return body, structs.ReasonNone
}

// busySlots returns the number of busy slots of the runner, or -1 if it reports none.
func busySlots(response *http.Response) int {
	busy, err := strconv.Atoi(response.Header.Get(HeaderBusy))
	if err != nil || busy < 0 {
		return -1
	}
	return busy
}
