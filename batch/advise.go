package batch

import (
	"context"
	"time"

	"github.com/teaselcleat/teaselcleat/placing"
)

// adviceTimeout bounds a request to the service that decides which workers may run a step. The
// service answers one request of an instance at a time, after a delay for each worker named.
// Tickets from a slower answer would mostly have expired.
const adviceTimeout = 3 * time.Second

// requestAdvice requests advice and passes the answer to the leader's loop.
func (l *leader) requestAdvice(ctx context.Context, request placing.AdviceRequest) {
	callCtx, cancel := context.WithTimeout(ctx, adviceTimeout)
	defer cancel()
	sent := l.clock.Now()
	tickets, validFor, err := l.instance.workers.Advise(callCtx, request)
	if err != nil {
		l.log.WithField("job", request.Job).WithField("error", err.Error()).Info("advice_failed")
	}
	l.events.Put(ctx, adviceResult{request: request, ok: err == nil, tickets: tickets, validFor: validFor, sent: sent})
}

// adviceResult carries the answer to an advice request, or its failure.
type adviceResult struct {
	request  placing.AdviceRequest
	ok       bool
	tickets  map[string]string
	validFor time.Duration
	sent     time.Time
}

func (a adviceResult) apply(l *leader, now time.Time) {
	l.engine.HandleAdvice(a.request, a.ok, a.tickets, a.validFor, a.sent, now)
}
