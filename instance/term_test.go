package instance

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestTermIsClaimedByFirstInLineOrAfterTimeout(t *testing.T) {
	is := is.New(t)
	const timeout = time.Second
	start := time.Unix(1_800_000_000, 0)
	notFirst := termState{eligible: true, leaderGone: true}
	first := notFirst
	first.firstInLine = true

	var c termClaimer
	is.True(!c.shouldClaim(termState{eligible: true, firstInLine: true}, start, timeout)) // the leader is alive
	is.True(c.shouldClaim(first, start, timeout))
	is.True(!c.shouldClaim(first, start.Add(time.Millisecond), timeout)) // its claim is being appended

	var second termClaimer
	is.True(!second.shouldClaim(notFirst, start, timeout)) // left to the first instance in line
	is.True(!second.shouldClaim(notFirst, start.Add(2*timeout), timeout))
	is.True(second.shouldClaim(notFirst, start.Add(4*timeout), timeout)) // the first instance in line did not claim
	ineligible := notFirst
	ineligible.eligible = false
	is.True(!second.shouldClaim(ineligible, start.Add(9*timeout), timeout))
}
