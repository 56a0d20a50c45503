package placing

// StartPriority ranks starts that wait to be sent. It is not sent to delegates.
type StartPriority int

// Priorities of starts.
const (
	StartOrdinary   StartPriority = iota
	StartUrgent                   // of an urgent job
	StartGuaranteed               // of an urgent job that has to begin within the reclaim time
)

func (e *Engine) startPriority(job *job) StartPriority {
	switch {
	case e.withinGuarantee(job):
		return StartGuaranteed
	case job.queue.Priority == 0:
		return StartUrgent
	}
	return StartOrdinary
}
