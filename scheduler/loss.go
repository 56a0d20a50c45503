package scheduler

// A lost worker reports no failure, so the fault is inferred from when the run was lost. A job
// that crashes its workers does so soon after its start and would otherwise be placed again
// without bound.
const (
	// earlyLossWindow is how soon after its start the loss of a run counts against its job. Jobs run
	// for hours, and a lost worker is noticed within seconds.
	earlyLossWindow = Minute
	// maxEarlyLosses is the number of early losses in a row that end a job.
	maxEarlyLosses = 3
	// maxUnrelatedLosses is the number of jobs that may lose a run within lossWindow. If more
	// do, the fault is attributed to a rack or the network, and none of the jobs is charged.
	maxUnrelatedLosses = 3
	lossWindow         = 10 * Second
)

// loss is an early loss of a run.
type loss struct {
	at  Time
	job *job
}

// recordLoss records that a run was lost with a worker. It returns true if the job ends.
func (s *Scheduler) recordLoss(r *run, now Time) bool {
	j := r.job
	if now-r.started >= earlyLossWindow {
		j.earlyLosses = 0
		return false
	}
	for len(s.recentLosses) > 0 && now-s.recentLosses[0].at > lossWindow {
		s.recentLosses = s.recentLosses[1:]
	}
	s.recentLosses = append(s.recentLosses, loss{at: now, job: j})
	j.earlyLosses++
	if countJobs(s.recentLosses) <= maxUnrelatedLosses {
		return j.earlyLosses >= maxEarlyLosses
	}
	for _, l := range s.recentLosses {
		l.job.earlyLosses = 0
	}
	return false
}

func countJobs(losses []loss) int {
	jobs := map[*job]bool{}
	for _, l := range losses {
		jobs[l.job] = true
	}
	return len(jobs)
}
