package batch

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/teaselcleat/teaselcleat/logsink"
)

// linesEach bounds the lines of one kind of event in a second. A heavy day of
// the users' deployments has up to 150 of the most frequent kind at the placing
// instance; a line costs about 10 microseconds.
const linesEach = 200

// chronicle writes lines about decisions within a budget for each kind.
type chronicle struct {
	budget *logsink.Budget
	clock  *Clock
}

func newChronicle(clock *Clock) *chronicle {
	return &chronicle{budget: logsink.NewBudget(linesEach), clock: clock}
}

// write writes one event, or counts it as left out.
func (c *chronicle) write(log *logrus.Entry, event string, fields logrus.Fields) {
	ok, skipped := c.budget.Allow(event, c.clock.Now())
	for _, left := range skipped {
		log.WithField("kind", left.Kind).WithField("count", left.Count).Warn("lines_left_out")
	}
	if ok {
		log.WithFields(fields).Info(event)
	}
}

// sinceMS is an age in milliseconds, for a line.
func sinceMS(now, then time.Time) int64 {
	if then.IsZero() {
		return -1
	}
	return now.Sub(then).Milliseconds()
}
