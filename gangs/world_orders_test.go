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

func (h *holder) do(w *world, event gangs.Event) {
	if h.term == 0 {
		return
	}
	for _, action := range h.coordinator.Step(event, w.now) {
		switch a := action.(type) {
		case gangs.Call, gangs.Poll:
			h.inFlight = append(h.inFlight, flight{action, h.term})
		case gangs.AppendStart:
			h.writer = append(h.writer, structs.Record{Start: &a.Start})
			if w.broken == startBeforeRecord {
				h.do(w, gangs.StartRead{Run: a.Start.Run, Valid: true})
			}
		case gangs.AppendStop:
			h.writer = append(h.writer, structs.Record{Stop: &a.Stop})
		case gangs.AppendEnd:
			h.writer = append(h.writer, structs.Record{End: &a.End})
		case gangs.RunEnded:
			h.busy = map[string]bool{}
		}
	}
}

// arrive lets one call reach its worker; its answer may be lost.
func (w *world) arrive() {
	h := w.draw()
	if len(h.inFlight) == 0 {
		return
	}
	index := rapid.IntRange(0, len(h.inFlight)-1).Draw(w.t, "which call")
	sent := h.inFlight[index]
	h.inFlight = append(h.inFlight[:index], h.inFlight[index+1:]...)
	lost := rapid.IntRange(0, 9).Draw(w.t, "answer lost") == 0
	w.deliver(h, sent, lost)
}

func (w *world) deliver(h *holder, sent flight, lost bool) {
	switch a := sent.action.(type) {
	case gangs.Call:
		err := w.call(sent.term, a)
		if lost {
			err = fmt.Errorf("answer lost")
		}
		h.do(w, gangs.CallEnded{Call: a, Err: err})
	case gangs.Poll:
		asked := w.now
		state, err := worker.State{}, fmt.Errorf("cut off")
		if !w.cut[a.Worker] {
			state, err = w.workers[a.Worker].Renew(worker.Renew{Term: sent.term, Runs: a.Runs, TTL: ttl})
		}
		if w.broken == ignoreLostMembers {
			state, err = pretendRunning(state, a.Runs), nil
		}
		h.do(w, gangs.WorkerState{Worker: a.Worker, Asked: asked, State: state, Err: err})
	}
}

func pretendRunning(state worker.State, runs []string) worker.State {
	for _, run := range runs {
		state.Tasks = append(state.Tasks, worker.Task{Run: run, Phase: worker.TaskRunning})
	}
	return state
}

func (w *world) call(term int64, a gangs.Call) error {
	if w.cut[a.Worker] {
		return fmt.Errorf("cut off")
	}
	to := w.workers[a.Worker]
	order := worker.Order{Term: term, Run: a.Run, Checkpoint: a.Checkpoint, Within: time.Second, MinLease: a.MinLease, Payload: w.ids[a.Job].Payload}
	switch a.Kind {
	case gangs.CallReserve:
		err := to.Reserve(worker.Reserve{Term: term, Run: a.Run, Job: a.Job, Accelerators: a.Accelerators, TTL: ttl})
		if w.broken == startWithoutAll {
			return nil
		}
		return err
	case gangs.CallStart:
		return w.start(to, a, order)
	case gangs.CallStop:
		return to.Stop(order)
	}
	return to.Release(order)
}

// start checks that every member holds its lease when the first task starts.
func (w *world) start(to *standin.Worker, a gangs.Call, order worker.Order) error {
	first := len(w.executing(a.Run)) == 0 && !w.started[a.Job][a.Run]
	held := 0
	for _, name := range w.names {
		if w.workers[name].Holds(a.Run) {
			held++
		}
	}
	err := to.Start(order)
	if err != nil {
		return err
	}
	if first && held < members {
		w.t.Fatalf("run %s started with %d of %d members reserved", a.Run, held, members)
	}
	if w.started[a.Job] == nil {
		w.started[a.Job] = map[string]bool{}
	}
	w.started[a.Job][a.Run] = true
	return nil
}

// executing lists the workers on which a run's task executes now.
func (w *world) executing(run string) []string {
	var names []string
	for _, name := range w.names {
		for _, interval := range w.workers[name].History() {
			if interval.Run == run && interval.Until.IsZero() {
				names = append(names, name)
			}
		}
	}
	return names
}
