package placing

import (
	"fmt"
	"maps"
	"time"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// A run on record at a worker that is gone counts until every lease has expired that a former leader
// may have granted there. That time does not begin anew with each leader: a leader states on record
// which workers it has not reached, and the next one takes over the time for these. Before a
// worker of the statement is polled, the statement without it has to be durable. So a leader that the
// store fences off never polls a worker that it is taken not to have reached.

// unreachedWorkers is what the engine has inherited and stated of workers that a leader has not
// reached. It refers to them by name, as orders do, whatever their incarnation.
type unreachedWorkers struct {
	inherited map[string]time.Time // when all leases there expire
	reached   map[string]bool      // workers that may have been polled in this term
	returned  map[string]bool      // listed workers that wait until they are no longer stated
	wanted    map[string]int64     // what the next statement is to say, see jobs.Unreached
	requested map[string]int64     // what the newest statement was to say, before it was cut to the size of a record
	inFlight  map[string]int64     // the statement whose record is in flight; nil if none is
	durable   map[string]int64     // the newest durable statement of this term
}

// referenceName returns the name by which statements refer to a worker.
func (w *WorkerEntry) referenceName() string {
	if w.Name == "" {
		return w.ID
	}
	return w.Name
}

// LoadUnreached takes over the newest statement on record; nil means none. It is called after
// SetFormerLeases, if that is called, and before LoadJobs.
func (e *Engine) LoadUnreached(stated *jobs.Unreached) {
	if stated == nil || stated.Epoch != e.epoch-1 || e.formerLeasesExpireAt.IsZero() || len(stated.LeadMS) == 0 {
		return
	}
	for name, lead := range stated.LeadMS {
		e.unreached.inherited[name] = e.formerLeasesExpireAt.Add(-time.Duration(lead) * time.Millisecond)
	}
	e.plan.LogEvents = append(e.plan.LogEvents, LogEvent{Event: "unreached_loaded", Detail: fmt.Sprintf("workers %d", len(stated.LeadMS))})
}

// reach reports whether a listed worker may be polled; it is taken to be polled from then on.
func (u *unreachedWorkers) reach(name string) bool {
	_, inFlight := u.inFlight[name]
	_, durable := u.durable[name]
	if inFlight || durable {
		u.returned[name] = true
		return false
	}
	u.reached[name] = true
	delete(u.inherited, name)
	return true
}

// updateUnreached determines what the next statement is to say: the workers with runs on record that
// are not listed and were not reached in this term. While the list is incomplete it adds none, as a
// worker that is alive would be polled late.
func (e *Engine) updateUnreached() {
	u := &e.unreached
	u.wanted = map[string]int64{}
	for _, n := range e.nodeOrder {
		name := n.entry.referenceName()
		if n.listed || len(n.runs) == 0 || u.reached[name] || u.returned[name] {
			continue
		}
		if _, stated := u.requested[name]; e.listIncomplete && !stated {
			continue
		}
		u.wanted[name] = e.leadOf(name)
	}
}

// leadOf returns by how many milliseconds all leases on a worker that was not reached expire earlier
// than the last of those that were granted before this term.
func (e *Engine) leadOf(name string) int64 {
	expireAt, ok := e.unreached.inherited[name]
	if !ok {
		return 0
	}
	return max(0, e.formerLeasesExpireAt.Sub(expireAt).Milliseconds())
}

// unreachedChanged reports whether a new statement is to be recorded.
func (e *Engine) unreachedChanged() bool {
	return !maps.Equal(e.unreached.wanted, e.unreached.requested)
}

// recordUnreached adds a new statement to a group of progress if there is one. A full group gets none.
func (e *Engine) recordUnreached() {
	full := len(e.changedJobs) > 0
	if full || !e.unreachedChanged() {
		return
	}
	u := &e.unreached
	u.requested = u.wanted
	stated, err := jobs.NewUnreached(e.epoch, u.wanted)
	if err != nil {
		panic("placing: unreached workers cannot be encoded: " + err.Error())
	}
	record, err := jobs.UnreachedRecord(stated)
	if err != nil {
		panic("placing: unreached workers cannot be encoded: " + err.Error())
	}
	u.inFlight = stated.LeadMS
	e.plan.Records = append(e.plan.Records, record)
	e.plan.LogEvents = append(e.plan.LogEvents, LogEvent{Event: "unreached_stated", Detail: fmt.Sprintf("workers %d", len(stated.LeadMS))})
}

// commitUnreached takes the statement in flight as durable. Listed workers that it no longer names may
// be polled now.
func (e *Engine) commitUnreached() {
	u := &e.unreached
	if u.inFlight == nil {
		return
	}
	u.durable, u.inFlight = u.inFlight, nil
	for name := range u.returned {
		if _, stated := u.durable[name]; !stated {
			e.plan.RelistWorkers = true
		}
	}
}
