package e2e

import (
	"fmt"
	"slices"

	"github.com/teaselcleat/teaselcleat/adapters/fronthttp"
	"github.com/teaselcleat/teaselcleat/service"
)

// waitTasksExecute waits until a job has executed on as many workers. The phase of the job does
// not tell: it is running as soon as its start is recorded, before any worker was asked to start.
func (s *system) waitTasksExecute(job string, workers int) {
	s.t.Helper()
	eventually(s.t, "the tasks of "+job+" execute", func() bool {
		count := 0
		for _, intervals := range s.intervalsByRun() {
			for _, interval := range intervals {
				if interval.Job == job {
					count++
				}
			}
		}
		return count >= workers
	})
}

// leader waits for and returns the live instance that leads the current term.
func (s *system) leader() *process {
	s.t.Helper()
	var leader *process
	eventually(s.t, "a live leader", func() bool {
		for _, p := range s.liveInstances() {
			status, err := getJSON[service.Status](s.t, p, "/v1/status")
			if err == nil && status.TermLeader == fmt.Sprintf("%s/%d", status.Name, status.Boot) {
				leader = p
			}
		}
		return leader != nil
	})
	return leader
}

// anyEvent reports whether the timeline of any live instance has an event.
func (s *system) anyEvent(name, subject, detail string) bool {
	return slices.ContainsFunc(s.liveInstances(), func(p *process) bool { return p.hasEvent(name, subject, detail) })
}

// hasEvent reports whether the timeline of an instance has an event.
func (p *process) hasEvent(name, subject, detail string) bool {
	body, err := getJSON[fronthttp.EventsBody](p.t, p, "/v1/timeline")
	if err != nil {
		return false
	}
	for _, event := range body.Events {
		if event.Name == name && event.Subject == subject && event.Detail == detail {
			return true
		}
	}
	return false
}

// printTimeline logs the timeline events of an instance.
func (p *process) printTimeline() {
	body, err := getJSON[fronthttp.EventsBody](p.t, p, "/v1/timeline")
	if err != nil {
		return
	}
	for _, event := range body.Events {
		p.t.Logf("%+v", event)
	}
}
