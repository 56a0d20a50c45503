package scheduler

import (
	"container/heap"
	"sort"
	"strings"

	"github.com/teaselcleat/teaselcleat/structs"
)

// job is a job that has not ended.
type job struct {
	spec        JobSpec
	seq         int64 // order of submission
	run         *run  // nil while queued
	runCount    int
	preemptions int
	failures    int     // failures on unknown workers, and repeated ones on a worker while no other worker would do
	failedNodes []*node // workers that it failed on and that were not quarantined since
	earlyLosses int     // runs in a row lost soon after their start
	progress    Time    // run time preserved by checkpoints
	resume      bool
	latestStart Time // deadline less the estimated remaining run time, as of the last enqueue
	order       Time // latestStart less orderBoost
	group       *group
	heapIndex   int // -1 when not queued
	reservation *reservation
	queuedSince Time
	nextTry     Time // earliest next attempt to make capacity for it
	avoidance   avoidance
}

// pinned reports whether runs of the job may not be stopped for others, as the job may not be
// repeated.
func (j *job) pinned() bool { return !j.spec.Idempotent || j.spec.Pinned }

func (j *job) failedOn(n *node) bool {
	for _, failed := range j.failedNodes {
		if failed == n {
			return true
		}
	}
	return false
}

// avoidedWorkers is a canonical string of the workers that the job failed on.
func (j *job) avoidedWorkers() string {
	names := make([]string, 0, len(j.failedNodes))
	for _, n := range j.failedNodes {
		names = append(names, n.spec.ID)
	}
	sort.Strings(names)
	return strings.Join(names, " ")
}

// groupKey identifies jobs that are equivalent in a search for a placement.
type groupKey struct {
	workspace string
	class     string
	shape     structs.Shape
	pinned    bool
	avoided   string // workers that the jobs failed on
}

// group holds equivalent queued jobs, ordered by latest start. If the first finds no
// placement, the others need not be tried.
type group struct {
	key   groupKey
	index int // in queue.groupList
	jobs  []*job
	schedulability
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (g *group) Len() int { return len(g.jobs) }
func (g *group) Less(i, j int) bool {
	if g.jobs[i].order != g.jobs[j].order {
		return g.jobs[i].order < g.jobs[j].order
	}
	return g.jobs[i].seq < g.jobs[j].seq
}
func (g *group) Swap(i, j int) {
	g.jobs[i], g.jobs[j] = g.jobs[j], g.jobs[i]
	g.jobs[i].heapIndex = i
	g.jobs[j].heapIndex = j
}
func (g *group) Push(x any) {
	added := x.(*job)
	added.heapIndex = len(g.jobs)
	g.jobs = append(g.jobs, added)
}
func (g *group) Pop() any {
	last := g.jobs[len(g.jobs)-1]
	g.jobs = g.jobs[:len(g.jobs)-1]
	last.heapIndex = -1
	return last
}

// queue holds the queued jobs in non-empty groups.
type queue struct {
	groups    map[groupKey]*group
	groupList []*group
	size      int
}

func newQueue() *queue { return &queue{groups: map[groupKey]*group{}} }

// add adds a job to the group of equivalent jobs.
func (q *queue) add(j *job) {
	key := groupKey{j.spec.Workspace, j.spec.Class, j.spec.Shape, j.pinned(), j.avoidedWorkers()}
	g := q.groups[key]
	if g == nil {
		g = &group{key: key, index: len(q.groupList)}
		q.groups[key] = g
		q.groupList = append(q.groupList, g)
	}
	j.group = g
	heap.Push(g, j)
	q.size++
}

func (q *queue) remove(j *job) {
	if j.heapIndex < 0 {
		return
	}
	heap.Remove(j.group, j.heapIndex)
	q.size--
	if len(j.group.jobs) == 0 {
		q.dropGroup(j.group)
	}
}

// dropGroup removes an empty group.
func (q *queue) dropGroup(g *group) {
	last := q.groupList[len(q.groupList)-1]
	q.groupList[g.index] = last
	last.index = g.index
	q.groupList[len(q.groupList)-1] = nil
	q.groupList = q.groupList[:len(q.groupList)-1]
	delete(q.groups, g.key)
}

// regroup moves a queued job to the group of its current key.
func (q *queue) regroup(j *job) {
	if j.heapIndex < 0 {
		return
	}
	q.remove(j)
	q.add(j)
}

// contender is the first job of a group in one scheduling pass.
type contender struct {
	job          *job
	missesTarget bool
}

// contenders is a heap of the first jobs of the groups: those whose target can still be met
// come first, then by latest start.
type contenders []contender

func (c contenders) Len() int { return len(c) }
func (c contenders) Less(i, j int) bool {
	if c[i].missesTarget != c[j].missesTarget {
		return !c[i].missesTarget
	}
	if c[i].job.order != c[j].job.order {
		return c[i].job.order < c[j].job.order
	}
	return c[i].job.seq < c[j].job.seq
}
func (c contenders) Swap(i, j int) { c[i], c[j] = c[j], c[i] }

// Push implements heap.Interface.
func (c *contenders) Push(x any) { *c = append(*c, x.(contender)) }

// Pop implements heap.Interface.
func (c *contenders) Pop() any {
	old := *c
	last := old[len(old)-1]
	*c = old[:len(old)-1]
	return last
}
