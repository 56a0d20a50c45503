package batch

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/teaselcleat/teaselcleat/logsink"
)

// maxLinesPerSecond bounds the log lines per kind of event. A busy day of the users' deployments
// has up to 150 per second of the most frequent kind at the leader; a line costs about 10
// microseconds.
const maxLinesPerSecond = 200

// eventLog logs decisions within a line budget per kind of event.
type eventLog struct {
	budget *logsink.Budget
	clock  *Clock
}

func newEventLog(clock *Clock) *eventLog {
	return &eventLog{budget: logsink.NewBudget(maxLinesPerSecond), clock: clock}
}

// write logs an event, or counts it as dropped if its budget is used up.
func (l *eventLog) write(logger *logrus.Entry, event string, fields logrus.Fields) {
	ok, droppedKinds := l.budget.Allow(event, l.clock.Now())
	for _, dropped := range droppedKinds {
		logger.WithField("kind", dropped.Kind).WithField("count", dropped.Count).Warn("lines_left_out")
	}
	if ok {
		logger.WithFields(fields).Info(event)
	}
}

// ageMS returns an age in milliseconds for a log line; -1 if then is unset.
func ageMS(now, then time.Time) int64 {
	if then.IsZero() {
		return -1
	}
	return now.Sub(then).Milliseconds()
}
