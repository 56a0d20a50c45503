package standin

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// sendOrder sends an order to a worker and returns the status and the reason of a refusal.
func sendOrder(t *testing.T, w *TaskWorker, path string, body taskOrder) (int, string) {
	t.Helper()
	content, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	answer := httptest.NewRecorder()
	w.ServeHTTP(answer, httptest.NewRequest(http.MethodPost, path, bytes.NewReader(content)))
	var reply struct {
		Reason string `json:"reason"`
	}
	if err := json.Unmarshal(answer.Body.Bytes(), &reply); err != nil {
		t.Fatal(err)
	}
	return answer.Code, reply.Reason
}

// A lease expires by the worker's clock, which may be slow. A lease that is too long is
// shortened, a later and shorter one has no effect, and a start under an expired lease is
// refused.
func TestTaskWorkerEndsRunsWhenLeaseExpires(t *testing.T) {
	for _, c := range []struct {
		name      string
		slow      float64
		requested time.Duration
		want      time.Duration
	}{
		{"as asked", 0, 4 * time.Second, 4 * time.Second},
		{"shortened", 0, time.Minute, 6 * time.Second},
		{"slow clock", 0.02, 4900 * time.Millisecond, 5 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := NewTaskWorker("w", time.Hour)
				w.MaxLease, w.ClockSlowdown = 6*time.Second, c.slow
				status, _ := sendOrder(t, w, "/api/run-start", taskOrder{Task: "a", Run: 1, UntilMS: 1 + c.requested.Milliseconds()})
				is.Equal(status, http.StatusOK)
				status, _ = sendOrder(t, w, "/api/hold", taskOrder{UntilMS: 1000}) // a shorter lease
				is.Equal(status, http.StatusOK)
				time.Sleep(c.want - 10*time.Millisecond)
				is.Equal(w.Running(), 1)
				time.Sleep(20 * time.Millisecond)
				is.Equal(w.Running(), 0)
				is.Equal(w.ExpiredRuns(), 1)
				status, reason := sendOrder(t, w, "/api/run-start", taskOrder{Task: "b", Run: 1})
				is.Equal(status, http.StatusConflict)
				is.Equal(reason, "late")
			})
		})
	}
}

func TestTaskWorkerKeepsRunsWithRenewedLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := NewTaskWorker("w", time.Hour)
		w.MaxLease = 6 * time.Second
		sendOrder(t, w, "/api/run-start", taskOrder{Task: "a", Run: 1, UntilMS: 6000})
		for range 5 {
			time.Sleep(5 * time.Second)
			sendOrder(t, w, "/api/hold", taskOrder{UntilMS: w.clockMS() + 6000})
		}
		is.Equal(w.Running(), 1)
		w.Halt()
	})
}

// An end that was acknowledged before the lease expired is final: a later start of its
// task is a violation. An end that was only listed by then is not, as its task may be
// started elsewhere.
func TestOnlyEndsAcknowledgedUnderLeaseCount(t *testing.T) {
	for name, c := range map[string]struct {
		acknowledgedAfter time.Duration
		violations        int
	}{"under the lease": {5 * time.Second, 1}, "after it lapsed": {7 * time.Second, 0}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				checker := NewTaskChecker()
				first, other := NewTaskWorker("a", time.Second), NewTaskWorker("b", time.Second)
				first.Checker, other.Checker = checker, checker
				sendOrder(t, first, "/api/run-start", taskOrder{Task: "t", Run: 1, UntilMS: 6000})
				time.Sleep(c.acknowledgedAfter)
				sendOrder(t, first, "/api/hold", taskOrder{AckCursor: 1})
				sendOrder(t, other, "/api/run-start", taskOrder{Task: "t", Run: 2, UntilMS: 60000})
				is.Equal(len(checker.Violations()), c.violations)
				first.Halt()
				other.Halt()
			})
		})
	}
}
