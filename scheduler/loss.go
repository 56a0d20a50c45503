package scheduler

// A lost worker reports no failure, so what was lost with it is judged by the loss: a
// job that ends its workers does so as it begins, and would be placed again for good.
const (
	// earlyLoss is how soon after its start the loss of a run points at the job. Jobs
	// run for hours, and a lost worker is noticed within seconds.
	earlyLoss = Minute
	// earlyLossesMost is how many early losses in a row end a job.
	earlyLossesMost = 3
	// lossesTogether is how many jobs may lose a run within lossSpan before a rack, or
	// the way to it, is taken to be at fault and none of them.
	lossesTogether = 3
	lossSpan       = 10 * Second
)

// loss is an early loss of a run.
type loss struct {
	at  Time
	job *job
}

// blameLoss notes that a run was lost with a worker. It returns true if the job is to
// end.
func (s *Scheduler) blameLoss(r *run, now Time) bool {
	j := r.job
	if now-r.started >= earlyLoss {
		j.earlyLosses = 0
		return false
	}
	for len(s.losses) > 0 && now-s.losses[0].at > lossSpan {
		s.losses = s.losses[1:]
	}
	s.losses = append(s.losses, loss{at: now, job: j})
	j.earlyLosses++
	if jobsOf(s.losses) <= lossesTogether {
		return j.earlyLosses >= earlyLossesMost
	}
	for _, other := range s.losses {
		other.job.earlyLosses = 0
	}
	return false
}

func jobsOf(losses []loss) int {
	known := map[*job]bool{}
	for _, one := range losses {
		known[one.job] = true
	}
	return len(known)
}
