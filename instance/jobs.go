package instance

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/teaselcleat/teaselcleat/ledger"
	"github.com/teaselcleat/teaselcleat/logstream"
	"github.com/teaselcleat/teaselcleat/scheduler"
	"github.com/teaselcleat/teaselcleat/service"
	"github.com/teaselcleat/teaselcleat/structs"
	"github.com/teaselcleat/teaselcleat/targets"
	"github.com/teaselcleat/teaselcleat/timeline"
)

// foldPollInterval is the interval at which a waiting caller polls the fold.
const foldPollInterval = 5 * time.Millisecond

// SubmitJob implements service.Service.
func (i *Instance) SubmitJob(ctx context.Context, request service.JobRequest) structs.Reply {
	i.inFlight.Add(1)
	defer i.inFlight.Add(-1)
	job, reply := i.admitJob(request)
	if reply != nil && i.jobExists(request) {
		return structs.Reply{Outcome: structs.OutcomeAccepted, ID: jobID(structs.KeyID{Workspace: request.Workspace, Key: request.Key})}
	}
	if reply != nil {
		return i.refuseJob(request, *reply)
	}
	if existing := i.replica.Job(job.ID); existing != nil {
		return i.replyToDuplicate(request, job, existing)
	}
	results, unregister := i.replica.RegisterSubmitWaiter(job.ID)
	defer unregister()
	finished := make(chan struct{})
	defer close(finished)
	if !i.appendRecord(&structs.Record{Kind: structs.RecordSubmit, Submit: job}, isClosed(finished)) {
		return i.refuseJob(request, structs.Reply{Outcome: structs.OutcomeNotRun, Reason: structs.ReasonLogUnavailable, RetryAfter: refusedRetryAfter})
	}
	select {
	case reason := <-results:
		return i.replyToSubmit(request, job, reason)
	case <-time.After(i.settings.ClaimTimeout):
	case <-ctx.Done():
	}
	// The submission may still reach the log; a retry with the same key finds or
	// repeats it, so that nothing is cancelled here.
	return i.refuseJob(request, structs.Reply{Outcome: structs.OutcomeUnknown, Reason: structs.ReasonLogUnavailable, ID: job.ID, RetryAfter: 2 * time.Second})
}

// jobExists reports whether the same job is already durable. Its submission is then
// accepted even if this instance cannot accept new jobs.
func (i *Instance) jobExists(request service.JobRequest) bool {
	existing := i.replica.Job(jobID(structs.KeyID{Workspace: request.Workspace, Key: request.Key}))
	return existing != nil && existing.Job.Digest == jobDigest(request)
}

// isClosed returns a function that reports whether the channel is closed.
func isClosed(channel <-chan struct{}) func() bool {
	return func() bool {
		select {
		case <-channel:
			return true
		default:
			return false
		}
	}
}

func (i *Instance) replyToSubmit(request service.JobRequest, job *structs.Job, reason ledger.VoidReason) structs.Reply {
	switch reason {
	case ledger.VoidNone:
		i.events.Add("job_accepted", job.ID, job.Key.Workspace, job.Shape.String())
		return structs.Reply{Outcome: structs.OutcomeAccepted, ID: job.ID}
	case ledger.VoidExpired:
		return i.refuseJob(request, structs.Reply{Outcome: structs.OutcomeNotRun, Reason: structs.ReasonKeyExpired})
	case ledger.VoidFull:
		return i.refuseJob(request, structs.Reply{Outcome: structs.OutcomeNotRun, Reason: structs.ReasonJobTableFull, RetryAfter: time.Minute})
	}
	if existing := i.replica.Job(job.ID); existing != nil {
		return i.replyToDuplicate(request, job, existing)
	}
	return i.refuseJob(request, structs.Reply{Outcome: structs.OutcomeNotRun, Reason: structs.ReasonKeyExpired})
}

// replyToDuplicate answers a submission whose key was used before.
func (i *Instance) replyToDuplicate(request service.JobRequest, job *structs.Job, existing *ledger.JobEntry) structs.Reply {
	if existing.Job.Digest != job.Digest {
		return i.refuseJob(request, structs.Reply{Outcome: structs.OutcomeNotRun, Reason: structs.ReasonKeyConflict})
	}
	return structs.Reply{Outcome: structs.OutcomeAccepted, ID: job.ID}
}

func (i *Instance) refuseJob(request service.JobRequest, reply structs.Reply) structs.Reply {
	i.events.Add("job_"+string(reply.Outcome), request.Key, request.Workspace, string(reply.Reason))
	i.refusals.add(structs.Refusal{
		Subject: request.Key, Workspace: request.Workspace, Class: request.Class, Outcome: reply.Outcome,
		Reason: reply.Reason, AtMS: i.now().UnixMilli(), RetryAfter: int64(reply.RetryAfter / time.Second),
	})
	return reply
}

// admitJob performs the checks that need no append.
func (i *Instance) admitJob(request service.JobRequest) (*structs.Job, *structs.Reply) {
	refuse := func(reason structs.Reason, retryAfter time.Duration, detail string) (*structs.Job, *structs.Reply) {
		return nil, &structs.Reply{Outcome: structs.OutcomeNotRun, Reason: reason, RetryAfter: retryAfter, Detail: detail}
	}
	switch {
	case i.draining.Load():
		return refuse(structs.ReasonDraining, refusedRetryAfter, "")
	case !i.ready():
		return refuse(structs.ReasonNotReady, refusedRetryAfter, "")
	case !i.logAvailable():
		return refuse(structs.ReasonLogUnavailable, refusedRetryAfter, "")
	case !validKey(request.Key, false):
		return refuse(structs.ReasonBadRequest, 0, "key must be 1 to 128 printable characters without spaces or slashes")
	case len(request.Payload) > service.MaxPayloadBytes:
		return refuse(structs.ReasonTooLarge, 0, "payload is over the limit")
	case request.DeclaredS < 0:
		return refuse(structs.ReasonBadRequest, 0, "declared_s must not be negative")
	}
	if err := request.Shape.Validate(); err != nil {
		return refuse(structs.ReasonBadRequest, 0, err.Error())
	}
	current, _ := i.replica.Targets()
	class, exists := current.Classes[request.Class]
	if !exists {
		return refuse(structs.ReasonUnknownClass, 0, "")
	}
	if _, exists := current.Workspaces[request.Workspace]; !exists {
		return refuse(structs.ReasonUnknownWorkspace, 0, "")
	}
	if workers := i.listedWorkerSpecs(); len(workers) > 0 {
		spec := scheduler.JobSpec{Workspace: request.Workspace, Class: request.Class, Shape: request.Shape, Idempotent: class.Idempotent}
		if problem := scheduler.UnschedulableReason(workers, current, spec); problem != "" {
			return refuse(structs.ReasonImpossibleShape, 0, problem)
		}
	}
	key := structs.KeyID{Workspace: request.Workspace, Key: request.Key}
	return &structs.Job{
		ID: jobID(key), Key: key, Class: request.Class, Shape: request.Shape, DeclaredS: request.DeclaredS,
		SubmitMS: i.now().UnixMilli(), Digest: jobDigest(request), Payload: request.Payload, Idempotent: class.Idempotent,
	}, nil
}

// jobID derives the job's identifier, the same at every instance, from workspace and key.
func jobID(key structs.KeyID) string {
	return "j" + strconv.FormatUint(xxhash.Sum64String(key.Workspace+"\x00"+key.Key), 36)
}

func jobDigest(request service.JobRequest) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s\x00%v\x00%d\x00%s", request.Class, request.Shape, request.DeclaredS, request.Payload))
}

// Job implements service.Service.
func (i *Instance) Job(id string) *service.JobState {
	entry := i.replica.Job(id)
	if entry == nil {
		return nil
	}
	return &service.JobState{
		ID: entry.Job.ID, Workspace: entry.Job.Key.Workspace, Class: entry.Job.Class, Shape: entry.Job.Shape,
		Phase: entry.Phase, Outcome: entry.Outcome, Reason: entry.Reason, Detail: entry.Detail,
		Members: entry.Members, SubmitMS: entry.Job.SubmitMS, StartMS: entry.StartMS, EndMS: entry.EndMS,
	}
}

// CancelJob implements service.Service.
func (i *Instance) CancelJob(ctx context.Context, id string) structs.Reply {
	entry := i.replica.Job(id)
	if entry == nil {
		return structs.Reply{Outcome: structs.OutcomeNotRun, Reason: structs.ReasonNotFound}
	}
	if !i.logAvailable() {
		return structs.Reply{Outcome: structs.OutcomeNotRun, Reason: structs.ReasonLogUnavailable, RetryAfter: refusedRetryAfter}
	}
	i.appendRecord(&structs.Record{Kind: structs.RecordCancel, Cancel: &structs.Cancel{Job: id}}, nil)
	ctx, cancel := context.WithTimeout(ctx, i.settings.ClaimTimeout)
	defer cancel()
	for logstream.Sleep(ctx, foldPollInterval) {
		entry = i.replica.Job(id)
		if entry == nil || entry.Cancelled || entry.Phase == ledger.JobEnded {
			return structs.Reply{Outcome: structs.OutcomeAccepted, ID: id}
		}
	}
	return structs.Reply{Outcome: structs.OutcomeUnknown, Reason: structs.ReasonLogUnavailable, RetryAfter: refusedRetryAfter}
}

// Targets implements service.Service.
func (i *Instance) Targets() service.TargetsDocument {
	text, version := i.replica.Document()
	return service.TargetsDocument{Version: version, Text: text}
}

// ProposeTargets implements service.Service. It validates the proposal before publishing
// it; the order of the log decides between concurrent proposals.
func (i *Instance) ProposeTargets(ctx context.Context, proposal service.TargetsDocument) (structs.Reply, int64) {
	_, version := i.replica.Document()
	refuse := func(reason structs.Reason, detail string) (structs.Reply, int64) {
		return structs.Reply{Outcome: structs.OutcomeNotRun, Reason: reason, Detail: detail}, version
	}
	parsed, err := targets.Parse(proposal.Text)
	if err != nil {
		return refuse(structs.ReasonInvalidTargets, err.Error())
	}
	if proposal.Version != version {
		return refuse(structs.ReasonVersionConflict, "the version in force is "+strconv.FormatInt(version, 10))
	}
	if workers := i.listedWorkerSpecs(); len(workers) > 0 {
		if unfit := scheduler.CheckGuarantees(workers, parsed); len(unfit) > 0 {
			return refuse(structs.ReasonGuaranteeUnfit, fmt.Sprintf("workspace %q: %s does not fit beside the other guarantees", unfit[0].Workspace, unfit[0].Shape))
		}
	}
	id := i.newID()
	decisions, unregister := i.replica.RegisterProposalWaiter(id)
	defer unregister()
	data, err := json.Marshal(structs.Proposal{ID: id, Base: proposal.Version, Document: proposal.Text, AtMS: i.now().UnixMilli()})
	if err != nil {
		return refuse(structs.ReasonInvalidTargets, err.Error())
	}
	return i.publish(ctx, data, decisions, version)
}

// publish appends a proposal and waits for the decision of the fold. An append without
// an answer is not repeated: the fold shows whether it took effect.
func (i *Instance) publish(ctx context.Context, data []byte, decisions <-chan targets.Decision, version int64) (structs.Reply, int64) {
	ctx, cancel := context.WithTimeout(ctx, i.settings.ClaimTimeout)
	defer cancel()
	_, appendErr := i.platformLog.Append(ctx, logstream.StreamTargets, [][]byte{data})
	select {
	case decision := <-decisions:
		if decision.Accepted {
			i.events.Add("targets_accepted", strconv.FormatInt(decision.Version, 10), "", "")
			return structs.Reply{Outcome: structs.OutcomeAccepted}, decision.Version
		}
		return structs.Reply{Outcome: structs.OutcomeNotRun, Reason: decision.Reason, Detail: decision.Detail}, decision.Version
	case <-ctx.Done():
	}
	detail := "the proposal was not read back; look at the version in force before proposing again"
	if appendErr != nil {
		detail = "the log did not answer; look at the version in force before proposing again"
	}
	return structs.Reply{Outcome: structs.OutcomeUnknown, Reason: structs.ReasonLogUnavailable, Detail: detail, RetryAfter: refusedRetryAfter}, version
}

func (i *Instance) listedWorkerSpecs() []scheduler.WorkerSpec {
	workers, _ := i.listPoller.Workers()
	return workerSpecs(workers)
}

// Refusals implements service.Service by reading the retained part of the log.
func (i *Instance) Refusals(ctx context.Context, workspace string) ([]structs.Refusal, error) {
	seen := map[string]bool{}
	list := []structs.Refusal{}
	err := logstream.ReadAll(ctx, i.platformLog, logstream.StreamRefusals, func(data []byte) {
		var refusal structs.Refusal
		if json.Unmarshal(data, &refusal) != nil || refusal.ID == "" || seen[refusal.ID] {
			return // a probe, or a duplicate that another instance wrote
		}
		seen[refusal.ID] = true
		if workspace == "" || refusal.Workspace == workspace {
			list = append(list, refusal)
		}
	})
	return list, err
}

// Events implements service.Service.
func (i *Instance) Events(filter timeline.Filter) ([]timeline.Event, int64) {
	return i.events.Events(filter)
}

// Status implements service.Service.
func (i *Instance) Status() service.Status {
	_, version := i.replica.Targets()
	term := i.replica.Term()
	return service.Status{
		Name: i.settings.Name, Boot: i.boot, Ready: i.ready(), Draining: i.draining.Load(), TargetsVersion: version,
		Term: term.Number, TermLeader: term.Leader, LogAvailable: i.logAvailable(), SnapshotAgeMS: i.snapshotAgeMS.Load(),
	}
}

// MaxBodyBytes implements service.Service.
func (i *Instance) MaxBodyBytes() int64 { return i.settings.MaxBodyBytes }
