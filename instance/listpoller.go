package instance

import (
	"context"
	"sync"
	"time"

	"github.com/teaselcleat/teaselcleat/logstream"
	"github.com/teaselcleat/teaselcleat/membership"
)

const (
	listInterval     = 500 * time.Millisecond
	listTimeout      = 2 * time.Second
	pollsPerAnnounce = 2 // announce at every second poll
)

// listPoller polls the platform's instance list. If a poll fails, the last list
// remains in use.
type listPoller struct {
	instance *Instance
	mu       sync.Mutex
	workers  map[string]membership.Member
	loaded   bool
}

func newListPoller(i *Instance) *listPoller {
	return &listPoller{instance: i, workers: map[string]membership.Member{}}
}

func (p *listPoller) run(ctx context.Context) {
	for round := 0; ctx.Err() == nil; round++ {
		if round%pollsPerAnnounce == 0 {
			p.announce(ctx)
		}
		p.poll(ctx)
		logstream.Sleep(ctx, listInterval)
	}
}

func (p *listPoller) announce(ctx context.Context) {
	i := p.instance
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	self := membership.Member{
		ID: i.settings.Name, Role: membership.RoleInstance, Boot: i.boot, Leaving: i.draining.Load(),
		Address: i.HTTPAddress(), PeerAddress: i.PeerAddress(),
		Region: i.settings.Region, AvailabilityZone: i.settings.AvailabilityZone,
	}
	if err := i.instanceList.Announce(ctx, self); err != nil {
		i.log.WithField("error", err.Error()).Debug("announce_failed")
	}
}

func (p *listPoller) poll(ctx context.Context) {
	i := p.instance
	listCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := i.instanceList.List(listCtx)
	if err != nil {
		i.log.WithField("error", err.Error()).Debug("list_failed")
		return
	}
	i.link.Update(ctx, list)
	i.slots.updateRunners(list, i.now())
	p.setWorkers(list)
}

// setWorkers stores the workers that are not leaving and are listed in this instance's
// region or without a region.
func (p *listPoller) setWorkers(list []membership.Member) {
	workers := map[string]membership.Member{}
	for _, entry := range list {
		sameRegion := entry.Region == "" || entry.Region == p.instance.settings.Region
		if entry.Role == membership.RoleWorker && !entry.Leaving && sameRegion {
			workers[entry.ID] = entry
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.workers = workers
	p.loaded = true
}

// Workers returns the listed workers; ok is false before the first list was read.
func (p *listPoller) Workers() (workers map[string]membership.Member, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.workers, p.loaded
}
