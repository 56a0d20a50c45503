package batch

import (
	"context"
	"slices"
	"time"

	"github.com/teaselcleat/teaselcleat/relay/relaypb"
	"github.com/teaselcleat/teaselcleat/sharing"
)

// divide gives each worker to the instance that is to drive it, if something has
// changed or the last look is some time ago.
func (d *drivers) divide(now time.Time) {
	if !d.changed && now.Sub(d.lookedAt) < d.lookEvery() {
		return
	}
	d.lookedAt = now
	d.changed = false
	d.switchSharing()
	if d.shared {
		d.openSessions(now)
	}
	keepers := d.keepers()
	d.waiting = false
	for _, known := range d.workers {
		d.settle(known, keepers, now)
		d.waiting = d.waiting || known.state == drivenByNone
	}
	d.count()
}

// lookEvery is how often the division is looked at: often while workers wait for a driver.
func (d *drivers) lookEvery() time.Duration {
	if d.waiting {
		return leadTick
	}
	return shareLook
}

func (d *drivers) switchSharing() {
	shared := d.sharing.See(len(d.workers))
	if shared == d.shared {
		return
	}
	d.shared = shared
	d.leader.log.WithField("shared", shared).WithField("workers", len(d.workers)).Info("sharing_changed")
}

// openSessions opens sessions while fewer are open, or on their way, than the
// workers ask for.
func (d *drivers) openSessions(now time.Time) {
	counts := map[string]int{}
	for _, known := range d.workers {
		counts[known.entry.Zone]++
	}
	i := d.leader.instance
	instances := i.instances()
	var candidates []sharing.Instance
	for name, instance := range instances {
		if name == i.settings.Name || instance.Address == "" || now.Before(d.resting[name].until) {
			continue
		}
		if s := d.sessions[name]; s != nil && s.draining {
			continue
		}
		candidates = append(candidates, sharing.Instance{Name: name, Zone: instance.Zone, Weight: instance.CPUShare})
	}
	wanted := sharing.Wanted(counts, candidates)
	missing := len(wanted) - len(d.opening)
	for _, s := range d.sessions {
		if !s.draining {
			missing--
		}
	}
	for _, name := range wanted {
		if missing <= 0 {
			return
		}
		if d.sessions[name] == nil && d.opening[name].IsZero() {
			missing--
			d.opening[name] = now
			d.open(name, instances[name].Address)
		}
	}
}

// open connects to an instance. The session counts once that has spoken.
func (d *drivers) open(name, address string) {
	l := d.leader
	keep := &relaypb.Keep{Epoch: l.epoch, Holder: l.instance.settings.Name, Lives: true}
	events := func(ctx context.Context, next event) { l.events.Put(ctx, next) }
	l.start(l.ctx, func(ctx context.Context) {
		dial, cancel := context.WithTimeout(ctx, openTimeout)
		defer cancel()
		stream, err := d.dial(dial, address, keep)
		if err != nil {
			events(ctx, sessionFailed{name: name, reason: err.Error()})
			return
		}
		newSession(ctx, name, stream, l.clock, events).run()
	})
}

// keepers are the instances that may drive workers now.
func (d *drivers) keepers() []sharing.Instance {
	if !d.shared {
		return nil
	}
	var list []sharing.Instance
	instances := d.leader.instance.instances()
	for name, s := range d.sessions {
		if !s.draining {
			s.most = sharing.Most(instances[name].CPUShare)
			list = append(list, sharing.Instance{Name: name, Zone: instances[name].Zone, Weight: instances[name].CPUShare})
		}
	}
	return list
}

// settle gives one worker to whom it belongs. From an instance that drives it it
// is first taken away; it stays with one that may drive it, unless it does not
// answer there or the share has grown too large: a move costs more than an uneven
// share.
func (d *drivers) settle(known *driven, keepers []sharing.Instance, now time.Time) {
	if known.state == drivenLeaving || known.state == drivenByNone && d.waits(known, now) {
		return
	}
	avoid := ""
	if now.Before(known.avoidUntil) {
		avoid = known.avoid
	}
	if known.state == drivenByOne {
		chosen := sharing.Choose(known.entry.Name, known.entry.Zone, avoid, keepers)
		if known.keeper != chosen && !d.justOpening(now) && !d.mayStay(known, avoid) {
			d.takeAway(known)
		}
		return
	}
	roomy := d.withRoom(keepers)
	if len(roomy) > 0 {
		keepers = roomy
	} else if len(d.opening) > 0 && now.Sub(known.alone) < roomPatience {
		return
	}
	d.give(known, sharing.Choose(known.entry.Name, known.entry.Zone, avoid, keepers))
}

// waits reports whether a worker had better wait for sessions that are being opened. With
// none open at all it waits longer, as all workers would go to the holder.
func (d *drivers) waits(known *driven, now time.Time) bool {
	if !d.shared || len(d.opening) == 0 {
		return false
	}
	if len(d.sessions) == 0 {
		return now.Sub(known.alone) < roomPatience
	}
	return now.Sub(known.alone) < openPatience
}

// justOpening reports whether a session has begun to be opened a moment ago.
func (d *drivers) justOpening(now time.Time) bool {
	for _, since := range d.opening {
		if now.Sub(since) < openPatience {
			return true
		}
	}
	return false
}

// withRoom are those of some instances that do not drive as many workers yet as they may
// come to.
func (d *drivers) withRoom(keepers []sharing.Instance) []sharing.Instance {
	return slices.DeleteFunc(slices.Clone(keepers), func(keeper sharing.Instance) bool {
		s := d.sessions[keeper.Name]
		return s.workers >= s.most
	})
}

func (d *drivers) give(known *driven, keeper string) {
	known.state = drivenByOne
	known.keeper = keeper
	if s := d.sessions[keeper]; s != nil {
		s.workers++
	}
	to := d.driverOf(known)
	to.watch(known.entry)
	for _, order := range known.starts {
		to.start(order, true)
	}
}

// mayStay reports whether a worker may go on being driven as it is.
func (d *drivers) mayStay(known *driven, avoid string) bool {
	if known.keeper == ownKeeper {
		return !d.shared || len(d.sessions) == 0
	}
	s := d.sessions[known.keeper]
	return d.shared && s != nil && !s.draining && known.keeper != avoid && s.workers <= s.most
}

func (d *drivers) takeAway(known *driven) {
	known.state = drivenLeaving
	if known.keeper != ownKeeper {
		d.sessions[known.keeper].release(known.entry.ID)
		return
	}
	l := d.leader
	worker := known.entry.ID
	d.own.release(worker, func(lapseAt time.Time) {
		l.events.Put(l.ctx, ownAnswer{answer: released{worker: worker, lapseAt: lapseAt}})
	})
}

// count says how the workers are reached now.
func (d *drivers) count() {
	status := &SharingStatus{Shared: d.shared, Keepers: map[string]int{}}
	for _, known := range d.workers {
		switch {
		case known.state != drivenByOne:
			status.Moving++
		case known.keeper == ownKeeper:
			status.Own++
		default:
			status.Keepers[known.keeper]++
		}
	}
	i := d.leader.instance
	i.sharing.Store(status)
	i.metrics.sessions.Update(int64(len(d.sessions)))
	i.metrics.ownWorkers.Update(int64(status.Own))
	i.metrics.moving.Update(int64(status.Moving))
}
