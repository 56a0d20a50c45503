package batch

import (
	"time"

	"github.com/teaselcleat/teaselcleat/jobs"
	"github.com/teaselcleat/teaselcleat/placing"
	"github.com/teaselcleat/teaselcleat/relay/relaypb"
)

// Conversions between the messages of a session and the values of this package. The messages say
// lapse for the expiry of a lease, and Start.Open for maybeSent.

func runToPB(worker string, task jobs.TaskKey, number int) *relaypb.Run {
	return &relaypb.Run{Worker: worker, Job: task.Job, Occurrence: int64(task.Occurrence), Step: int64(task.Step),
		Index: int64(task.Index), Number: int64(number)}
}

func taskFromPB(run *relaypb.Run) jobs.TaskKey {
	return jobs.TaskKey{Job: run.GetJob(), Occurrence: int(run.GetOccurrence()), Step: int(run.GetStep()), Index: int(run.GetIndex())}
}

func workerFromPB(watch *relaypb.Watch) placing.WorkerEntry {
	return placing.WorkerEntry{ID: watch.Worker, Address: watch.Address, Name: watch.Name, BornMS: watch.BornMs, Zone: watch.Zone}
}

func startToPB(order placing.Start, maybeSent bool) *relaypb.Start {
	return &relaypb.Start{Run: runToPB(order.Worker, order.Task, order.Run), Spec: order.Spec, Checkpoint: order.Checkpoint,
		Ticket: order.Ticket, Open: maybeSent}
}

func startFromPB(order *relaypb.Start) placing.Start {
	return placing.Start{Task: taskFromPB(order.Run), Run: int(order.Run.GetNumber()), Worker: order.Run.GetWorker(), Spec: order.Spec,
		Checkpoint: order.Checkpoint, Ticket: order.Ticket}
}

func stopFromPB(run *relaypb.Run) placing.Stop {
	return placing.Stop{Task: taskFromPB(run), Run: int(run.GetNumber()), Worker: run.GetWorker()}
}

func paceToPB(pace placing.Pace) *relaypb.Pace {
	return &relaypb.Pace{Run: runToPB(pace.Worker, pace.Task, pace.Run), Percent: int64(pace.Percent)}
}

func paceFromPB(pace *relaypb.Pace) placing.Pace {
	return placing.Pace{Task: taskFromPB(pace.Run), Run: int(pace.Run.GetNumber()), Worker: pace.Run.GetWorker(), Percent: int(pace.Percent)}
}

// addAnswer adds an answer to a message sent at now. clockOffset converts times of this
// instance's clock to the leader's. It is too small by the transit time of a message, if at all.
func addAnswer(message *relaypb.Kept, answer event, now time.Time, clockOffset time.Duration) {
	switch answer := answer.(type) {
	case holdReply:
		message.Reports = append(message.Reports, reportToPB(answer, now, clockOffset))
	case holdFailure:
		message.Silent = append(message.Silent, &relaypb.Silence{Worker: answer.worker, LapseIn: timeToExpiry(answer.expiry, now)})
	case release:
		message.Released = append(message.Released, &relaypb.Silence{Worker: answer.worker, LapseIn: timeToExpiry(answer.expiry, now)})
	case incarnationChange:
		message.Reborn = append(message.Reborn, &relaypb.Rebirth{Worker: answer.worker, BornMs: answer.bornMS})
	case startReply:
		message.Started = append(message.Started, &relaypb.Started{Run: runToPB(answer.worker, answer.task, answer.run), Result: int64(answer.result),
			Origin: int64(answer.origin)})
	case stopReply:
		message.Stopped = append(message.Stopped, runToPB(answer.worker, answer.task, answer.run))
	case paceReply:
		message.Paced = append(message.Paced, paceToPB(answer.pace))
	}
}

// timeToExpiry returns the time until an expiry, in nanoseconds. An expiry in the past is encoded
// as 1, as 0 stands for no lease.
func timeToExpiry(expiry, now time.Time) int64 {
	if expiry.IsZero() {
		return 0
	}
	return max(1, expiry.Sub(now).Nanoseconds())
}

// expiryTime returns the time of the expiry given in a message received at now. The message was
// sent earlier, so the result may be too late, but never too early.
func expiryTime(nanos int64, now time.Time) time.Time {
	if nanos == 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(nanos))
}

func reportToPB(answer holdReply, now time.Time, clockOffset time.Duration) *relaypb.Report {
	report := &relaypb.Report{Worker: answer.worker, Sent: answer.sent.Add(clockOffset).UnixNano(), LapseIn: timeToExpiry(answer.expiry, now)}
	for _, row := range answer.report.Running {
		report.Running = append(report.Running, &relaypb.Row{Run: runToPB("", row.Task, row.Run), Checkpoint: row.Checkpoint,
			Percent: int64(row.Percent), Load: row.Load})
	}
	for _, end := range answer.report.Ended {
		report.Ended = append(report.Ended, &relaypb.End{Number: end.Number, Run: runToPB("", end.Task, end.Run), How: string(end.Kind),
			Checkpoint: end.Checkpoint})
	}
	return report
}

func reportFromPB(report *relaypb.Report, now time.Time) holdReply {
	answer := holdReply{worker: report.Worker, sent: time.Unix(0, report.Sent), expiry: expiryTime(report.LapseIn, now)}
	for _, row := range report.Running {
		answer.report.Running = append(answer.report.Running, placing.RunningTask{Task: taskFromPB(row.Run), Run: int(row.Run.GetNumber()),
			Checkpoint: row.Checkpoint, Percent: int(row.Percent), Load: row.Load})
	}
	for _, end := range report.Ended {
		answer.report.Ended = append(answer.report.Ended, placing.EndedTask{Number: end.Number, Task: taskFromPB(end.Run),
			Run: int(end.Run.GetNumber()), Kind: placing.EndKind(end.How), Checkpoint: end.Checkpoint})
	}
	return answer
}
