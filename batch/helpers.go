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
	// helperTries is how many other instances are asked for one call.
	helperTries = 2
	// helperTimeout bounds one such call: the way there takes a millisecond, an
	// append 4 ms, or 0.3 s while the store is slow.
	helperTimeout = 500 * time.Millisecond
	// helperRest is how long an instance that did not answer, or that has lost
	// the store too, is not asked again.
	helperRest = 700 * time.Millisecond
	// aloneAfter calls of others in a row that none answered, this instance counts
	// as cut off from them as well, for aloneFor: the store's outages leave the
	// others in reach, a cut of this machine does not.
	aloneAfter = 2
	aloneFor   = 600 * time.Millisecond
	// registerAgain is the pause before the own address is written again after
	// a failure.
	registerAgain = time.Second
)

// helpers are the other instances, as far as this one may ask them to write or
// to look while the store is out of its own reach.
type helpers struct {
	client *relay.Client
	clock  *Clock

	lock     sync.Mutex
	restsTo  map[string]time.Time // by address
	unheard  int                  // calls in a row that nobody answered
	failedAt time.Time            // the last of them
}

func newHelpers(clock *Clock) *helpers {
	return &helpers{client: relay.NewClient(), clock: clock, restsTo: map[string]time.Time{}}
}

// choose returns addresses to ask, at random so that load spreads.
func (h *helpers) choose(known map[string]jobs.Instance, self string) []string {
	h.lock.Lock()
	defer h.lock.Unlock()
	now := h.clock.Now()
	var list []string
	for name, instance := range known {
		if name != self && instance.Address != "" && !now.Before(h.restsTo[instance.Address]) {
			list = append(list, instance.Address)
		}
	}
	rand.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	return list[:min(helperTries, len(list))]
}

func (h *helpers) rest(address string) {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.restsTo[address] = h.clock.Now().Add(helperRest)
}

func (h *helpers) call(ctx context.Context, address string, call *relaypb.Call) (*relaypb.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, helperTimeout)
	defer cancel()
	answer, err := h.client.Call(ctx, address, call)
	h.count(err == nil)
	if err != nil {
		h.rest(address)
	}
	return answer, err
}

// count takes whether a call was answered.
func (h *helpers) count(heard bool) {
	h.lock.Lock()
	defer h.lock.Unlock()
	if heard {
		h.unheard = 0
		return
	}
	h.unheard++
	h.failedAt = h.clock.Now()
}

// alone reports whether none of the others seems to be in reach.
func (h *helpers) alone() bool {
	h.lock.Lock()
	defer h.lock.Unlock()
	return h.unheard >= aloneAfter && h.clock.Now().Sub(h.failedAt) < aloneFor
}

// write has another instance append a record. ErrNotDone says that none did or
// will.
func (h *helpers) write(ctx context.Context, addresses []string, record jobs.Record) error {
	call := &relaypb.Call{Body: &relaypb.Call_Write{Write: &relaypb.Write{Key: record.Key, Value: record.Value}}}
	result := ErrNotDone
	for _, address := range addresses {
		answer, err := h.call(ctx, address, call)
		switch {
		case err == nil && answer.Fate == relaypb.Fate_FATE_DONE:
			return nil
		case err == nil && answer.Fate == relaypb.Fate_FATE_NOT_DONE:
			h.rest(address)
		case !errors.Is(err, relay.ErrNotSent):
			result = ErrUnknown
		}
	}
	return result
}

// look has another instance read what became of a job. looked is false if none
// could.
func (h *helpers) look(ctx context.Context, addresses []string, id string) (state jobs.State, looked bool) {
	call := &relaypb.Call{Body: &relaypb.Call_Look{Look: &relaypb.Look{Job: id}}}
	for _, address := range addresses {
		answer, err := h.call(ctx, address, call)
		if err == nil && answer.Looked {
			return jobs.State(answer.State), true
		}
		h.rest(address)
	}
	return "", false
}

// write appends a caller's record, here or through another instance.
func (i *Instance) write(ctx context.Context, record jobs.Record) error {
	err := ErrNotDone
	if i.mayWrite(ctx, record) {
		err = i.committer(record).write(ctx, record)
	}
	if err == nil || errors.Is(err, ErrUnknown) && !errors.Is(err, errOutOfReach) {
		return err // the store is slow or loses answers, for others as well
	}
	helped := i.helpers.write(ctx, i.helperAddresses(), record)
	i.metrics.count("relay.write")
	if helped == nil {
		return nil
	}
	if errors.Is(err, ErrUnknown) {
		return err
	}
	return helped
}

// mayWrite reports whether an append from here is likely to be answered. What is
// sent to a store that has just gone away stays open, and its caller is told of
// neither yes nor no: 35 of some 1,200 hand-ins on days with an outage of the store
// for all. Of the reads that wait one is cut at once, so after any that was not
// answered the part is asked before it is written to.
func (i *Instance) mayWrite(ctx context.Context, record jobs.Record) bool {
	if !i.loaded() || !i.work.inContact() || i.committer(record).doubtful(i.work.heardAt()) {
		return false
	}
	part := i.follower(partOf(record.Subject(), i.settings.StoreParts))
	if part.answeredSince(time.Unix(0, i.readLostAt.Load())) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, freshTimeout)
	defer cancel()
	return part.refresh(ctx, 0) == nil
}

// instances are those that have made themselves known, by name. Some may be gone.
func (i *Instance) instances() map[string]jobs.Instance {
	i.foldLock.Lock()
	defer i.foldLock.Unlock()
	return i.fold.table.Instances()
}

func (i *Instance) helperAddresses() []string {
	if i.helpers.alone() {
		return nil
	}
	return i.helpers.choose(i.instances(), i.settings.Name)
}

// Relayed answers a call of another instance. It asks no third one.
func (i *Instance) Relayed(ctx context.Context, call *relaypb.Call) *relaypb.Answer {
	switch body := call.Body.(type) {
	case *relaypb.Call_Write:
		return &relaypb.Answer{Fate: i.relayedWrite(ctx, body.Write)}
	case *relaypb.Call_Look:
		return i.relayedLook(ctx, body.Look.Job)
	case *relaypb.Call_Claim:
		return &relaypb.Answer{Fate: i.relayedClaim(ctx, body.Claim.Epoch)}
	}
	return &relaypb.Answer{Fate: relaypb.Fate_FATE_NOT_DONE}
}

func (i *Instance) relayedWrite(ctx context.Context, write *relaypb.Write) relaypb.Fate {
	record := jobs.Record{Key: write.Key, Value: write.Value}
	if !i.mayWrite(ctx, record) {
		return relaypb.Fate_FATE_NOT_DONE
	}
	err := i.committer(record).write(ctx, record)
	switch {
	case err == nil:
		return relaypb.Fate_FATE_DONE
	case errors.Is(err, ErrNotDone):
		return relaypb.Fate_FATE_NOT_DONE
	}
	return relaypb.Fate_FATE_UNKNOWN
}

func (i *Instance) relayedLook(ctx context.Context, id string) *relaypb.Answer {
	if !i.loaded() || !i.work.inContact() {
		return &relaypb.Answer{}
	}
	state, outcome := i.ownState(ctx, id, 0)
	switch outcome.Verdict {
	case Accepted:
		return &relaypb.Answer{Looked: true, State: string(state)}
	case NoSuchJob:
		return &relaypb.Answer{Looked: true}
	}
	return &relaypb.Answer{}
}

// register writes where this instance answers others, once.
func (i *Instance) register(ctx context.Context) {
	record, err := jobs.InstanceRecord(i.settings.Name, jobs.Instance{
		Address: i.settings.RelayAddress, Zone: i.settings.Zone, CPUShare: i.settings.CPUShare})
	if err != nil {
		i.log.WithField("error", err.Error()).Error("instance_record")
		return
	}
	for i.settings.RelayAddress != "" && ctx.Err() == nil {
		if i.loaded() && i.committer(record).write(ctx, record) == nil {
			return
		}
		logstream.Sleep(ctx, registerAgain)
	}
}
