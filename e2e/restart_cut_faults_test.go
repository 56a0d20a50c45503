package e2e

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/teaselcleat/teaselcleat/standin"
)

// unlistOthers removes the entries of the workers that join later.
func (r *restartCut) unlistOthers() {
	for _, m := range r.machines {
		if r.plan.othersJoin && m.zone != r.zone {
			r.store.Put("keyed.servers", m.name, nil)
		}
	}
}

// restartAndCut crashes a worker, starts its next incarnation at the same address and cuts that
// off for a time.
func (r *restartCut) restartAndCut(m *machine, faults *sync.WaitGroup) {
	hold := func() {
		if r.late {
			m.proxy.SetFaults(standin.ProxyFaults{HoldToTarget: true})
		}
	}
	if r.plan.afterPoll {
		r.waitPollAnswered(m, hold)
	} else {
		hold()
	}
	time.Sleep(r.plan.heldBefore)
	crashedAt := time.Now()
	r.firstCrash.Do(func() { r.schedule(faults) })
	m.crashSilently(r.late)
	time.Sleep(darkDuration)
	r.addIncarnation(m.startIncarnation())
	m.proxy.SetFaults(standin.ProxyFaults{})
	if r.late {
		time.AfterFunc(time.Until(crashedAt.Add(r.plan.heldUntil)), m.proxy.ReleaseHeld)
	}
	time.Sleep(time.Until(crashedAt.Add(r.plan.cutAfter)))
	m.cut(r.plan.cutDuration, r.plan.removeAfter)
}

// schedule schedules what follows the first crash.
func (r *restartCut) schedule(faults *sync.WaitGroup) {
	faults.Go(func() {
		time.Sleep(r.plan.submitUntil)
		close(r.stop)
	})
	for _, m := range r.machines {
		if r.plan.othersJoin && m.zone != r.zone {
			time.AfterFunc(r.plan.cutAfter, func() { m.register(m.currentIncarnation()) })
		}
	}
	if r.kill {
		faults.Go(func() {
			time.Sleep(r.plan.killAfter)
			r.killLeader()
		})
	}
}

// waitPollAnswered waits for an answer to a poll, which lists ends if the plan says so, and calls a
// function before it is sent. The next poll is sent when the answer has arrived.
func (r *restartCut) waitPollAnswered(m *machine, beforeAnswer func()) {
	answered := make(chan struct{})
	m.mu.Lock()
	m.pollAnswered = func(ends int) (last bool) {
		if r.plan.afterEnds && ends == 0 {
			return false
		}
		beforeAnswer()
		close(answered)
		return true
	}
	m.mu.Unlock()
	<-answered
}

// crashSilently ends the current incarnation. Calls on open connections, and on those that are
// opened while the faults last, get no answer. If late is set, they reach the next incarnation
// when they are released.
func (m *machine) crashSilently(late bool) {
	m.proxy.SetFaults(standin.ProxyFaults{LoseToTarget: !late, HoldToTarget: late, LoseFromTarget: true})
	m.mu.Lock()
	defer m.mu.Unlock()
	m.incarnation.Halt()
	m.incarnation = nil
}

// cut blocks both directions between the instances and the machine for a time. Its entry is
// removed meanwhile.
func (m *machine) cut(duration, removeAfter time.Duration) {
	m.mu.Lock()
	m.cutOff = true
	incarnation := m.incarnation
	m.mu.Unlock()
	m.proxy.SetFaults(standin.ProxyFaults{BlockToTarget: true, BlockFromTarget: true})
	time.Sleep(removeAfter)
	m.fleet.store.Put("keyed.servers", m.name, nil)
	time.Sleep(duration - removeAfter)
	m.proxy.SetFaults(standin.ProxyFaults{})
	m.mu.Lock()
	m.cutOff = false
	m.mu.Unlock()
	m.register(incarnation)
}

// killLeader kills the leader, and starts another instance under its name later.
func (r *restartCut) killLeader() {
	leader := r.leader()
	r.instancesMu.Lock()
	r.instances = slices.DeleteFunc(r.instances, func(i *frontInstance) bool { return i == leader })
	r.instancesMu.Unlock()
	_ = leader.cmd.Process.Kill() // the process exists
	// The exit status only repeats the signal.
	_ = leader.cmd.Wait()
	r.copyLog(leader)
	time.Sleep(killDuration)
	r.instancesMu.Lock()
	defer r.instancesMu.Unlock()
	r.startInstance(leader.name)
}

// submitJobs submits jobs until it is stopped.
func (r *restartCut) submitJobs() {
	for {
		select {
		case <-r.stop:
			return
		case <-time.After(jobInterval):
		}
		r.instancesMu.Lock()
		instance := r.instances[r.random.IntN(len(r.instances))]
		r.instancesMu.Unlock()
		body := longSingleJob
		if r.plan.shortInterval > 0 && len(r.ids)%r.plan.shortInterval == 0 {
			body = shortSingleJob
		}
		id := fmt.Sprintf("%016x", 0xc0000+r.nextID)
		r.nextID++
		if status, _ := r.call(instance, http.MethodPost, id, "key-a", body); status == http.StatusOK {
			r.ids = append(r.ids, id)
		}
	}
}

// allStarted reports whether each accepted task runs on a live worker or is done.
func (r *restartCut) allStarted() bool {
	running := map[string]bool{}
	for _, worker := range r.allIncarnations() {
		for _, task := range worker.Tasks() {
			running[task] = true
		}
	}
	for _, id := range r.ids {
		if task := id + ".0.0.0"; !running[task] && r.completions(task) == 0 {
			return false
		}
	}
	return true
}

// check reports tasks that ran twice, and acknowledgements that reached a wrong incarnation.
func (r *restartCut) check() {
	reported := map[string]bool{}
	for _, violation := range r.checker.Violations() {
		r.t.Error(violation)
		task, _, _ := strings.Cut(violation, " ")
		if !reported[task] {
			reported[task] = true
			r.printTask(task)
		}
	}
	r.checkAcks()
}

// printTask prints the starts and ends of a task and the log lines of its job and of the workers.
func (r *restartCut) printTask(task string) {
	r.t.Logf("%s:\n%s", task, strings.Join(r.checker.History(task), "\n"))
	job, _, _ := strings.Cut(task, ".")
	for _, instance := range r.instances {
		content, err := os.ReadFile(instance.logFile.Name())
		if err != nil {
			r.t.Error(err)
			continue
		}
		for _, line := range strings.Split(string(content), "\n") {
			if strings.Contains(line, job) || strings.Contains(line, "msg=worker_") {
				r.t.Logf("%s: %s", instance.name, line)
			}
		}
	}
}

func (r *restartCut) copyLogs() {
	for _, instance := range r.instances {
		r.copyLog(instance)
	}
}

// copyLog copies the log of an instance to the folder of -restartcut.logs, if it is set.
func (r *restartCut) copyLog(instance *frontInstance) {
	if *restartCutLogs == "" {
		return
	}
	content, err := os.ReadFile(instance.logFile.Name())
	if err != nil {
		r.t.Error(err)
		return
	}
	name := fmt.Sprintf("%s-%s-%d", strings.ReplaceAll(r.t.Name(), "/", "-"), instance.name, instance.cmd.Process.Pid)
	if err := os.WriteFile(filepath.Join(*restartCutLogs, name), content, 0o600); err != nil {
		r.t.Error(err)
	}
}
