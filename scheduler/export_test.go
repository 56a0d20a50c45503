package scheduler

import (
	"fmt"
	"strings"
)

// Describe prints the witness, the workers and the queued jobs for test failures.
func (s *Scheduler) Describe() string {
	var b strings.Builder
	for _, sl := range s.witness.slots {
		fmt.Fprintf(&b, "\nslot %s %s on", sl.workspace, sl.shape)
		for i, n := range sl.nodes {
			fmt.Fprintf(&b, " %s(used %d)", n.spec.ID, sl.used[i])
		}
	}
	for _, n := range s.cluster.nodes {
		fmt.Fprintf(&b, "\nnode %s up=%t quarantined=%t probation=%t free=%d guaranteed=%d pinned=%d reserved=%t runs:", n.spec.ID, n.up, n.quarantined,
			n.probation, n.free, n.guaranteed, n.pinned, len(n.reservations) > 0)
		for _, r := range n.runs {
			fmt.Fprintf(&b, " %s(%d,inside=%t,pinned=%t,stopping=%t)", r.id, r.accelerators, r.insideGuarantee(), r.pinned, r.stopping)
		}
	}
	for _, g := range s.queue.groupList {
		for _, j := range g.jobs {
			fmt.Fprintf(&b, "\nqueued %s of %s %s reservation=%+v", j.spec.ID, j.spec.Workspace, j.spec.Shape, j.reservation)
		}
	}
	return b.String()
}
