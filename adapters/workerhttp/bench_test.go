package workerhttp_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/teaselcleat/teaselcleat/adapters/workerhttp"
	"github.com/teaselcleat/teaselcleat/standin"
	"github.com/teaselcleat/teaselcleat/worker"
)

// countingConn counts the bytes read from and written to a connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// countingListener wraps accepted connections in countingConn.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.bytes}, err
}

// BenchmarkRenew measures one poll of a worker with leases: the time of client and server
// together, and the bytes above TCP in both directions.
func BenchmarkRenew(b *testing.B) {
	for _, leases := range []int{1, 8} {
		b.Run(fmt.Sprintf("leases=%d", leases), func(b *testing.B) {
			var bytes atomic.Int64
			node := standin.NewWorker(leases)
			server := httptest.NewUnstartedServer(http.Handler(node))
			server.Listener = countingListener{server.Listener, &bytes}
			server.Start()
			defer server.Close()
			renew := worker.RenewRequest{Term: 1, TTL: time.Minute}
			for n := range leases {
				run := fmt.Sprintf("j9uye37u6dhmx#1.%d", n)
				if err := node.Reserve(worker.ReserveRequest{Term: 1, Run: run, Job: "j9uye37u6dhmx", Accelerators: 1, TTL: time.Minute}); err != nil {
					b.Fatal(err)
				}
				renew.Runs = append(renew.Runs, run)
			}
			client := workerhttp.New()
			address := server.Listener.Addr().String()
			b.ResetTimer()
			for range b.N {
				if _, err := client.Renew(context.Background(), address, renew); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(bytes.Load())/float64(b.N), "bytes/op")
		})
	}
}
