package placing

import (
	"time"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// AnswerOrigin says which incarnation of a worker has answered a start.
type AnswerOrigin int

// Origins of an answer.
const (
	OriginUnknown AnswerOrigin = iota // no answer, or one that does not tell
	OriginOwn                         // the incarnation that the start was sent to
	OriginOther                       // another one
	OriginOwnCopy                     // as OriginOwn, to a copy: an earlier one was not answered
)

// SetStartOrigin records which incarnation has answered a start. It is called before StartAnswered.
func (e *Engine) SetStartOrigin(worker string, key jobs.TaskKey, number int, origin AnswerOrigin) {
	if run := e.findRun(worker, key, number); run != nil {
		run.startOrigin = origin
	}
}

// reachedItsNode reports whether the incarnation to which a run's start was sent has started it.
func (r *run) reachedItsNode() bool {
	return r.seen || r.startOrigin == OriginOwn || r.startOrigin == OriginOwnCopy
}

// onlyAtItsNode reports whether a run is, or was, at the incarnation to which its start was sent, and no
// copy of the start is under way. Otherwise it is stopped at the next incarnation before its task runs
// again, which takes no longer than the answers.
func (r *run) onlyAtItsNode(now time.Time) bool {
	copied := !r.copiesGivenUpAt.IsZero() && now.Sub(r.copiesGivenUpAt) <= openStartRetention
	return r.reachedItsNode() && !r.awaitsAnswer && !copied
}
