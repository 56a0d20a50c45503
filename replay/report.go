package replay

import (
	"fmt"
	"math"
	"sort"
	"time"

	"github.com/teaselcleat/teaselcleat/scheduler"
)

// minLargeMembers and minLargeAccelerators are the smallest members and accelerators per
// member of the gangs whose waits are reported separately.
const (
	minLargeMembers      = 4
	minLargeAccelerators = 8
)

// metrics collects figures during a replay.
type metrics struct {
	nextSample    scheduler.Time
	fragmentation []float64
	decisions     []time.Duration
	preemptions   int
	partialGangs  int
	doubledRuns   int
}

func (m *metrics) addDecision(d time.Duration) { m.decisions = append(m.decisions, d) }

// ClassReport holds the results of one class.
type ClassReport struct {
	Name           string
	Jobs           int
	TargetsMet     int
	TargetsMissed  int
	CompletionP50S float64
	CompletionP99S float64
	WaitP99S       float64
	FinishWithinS  float64
}

// Report holds the results of a replay. Times are in seconds, unless the type says otherwise.
type Report struct {
	Jobs, Finished, Refused, Cancelled, Unfinished, Lost int
	Doubled, PartialGangs, GuaranteeViolations           int
	CompletionP50S, CompletionP99S                       float64
	TargetsMet, TargetsMissed                            int
	FragmentationMean, FragmentationMax                  float64
	Preemptions, Decisions                               int
	DecisionP99                                          time.Duration
	LargeGangs                                           int
	LargeGangWaitP99S                                    float64
	Classes                                              []ClassReport
}

// Line formats the results as the last line of a replay's output.
func (r *Report) Line() string {
	return fmt.Sprintf("jobs=%d finished=%d refused=%d cancelled=%d unfinished=%d lost=%d doubled=%d partial_gangs=%d guarantee_violations=%d "+
		"completion_p50_s=%.1f completion_p99_s=%.1f targets_met=%d targets_missed=%d fragmentation_mean=%.4f fragmentation_max=%.4f "+
		"preemptions=%d decisions=%d decision_p99_us=%d",
		r.Jobs, r.Finished, r.Refused, r.Cancelled, r.Unfinished, r.Lost, r.Doubled, r.PartialGangs, r.GuaranteeViolations,
		r.CompletionP50S, r.CompletionP99S, r.TargetsMet, r.TargetsMissed, r.FragmentationMean, r.FragmentationMax,
		r.Preemptions, r.Decisions, r.DecisionP99.Microseconds())
}

// Line formats the results of the class as one line of output.
func (c ClassReport) Line() string {
	return fmt.Sprintf("class=%s jobs=%d targets_met=%d targets_missed=%d completion_p50_s=%.1f completion_p99_s=%.1f wait_p99_s=%.1f finish_within_s=%.0f",
		c.Name, c.Jobs, c.TargetsMet, c.TargetsMissed, c.CompletionP50S, c.CompletionP99S, c.WaitP99S, c.FinishWithinS)
}

// targetOutcome returns whether a job counts towards its class's target, and whether it
// met the target. Cancelled jobs do not count, nor do unfinished jobs with time left.
func (r *replayer) targetOutcome(job *jobRecord) (counts, met bool) {
	switch job.phase {
	case jobFinished:
		return true, job.endedAt <= job.deadline
	case jobRefused:
		return true, false
	case jobCancelled:
		return false, false
	}
	return r.now > job.deadline, false
}

func (r *replayer) report() *Report {
	report := &Report{Jobs: len(r.submitted), Doubled: r.metrics.doubledRuns, PartialGangs: r.metrics.partialGangs,
		Preemptions: r.metrics.preemptions, Decisions: len(r.metrics.decisions)}
	queued := 0
	for _, job := range r.submitted {
		r.countJob(report, job)
		if job.phase == jobQueued {
			queued++
		}
		if job.guaranteeViolated {
			report.GuaranteeViolations++
		}
	}
	report.Lost = max(queued-r.policy.QueueLength(), 0)
	report.Unfinished -= report.Lost
	report.CompletionP50S = percentile(r.completionTimes(nil), 0.5)
	report.CompletionP99S = percentile(r.completionTimes(nil), 0.99)
	report.FragmentationMean, report.FragmentationMax = meanAndMax(r.metrics.fragmentation)
	sort.Slice(r.metrics.decisions, func(i, j int) bool { return r.metrics.decisions[i] < r.metrics.decisions[j] })
	if n := len(r.metrics.decisions); n > 0 {
		report.DecisionP99 = r.metrics.decisions[(n-1)*99/100]
	}
	r.addLargeGangs(report)
	r.addClasses(report)
	return report
}

func (r *replayer) countJob(report *Report, job *jobRecord) {
	switch job.phase {
	case jobFinished:
		report.Finished++
	case jobRefused:
		report.Refused++
	case jobCancelled:
		report.Cancelled++
	default:
		report.Unfinished++
	}
	if counts, met := r.targetOutcome(job); counts && met {
		report.TargetsMet++
	} else if counts {
		report.TargetsMissed++
	}
}

// completionTimes returns the times from submission to end of the finished jobs, in seconds.
func (r *replayer) completionTimes(match func(*jobRecord) bool) []float64 {
	var seconds []float64
	for _, job := range r.submitted {
		if job.phase == jobFinished && (match == nil || match(job)) {
			seconds = append(seconds, float64(job.endedAt-job.submittedAt)/1000)
		}
	}
	return seconds
}

// waitTimes returns the times from submission to the first start, in seconds. A queued
// job that never started has waited until the end of the replay.
func (r *replayer) waitTimes(match func(*jobRecord) bool) []float64 {
	var seconds []float64
	for _, job := range r.submitted {
		if !match(job) {
			continue
		}
		switch {
		case job.startedAt >= 0:
			seconds = append(seconds, float64(job.startedAt-job.submittedAt)/1000)
		case job.phase == jobQueued:
			seconds = append(seconds, float64(r.now-job.submittedAt)/1000)
		}
	}
	return seconds
}

func (r *replayer) addLargeGangs(report *Report) {
	large := func(job *jobRecord) bool {
		return job.event.Adjacent && job.event.Members >= minLargeMembers && job.event.Accelerators >= minLargeAccelerators
	}
	waits := r.waitTimes(large)
	report.LargeGangs = len(waits)
	report.LargeGangWaitP99S = percentile(waits, 0.99)
}

func (r *replayer) addClasses(report *Report) {
	for _, name := range r.setup.Targets.ClassNames() {
		ofClass := func(job *jobRecord) bool { return job.event.Class == name }
		c := ClassReport{Name: name, FinishWithinS: r.setup.Targets.Classes[name].FinishWithin.Seconds()}
		for _, job := range r.submitted {
			if !ofClass(job) {
				continue
			}
			c.Jobs++
			if counts, met := r.targetOutcome(job); counts && met {
				c.TargetsMet++
			} else if counts {
				c.TargetsMissed++
			}
		}
		c.CompletionP50S = percentile(r.completionTimes(ofClass), 0.5)
		c.CompletionP99S = percentile(r.completionTimes(ofClass), 0.99)
		c.WaitP99S = percentile(r.waitTimes(ofClass), 0.99)
		report.Classes = append(report.Classes, c)
	}
}

// percentile returns the value at quantile q, by nearest rank. It sorts the values.
func percentile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sort.Float64s(values)
	return values[int(math.Ceil(q*float64(len(values))))-1]
}

func meanAndMax(values []float64) (mean, maximum float64) {
	if len(values) == 0 {
		return 0, 0
	}
	for _, value := range values {
		mean += value
		maximum = max(maximum, value)
	}
	return mean / float64(len(values)), maximum
}
