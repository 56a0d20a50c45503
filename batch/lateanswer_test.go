package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against tasks that are started again because the answers of their workers, which list their
// ends, take longer than a fixed deadline.
func TestEndsInLateAnswersAreNotRunAgain(t *testing.T) {
	for _, delay := range []time.Duration{700 * time.Millisecond, 1200 * time.Millisecond, 1900 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			inFleet(t, 8, 0, 4*time.Second, func(f *testFleet, is *is.I) {
				f.workers.listingNotes = true
				f.submit("a1", 8)
				time.Sleep(time.Second)
				f.workers.setAnswerDelay("a", delay)
				time.Sleep(9 * time.Second)
				f.workers.setAnswerDelay("a", 0)
				time.Sleep(20 * time.Second)
				is.Equal(f.doubleRuns(), 0)
				is.Equal(f.doneTasks(), 8)
				is.Equal(f.decisionCount("job_ended"), int64(1))
			})
		})
	}
}
