package batch

import (
	"time"

	"github.com/teaselcleat/teaselcleat/jobs"
	"github.com/teaselcleat/teaselcleat/placing"
)

// A leader that ends because of the work that it opens hands the same work to the next one. After several
// consecutive short terms each leader opens half as much as the one before, until a term lasts.

const (
	// shortTermDuration is the age from which a term does not count as short.
	shortTermDuration = 10 * time.Second
	// maxOrdinaryShortTerms is the number of consecutive short terms that faults of machines explain.
	maxOrdinaryShortTerms = 2
	// minOpenBytes is the least that a leader opens, and unboundedOpenBytes is taken for full where no
	// bound is known.
	minOpenBytes       = 256 << 10
	unboundedOpenBytes = 64 << 20
)

// shortTerms returns the number of consecutive short terms up to and including the former one. One that was
// handed over does not count as short.
func shortTerms(former jobs.Term) int {
	if former.Epoch == 0 || former.Leader == "" || former.AgeMS >= shortTermDuration.Milliseconds() {
		return 0
	}
	return former.ShortTerms + 1
}

// reducedOpenBytes returns the bound of open tasks for a leader that follows consecutive short terms and has led
// for some time. It doubles with each shortTermDuration.
func reducedOpenBytes(full int64, shortTerms int, age time.Duration) int64 {
	halvings := shortTerms - maxOrdinaryShortTerms - int(age/shortTermDuration)
	if halvings <= 0 {
		return full
	}
	if full == 0 {
		full = unboundedOpenBytes
	}
	return max(min(full, minOpenBytes), full>>min(halvings, 62))
}

// limits returns the limits of scheduling decisions, reduced after consecutive short terms.
func (l *leader) limits() placing.Limits {
	limits := l.instance.limits()
	limits.MaxOpenBytes = reducedOpenBytes(limits.MaxOpenBytes, l.shortTerms, l.clock.Now().Sub(l.writer.wonAt))
	return limits
}
