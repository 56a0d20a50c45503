// Package platformhttp is the adapter of the product's own interface for the platform's log service and instance list,
// with JSON over HTTP.
package platformhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/teaselcleat/teaselcleat/kernel"
	"github.com/teaselcleat/teaselcleat/logstream"
	"github.com/teaselcleat/teaselcleat/membership"
)

const (
	dialTimeout    = time.Second
	maxAnswerBytes = 128 << 20
)

// AppendRequest is the body of POST /streams/NAME.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendReply is the answer to an append. First is the offset of the first record.
type AppendReply struct {
	First int64 `json:"first"`
}

// ReadReply is the answer to GET /streams/NAME?from=N&wait_ms=N. With status 410 only
// First is set: the offset of the oldest retained record.
type ReadReply struct {
	First   int64    `json:"first"`
	Records [][]byte `json:"records"`
	End     int64    `json:"end"`
}

func init() {
	kernel.Register(kernel.PointLog, "http", func(env *kernel.Env) (logstream.Log, error) {
		return New(env.Settings.PlatformAddress), nil
	})
	kernel.Register(kernel.PointInstanceList, "http", func(env *kernel.Env) (membership.InstanceList, error) {
		return New(env.Settings.PlatformAddress), nil
	})
}

// Client accesses the log and the instance list of a platform.
type Client struct {
	base string
	http *http.Client

	mu       sync.Mutex
	listETag string // entity tag of list
	list     []membership.Member
}

// New returns a client of the platform at a base URL.
func New(base string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 8}
	return &Client{base: base, http: &http.Client{Transport: transport}}
}

// Append implements logstream.Log.
func (c *Client) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	var reply AppendReply
	status, err := c.call(ctx, http.MethodPost, "/streams/"+stream, AppendRequest{Records: records}, &reply)
	if err != nil {
		return 0, err
	}
	if status != http.StatusOK {
		return 0, logstream.ErrUnavailable
	}
	return reply.First, nil
}

// Read implements logstream.Log.
func (c *Client) Read(ctx context.Context, stream string, from int64, wait time.Duration) (logstream.Batch, error) {
	var reply ReadReply
	path := fmt.Sprintf("/streams/%s?from=%d&wait_ms=%d", stream, from, wait.Milliseconds())
	status, err := c.call(ctx, http.MethodGet, path, nil, &reply)
	if err != nil {
		return logstream.Batch{}, err
	}
	if status == http.StatusGone {
		return logstream.Batch{}, &logstream.RetentionError{First: reply.First}
	}
	if status != http.StatusOK {
		return logstream.Batch{}, logstream.ErrUnavailable
	}
	return logstream.Batch{First: reply.First, Records: reply.Records, End: reply.End}, nil
}

// List implements membership.InstanceList. The platform sends the list only if it has
// changed.
func (c *Client) List(ctx context.Context) ([]membership.Member, error) {
	c.mu.Lock()
	etag := c.listETag
	c.mu.Unlock()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/instances", nil)
	if err != nil {
		return nil, eris.Wrap(err, "platform request")
	}
	if etag != "" {
		request.Header.Set("If-None-Match", etag)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, logstream.ErrUnavailable
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, logstream.ErrUnavailable
	}
	return c.updateList(response, data)
}

// updateList stores and returns the list of an answer; status 304 means that the stored
// one is current.
func (c *Client) updateList(response *http.Response, data []byte) ([]membership.Member, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if response.StatusCode == http.StatusNotModified {
		return c.list, nil
	}
	var list []membership.Member
	if response.StatusCode != http.StatusOK || json.Unmarshal(data, &list) != nil {
		return nil, logstream.ErrUnavailable
	}
	c.list = list
	c.listETag = response.Header.Get("ETag")
	return list, nil
}

// Announce implements membership.InstanceList.
func (c *Client) Announce(ctx context.Context, self membership.Member) error {
	status, err := c.call(ctx, http.MethodPost, "/instances", self, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return logstream.ErrUnavailable
	}
	return nil
}

// call sends a request and returns the status. It decodes the bodies of answers with
// status 200 and 410 into reply. An answer that cannot be read or decoded is
// ErrUnavailable.
func (c *Client) call(ctx context.Context, method, path string, requestBody, reply any) (int, error) {
	var body io.Reader
	if requestBody != nil {
		data, err := json.Marshal(requestBody)
		if err != nil {
			return 0, eris.Wrap(err, "platform message encoding")
		}
		body = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return 0, eris.Wrap(err, "platform request")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, logstream.ErrUnavailable
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return 0, logstream.ErrUnavailable
	}
	hasBody := response.StatusCode == http.StatusOK || response.StatusCode == http.StatusGone
	if reply == nil || !hasBody {
		return response.StatusCode, nil
	}
	if err := json.Unmarshal(data, reply); err != nil {
		return 0, logstream.ErrUnavailable
	}
	return response.StatusCode, nil
}
