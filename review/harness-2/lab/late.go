package main

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// lateStore is the way to the store. While it is in trouble, a share of the appends gets no answer and
// is done some seconds later, if its condition still holds.
type lateStore struct {
	store http.Handler
	world *world

	mu     sync.Mutex
	random *rand.Rand
	share  float64
	ended  time.Time // when the trouble last ended
}

// Bounds of the disruption "answers of the platform's store are lost", carried out late.
const (
	lateShare    = 0.35
	lateFor      = 4500 * time.Millisecond
	minLateDelay = time.Second
	maxLateDelay = 6 * time.Second
)

func (s *lateStore) set(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.share = share
	s.ended = time.Now()
	s.world.note("store: share of appends that get no answer and are done 1 to 6 s later: %.2f", share)
}

// calmFor returns for how long the store has been without trouble; 0 while it is in trouble.
func (s *lateStore) calmFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.share > 0 {
		return 0
	}
	return time.Since(s.ended)
}

func (s *lateStore) draw() (late bool, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	late = s.random.Float64() < s.share
	return late, minLateDelay + time.Duration(s.random.Int64N(int64(maxLateDelay-minLateDelay)))
}

// ServeHTTP implements http.Handler.
func (s *lateStore) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/api/log-append" {
		s.store.ServeHTTP(rw, r)
		return
	}
	late, delay := s.draw()
	if !late {
		s.store.ServeHTTP(rw, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	copied := r.Clone(context.Background())
	time.AfterFunc(delay, func() {
		copied.Body = io.NopCloser(bytes.NewReader(body))
		s.store.ServeHTTP(httptest.NewRecorder(), copied)
	})
	<-r.Context().Done() // the connection returns nothing further
	panic(http.ErrAbortHandler)
}

const (
	// leavers of the clients give up after leaveAfter without an answer.
	clients         = 10
	leavers         = 4
	leaveAfter      = 300 * time.Millisecond
	submitInterval  = 270 * time.Millisecond // 3.7 jobs a second, as the site's clients send
	cancelBound     = 3 * time.Second        // cancel_ms
	contactBound    = 3 * time.Second        // contact_ms
	stopBound       = 200 * time.Millisecond // stop_ms
	lateRounds      = 3
	lateRoundLength = 22 * time.Second
)

// playCancelled has clients hand jobs in while some appends are done late. Some of them give up, and
// cancel the job that they have no answer for.
func playCancelled(f *fleet, trouble bool, seed uint64) error {
	random := newRandom(seed)
	if err := startDeployment(f, 6, 48, 8); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	f.late.random = newRandom(seed + 1)
	f.world.calmFor = f.late.calmFor
	var running sync.WaitGroup
	for round := 0; round < lateRounds; round++ {
		begun := time.Now()
		if trouble {
			f.late.set(lateShare)
		}
		for number := 0; time.Since(begun) < lateFor; number++ {
			j := &job{id: newID(random), maxAttempts: 3, Spec: "recon",
				Steps: []step{{Count: 1, CPU: 5600, MemMB: 16000, GPU: 1, EstRuntimeMS: 10000, work: 11 * time.Second}}}
			f.register(j)
			leaves := number%clients < leavers
			running.Go(func() { f.submitAsClient(j, leaves) })
			time.Sleep(submitInterval)
		}
		if trouble {
			f.late.set(0)
		}
		time.Sleep(lateRoundLength - time.Since(begun))
	}
	running.Wait()
	return nil
}

// submitAsClient hands a job in. A client that leaves cancels the job if it has no answer by then;
// any other one hands it in again.
func (f *fleet) submitAsClient(j *job, leaves bool) {
	for range 5 {
		timeout := deadlineMS * time.Millisecond
		if leaves {
			timeout = leaveAfter
		}
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		status, _ := f.callWithin(ctx, http.MethodPost, j.id, j)
		cancel()
		f.world.note("POST %s: %d", j.id, status)
		if status == http.StatusOK {
			return
		}
		if leaves && status == 0 {
			f.cancelAsClient(j)
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// cancelAsClient cancels a job until that is acknowledged.
func (f *fleet) cancelAsClient(j *job) {
	for range 5 {
		status, _ := f.call(http.MethodDelete, j.id, nil)
		f.world.note("DELETE %s: %d", j.id, status)
		if status == http.StatusOK || status == http.StatusGone {
			f.world.mu.Lock()
			j.cancelledAt = time.Now()
			f.world.mu.Unlock()
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
}
