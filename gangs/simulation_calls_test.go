package gangs_test

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/teaselcleat/teaselcleat/gangs"
	"github.com/teaselcleat/teaselcleat/standin"
	"github.com/teaselcleat/teaselcleat/structs"
	"github.com/teaselcleat/teaselcleat/worker"
)

func (inst *instance) step(s *simulation, event gangs.Event) {
	if inst.term == 0 {
		return
	}
	for _, action := range inst.coordinator.Step(event, s.now) {
		switch a := action.(type) {
		case gangs.Call, gangs.Poll:
			inst.inFlight = append(inst.inFlight, pendingCall{action, inst.term})
		case gangs.AppendStart:
			inst.unflushed = append(inst.unflushed, structs.Record{Start: &a.Start})
			if s.mutation == startBeforeRecord {
				inst.step(s, gangs.StartRead{Run: a.Start.Run, Valid: true})
			}
		case gangs.AppendStop:
			inst.unflushed = append(inst.unflushed, structs.Record{Stop: &a.Stop})
		case gangs.AppendEnd:
			inst.unflushed = append(inst.unflushed, structs.Record{End: &a.End})
		case gangs.RunEnded:
			inst.busy = map[string]bool{}
		}
	}
}

// deliverCall executes one pending call at its worker; the answer may be lost.
func (s *simulation) deliverCall() {
	inst := s.drawInstance()
	if len(inst.inFlight) == 0 {
		return
	}
	index := rapid.IntRange(0, len(inst.inFlight)-1).Draw(s.t, "which call")
	sent := inst.inFlight[index]
	inst.inFlight = append(inst.inFlight[:index], inst.inFlight[index+1:]...)
	lost := rapid.IntRange(0, 9).Draw(s.t, "answer lost") == 0
	s.executeCall(inst, sent, lost)
}

func (s *simulation) executeCall(inst *instance, sent pendingCall, lost bool) {
	switch a := sent.action.(type) {
	case gangs.Call:
		err := s.callWorker(sent.term, a)
		if lost {
			err = fmt.Errorf("answer lost")
		}
		inst.step(s, gangs.CallEnded{Call: a, Err: err})
	case gangs.Poll:
		polledAt := s.now
		state, err := worker.State{}, fmt.Errorf("cut off")
		if !s.unreachable[a.Worker] {
			state, err = s.workers[a.Worker].Renew(worker.RenewRequest{Term: sent.term, Runs: a.Runs, TTL: leaseTTL})
		}
		if s.mutation == ignoreLostMembers {
			state, err = reportAsRunning(state, a.Runs), nil
		}
		inst.step(s, gangs.WorkerState{Worker: a.Worker, PolledAt: polledAt, State: state, Err: err})
	}
}

func reportAsRunning(state worker.State, runs []string) worker.State {
	for _, run := range runs {
		state.Tasks = append(state.Tasks, worker.Task{Run: run, Phase: worker.TaskRunning})
	}
	return state
}

func (s *simulation) callWorker(term int64, a gangs.Call) error {
	if s.unreachable[a.Worker] {
		return fmt.Errorf("cut off")
	}
	w := s.workers[a.Worker]
	order := worker.Order{Term: term, Run: a.Run, Checkpoint: a.Checkpoint, CheckpointTimeout: time.Second, MinLease: a.MinLease, Payload: s.jobs[a.Job].Payload}
	switch a.Kind {
	case gangs.CallReserve:
		err := w.Reserve(worker.ReserveRequest{Term: term, Run: a.Run, Job: a.Job, Accelerators: a.Accelerators, TTL: leaseTTL})
		if s.mutation == startWithoutAll {
			return nil
		}
		return err
	case gangs.CallStart:
		return s.startTask(w, a, order)
	case gangs.CallStop:
		return w.Stop(order)
	}
	return w.Release(order)
}

// startTask checks that every member holds its lease when the first task starts.
func (s *simulation) startTask(w *standin.Worker, a gangs.Call, order worker.Order) error {
	isFirst := len(s.workersExecuting(a.Run)) == 0 && !s.startedRuns[a.Job][a.Run]
	leaseCount := 0
	for _, name := range s.workerNames {
		if s.workers[name].HasLease(a.Run) {
			leaseCount++
		}
	}
	err := w.Start(order)
	if err != nil {
		return err
	}
	if isFirst && leaseCount < memberCount {
		s.t.Fatalf("run %s started with %d of %d members reserved", a.Run, leaseCount, memberCount)
	}
	if s.startedRuns[a.Job] == nil {
		s.startedRuns[a.Job] = map[string]bool{}
	}
	s.startedRuns[a.Job][a.Run] = true
	return nil
}

// workersExecuting returns the workers on which a task of the run executes.
func (s *simulation) workersExecuting(run string) []string {
	var names []string
	for _, name := range s.workerNames {
		for _, interval := range s.workers[name].History() {
			if interval.Run == run && interval.Until.IsZero() {
				names = append(names, name)
			}
		}
	}
	return names
}
