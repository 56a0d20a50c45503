package e2e

import (
	"fmt"
	"sync"
	"testing"

	"github.com/teaselcleat/teaselcleat/structs"
)

// sendRequests sends requests of one class from several clients until done is closed, each under
// its own key.
func (s *system) sendRequests(class, prefix string, clients int, done <-chan struct{}) *requestLoad {
	load := &requestLoad{t: s.t, results: map[string]callResult{}}
	for client := range clients {
		load.clients.Add(1)
		go func() {
			defer load.clients.Done()
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				live := s.liveInstances()
				key := fmt.Sprintf("%s-%d-%d", prefix, client, n)
				load.add(key, s.request(live[(client+n)%len(live)], class, key, key))
			}
		}()
	}
	return load
}

// requestLoad is the load of the clients that sendRequests started.
type requestLoad struct {
	t       testing.TB
	clients sync.WaitGroup
	mu      sync.Mutex
	results map[string]callResult // by key
	ran     int                   // requests that ended as ran
}

func (l *requestLoad) add(key string, result callResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results[key] = result
	if result.outcome == structs.OutcomeRan {
		l.ran++
	}
}

func (l *requestLoad) ranCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ran
}

// waitMoreRan waits until further requests have ended as ran.
func (l *requestLoad) waitMoreRan() {
	l.t.Helper()
	const furtherRequests = 20
	wanted := l.ranCount() + furtherRequests
	eventually(l.t, "further requests run", func() bool { return l.ranCount() >= wanted })
}

// wait waits for the clients and returns their results by key.
func (l *requestLoad) wait() map[string]callResult {
	l.clients.Wait()
	return l.results
}

// checkOutcomes compares the results of callers with the executions of the runners.
func (s *system) checkOutcomes(results map[string]callResult) {
	s.t.Helper()
	executed := s.executions()
	for key, result := range results {
		if executed[key] > 1 {
			s.t.Errorf("key %s ran %d times", key, executed[key])
		}
		if result.outcome == structs.OutcomeNotRun && executed[key] > 0 {
			s.t.Errorf("key %s was refused as not run (%s) and ran", key, result.reason)
		}
		if result.outcome == structs.OutcomeRan && (executed[key] != 1 || result.body != "done:"+key) {
			s.t.Errorf("key %s was answered %q and ran %d times", key, result.body, executed[key])
		}
	}
}
