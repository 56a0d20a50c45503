package placing

import (
	"testing"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// The free capacity of a rack is the sum of what its nodes have free, also where a node is
// in use beyond its capacity, as runs of a former leader may have it.
func TestRackCapacityFollowsItsNodes(t *testing.T) {
	is := is.New(t)
	nodes := []*node{{entry: testWorker("a", "r1-1")}, {entry: testWorker("b", "r1-1")}, {entry: testWorker("c", "r1-2")}}
	capacity := nodes[0].entry.Capacity
	nodes[1].used = capacity.Add(capacity)
	view := newView(nodes)
	is.Equal(view.rackFree[0], milliCoreEquivalents(capacity))
	need := jobs.Resources{MilliCores: 8000, Accelerators: 8}
	view.allocate(nodes[0], need)
	view.release(nodes[1], need)
	is.Equal(view.rackFree[0], milliCoreEquivalents(capacity.Sub(need)))
	view.release(nodes[0], need)
	is.Equal(view.rackFree[0], milliCoreEquivalents(capacity))
	copied := view.copy()
	copied.allocate(nodes[2], need)
	is.Equal(view.rackFree[1], milliCoreEquivalents(capacity))
}
