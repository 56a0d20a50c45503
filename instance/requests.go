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

// retryRefused is told to callers that are refused before anything was tried.
const retryRefused = time.Second

// Request implements service.Service.
func (i *Instance) Request(ctx context.Context, request service.Request) requests.Finish {
	i.inFlight.Add(1)
	defer i.inFlight.Add(-1)
	arrived := i.now()
	spec, refusal := i.admitRequest(request, arrived)
	if refusal != nil {
		truthful := i.truthful(request, *refusal)
		i.recordFinish(request, truthful)
		return truthful
	}
	execution := &execution{
		instance: i,
		request:  request,
		spec:     *spec,
		id:       i.newID(),
		events:   make(chan requests.Event, 4),
	}
	finish := execution.run(ctx)
	metrics.GetOrRegisterTimer("request.time."+request.Class, i.registry).UpdateSince(arrived)
	i.recordFinish(request, finish)
	return finish
}

// truthful replaces a refusal of a request whose key is already known by what
// became of that key: work that ran is never called not run because this
// instance cannot take it on now. Before the folds are read nothing is known of
// any key, so that a request with one is refused as unknown.
func (i *Instance) truthful(request service.Request, refusal requests.Finish) requests.Finish {
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
	lost := entry.Phase == ledger.KeyOpen && i.holderLost(entry.Claim)
	return requests.AnswerOf(entry, request.Class, xxhash.Sum64(request.Body), lost)
}

// admitRequest checks what can be judged before the request's own machine runs.
func (i *Instance) admitRequest(request service.Request, arrived time.Time) (*requests.Spec, *requests.Finish) {
	refuse := func(reason structs.Reason, retryAfter time.Duration) (*requests.Spec, *requests.Finish) {
		return nil, &requests.Finish{Outcome: structs.OutcomeNotRun, Reason: reason, RetryAfter: retryAfter}
	}
	switch {
	case i.draining.Load():
		return refuse(structs.ReasonDraining, retryRefused)
	case !i.ready():
		return refuse(structs.ReasonNotReady, retryRefused)
	case i.inFlight.Load() > int64(i.settings.MaxInFlight):
		return refuse(structs.ReasonQueueFull, retryRefused)
	}
	inForce, _ := i.replica.Targets()
	class, known := inForce.Classes[request.Class]
	if !known {
		return refuse(structs.ReasonUnknownClass, 0)
	}
	if _, known := inForce.Workspaces[request.Workspace]; !known {
		return refuse(structs.ReasonUnknownWorkspace, 0)
	}
	if !plainName(request.Key, class.Idempotent) {
		return refuse(structs.ReasonBadRequest, 0)
	}
	if !class.Idempotent && !i.logAvailable() {
		return refuse(structs.ReasonLogUnavailable, retryRefused)
	}
	return &requests.Spec{
		Key:        structs.KeyID{Workspace: request.Workspace, Key: request.Key},
		Class:      request.Class,
		Idempotent: class.Idempotent,
		Digest:     xxhash.Sum64(request.Body),
		Deadline:   arrived.Add(class.FinishWithin),
	}, nil
}

// plainName reports whether a key can stand in headers, paths and logs.
func plainName(key string, mayBeEmpty bool) bool {
	if key == "" {
		return mayBeEmpty
	}
	for _, r := range key {
		if r <= ' ' || r > '~' || r == '/' {
			return false
		}
	}
	return len(key) <= service.MaxNameBytes
}

func (i *Instance) newID() string {
	return i.holder + "/" + strconv.FormatInt(i.refusals.seq.Add(1), 36)
}

// recordFinish keeps every final answer that is not a run one for the record.
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

// execution carries out the actions of one request's machine.
type execution struct {
	instance *Instance
	request  service.Request
	spec     requests.Spec
	id       string
	machine  *requests.Machine
	cancel   context.CancelFunc // of what is being waited for
	gaveUp   chan struct{}      // closed when the request has its final answer

	mu     sync.Mutex
	events chan requests.Event // holds at most one, as the machine awaits one at a time
	ended  bool
}

// post passes an event to the machine. A slot granted too late is returned.
func (e *execution) post(event requests.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		e.undo(event)
		return
	}
	e.events <- event
}

func (e *execution) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ended = true
	close(e.gaveUp)
	select {
	case event := <-e.events:
		e.undo(event)
	default:
	}
}

func (e *execution) undo(event requests.Event) {
	if picked, ok := event.(requests.RunnerPicked); ok {
		e.instance.dispatch.unused(picked.Runner)
	}
}

// run drives the machine to its end. A caller that goes away ends only requests
// that may be repeated; others go on, so that the caller's retry finds the answer.
func (e *execution) run(ctx context.Context) requests.Finish {
	e.gaveUp = make(chan struct{})
	defer e.end()
	e.machine = requests.New(e.spec, e.id)
	e.instance.dispatch.countRequest()
	deadline := time.NewTimer(time.Until(e.spec.Deadline))
	defer deadline.Stop()
	callerGone := ctx.Done()
	if !e.spec.Idempotent {
		callerGone = nil
	}
	actions := e.machine.Step(requests.Started{}, time.Now())
	for {
		if finish, done := e.carryOut(actions); done {
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

func (e *execution) carryOut(actions []requests.Action) (requests.Finish, bool) {
	for _, action := range actions {
		switch a := action.(type) {
		case requests.AppendClaim:
			e.start(e.claim)
		case requests.Pick:
			e.pick(a.Exclude)
		case requests.Send:
			e.start(func(ctx context.Context) { e.send(ctx, a) })
		case requests.Abandon:
			if e.cancel != nil {
				e.cancel()
			}
		case requests.AppendRelease:
			e.release(a)
		case requests.AppendComplete:
			e.complete(a)
		case requests.Finish:
			return a, true
		}
	}
	return requests.Finish{}, false
}

func (e *execution) start(step func(context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	go func() {
		defer cancel()
		step(ctx)
	}()
}

// claim appends the claim and waits for the fold's ruling.
func (e *execution) claim(ctx context.Context) {
	i := e.instance
	if entry := i.replica.Key(e.spec.Key); entry != nil && entry.Phase != ledger.KeyReleased {
		e.post(e.claimRead(entry))
		return
	}
	result, forget := i.replica.AwaitClaim(e.id)
	defer forget()
	claim := &structs.Claim{ID: e.id, Key: e.spec.Key, Class: e.spec.Class, Digest: e.spec.Digest, Holder: i.holder, IssuedMS: e.issuedMS()}
	if !i.appendRecord(&structs.Record{Kind: structs.RecordClaim, Claim: claim}, e.abandoned) {
		e.post(requests.ClaimRead{Reason: structs.ReasonLogUnavailable})
		return
	}
	wait := time.NewTimer(i.settings.ClaimWait)
	defer wait.Stop()
	select {
	case ruled := <-result:
		e.post(e.ruling(ruled.Entry, ruled.Why))
	case <-wait.C:
		e.post(requests.ClaimRead{Reason: structs.ReasonLogUnavailable, Appended: true})
	case <-ctx.Done():
	}
}

func (e *execution) issuedMS() int64 {
	if e.request.Issued.IsZero() {
		return e.instance.now().UnixMilli()
	}
	return e.request.Issued.UnixMilli()
}

// abandoned tells the writer that the claim's request has ended, so that a
// claim not yet appended is dropped.
func (e *execution) abandoned() bool {
	select {
	case <-e.gaveUp:
		return true
	default:
		return false
	}
}

func (e *execution) ruling(entry *ledger.KeyEntry, why ledger.VoidReason) requests.ClaimRead {
	switch why {
	case ledger.VoidExpired:
		return requests.ClaimRead{Reason: structs.ReasonKeyExpired}
	case ledger.VoidFull:
		return requests.ClaimRead{Reason: structs.ReasonKeyTableFull}
	}
	return e.claimRead(entry)
}

// claimRead passes an entry on. A claim whose holder is lost is closed as
// unknown, for the caller and in the log.
func (e *execution) claimRead(entry *ledger.KeyEntry) requests.ClaimRead {
	read := requests.ClaimRead{Entry: entry}
	if entry.Phase != ledger.KeyOpen || entry.Claim.ID == e.id {
		return read
	}
	if e.instance.holderLost(entry.Claim) {
		read.HolderLost = true
		e.instance.closeLost(entry.Claim)
	}
	return read
}

func (i *Instance) holderLost(claim structs.Claim) bool {
	name, bootText, found := strings.Cut(claim.Holder, "/")
	boot, err := strconv.ParseInt(bootText, 10, 64)
	return found && err == nil && i.lost(name, boot)
}

func (i *Instance) closeLost(claim structs.Claim) {
	i.appendRecord(&structs.Record{Kind: structs.RecordComplete, Complete: &structs.Complete{
		ClaimID: claim.ID, Key: claim.Key, Outcome: structs.OutcomeUnknown, Reason: structs.ReasonHolderLost}}, nil)
}

// pick asks for a slot; only a request that must wait for one costs a goroutine.
func (e *execution) pick(exclude []string) {
	dispatch := e.instance.dispatch
	granted, queued := dispatch.ask(e.spec.Class, e.spec.Deadline, exclude)
	if queued == nil {
		e.picked(granted)
		return
	}
	e.start(func(ctx context.Context) {
		if granted, ok := dispatch.await(ctx, queued); ok {
			e.picked(granted)
		}
	})
}

func (e *execution) picked(granted balancer.Grant) {
	if granted.Runner == "" {
		e.post(requests.RunnerRefused{Reason: granted.Refusal.Reason, RetryAfter: granted.Refusal.RetryAfter})
		return
	}
	e.post(requests.RunnerPicked{Runner: granted.Runner})
}

func (e *execution) send(ctx context.Context, action requests.Send) {
	i := e.instance
	started := time.Now()
	ctx, cancel := context.WithDeadline(ctx, e.spec.Deadline)
	defer cancel()
	result := i.runner.Send(ctx, upstream.Attempt{
		ID:        e.id + "." + strconv.Itoa(action.Attempt),
		Address:   i.dispatch.address(action.Runner),
		Class:     e.spec.Class,
		Workspace: e.spec.Key.Workspace,
		Key:       e.spec.Key.Key,
		Body:      e.request.Body,
		MaxAnswer: i.settings.MaxAnswerBytes,
	})
	failed := result.Ended.Kind != requests.AttemptAnswered || result.Ended.Status >= 500
	result.Ended.RetryAllowed = i.dispatch.done(action.Runner, e.spec.Class, result, time.Since(started), failed)
	e.post(result.Ended)
}

func (e *execution) release(action requests.AppendRelease) {
	e.instance.appendRecord(&structs.Record{Kind: structs.RecordRelease, Release: &structs.Release{
		ClaimID: e.id, Key: e.spec.Key, Reason: action.Reason}}, nil)
}

func (e *execution) complete(action requests.AppendComplete) {
	e.instance.appendRecord(&structs.Record{Kind: structs.RecordComplete, Complete: &structs.Complete{
		ClaimID: e.id, Key: e.spec.Key, Outcome: action.Outcome, Reason: action.Reason, Holder: true,
		Status: action.Status, Answer: action.Answer, Kept: action.Kept}}, nil)
	e.instance.events.Add("request_"+string(action.Outcome), e.spec.Key.Key, e.spec.Key.Workspace, string(action.Reason))
}

// KeyState implements service.Service.
func (i *Instance) KeyState(key structs.KeyID) *ledger.KeyEntry { return i.replica.Key(key) }
