package batch

import (
	"testing"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
	"github.com/teaselcleat/teaselcleat/placing"
)

// Only a former incarnation of the winner is known to have ended. Any other leader may be cut off
// and still lead, also if terms were missed in between.
func TestFateOfTheFormerHolder(t *testing.T) {
	is := is.New(t)
	won := jobs.Term{Epoch: 7, Leader: "a/2"}
	is.Equal(formerLeaderState(jobs.Term{Epoch: 6, Leader: "a/1"}, won, "a"), placing.FormerLeaderExited)
	is.Equal(formerLeaderState(jobs.Term{Epoch: 6}, won, "a"), placing.FormerLeaderReleased)
	is.Equal(formerLeaderState(jobs.Term{Epoch: 6, Leader: "b/1"}, won, "a"), placing.FormerLeaderUnknown)
	is.Equal(formerLeaderState(jobs.Term{Epoch: 5, Leader: "a/1"}, won, "a"), placing.FormerLeaderUnknown)
	is.Equal(formerLeaderState(jobs.Term{Epoch: 5}, won, "a"), placing.FormerLeaderUnknown)
	is.Equal(formerLeaderState(jobs.Term{Epoch: 6, Leader: "ab/1"}, won, "a"), placing.FormerLeaderUnknown)
}
