// Package workerhttp is the adapter that sends orders to workers, with JSON over HTTP.
package workerhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/teaselcleat/teaselcleat/kernel"
	"github.com/teaselcleat/teaselcleat/worker"
)

// Paths of a worker's API. All calls are POST.
const (
	PathReserve = "/lease/reserve"
	PathRenew   = "/lease/renew"
	PathRelease = "/lease/release"
	PathStart   = "/task/start"
	PathStop    = "/task/stop"
)

// Refusal is the body of a worker's 409 answer.
type Refusal struct {
	Reason string `json:"reason"`
}

// Reasons in a Refusal.
const (
	RefusalStaleTerm  = "stale_term"
	RefusalNoCapacity = "no_room"
	RefusalNoLease    = "no_lease"
)

const (
	dialTimeout    = time.Second
	maxAnswerBytes = 4 << 20
)

func init() {
	kernel.Register(kernel.PointWorker, "http", func(*kernel.Env) (worker.Client, error) { return New(), nil })
}

// Client calls workers over pooled connections.
type Client struct {
	http *http.Client
}

// New returns a client without open connections.
func New() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{http: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 4}}}
}

// Reserve implements worker.Client.
func (c *Client) Reserve(ctx context.Context, address string, reserve worker.ReserveRequest) error {
	return c.call(ctx, address, PathReserve, reserve, nil)
}

// Start implements worker.Client.
func (c *Client) Start(ctx context.Context, address string, order worker.Order) error {
	return c.call(ctx, address, PathStart, order, nil)
}

// Stop implements worker.Client.
func (c *Client) Stop(ctx context.Context, address string, order worker.Order) error {
	return c.call(ctx, address, PathStop, order, nil)
}

// Release implements worker.Client.
func (c *Client) Release(ctx context.Context, address string, order worker.Order) error {
	return c.call(ctx, address, PathRelease, order, nil)
}

// Renew implements worker.Client.
func (c *Client) Renew(ctx context.Context, address string, renew worker.RenewRequest) (worker.State, error) {
	var state worker.State
	err := c.call(ctx, address, PathRenew, renew, &state)
	return state, err
}

// call sends a request and decodes the answer into reply unless that is nil. A refusal by
// the worker becomes one of the errors of package worker.
func (c *Client) call(ctx context.Context, address, path string, requestBody, reply any) error {
	body, err := json.Marshal(requestBody)
	if err != nil {
		return eris.Wrap(err, "worker message encoding")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "worker request")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return eris.Wrap(err, "worker call")
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return eris.Wrap(err, "worker answer")
	}
	if response.StatusCode == http.StatusConflict {
		return decodeRefusal(data)
	}
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("worker answered status %d", response.StatusCode)
	}
	if reply == nil {
		return nil
	}
	return eris.Wrap(json.Unmarshal(data, reply), "worker answer decoding")
}

// decodeRefusal converts the body of a 409 answer to an error.
func decodeRefusal(data []byte) error {
	var refusal Refusal
	if err := json.Unmarshal(data, &refusal); err != nil {
		return eris.Wrap(err, "worker refusal decoding")
	}
	switch refusal.Reason {
	case RefusalStaleTerm:
		return worker.ErrStaleTerm
	case RefusalNoCapacity:
		return worker.ErrNoCapacity
	case RefusalNoLease:
		return worker.ErrNoLease
	}
	return eris.Errorf("worker refused: %s", refusal.Reason)
}
