package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// Guards against a load that ends every leader in turn: each one opens less than the one before until a term lasts.
func TestLoadThatEndsEveryLeaderIsReduced(t *testing.T) {
	is := is.New(t)
	const full, bearable = 64 << 20, 1 << 20
	term, opened := jobs.Term{}, int64(full)
	for terms := 1; ; terms++ {
		is.True(terms < 20)
		term = jobs.Term{Epoch: term.Epoch + 1, Leader: "a/1", ShortTerms: shortTerms(term)}
		opened = reducedOpenBytes(full, term.ShortTerms, 0)
		if opened <= bearable {
			break
		}
		term.AgeMS = 900 // killed then
	}
	is.True(opened >= bearable/2)
	is.Equal(reducedOpenBytes(full, term.ShortTerms, shortTermDuration), 2*opened) // it grows back while the term lasts
	is.Equal(reducedOpenBytes(full, term.ShortTerms, time.Hour), int64(full))
	term.AgeMS = shortTermDuration.Milliseconds()
	is.Equal(shortTerms(term), 0)
}

// Guards against a leader that holds work back after ordinary changes of the leader.
func TestOrdinaryChangesOfTheLeaderReduceNothing(t *testing.T) {
	is := is.New(t)
	is.Equal(shortTerms(jobs.Term{}), 0)
	is.Equal(shortTerms(jobs.Term{Epoch: 7, ShortTerms: 5}), 0) // handed over
	is.Equal(shortTerms(jobs.Term{Epoch: 7, Leader: "a/1", AgeMS: 300, ShortTerms: 1}), 2)
	is.Equal(reducedOpenBytes(1<<20, 2, 0), int64(1<<20))
	is.Equal(reducedOpenBytes(0, 2, 0), int64(0))
	is.Equal(reducedOpenBytes(1000, 9, 0), int64(1000)) // never more than the bound itself
}

// Guards against a count of short terms that is lost as the term is renewed.
func TestRenewalsKeepTheCountOfShortTerms(t *testing.T) {
	is := is.New(t)
	writer := newTestWriter(newPartitionedStore(), 4)
	writer.term.ShortTerms = 3
	writer.wonAt = writer.wonAt.Add(-2 * time.Second)
	renewed := writer.nextTerm()
	is.Equal(renewed.ShortTerms, 3)
	is.True(renewed.AgeMS >= 2000)
	is.Equal(shortTerms(renewed), 4)
}
