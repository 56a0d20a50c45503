package batch

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/teaselcleat/teaselcleat/jobs"
	"github.com/teaselcleat/teaselcleat/logstream"
	"github.com/teaselcleat/teaselcleat/relay"
	"github.com/teaselcleat/teaselcleat/relay/relaypb"
)

const (
	// maxPeerAttempts bounds the instances that are tried for one call.
	maxPeerAttempts = 2
	// peerCallTimeout bounds a call to another instance: the network takes a millisecond, an
	// append 4 ms, or 0.3 s while the store is slow.
	peerCallTimeout = 500 * time.Millisecond
	// peerProbeTimeout bounds the question whether another instance reaches the store, which it answers
	// from what it knows.
	peerProbeTimeout = 200 * time.Millisecond
	// relayPause is how long no other instance is asked to write after none of those asked reached the
	// store.
	relayPause = 400 * time.Millisecond
	// peerBackoff is how long an instance is not called after it did not answer or had lost the
	// store too.
	peerBackoff = 700 * time.Millisecond
	// isolatedAfterFailures is the number of consecutive unanswered calls after which this
	// instance counts as cut off from the others as well, for isolationDuration: an outage of the
	// store leaves the others reachable, a network failure of this machine does not.
	isolatedAfterFailures = 2
	isolationDuration     = 600 * time.Millisecond
	// registerBackoff is the pause before a failed registration of this instance's address is
	// retried.
	registerBackoff = time.Second
)

// peers are the other instances, which may write records and look up jobs for this one while it
// cannot reach the store.
type peers struct {
	client *relay.Client
	clock  *Clock

	lock            sync.Mutex
	backoffUntil    map[string]time.Time // by address
	unansweredCalls int                  // consecutive calls without an answer
	failedAt        time.Time            // time of the last of these calls
	noneReachedAt   time.Time            // when instances were last asked to write and none reached the store
}

func newPeers(clock *Clock) *peers {
	return &peers{client: relay.NewClient(), clock: clock, backoffUntil: map[string]time.Time{}}
}

// chooseAddresses returns addresses of peers in random order, to spread load.
func (p *peers) chooseAddresses(instances map[string]jobs.Instance, self string) []string {
	p.lock.Lock()
	defer p.lock.Unlock()
	now := p.clock.Now()
	var list []string
	for name, instance := range instances {
		if name != self && instance.Address != "" && !now.Before(p.backoffUntil[instance.Address]) {
			list = append(list, instance.Address)
		}
	}
	rand.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	return list[:min(maxPeerAttempts, len(list))]
}

func (p *peers) backOff(address string) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.backoffUntil[address] = p.clock.Now().Add(peerBackoff)
}

func (p *peers) call(ctx context.Context, address string, call *relaypb.Call, timeout time.Duration) (*relaypb.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := p.client.Call(ctx, address, call)
	p.recordCall(err == nil)
	if err != nil {
		p.backOff(address)
	}
	return answer, err
}

// recordCall records whether a call was answered.
func (p *peers) recordCall(answered bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if answered {
		p.unansweredCalls = 0
		return
	}
	p.unansweredCalls++
	p.failedAt = p.clock.Now()
}

// isIsolated reports whether this instance seems to be cut off from all other instances.
func (p *peers) isIsolated() bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.unansweredCalls >= isolatedAfterFailures && p.clock.Now().Sub(p.failedAt) < isolationDuration
}

// write has another instance append a record. ErrNotApplied means that none did or will. An instance
// is first asked whether it reaches the store, as the outcome stays unknown if it does not answer once
// it has the record.
func (p *peers) write(ctx context.Context, addresses []string, record jobs.Record) error {
	call := &relaypb.Call{Body: &relaypb.Call_Write{Write: &relaypb.Write{Key: record.Key, Value: record.Value}}}
	result := ErrNotApplied
	reached := false
	for _, address := range addresses {
		if !p.reachesStore(ctx, address) {
			continue
		}
		reached = true
		answer, err := p.call(ctx, address, call, peerCallTimeout)
		switch {
		case err == nil && answer.Fate == relaypb.Fate_FATE_DONE:
			return nil
		case err == nil && answer.Fate == relaypb.Fate_FATE_NOT_DONE:
			p.backOff(address)
		case !errors.Is(err, relay.ErrNotSent):
			result = ErrResultUnknown
		}
	}
	if !reached {
		p.pauseRelaying()
	}
	return result
}

// reachesStore asks another instance whether it reaches the store.
func (p *peers) reachesStore(ctx context.Context, address string) bool {
	call := &relaypb.Call{Body: &relaypb.Call_Look{Look: &relaypb.Look{}}}
	answer, err := p.call(ctx, address, call, peerProbeTimeout)
	if err == nil && answer.Looked {
		return true
	}
	p.backOff(address)
	return false
}

func (p *peers) pauseRelaying() {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.noneReachedAt = p.clock.Now()
}

// isRelayingPaused reports whether none of the instances asked lately reached the store.
func (p *peers) isRelayingPaused() bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return !p.noneReachedAt.IsZero() && p.clock.Now().Sub(p.noneReachedAt) < relayPause
}

// lookUpJob has another instance read the state of a job; answered is false if none could.
func (p *peers) lookUpJob(ctx context.Context, addresses []string, id string) (state jobs.State, answered bool) {
	call := &relaypb.Call{Body: &relaypb.Call_Look{Look: &relaypb.Look{Job: id}}}
	for _, address := range addresses {
		answer, err := p.call(ctx, address, call, peerCallTimeout)
		if err == nil && answer.Looked {
			return jobs.State(answer.State), true
		}
		p.backOff(address)
	}
	return "", false
}

// writeRecord appends a caller's record, here or through another instance.
func (i *Instance) writeRecord(ctx context.Context, record jobs.Record) error {
	err := i.writeHere(ctx, record)
	if err == nil || errors.Is(err, ErrResultUnknown) && !errors.Is(err, errStoreUnreachable) {
		return err // the store is slow or loses answers for all instances
	}
	return i.relayRecord(ctx, record, err)
}

// relayRecord has another instance append a record after an append from here failed with err.
func (i *Instance) relayRecord(ctx context.Context, record jobs.Record, err error) error {
	if i.peers.isRelayingPaused() {
		return err
	}
	relayErr := i.peers.write(ctx, i.peerAddresses(), record)
	i.metrics.count("relay.write")
	if relayErr == nil {
		return nil
	}
	if errors.Is(err, ErrResultUnknown) {
		return err
	}
	return relayErr
}

// registeredInstances returns the registered instances by name. Some may have stopped.
func (i *Instance) registeredInstances() map[string]jobs.Instance {
	i.foldLock.Lock()
	defer i.foldLock.Unlock()
	return i.fold.table.Instances()
}

func (i *Instance) peerAddresses() []string {
	if i.peers.isIsolated() {
		return nil
	}
	return i.peers.chooseAddresses(i.registeredInstances(), i.settings.Name)
}

// HandleRelayedCall answers a call of another instance. It does not relay the call further.
func (i *Instance) HandleRelayedCall(ctx context.Context, call *relaypb.Call) *relaypb.Answer {
	switch body := call.Body.(type) {
	case *relaypb.Call_Write:
		return &relaypb.Answer{Fate: i.relayedWrite(ctx, body.Write)}
	case *relaypb.Call_Look:
		return i.relayedLookUp(ctx, body.Look.Job)
	case *relaypb.Call_Claim:
		return &relaypb.Answer{Fate: i.handleClaimRequest(ctx, body.Claim.Epoch)}
	}
	return &relaypb.Answer{Fate: relaypb.Fate_FATE_NOT_DONE}
}

func (i *Instance) relayedWrite(ctx context.Context, write *relaypb.Write) relaypb.Fate {
	record := jobs.Record{Key: write.Key, Value: write.Value}
	err := i.writeHere(ctx, record)
	switch {
	case err == nil:
		return relaypb.Fate_FATE_DONE
	case errors.Is(err, ErrNotApplied):
		return relaypb.Fate_FATE_NOT_DONE
	}
	return relaypb.Fate_FATE_UNKNOWN
}

// relayedLookUp answers whether this instance reaches the store if no job is named.
func (i *Instance) relayedLookUp(ctx context.Context, id string) *relaypb.Answer {
	if id == "" {
		return &relaypb.Answer{Looked: i.reachesStore(ctx)}
	}
	if !i.isLoaded() || !i.work.isReachable() {
		return &relaypb.Answer{}
	}
	state, outcome := i.localState(ctx, id, 0)
	switch outcome.Verdict {
	case Accepted:
		return &relaypb.Answer{Looked: true, State: string(state)}
	case NoSuchJob:
		return &relaypb.Answer{Looked: true}
	}
	return &relaypb.Answer{}
}

// registerAddress records this instance's address for the other instances, once per process.
func (i *Instance) registerAddress(ctx context.Context) {
	record, err := jobs.InstanceRecord(i.settings.Name, jobs.Instance{
		Address: i.settings.RelayAddress, Zone: i.settings.Zone, CPUShare: i.settings.CPUShare,
		MemoryMB: i.bounds.latest().MemoryBytes >> 20})
	if err != nil {
		i.log.WithField("error", err.Error()).Error("instance_record")
		return
	}
	// The address goes to one part only: in several, an earlier address could be read after a later one.
	part := partOf(record.Subject(), i.settings.StoreParts)
	for i.settings.RelayAddress != "" && ctx.Err() == nil {
		if i.isLoaded() && i.committerOf(part).write(ctx, record) == nil {
			return
		}
		logstream.Sleep(ctx, registerBackoff)
	}
}
