package batch

import (
	"context"
	"time"

	"github.com/teaselcleat/teaselcleat/placing"
)

// adviceTimeout bounds a question to the service that knows which workers may
// run a step. It answers one question of an instance at a time, after a pause
// for each worker named; an answer that took longer would mostly have run out.
const adviceTimeout = 3 * time.Second

// advise asks and brings the answer to the placing duty.
func (l *leader) advise(ctx context.Context, ask placing.Ask) {
	call, cancel := context.WithTimeout(ctx, adviceTimeout)
	defer cancel()
	sent := l.clock.Now()
	tickets, valid, err := l.instance.workers.Advise(call, ask)
	if err != nil {
		l.log.WithField("job", ask.Job).WithField("error", err.Error()).Info("advice_failed")
	}
	l.events.Put(ctx, advised{ask: ask, ok: err == nil, tickets: tickets, valid: valid, sent: sent})
}

// advised brings the answer to a question, or that there was none.
type advised struct {
	ask     placing.Ask
	ok      bool
	tickets map[string]string
	valid   time.Duration
	sent    time.Time
}

func (a advised) apply(l *leader, now time.Time) {
	l.engine.Advised(a.ask, a.ok, a.tickets, a.valid, a.sent, now)
}
