package scheduler

import (
	"fmt"
	"strings"
)

// Describe shows the witness, the workers and the blocked jobs, for failures of
// tests.
func (s *Scheduler) Describe() string {
	var b strings.Builder
	for _, known := range s.witness.slots {
		fmt.Fprintf(&b, "\nslot %s %s on", known.workspace, known.shape)
		for i, n := range known.nodes {
			fmt.Fprintf(&b, " %s(used %d)", n.spec.ID, known.used[i])
		}
	}
	for _, n := range s.cluster.nodes {
		fmt.Fprintf(&b, "\nnode %s up=%t quarantined=%t probation=%t free=%d promised=%d pinned=%d reserved=%t runs:", n.spec.ID, n.up, n.quarantined,
			n.probation, n.free, n.promised, n.pinned, len(n.reserved) > 0)
		for _, r := range n.runs {
			fmt.Fprintf(&b, " %s(%d,inside=%t,pinned=%t,stopping=%t)", r.id, r.accelerators, r.inside(), r.pinned, r.stopping)
		}
	}
	for _, g := range s.queue.order {
		for _, j := range g.jobs {
			fmt.Fprintf(&b, "\nqueued %s of %s %s reservation=%+v", j.spec.ID, j.spec.Workspace, j.spec.Shape, j.reservation)
		}
	}
	return b.String()
}
