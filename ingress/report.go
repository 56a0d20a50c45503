package ingress

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

// reportInterval is how often a gate logs what it has ended.
const reportInterval = time.Second

// Report logs what the gate ends until ctx ends, at most one line an interval.
func (g *Gate) Report(ctx context.Context, log *logrus.Entry) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	var reported [4]int64
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		m := g.metrics
		counts := [4]int64{m.ended.Count(), m.refused.Count(), m.closed.Count(), m.timeouts.Count()}
		if counts == reported {
			continue
		}
		log.WithFields(logrus.Fields{
			"ended":       counts[0] - reported[0],
			"refused":     counts[1] - reported[1],
			"closed":      counts[2] - reported[2],
			"timeouts":    counts[3] - reported[3],
			"connections": g.connections(),
			"held_bytes":  g.heldBytes(),
		}).Warn("requests_limited")
		reported = counts
	}
}
