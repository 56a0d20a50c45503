package batch

import (
	"context"
	"slices"
	"time"

	"github.com/teaselcleat/teaselcleat/relay/relaypb"
	"github.com/teaselcleat/teaselcleat/sharing"
)

// assignWorkers assigns each worker to a dispatcher, if something has changed or the last pass is
// assignInterval ago.
func (d *dispatchers) assignWorkers(now time.Time) {
	if !d.changed && now.Sub(d.assignedAt) < d.assignInterval() {
		return
	}
	d.assignedAt = now
	d.changed = false
	d.updateSharding()
	if d.sharded {
		d.openSessions(now)
	}
	delegates := d.delegates()
	d.hasUnassigned = false
	for _, w := range d.workers {
		d.assign(w, delegates, now)
		d.hasUnassigned = d.hasUnassigned || w.state == unassigned
	}
	d.updateStatus()
}

// assignInterval returns the interval between assignment passes, which is short while workers have
// no dispatcher.
func (d *dispatchers) assignInterval() time.Duration {
	if d.hasUnassigned {
		return tickInterval
	}
	return idleAssignInterval
}

func (d *dispatchers) updateSharding() {
	sharded := d.shardingSwitch.Update(len(d.workers))
	if sharded == d.sharded {
		return
	}
	d.sharded = sharded
	d.leader.log.WithField("shared", sharded).WithField("workers", len(d.workers)).Info("sharing_changed")
}

// openSessions opens sessions until as many are open or being opened as the number of workers
// requires.
func (d *dispatchers) openSessions(now time.Time) {
	counts := map[string]int{}
	for _, w := range d.workers {
		counts[w.entry.Zone]++
	}
	i := d.leader.instance
	instances := i.registeredInstances()
	var candidates []sharing.Instance
	for name, instance := range instances {
		if name == i.settings.Name || instance.Address == "" || now.Before(d.backoffs[name].until) {
			continue
		}
		if s := d.sessions[name]; s != nil && s.draining {
			continue
		}
		candidates = append(candidates, sharing.Instance{Name: name, Zone: instance.Zone, Weight: instance.CPUShare})
	}
	chosen := sharing.SelectDelegates(counts, candidates)
	missing := len(chosen) - len(d.opening)
	for _, s := range d.sessions {
		if !s.draining {
			missing--
		}
	}
	for _, name := range chosen {
		if missing <= 0 {
			return
		}
		if d.sessions[name] == nil && d.opening[name].IsZero() {
			missing--
			d.opening[name] = now
			d.openSession(name, instances[name].Address)
		}
	}
}

// openSession connects to an instance. The session becomes current with the instance's first
// message.
func (d *dispatchers) openSession(name, address string) {
	l := d.leader
	request := &relaypb.Keep{Epoch: l.epoch, Holder: l.instance.settings.Name, Lives: true}
	putEvent := func(ctx context.Context, e event) { l.events.Put(ctx, e) }
	l.spawn(l.ctx, func(ctx context.Context) {
		dialCtx, cancel := context.WithTimeout(ctx, sessionOpenTimeout)
		defer cancel()
		stream, err := d.dial(dialCtx, address, request)
		if err != nil {
			putEvent(ctx, openFailure{name: name, cause: err.Error()})
			return
		}
		newSession(ctx, name, stream, l.clock, l.leasesUntil, putEvent).run()
	})
}

// delegates returns the instances that workers may be assigned to now.
func (d *dispatchers) delegates() []sharing.Instance {
	if !d.sharded {
		return nil
	}
	var delegates []sharing.Instance
	instances := d.leader.instance.registeredInstances()
	for name, s := range d.sessions {
		if !s.draining {
			s.maxWorkers = sharing.MaxShardSize(instances[name].CPUShare)
			delegates = append(delegates, sharing.Instance{Name: name, Zone: instances[name].Zone, Weight: instances[name].CPUShare})
		}
	}
	return delegates
}

// assign assigns one worker to the chosen instance. An assigned worker is first released by its
// current instance. It stays with an instance that may dispatch to it, unless the worker does not answer
// there or the shard has grown too large: a move costs more than an uneven shard.
func (d *dispatchers) assign(w *workerAssignment, delegates []sharing.Instance, now time.Time) {
	if w.state == releasing || w.state == unassigned && d.awaitsSession(w, now) {
		return
	}
	avoid := ""
	if now.Before(w.avoidUntil) {
		avoid = w.avoidInstance
	}
	if w.state == assigned {
		chosen := sharing.ChooseDelegate(w.entry.Name, w.entry.Zone, avoid, delegates)
		if w.instance != chosen && !d.hasRecentOpening(now) && !d.mayRemain(w, avoid) {
			d.release(w)
		}
		return
	}
	available := d.withCapacity(delegates)
	if len(available) > 0 {
		delegates = available
	} else if len(d.opening) > 0 && now.Sub(w.unassignedSince) < capacityWait {
		return
	}
	d.assignTo(w, sharing.ChooseDelegate(w.entry.Name, w.entry.Zone, avoid, delegates))
}

// awaitsSession reports whether a worker should wait for sessions that are being opened. With no
// open session it waits longer, because otherwise all workers would be assigned to the leader.
func (d *dispatchers) awaitsSession(w *workerAssignment, now time.Time) bool {
	if !d.sharded || len(d.opening) == 0 {
		return false
	}
	if len(d.sessions) == 0 {
		return now.Sub(w.unassignedSince) < capacityWait
	}
	return now.Sub(w.unassignedSince) < sessionOpenWait
}

// hasRecentOpening reports whether the opening of a session began less than sessionOpenWait ago.
func (d *dispatchers) hasRecentOpening(now time.Time) bool {
	for _, since := range d.opening {
		if now.Sub(since) < sessionOpenWait {
			return true
		}
	}
	return false
}

// withCapacity returns the instances whose shard is below its maximum size.
func (d *dispatchers) withCapacity(delegates []sharing.Instance) []sharing.Instance {
	return slices.DeleteFunc(slices.Clone(delegates), func(delegate sharing.Instance) bool {
		s := d.sessions[delegate.Name]
		return s.workers >= s.maxWorkers
	})
}

func (d *dispatchers) assignTo(w *workerAssignment, instance string) {
	w.state = assigned
	w.instance = instance
	if s := d.sessions[instance]; s != nil {
		s.workers++
	}
	target := d.dispatcherOf(w)
	target.addWorker(w.entry)
	for _, order := range w.pendingStarts {
		target.start(order, true)
	}
}

// mayRemain reports whether a worker may stay with its current dispatcher.
func (d *dispatchers) mayRemain(w *workerAssignment, avoid string) bool {
	if w.instance == ownInstance {
		return !d.sharded || len(d.sessions) == 0
	}
	s := d.sessions[w.instance]
	return d.sharded && s != nil && !s.draining && w.instance != avoid && s.workers <= s.maxWorkers
}

func (d *dispatchers) release(w *workerAssignment) {
	w.state = releasing
	if w.instance != ownInstance {
		d.sessions[w.instance].release(w.entry.ID)
		return
	}
	l := d.leader
	worker := w.entry.ID
	d.ownLinks.release(worker, func(expiry time.Time) {
		l.events.Put(l.ctx, ownLinkEvent{event: release{worker: worker, expiry: expiry}})
	})
}

// updateStatus publishes how many workers each dispatcher has.
func (d *dispatchers) updateStatus() {
	status := &ShardingStatus{Sharded: d.sharded, Delegates: map[string]int{}}
	for _, w := range d.workers {
		switch {
		case w.state != assigned:
			status.MovingWorkers++
		case w.instance == ownInstance:
			status.OwnWorkers++
		default:
			status.Delegates[w.instance]++
		}
	}
	i := d.leader.instance
	i.shardingStatus.Store(status)
	i.metrics.sessions.Update(int64(len(d.sessions)))
	i.metrics.ownWorkers.Update(int64(status.OwnWorkers))
	i.metrics.movingWorkers.Update(int64(status.MovingWorkers))
}
