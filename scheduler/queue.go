package scheduler

import (
	"container/heap"
	"sort"
	"strings"

	"github.com/teaselcleat/teaselcleat/structs"
)

// job is one job that has not ended.
type job struct {
	spec        JobSpec
	seq         int64 // order of submission
	run         *run  // nil while queued
	runs        int
	preemptions int
	failures    int
	blamed      []*node
	earlyLosses int  // runs in a row that were lost soon after their start
	progress    Time // run time that checkpoints preserved
	resume      bool
	latestStart Time // deadline less the estimated rest, when last queued
	order       Time // latestStart, brought forward for shapes that are hard to place
	group       *group
	position    int // in the group's heap; -1 when not queued
	reservation *reservation
	waitSince   Time
	nextTry     Time // when room may be made for it again
	heeds       doubt
}

// pinned reports whether a run of the job may not be stopped for others.
func (j *job) pinned() bool { return !j.spec.Idempotent || j.spec.Pinned }

func (j *job) blames(n *node) bool {
	for _, known := range j.blamed {
		if known == n {
			return true
		}
	}
	return false
}

// avoided names the workers that failed the job, the same for the same set of them.
func (j *job) avoided() string {
	names := make([]string, 0, len(j.blamed))
	for _, n := range j.blamed {
		names = append(names, n.spec.ID)
	}
	sort.Strings(names)
	return strings.Join(names, " ")
}

// groupKey names jobs that are alike to the placement search.
type groupKey struct {
	workspace string
	class     string
	shape     structs.Shape
	pinned    bool
	avoided   string // workers that failed the jobs
}

// group holds queued jobs that are alike, by latest start. When its first job
// finds no place, the others need not be tried.
type group struct {
	key  groupKey
	at   int // in the queue's order
	jobs []*job
	unheld
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
	g.jobs[i].position = i
	g.jobs[j].position = j
}
func (g *group) Push(x any) {
	added := x.(*job)
	added.position = len(g.jobs)
	g.jobs = append(g.jobs, added)
}
func (g *group) Pop() any {
	last := g.jobs[len(g.jobs)-1]
	g.jobs = g.jobs[:len(g.jobs)-1]
	last.position = -1
	return last
}

// queue holds the jobs that wait, in groups that have some.
type queue struct {
	groups map[groupKey]*group
	order  []*group
	size   int
}

func newQueue() *queue { return &queue{groups: map[groupKey]*group{}} }

func (q *queue) add(j *job) {
	key := groupKey{j.spec.Workspace, j.spec.Class, j.spec.Shape, j.pinned(), j.avoided()}
	g := q.groups[key]
	if g == nil {
		g = &group{key: key, at: len(q.order)}
		q.groups[key] = g
		q.order = append(q.order, g)
	}
	j.group = g
	heap.Push(g, j)
	q.size++
}

func (q *queue) remove(j *job) {
	if j.position < 0 {
		return
	}
	heap.Remove(j.group, j.position)
	q.size--
	if len(j.group.jobs) == 0 {
		q.drop(j.group)
	}
}

func (q *queue) drop(empty *group) {
	last := q.order[len(q.order)-1]
	q.order[empty.at] = last
	last.at = empty.at
	q.order[len(q.order)-1] = nil
	q.order = q.order[:len(q.order)-1]
	delete(q.groups, empty.key)
}

// regroup moves a job to those that it is now alike to, if it is queued.
func (q *queue) regroup(j *job) {
	if j.position < 0 {
		return
	}
	q.remove(j)
	q.add(j)
}

// contender is a group's first job in one pass over the queue.
type contender struct {
	job      *job
	hopeless bool
}

// contenders is a heap of groups' first jobs: those whose target can still be
// met first, then by latest start.
type contenders []contender

func (c contenders) Len() int { return len(c) }
func (c contenders) Less(i, j int) bool {
	if c[i].hopeless != c[j].hopeless {
		return !c[i].hopeless
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
