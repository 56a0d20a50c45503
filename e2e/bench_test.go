package e2e

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/teaselcleat/teaselcleat/adapters/fronthttp"
	"github.com/teaselcleat/teaselcleat/adapters/runnerhttp"
)

// runLoad sends n requests from concurrent clients and returns the sorted latencies and the
// elapsed time.
func runLoad(b *testing.B, clients, n int, send func(*http.Client, int) error) ([]time.Duration, time.Duration) {
	b.Helper()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clients}}
	latencies := make([]time.Duration, n)
	var next, failures atomic.Int64
	var wg sync.WaitGroup
	begin := time.Now()
	for range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				index := int(next.Add(1)) - 1
				if index >= n {
					return
				}
				started := time.Now()
				if send(client, index) != nil {
					failures.Add(1)
				}
				latencies[index] = time.Since(started)
			}
		}()
	}
	wg.Wait()
	elapsed := time.Since(begin)
	if failures.Load() > 0 {
		b.Fatalf("%d of %d requests failed", failures.Load(), n)
	}
	sort.Slice(latencies, func(i, j int) bool { return latencies[i] < latencies[j] })
	return latencies, elapsed
}

// postOnce sends one request and returns an error unless the status is 200.
func postOnce(client *http.Client, url string, headers map[string]string) error {
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte("station 12")))
	if err != nil {
		return err
	}
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

// BenchmarkPath compares calls to the same runners directly and through one instance, in one run:
// latency with one client, throughput with sixteen.
func BenchmarkPath(b *testing.B) {
	s := newSystem(b, 1, 4, 4)
	direct := func(client *http.Client, index int) error {
		return postOnce(client, "http://"+s.runners[index%4].addr+"/run/surge",
			map[string]string{runnerhttp.HeaderAttempt: "a", runnerhttp.HeaderKey: "k"})
	}
	viaInstance := func(class string) func(*http.Client, int) error {
		return func(client *http.Client, index int) error {
			return postOnce(client, "http://"+s.instances[0].addr+"/v1/requests/"+class,
				map[string]string{fronthttp.HeaderWorkspace: "a", fronthttp.HeaderKey: fmt.Sprintf("%s-%d-%d", class, b.N, index)})
		}
	}
	for range b.N {
		_, _ = runLoad(b, 16, 2000, viaInstance("surge")) // warm up
		_, _ = runLoad(b, 16, 2000, direct)
		directLatencies, _ := runLoad(b, 1, 3000, direct)
		viaLatencies, _ := runLoad(b, 1, 3000, viaInstance("surge"))
		_, directTime := runLoad(b, 16, 20000, direct)
		_, viaTime := runLoad(b, 16, 20000, viaInstance("surge"))
		claimedLatencies, _ := runLoad(b, 16, 1000, viaInstance("flow"))
		b.ReportMetric(float64((viaLatencies[1500] - directLatencies[1500]).Microseconds()), "p50-added-us")
		b.ReportMetric(float64((viaLatencies[2970] - directLatencies[2970]).Microseconds()), "p99-added-us")
		b.ReportMetric(20000/directTime.Seconds(), "direct/s")
		b.ReportMetric(20000/viaTime.Seconds(), "through/s")
		b.ReportMetric(directTime.Seconds()/viaTime.Seconds(), "throughput-ratio")
		b.ReportMetric(float64(claimedLatencies[500].Milliseconds()), "claimed-p50-ms")
	}
}
