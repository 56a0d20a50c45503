package instance

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestTheTermIsClaimedByTheFirstInLineOrAfterSomeTime(t *testing.T) {
	is := is.New(t)
	const timeout = time.Second
	began := time.Unix(1_800_000_000, 0)
	gone := termView{able: true, holderGone: true}
	first := gone
	first.first = true

	var c claimant
	is.True(!c.decide(termView{able: true, first: true}, began, timeout)) // the holder lives
	is.True(c.decide(first, began, timeout))
	is.True(!c.decide(first, began.Add(time.Millisecond), timeout)) // its claim is on the way

	var second claimant
	is.True(!second.decide(gone, began, timeout)) // the first in line should claim
	is.True(!second.decide(gone, began.Add(2*timeout), timeout))
	is.True(second.decide(gone, began.Add(4*timeout), timeout)) // it did not, perhaps it cannot
	unable := gone
	unable.able = false
	is.True(!second.decide(unable, began.Add(9*timeout), timeout))
}
