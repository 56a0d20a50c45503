package instance

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"

	"github.com/teaselcleat/teaselcleat/balancer"
	"github.com/teaselcleat/teaselcleat/ledger"
	"github.com/teaselcleat/teaselcleat/requests"
	"github.com/teaselcleat/teaselcleat/service"
	"github.com/teaselcleat/teaselcleat/structs"
	"github.com/teaselcleat/teaselcleat/upstream"
)

// refusedRetryAfter is returned to callers that are refused before any attempt.
const refusedRetryAfter = time.Second

// Request implements service.Service.
func (i *Instance) Request(ctx context.Context, request service.Request) requests.Finish {
	i.inFlight.Add(1)
	defer i.inFlight.Add(-1)
	arrivedAt := i.now()
	spec, refusal := i.admitRequest(request, arrivedAt)
	if refusal != nil {
		resolved := i.resolveRefusal(request, *refusal)
		i.recordFinish(request, resolved)
		return resolved
	}
	execution := &execution{
		instance: i,
		request:  request,
		spec:     *spec,
		id:       i.newID(),
		events:   make(chan requests.Event, 4),
	}
	finish := execution.run(ctx)
	metrics.GetOrRegisterTimer("request.time."+request.Class, i.registry).UpdateSince(arrivedAt)
	i.recordFinish(request, finish)
	return finish
}

// resolveRefusal replaces the refusal of a request by the state of its key if the key
// is in the ledger: work that ran must not be reported as not run only because this
// instance cannot accept it now. Before the streams are read the state of no key is
// known, so a request with a key is refused with the outcome unknown.
func (i *Instance) resolveRefusal(request service.Request, refusal requests.Finish) requests.Finish {
	if request.Key == "" {
		return refusal
	}
	if refusal.Reason == structs.ReasonNotReady {
		refusal.Outcome = structs.OutcomeUnknown
		return refusal
	}
	entry := i.replica.Key(structs.KeyID{Workspace: request.Workspace, Key: request.Key})
	if entry == nil || entry.Phase == ledger.KeyReleased {
		return refusal
	}
	lost := entry.Phase == ledger.KeyOpen && i.claimHolderLost(entry.Claim)
	return requests.AnswerFromEntry(entry, request.Class, xxhash.Sum64(request.Body), lost)
}

// admitRequest performs the checks that precede the state machine of a request.
func (i *Instance) admitRequest(request service.Request, arrivedAt time.Time) (*requests.Spec, *requests.Finish) {
	refuse := func(reason structs.Reason, retryAfter time.Duration) (*requests.Spec, *requests.Finish) {
		return nil, &requests.Finish{Outcome: structs.OutcomeNotRun, Reason: reason, RetryAfter: retryAfter}
	}
	switch {
	case i.draining.Load():
		return refuse(structs.ReasonDraining, refusedRetryAfter)
	case !i.ready():
		return refuse(structs.ReasonNotReady, refusedRetryAfter)
	case i.inFlight.Load() > int64(i.settings.MaxInFlight):
		return refuse(structs.ReasonQueueFull, refusedRetryAfter)
	}
	current, _ := i.replica.Targets()
	class, exists := current.Classes[request.Class]
	if !exists {
		return refuse(structs.ReasonUnknownClass, 0)
	}
	if _, exists := current.Workspaces[request.Workspace]; !exists {
		return refuse(structs.ReasonUnknownWorkspace, 0)
	}
	if !validKey(request.Key, class.Idempotent) {
		return refuse(structs.ReasonBadRequest, 0)
	}
	if !class.Idempotent && !i.logAvailable() {
		return refuse(structs.ReasonLogUnavailable, refusedRetryAfter)
	}
	return &requests.Spec{
		Key:        structs.KeyID{Workspace: request.Workspace, Key: request.Key},
		Class:      request.Class,
		Idempotent: class.Idempotent,
		Digest:     xxhash.Sum64(request.Body),
		Deadline:   arrivedAt.Add(class.FinishWithin),
	}, nil
}

// validKey reports whether a key can be used in headers, paths and logs.
func validKey(key string, allowEmpty bool) bool {
	if key == "" {
		return allowEmpty
	}
	for _, r := range key {
		if r <= ' ' || r > '~' || r == '/' {
			return false
		}
	}
	return len(key) <= service.MaxNameBytes
}

func (i *Instance) newID() string {
	return i.identity + "/" + strconv.FormatInt(i.refusals.seq.Add(1), 36)
}

// recordFinish counts a result, and records it as a refusal unless the request ran or
// is still in progress.
func (i *Instance) recordFinish(request service.Request, finish requests.Finish) {
	metrics.GetOrRegisterCounter("request.outcome."+string(finish.Outcome), i.registry).Inc(1)
	if finish.Outcome == structs.OutcomeRan {
		return
	}
	subject := request.Key
	i.events.Add("request_"+string(finish.Outcome), subject, request.Workspace, string(finish.Reason))
	if finish.Outcome == structs.OutcomeInProgress {
		return
	}
	i.refusals.add(structs.Refusal{
		Subject: subject, Workspace: request.Workspace, Class: request.Class,
		Outcome: finish.Outcome, Reason: finish.Reason, AtMS: i.now().UnixMilli(),
		RetryAfter: int64((finish.RetryAfter + time.Second - 1) / time.Second),
	})
}

// execution executes the actions of the state machine of one request.
type execution struct {
	instance *Instance
	request  service.Request
	spec     requests.Spec
	id       string
	machine  *requests.Machine
	cancel   context.CancelFunc // of the action in progress
	finished chan struct{}      // closed when the request has its final result

	mu     sync.Mutex
	events chan requests.Event // holds at most one, as the machine waits for one at a time
	ended  bool
}

// postEvent passes an event to the machine. If the request has ended, a slot in the event is
// released.
func (e *execution) postEvent(event requests.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		e.releaseSlot(event)
		return
	}
	e.events <- event
}

func (e *execution) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ended = true
	close(e.finished)
	select {
	case event := <-e.events:
		e.releaseSlot(event)
	default:
	}
}

func (e *execution) releaseSlot(event requests.Event) {
	if pick, ok := event.(requests.RunnerPicked); ok {
		e.instance.slots.releaseUnused(pick.Runner)
	}
}

// run steps the machine until it finishes. If the caller disconnects, only idempotent
// requests end; others continue, so that a retry of the caller finds the result.
func (e *execution) run(ctx context.Context) requests.Finish {
	e.finished = make(chan struct{})
	defer e.end()
	e.machine = requests.New(e.spec, e.id)
	e.instance.slots.countRequest()
	deadline := time.NewTimer(time.Until(e.spec.Deadline))
	defer deadline.Stop()
	callerGone := ctx.Done()
	if !e.spec.Idempotent {
		callerGone = nil
	}
	actions := e.machine.Step(requests.Started{}, time.Now())
	for {
		if finish, finished := e.runActions(actions); finished {
			return finish
		}
		var event requests.Event
		select {
		case event = <-e.events:
		case <-deadline.C:
			event = requests.DeadlinePassed{}
		case <-callerGone:
			event = requests.CallerGone{}
		}
		actions = e.machine.Step(event, time.Now())
	}
}

func (e *execution) runActions(actions []requests.Action) (requests.Finish, bool) {
	for _, action := range actions {
		switch a := action.(type) {
		case requests.AppendClaim:
			e.startAction(e.claimKey)
		case requests.PickRunner:
			e.pickRunner(a.Exclude)
		case requests.SendAttempt:
			e.startAction(func(ctx context.Context) { e.sendAttempt(ctx, a) })
		case requests.Abandon:
			if e.cancel != nil {
				e.cancel()
			}
		case requests.AppendRelease:
			e.appendRelease(a)
		case requests.AppendComplete:
			e.appendComplete(a)
		case requests.Finish:
			return a, true
		}
	}
	return requests.Finish{}, false
}

func (e *execution) startAction(action func(context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	go func() {
		defer cancel()
		action(ctx)
	}()
}

// claimKey appends the claim and waits for the result of folding it.
func (e *execution) claimKey(ctx context.Context) {
	i := e.instance
	if entry := i.replica.Key(e.spec.Key); entry != nil && entry.Phase != ledger.KeyReleased {
		e.postEvent(e.claimEntryEvent(entry))
		return
	}
	results, unregister := i.replica.RegisterClaimWaiter(e.id)
	defer unregister()
	claim := &structs.Claim{ID: e.id, Key: e.spec.Key, Class: e.spec.Class, Digest: e.spec.Digest, Holder: i.identity, IssuedMS: e.issuedMS()}
	if !i.appendRecord(&structs.Record{Kind: structs.RecordClaim, Claim: claim}, e.abandoned) {
		e.postEvent(requests.ClaimResult{Reason: structs.ReasonLogUnavailable})
		return
	}
	timer := time.NewTimer(i.settings.ClaimTimeout)
	defer timer.Stop()
	select {
	case result := <-results:
		e.postEvent(e.claimResultEvent(result.Entry, result.VoidReason))
	case <-timer.C:
		e.postEvent(requests.ClaimResult{Reason: structs.ReasonLogUnavailable, Appended: true})
	case <-ctx.Done():
	}
}

func (e *execution) issuedMS() int64 {
	if e.request.IssuedAt.IsZero() {
		return e.instance.now().UnixMilli()
	}
	return e.request.IssuedAt.UnixMilli()
}

// abandoned reports to the writer whether the request has ended, so that a claim that
// is not yet appended is dropped.
func (e *execution) abandoned() bool {
	select {
	case <-e.finished:
		return true
	default:
		return false
	}
}

func (e *execution) claimResultEvent(entry *ledger.KeyEntry, reason ledger.VoidReason) requests.ClaimResult {
	switch reason {
	case ledger.VoidExpired:
		return requests.ClaimResult{Reason: structs.ReasonKeyExpired}
	case ledger.VoidFull:
		return requests.ClaimResult{Reason: structs.ReasonKeyTableFull}
	}
	return e.claimEntryEvent(entry)
}

// claimEntryEvent returns the event for a key's entry. If another request has an open
// claim whose holder is lost, the claim is closed as unknown, for the caller and in the
// log.
func (e *execution) claimEntryEvent(entry *ledger.KeyEntry) requests.ClaimResult {
	read := requests.ClaimResult{Entry: entry}
	if entry.Phase != ledger.KeyOpen || entry.Claim.ID == e.id {
		return read
	}
	if e.instance.claimHolderLost(entry.Claim) {
		read.HolderLost = true
		e.instance.closeLostClaim(entry.Claim)
	}
	return read
}

func (i *Instance) claimHolderLost(claim structs.Claim) bool {
	name, bootText, found := strings.Cut(claim.Holder, "/")
	boot, err := strconv.ParseInt(bootText, 10, 64)
	return found && err == nil && i.isLost(name, boot)
}

func (i *Instance) closeLostClaim(claim structs.Claim) {
	i.appendRecord(&structs.Record{Kind: structs.RecordComplete, Complete: &structs.Completion{
		ClaimID: claim.ID, Key: claim.Key, Outcome: structs.OutcomeUnknown, Reason: structs.ReasonClaimHolderLost}}, nil)
}

// pickRunner acquires a runner slot; only a request that has to wait needs a goroutine.
func (e *execution) pickRunner(exclude []string) {
	slots := e.instance.slots
	result, waiter := slots.acquire(e.spec.Class, e.spec.Deadline, exclude)
	if waiter == nil {
		e.postSlot(result)
		return
	}
	e.startAction(func(ctx context.Context) {
		if result, ok := slots.await(ctx, waiter); ok {
			e.postSlot(result)
		}
	})
}

func (e *execution) postSlot(result balancer.AcquireResult) {
	if result.Runner == "" {
		e.postEvent(requests.SlotRefused{Reason: result.Refusal.Reason, RetryAfter: result.Refusal.RetryAfter})
		return
	}
	e.postEvent(requests.RunnerPicked{Runner: result.Runner})
}

func (e *execution) sendAttempt(ctx context.Context, action requests.SendAttempt) {
	i := e.instance
	started := time.Now()
	ctx, cancel := context.WithDeadline(ctx, e.spec.Deadline)
	defer cancel()
	result := i.runner.Send(ctx, upstream.Attempt{
		ID:             e.id + "." + strconv.Itoa(action.Attempt),
		Address:        i.slots.runnerAddress(action.Runner),
		Class:          e.spec.Class,
		Workspace:      e.spec.Key.Workspace,
		Key:            e.spec.Key.Key,
		Body:           e.request.Body,
		MaxAnswerBytes: i.settings.MaxAnswerBytes,
	})
	failed := result.Ended.Kind != requests.AttemptAnswered || result.Ended.Status >= 500
	result.Ended.RetryAllowed = i.slots.release(action.Runner, e.spec.Class, result, time.Since(started), failed)
	e.postEvent(result.Ended)
}

func (e *execution) appendRelease(action requests.AppendRelease) {
	e.instance.appendRecord(&structs.Record{Kind: structs.RecordRelease, Release: &structs.Release{
		ClaimID: e.id, Key: e.spec.Key, Reason: action.Reason}}, nil)
}

func (e *execution) appendComplete(action requests.AppendComplete) {
	e.instance.appendRecord(&structs.Record{Kind: structs.RecordComplete, Complete: &structs.Completion{
		ClaimID: e.id, Key: e.spec.Key, Outcome: action.Outcome, Reason: action.Reason, Holder: true,
		Status: action.Status, Answer: action.Answer, AnswerStored: action.AnswerStored}}, nil)
	e.instance.events.Add("request_"+string(action.Outcome), e.spec.Key.Key, e.spec.Key.Workspace, string(action.Reason))
}

// KeyState implements service.Service.
func (i *Instance) KeyState(key structs.KeyID) *ledger.KeyEntry { return i.replica.Key(key) }
