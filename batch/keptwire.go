package batch

import (
	"time"

	"github.com/teaselcleat/teaselcleat/jobs"
	"github.com/teaselcleat/teaselcleat/placing"
	"github.com/teaselcleat/teaselcleat/relay/relaypb"
)

// Conversions between the messages of a session and the values of this package.

func runPB(worker string, task jobs.TaskKey, number int) *relaypb.Run {
	return &relaypb.Run{Worker: worker, Job: task.Job, Occurrence: int64(task.Occurrence), Step: int64(task.Step),
		Index: int64(task.Index), Number: int64(number)}
}

func taskOf(run *relaypb.Run) jobs.TaskKey {
	return jobs.TaskKey{Job: run.GetJob(), Occurrence: int(run.GetOccurrence()), Step: int(run.GetStep()), Index: int(run.GetIndex())}
}

func watchedWorker(watch *relaypb.Watch) placing.WorkerEntry {
	return placing.WorkerEntry{ID: watch.Worker, Address: watch.Address, Name: watch.Name, BornMS: watch.BornMs, Zone: watch.Zone}
}

func startPB(order placing.Start, open bool) *relaypb.Start {
	return &relaypb.Start{Run: runPB(order.Worker, order.Task, order.Run), Spec: order.Spec, Checkpoint: order.Checkpoint,
		Ticket: order.Ticket, Open: open}
}

func startOf(order *relaypb.Start) placing.Start {
	return placing.Start{Task: taskOf(order.Run), Run: int(order.Run.GetNumber()), Worker: order.Run.GetWorker(), Spec: order.Spec,
		Checkpoint: order.Checkpoint, Ticket: order.Ticket}
}

func stopOf(run *relaypb.Run) placing.Stop {
	return placing.Stop{Task: taskOf(run), Run: int(run.GetNumber()), Worker: run.GetWorker()}
}

func pacePB(pace placing.Pace) *relaypb.Pace {
	return &relaypb.Pace{Run: runPB(pace.Worker, pace.Task, pace.Run), Percent: int64(pace.Percent)}
}

func paceOf(pace *relaypb.Pace) placing.Pace {
	return placing.Pace{Task: taskOf(pace.Run), Run: int(pace.Run.GetNumber()), Worker: pace.Run.GetWorker(), Percent: int(pace.Percent)}
}

// addAnswer adds an answer to a message sent now. shift leads from this instance's
// clock to the holder's, and is too small by the way of a message, if anything.
func addAnswer(message *relaypb.Kept, answer event, now time.Time, shift time.Duration) {
	switch answer := answer.(type) {
	case holdAnswered:
		message.Reports = append(message.Reports, reportPB(answer, now, shift))
	case unreachable:
		message.Silent = append(message.Silent, &relaypb.Silence{Worker: answer.worker, LapseIn: lapseIn(answer.lapseAt, now)})
	case released:
		message.Released = append(message.Released, &relaypb.Silence{Worker: answer.worker, LapseIn: lapseIn(answer.lapseAt, now)})
	case reborn:
		message.Reborn = append(message.Reborn, &relaypb.Rebirth{Worker: answer.worker, BornMs: answer.bornMS})
	case startAnswered:
		message.Started = append(message.Started, &relaypb.Started{Run: runPB(answer.worker, answer.task, answer.run), Result: int64(answer.result)})
	case stopAnswered:
		message.Stopped = append(message.Stopped, runPB(answer.worker, answer.task, answer.run))
	case paceAnswered:
		message.Paced = append(message.Paced, pacePB(answer.pace))
	}
}

// lapseIn is how far off a lapse is; one that is over is given as the shortest
// time, as 0 stands for no lease.
func lapseIn(lapseAt, now time.Time) int64 {
	if lapseAt.IsZero() {
		return 0
	}
	return max(1, lapseAt.Sub(now).Nanoseconds())
}

// lapseAfter is the lapse that a message which came at now speaks of. The message
// was sent earlier, so it may be later than the truth, never earlier.
func lapseAfter(lapseIn int64, now time.Time) time.Time {
	if lapseIn == 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(lapseIn))
}

func reportPB(answer holdAnswered, now time.Time, shift time.Duration) *relaypb.Report {
	report := &relaypb.Report{Worker: answer.worker, Sent: answer.sent.Add(shift).UnixNano(), LapseIn: lapseIn(answer.lapseAt, now)}
	for _, row := range answer.report.Running {
		report.Running = append(report.Running, &relaypb.Row{Run: runPB("", row.Task, row.Run), Checkpoint: row.Checkpoint,
			Percent: int64(row.Percent), Load: row.Load})
	}
	for _, end := range answer.report.Ended {
		report.Ended = append(report.Ended, &relaypb.End{Number: end.Number, Run: runPB("", end.Task, end.Run), How: string(end.How),
			Checkpoint: end.Checkpoint})
	}
	return report
}

func reportOf(report *relaypb.Report, now time.Time) holdAnswered {
	answer := holdAnswered{worker: report.Worker, sent: time.Unix(0, report.Sent), lapseAt: lapseAfter(report.LapseIn, now)}
	for _, row := range report.Running {
		answer.report.Running = append(answer.report.Running, placing.RunningTask{Task: taskOf(row.Run), Run: int(row.Run.GetNumber()),
			Checkpoint: row.Checkpoint, Percent: int(row.Percent), Load: row.Load})
	}
	for _, end := range report.Ended {
		answer.report.Ended = append(answer.report.Ended, placing.EndedTask{Number: end.Number, Task: taskOf(end.Run),
			Run: int(end.Run.GetNumber()), How: placing.How(end.How), Checkpoint: end.Checkpoint})
	}
	return answer
}
