package standin

import (
	"strconv"
	"strings"
	"sync"
	"time"
)

// GangCoordinator coordinates gang tasks across the workers of a fleet. The tasks of a
// gang start their work when all have joined, and end together. The first step of a job
// whose spec is "gangN" is a gang of N tasks.
type GangCoordinator struct {
	JoinTimeout time.Duration // how long a gang waits for all its tasks

	mu   sync.Mutex
	runs map[string]*gangRun // by step name and run number
}

// NewGangCoordinator returns a coordinator without gangs.
func NewGangCoordinator(joinTimeout time.Duration) *GangCoordinator {
	return &GangCoordinator{JoinTimeout: joinTimeout, runs: map[string]*gangRun{}}
}

// gangRun is the state of one run of a gang.
type gangRun struct {
	coordinator *GangCoordinator
	size        int
	members     []gangMember
	startedAt   time.Time // zero until all tasks have joined
	ended       bool
	timer       *time.Timer
}

type gangMember struct {
	worker *TaskWorker
	task   string
	run    *taskRun
}

// gangSize returns the number of tasks in a task's gang; 0 if it is in none.
func gangSize(task, spec string) int {
	parts := strings.Split(task, ".")
	if len(parts) != 4 || parts[2] != "0" {
		return 0
	}
	size, err := strconv.Atoi(strings.TrimPrefix(spec, "gang"))
	if err != nil {
		return 0
	}
	return size
}

// stepName returns a task's name without its last component, the task's index.
func stepName(task string) string { return task[:strings.LastIndexByte(task, '.')] }

// join adds a started task to the run of its gang. The caller holds the worker's lock.
func (g *GangCoordinator) join(size int, member gangMember) *gangRun {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := stepName(member.task) + "/" + strconv.Itoa(member.run.number)
	gang := g.runs[key]
	if gang == nil || gang.ended {
		gang = &gangRun{coordinator: g, size: size}
		gang.timer = time.AfterFunc(g.JoinTimeout, func() { gang.endAll("alone") })
		g.runs[key] = gang
	}
	gang.members = append(gang.members, member)
	if len(gang.members) == size {
		gang.timer.Stop()
		gang.startedAt = time.Now()
		gang.timer = time.AfterFunc(member.run.duration, func() { gang.endAll("done") })
	}
	return gang
}

// breakUp ends the run after one member ended by itself; the others end as broken. The
// caller holds the member's worker's lock, so the run ends on another goroutine.
func (g *gangRun) breakUp() {
	go g.endAll("broken")
}

// endAll ends all members that still run. The caller must not hold a worker's lock.
func (g *gangRun) endAll(outcome string) {
	g.coordinator.mu.Lock()
	if g.ended {
		g.coordinator.mu.Unlock()
		return
	}
	g.ended = true
	g.timer.Stop()
	members := g.members
	g.coordinator.mu.Unlock()
	for _, member := range members {
		member.worker.endMember(member.task, member.run, outcome)
	}
}

// startTime returns the time at which the last member joined; zero before that.
func (g *gangRun) startTime() time.Time {
	g.coordinator.mu.Lock()
	defer g.coordinator.mu.Unlock()
	return g.startedAt
}

// memberTasks returns the names of all tasks in the gang of a task.
func (g *gangRun) memberTasks(task string) []string {
	tasks := make([]string, g.size)
	for i := range tasks {
		tasks[i] = stepName(task) + "." + strconv.Itoa(i)
	}
	return tasks
}
