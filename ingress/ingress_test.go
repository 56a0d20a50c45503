package ingress

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
)

const (
	testBody    = 64 << 10
	testTimeout = 10 * time.Second
)

var testTimeouts = Timeouts{Header: testTimeout, Body: testTimeout, Answer: testTimeout, Idle: testTimeout}

// testServer is a server with a gate.
type testServer struct {
	t       *testing.T
	gate    *Gate
	address string
}

// startServer starts a server that answers a body with its length, and "/wait" when proceed is
// closed.
func startServer(t *testing.T, limits Limits, timeouts Timeouts, proceed <-chan struct{}) *testServer {
	gate := NewGate("test", limits, metrics.NewRegistry())
	server := gate.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/refused" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		body, err := ReadBody(w, r, testBody)
		var tooLarge *http.MaxBytesError
		switch {
		case errors.As(err, &tooLarge):
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		case errors.Is(err, ErrNoMemory):
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case err != nil:
			w.WriteHeader(http.StatusRequestTimeout)
			return
		}
		switch r.URL.Path {
		case "/wait":
			select {
			case <-proceed:
			case <-r.Context().Done():
				return
			}
		case "/large":
			_, _ = w.Write(make([]byte, 16<<20))
			return
		}
		fmt.Fprint(w, len(body))
	}), timeouts, 16<<10)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(gate.Listen(listener)) }()
	t.Cleanup(func() { server.Close() })
	return &testServer{t: t, gate: gate, address: listener.Addr().String()}
}

// open opens a connection and sends text.
func (s *testServer) open(text string) net.Conn {
	s.t.Helper()
	c, err := net.Dial("tcp4", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { c.Close() })
	if _, err := io.WriteString(c, text); err != nil {
		s.t.Fatal(err)
	}
	return c
}

// status reads an answer and returns its status, or 0 if the connection ends without one.
func status(c net.Conn) int {
	_ = c.SetReadDeadline(time.Now().Add(testTimeout))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

func post(path string, length int, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, length, body)
}

func (s *testServer) waitFor(what string, condition func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			s.t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

func (s *testServer) held() int64      { return s.gate.heldBytes() }
func (s *testServer) connections() int { return s.gate.connections() }

func TestUnfinishedBodyMakesRoomForOthers(t *testing.T) {
	is := is.New(t)
	s := startServer(t, Limits{Connections: 100, Bytes: 4 * testBody}, testTimeouts, nil)
	var unfinished []net.Conn
	for count := range int64(2) {
		unfinished = append(unfinished, s.open(post("/", testBody, strings.Repeat("a", testBody-1))))
		s.waitFor("the body is held", func() bool { return s.held() > (count+1)*testBody })
	}
	is.Equal(status(s.open(post("/", testBody, strings.Repeat("a", testBody)))), http.StatusOK)
	is.Equal(status(unfinished[0]), http.StatusServiceUnavailable)
	is.Equal(s.gate.metrics.ended.Count(), int64(1))
}

func TestSmallRequestIsServedBesideLargeOnesInProgress(t *testing.T) {
	is := is.New(t)
	proceed := make(chan struct{})
	s := startServer(t, Limits{Connections: 100, Bytes: 4 * testBody}, testTimeouts, proceed)
	var served []net.Conn
	for count := range int64(2) {
		served = append(served, s.open(post("/wait", testBody, strings.Repeat("a", testBody))))
		s.waitFor("the body is held", func() bool { return s.held() > (count+1)*testBody })
	}
	is.Equal(status(s.open(post("/", testBody, strings.Repeat("a", testBody)))), http.StatusServiceUnavailable)
	is.Equal(status(s.open(post("/", 10, "0123456789"))), http.StatusOK)
	close(proceed)
	for _, c := range served {
		is.Equal(status(c), http.StatusOK)
	}
}

func TestHeldMemoryIsReleased(t *testing.T) {
	s := startServer(t, Limits{Connections: 100, Bytes: 8 * testBody}, testTimeouts, nil)
	chunked := "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"no body":       {"GET / HTTP/1.1\r\nHost: h\r\n\r\n", http.StatusOK},
		"largest":       {post("/", testBody, strings.Repeat("a", testBody)), http.StatusOK},
		"too large":     {post("/", testBody+1, strings.Repeat("a", testBody+1)), http.StatusRequestEntityTooLarge},
		"chunks":        {chunked + strings.Repeat("1\r\na\r\n", testBody) + "0\r\n\r\n", http.StatusOK},
		"faulty chunk":  {chunked + "x\r\n", http.StatusRequestTimeout},
		"faulty header": {"POST\r\n\r\n", http.StatusBadRequest},
		"large answer":  {post("/large", 0, ""), http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			connection := s.open(c.text)
			is.Equal(status(connection), c.status)
			s.waitFor("nothing is held", func() bool { return s.held() == 0 })
			connection.Close()
			s.waitFor("no connection", func() bool { return s.connections() == 0 })
		})
	}
}

func TestConnectionIsReusedAfterABody(t *testing.T) {
	is := is.New(t)
	s := startServer(t, Limits{Connections: 100, Bytes: 8 * testBody}, testTimeouts, nil)
	c := s.open("")
	for range 3 {
		_, err := io.WriteString(c, post("/", testBody, strings.Repeat("a", testBody)))
		is.NoErr(err)
		is.Equal(status(c), http.StatusOK)
	}
}

func TestLongestUnfinishedConnectionMakesRoomForOthers(t *testing.T) {
	is := is.New(t)
	proceed := make(chan struct{})
	s := startServer(t, Limits{Connections: 3, Bytes: 8 * testBody}, testTimeouts, proceed)
	served := s.open(post("/wait", 1, "a"))
	s.waitFor("the first call is served", func() bool { return s.held() > 0 })
	oldest := s.open("POST /")
	s.waitFor("two connections", func() bool { return s.connections() == 2 })
	time.Sleep(10 * time.Millisecond)
	s.open("POST /")
	s.waitFor("three connections", func() bool { return s.connections() == 3 })
	is.Equal(status(s.open(post("/", 1, "a"))), http.StatusOK)
	is.Equal(status(oldest), 0)
	close(proceed)
	is.Equal(status(served), http.StatusOK)
}

func TestNewConnectionIsClosedWhileAllAreServed(t *testing.T) {
	is := is.New(t)
	proceed := make(chan struct{})
	s := startServer(t, Limits{Connections: 1, Bytes: 8 * testBody}, testTimeouts, proceed)
	served := s.open(post("/wait", 1, "a"))
	s.waitFor("the first call is served", func() bool { return s.held() > 0 })
	newcomer := s.open("")
	is.Equal(status(newcomer), 0)
	close(proceed)
	is.Equal(status(served), http.StatusOK)
}

func TestRefusedRequestWithAnUnfinishedBodyMakesRoomForOthers(t *testing.T) {
	is := is.New(t)
	s := startServer(t, Limits{Connections: 1, Bytes: 8 * testBody}, testTimeouts, nil)
	refused := s.open(post("/refused", 10, "a"))
	s.waitFor("the request is refused", func() bool {
		s.gate.mu.Lock()
		defer s.gate.mu.Unlock()
		return s.gate.mostOccupying(connectionBytes, finishing) != nil
	})
	is.Equal(status(s.open(post("/", 1, "a"))), http.StatusOK)
	is.Equal(status(refused), 0)
}

func TestUnfinishedHeadersAreCharged(t *testing.T) {
	s := startServer(t, Limits{Connections: 100, Bytes: 8 * testBody}, testTimeouts, nil)
	var lines bytes.Buffer
	for line := range 1000 {
		fmt.Fprintf(&lines, "%x:\r\n", line)
	}
	for range 20 {
		s.open("GET / HTTP/1.1\r\nHost: h\r\n" + lines.String())
	}
	s.waitFor("requests are ended", func() bool { return s.gate.metrics.ended.Count() > 0 })
	is.New(t).True(s.held() <= 8*testBody)
}

func TestBodyTimeoutDoesNotEndACallThatIsServed(t *testing.T) {
	is := is.New(t)
	proceed := make(chan struct{})
	timeouts := testTimeouts
	timeouts.Body = 50 * time.Millisecond
	s := startServer(t, Limits{Connections: 100, Bytes: 8 * testBody}, timeouts, proceed)
	served := s.open(post("/wait", 1, "a"))
	is.Equal(status(s.open(post("/", 2, "a"))), http.StatusRequestTimeout)
	is.Equal(s.gate.metrics.timeouts.Count(), int64(1))
	time.AfterFunc(2*timeouts.Body, func() { close(proceed) })
	is.Equal(status(served), http.StatusOK)
}

func TestUnreadAnswerEnds(t *testing.T) {
	timeouts := testTimeouts
	timeouts.Answer = 50 * time.Millisecond
	s := startServer(t, Limits{Connections: 100, Bytes: 8 * testBody}, timeouts, nil)
	s.open(post("/large", 0, ""))
	s.waitFor("the answer is sent", func() bool { return s.connections() == 1 })
	s.waitFor("the connection is closed", func() bool { return s.connections() == 0 })
}

func TestUnreadAnswersMakeRoomForOthers(t *testing.T) {
	is := is.New(t)
	s := startServer(t, Limits{Connections: 100, Bytes: 17 << 20}, testTimeouts, nil)
	for range 3 {
		s.open(post("/large", 0, ""))
	}
	s.waitFor("answers are ended", func() bool { return s.gate.metrics.ended.Count() > 0 })
	is.Equal(status(s.open(post("/", 1, "a"))), http.StatusOK)
}

func TestContinueIsSentBeforeTheBody(t *testing.T) {
	is := is.New(t)
	s := startServer(t, Limits{Connections: 100, Bytes: 8 * testBody}, testTimeouts, nil)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.address+"/", strings.NewReader("abc"))
	is.NoErr(err)
	request.Header.Set("Expect", "100-continue")
	response, err := (&http.Client{Transport: &http.Transport{ExpectContinueTimeout: testTimeout}}).Do(request)
	is.NoErr(err)
	defer response.Body.Close()
	is.Equal(response.StatusCode, http.StatusOK)
}

func TestLimitsAreSharesOfTheProcess(t *testing.T) {
	is := is.New(t)
	is.Equal(LimitsFor(144<<20, 3075, 256<<10), Limits{Connections: 1152, Bytes: 18 << 20})
	is.Equal(LimitsFor(144<<20, 500, 256<<10).Connections, 150)
	is.Equal(LimitsFor(16<<20, 100, 1<<20), Limits{Connections: minConnections, Bytes: 4 << 20})
	is.Equal(LimitsFor(0, 0, 0), LimitsFor(defaultMemory, defaultFDs, 0))
}
