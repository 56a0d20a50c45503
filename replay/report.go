package replay

import (
	"fmt"
	"math"
	"sort"
	"time"

	"github.com/teaselcleat/teaselcleat/scheduler"
)

// largeMembers and largeAccelerators bound the gangs whose waits are reported apart.
const (
	largeMembers      = 4
	largeAccelerators = 8
)

// measures collects figures during a replay.
type measures struct {
	nextSample    scheduler.Time
	fragmentation []float64
	steps         []time.Duration
	preemptions   int
	partial       int
	doubled       int
}

func (m *measures) decided(took time.Duration) { m.steps = append(m.steps, took) }

// ClassReport is what was measured of one class.
type ClassReport struct {
	Name            string
	Jobs            int
	Met             int
	Missed          int
	CompletionP50S  float64
	CompletionP99S  float64
	WaitP99S        float64
	FinishWithinSec float64
}

// Report is what a replay measured. Times are in seconds unless named otherwise.
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

// Line is the last line of a replay's output.
func (r *Report) Line() string {
	return fmt.Sprintf("jobs=%d finished=%d refused=%d cancelled=%d unfinished=%d lost=%d doubled=%d partial_gangs=%d guarantee_violations=%d "+
		"completion_p50_s=%.1f completion_p99_s=%.1f targets_met=%d targets_missed=%d fragmentation_mean=%.4f fragmentation_max=%.4f "+
		"preemptions=%d decisions=%d decision_p99_us=%d",
		r.Jobs, r.Finished, r.Refused, r.Cancelled, r.Unfinished, r.Lost, r.Doubled, r.PartialGangs, r.GuaranteeViolations,
		r.CompletionP50S, r.CompletionP99S, r.TargetsMet, r.TargetsMissed, r.FragmentationMean, r.FragmentationMax,
		r.Preemptions, r.Decisions, r.DecisionP99.Microseconds())
}

// Line is one class's figures.
func (c ClassReport) Line() string {
	return fmt.Sprintf("class=%s jobs=%d targets_met=%d targets_missed=%d completion_p50_s=%.1f completion_p99_s=%.1f wait_p99_s=%.1f finish_within_s=%.0f",
		c.Name, c.Jobs, c.Met, c.Missed, c.CompletionP50S, c.CompletionP99S, c.WaitP99S, c.FinishWithinSec)
}

// met says whether a job counts for its target, and whether it met it. A job
// that was cancelled does not count, nor one that has time left at the end.
func (d *driver) met(job *record) (counts, met bool) {
	switch job.phase {
	case jobFinished:
		return true, job.ended <= job.deadline
	case jobRefused:
		return true, false
	case jobCancelled:
		return false, false
	}
	return d.now > job.deadline, false
}

func (d *driver) report() *Report {
	r := &Report{Jobs: len(d.order), Doubled: d.measures.doubled, PartialGangs: d.measures.partial,
		Preemptions: d.measures.preemptions, Decisions: len(d.measures.steps)}
	queued := 0
	for _, job := range d.order {
		d.count(r, job)
		if job.phase == jobQueued {
			queued++
		}
		if job.violated {
			r.GuaranteeViolations++
		}
	}
	r.Lost = max(queued-d.policy.Queued(), 0)
	r.Unfinished -= r.Lost
	r.CompletionP50S = percentile(d.completions(nil), 0.5)
	r.CompletionP99S = percentile(d.completions(nil), 0.99)
	r.FragmentationMean, r.FragmentationMax = meanAndMax(d.measures.fragmentation)
	sort.Slice(d.measures.steps, func(i, j int) bool { return d.measures.steps[i] < d.measures.steps[j] })
	if n := len(d.measures.steps); n > 0 {
		r.DecisionP99 = d.measures.steps[(n-1)*99/100]
	}
	d.reportLarge(r)
	d.reportClasses(r)
	return r
}

func (d *driver) count(r *Report, job *record) {
	switch job.phase {
	case jobFinished:
		r.Finished++
	case jobRefused:
		r.Refused++
	case jobCancelled:
		r.Cancelled++
	default:
		r.Unfinished++
	}
	if counts, met := d.met(job); counts && met {
		r.TargetsMet++
	} else if counts {
		r.TargetsMissed++
	}
}

func (d *driver) completions(match func(*record) bool) []float64 {
	var spans []float64
	for _, job := range d.order {
		if job.phase == jobFinished && (match == nil || match(job)) {
			spans = append(spans, float64(job.ended-job.submitted)/1000)
		}
	}
	return spans
}

// waits are the times to the first start; a job that never started and was not
// withdrawn has waited until the end.
func (d *driver) waits(match func(*record) bool) []float64 {
	var spans []float64
	for _, job := range d.order {
		if !match(job) {
			continue
		}
		switch {
		case job.started >= 0:
			spans = append(spans, float64(job.started-job.submitted)/1000)
		case job.phase == jobQueued:
			spans = append(spans, float64(d.now-job.submitted)/1000)
		}
	}
	return spans
}

func (d *driver) reportLarge(r *Report) {
	large := func(job *record) bool {
		return job.event.Adjacent && job.event.Members >= largeMembers && job.event.Accelerators >= largeAccelerators
	}
	waits := d.waits(large)
	r.LargeGangs = len(waits)
	r.LargeGangWaitP99S = percentile(waits, 0.99)
}

func (d *driver) reportClasses(r *Report) {
	for _, name := range d.setup.Targets.ClassNames() {
		ofClass := func(job *record) bool { return job.event.Class == name }
		c := ClassReport{Name: name, FinishWithinSec: d.setup.Targets.Classes[name].FinishWithin.Seconds()}
		for _, job := range d.order {
			if !ofClass(job) {
				continue
			}
			c.Jobs++
			if counts, met := d.met(job); counts && met {
				c.Met++
			} else if counts {
				c.Missed++
			}
		}
		c.CompletionP50S = percentile(d.completions(ofClass), 0.5)
		c.CompletionP99S = percentile(d.completions(ofClass), 0.99)
		c.WaitP99S = percentile(d.waits(ofClass), 0.99)
		r.Classes = append(r.Classes, c)
	}
}

func percentile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sort.Float64s(values)
	return values[int(math.Ceil(q*float64(len(values))))-1]
}

func meanAndMax(values []float64) (mean, worst float64) {
	if len(values) == 0 {
		return 0, 0
	}
	for _, value := range values {
		mean += value
		worst = max(worst, value)
	}
	return mean / float64(len(values)), worst
}
