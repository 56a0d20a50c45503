package batch

import (
	"time"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// A leader that ends because of what it loads or opens hands the same work to the next one. After several
// short terms in a row each leader opens half as much work as the one before, so that a load that no leader survives is
// reduced until one does.

const (
	// shortTermDuration is how long a term lasts at least to end a row of short ones.
	shortTermDuration = 10 * time.Second
	// maxOrdinaryShortTerms is the number of short terms in a row that faults of machines explain.
	maxOrdinaryShortTerms = 2
	// minOpenBytes is the least that a leader opens, and unboundedOpenBytes is taken for full where no
	// bound is known.
	minOpenBytes       = 256 << 10
	unboundedOpenBytes = 64 << 20
)

// shortTerms returns the number of short terms in a row up to and including the former one. One that was handed
// over ends the row.
func shortTerms(former jobs.Term) int {
	if former.Epoch == 0 || former.Leader == "" || former.AgeMS >= shortTermDuration.Milliseconds() {
		return 0
	}
	return former.ShortTerms + 1
}

// reducedOpenBytes returns the bound of open tasks for a leader that follows a row of short terms and has led for
// some time. It doubles with each shortTermDuration.
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
