package instance

import (
	"context"
	"sync"
	"time"

	"github.com/teaselcleat/teaselcleat/logstream"
	"github.com/teaselcleat/teaselcleat/membership"
)

const (
	listEvery    = 500 * time.Millisecond
	listTimeout  = 2 * time.Second
	announceTick = 2 // announce at every second look
)

// roster is the duty that follows the platform's list. When the list cannot be
// read, the last one stands.
type roster struct {
	instance *Instance
	mu       sync.Mutex
	workers  map[string]membership.Listed
	known    bool
}

func newRoster(i *Instance) *roster {
	return &roster{instance: i, workers: map[string]membership.Listed{}}
}

func (r *roster) run(ctx context.Context) {
	for look := 0; ctx.Err() == nil; look++ {
		if look%announceTick == 0 {
			r.announce(ctx)
		}
		r.look(ctx)
		logstream.Sleep(ctx, listEvery)
	}
}

func (r *roster) announce(ctx context.Context) {
	i := r.instance
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	self := membership.Listed{
		ID: i.settings.Name, Role: membership.RoleInstance, Boot: i.boot, Leaving: i.draining.Load(),
		Address: i.HTTPAddress(), PeerAddress: i.PeerAddress(),
		Region: i.settings.Region, AvailabilityZone: i.settings.AvailabilityZone,
	}
	if err := i.list.Announce(ctx, self); err != nil {
		i.log.WithField("error", err.Error()).Debug("announce_failed")
	}
}

func (r *roster) look(ctx context.Context) {
	i := r.instance
	bounded, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := i.list.List(bounded)
	if err != nil {
		i.log.WithField("error", err.Error()).Debug("list_failed")
		return
	}
	i.link.Update(ctx, list)
	i.dispatch.update(list, i.now())
	r.setWorkers(list)
}

// setWorkers keeps the workers of this instance's region that are not leaving.
func (r *roster) setWorkers(list []membership.Listed) {
	workers := map[string]membership.Listed{}
	for _, entry := range list {
		ours := entry.Region == "" || entry.Region == r.instance.settings.Region
		if entry.Role == membership.RoleWorker && !entry.Leaving && ours {
			workers[entry.ID] = entry
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workers = workers
	r.known = true
}

// Workers returns the listed workers; ok is false before the first list.
func (r *roster) Workers() (workers map[string]membership.Listed, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.workers, r.known
}
