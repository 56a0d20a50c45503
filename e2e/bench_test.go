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

// load sends n requests from some clients and returns the sorted latencies and
// the whole time.
func load(b *testing.B, clients, n int, send func(*http.Client, int) error) ([]time.Duration, time.Duration) {
	b.Helper()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clients}}
	latencies := make([]time.Duration, n)
	var next, failures atomic.Int64
	var group sync.WaitGroup
	began := time.Now()
	for range clients {
		group.Add(1)
		go func() {
			defer group.Done()
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
	group.Wait()
	whole := time.Since(began)
	if failures.Load() > 0 {
		b.Fatalf("%d of %d requests failed", failures.Load(), n)
	}
	sort.Slice(latencies, func(i, j int) bool { return latencies[i] < latencies[j] })
	return latencies, whole
}

func post(client *http.Client, url string, headers map[string]string) error {
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

// BenchmarkPath compares the same runners called directly and through one
// instance, in one run: latency with one client, throughput with sixteen.
func BenchmarkPath(b *testing.B) {
	s := newSystem(b, 1, 4, 4)
	direct := func(client *http.Client, index int) error {
		return post(client, "http://"+s.runners[index%4].http+"/run/surge",
			map[string]string{runnerhttp.HeaderAttempt: "a", runnerhttp.HeaderKey: "k"})
	}
	through := func(class string) func(*http.Client, int) error {
		return func(client *http.Client, index int) error {
			return post(client, "http://"+s.instances[0].http+"/v1/requests/"+class,
				map[string]string{fronthttp.HeaderWorkspace: "a", fronthttp.HeaderKey: fmt.Sprintf("%s-%d-%d", class, b.N, index)})
		}
	}
	for range b.N {
		_, _ = load(b, 16, 2000, through("surge")) // warm up
		_, _ = load(b, 16, 2000, direct)
		directOne, _ := load(b, 1, 3000, direct)
		throughOne, _ := load(b, 1, 3000, through("surge"))
		_, directMany := load(b, 16, 20000, direct)
		_, throughMany := load(b, 16, 20000, through("surge"))
		claimed, _ := load(b, 16, 1000, through("flow"))
		b.ReportMetric(float64((throughOne[1500] - directOne[1500]).Microseconds()), "p50-added-us")
		b.ReportMetric(float64((throughOne[2970] - directOne[2970]).Microseconds()), "p99-added-us")
		b.ReportMetric(20000/directMany.Seconds(), "direct/s")
		b.ReportMetric(20000/throughMany.Seconds(), "through/s")
		b.ReportMetric(directMany.Seconds()/throughMany.Seconds(), "throughput-ratio")
		b.ReportMetric(float64(claimed[500].Milliseconds()), "claimed-p50-ms")
	}
}
