// Package service defines the API that an instance offers to callers and operators, as
// types and one interface: the product's own interface. Adapters translate it to a
// protocol.
package service

import (
	"context"
	"time"

	"github.com/teaselcleat/teaselcleat/ledger"
	"github.com/teaselcleat/teaselcleat/requests"
	"github.com/teaselcleat/teaselcleat/structs"
	"github.com/teaselcleat/teaselcleat/timeline"
)

// Limits of requests.
const (
	// MaxNameBytes bounds keys, workspace names and class names.
	MaxNameBytes = 128
	// MaxPayloadBytes bounds a job's payload.
	MaxPayloadBytes = 4096
)

// Request is a request for execution by one runner.
type Request struct {
	Workspace string
	Class     string
	Key       string    // required for classes that are not idempotent
	IssuedAt  time.Time // when the caller created the key; zero means now
	Body      []byte
}

// JobRequest is a gang job as submitted by a caller.
type JobRequest struct {
	Workspace string        `json:"workspace"`
	Class     string        `json:"class"`
	Key       string        `json:"key"`
	Shape     structs.Shape `json:"shape"`
	DeclaredS int64         `json:"declared_s,omitempty"` // run time in seconds as estimated by the caller; 0 if not declared
	Payload   string        `json:"payload,omitempty"`
}

// JobState is the state of a job as shown to callers.
type JobState struct {
	ID        string           `json:"id"`
	Workspace string           `json:"workspace"`
	Class     string           `json:"class"`
	Shape     structs.Shape    `json:"shape"`
	Phase     ledger.JobPhase  `json:"phase"`
	Outcome   structs.Outcome  `json:"outcome,omitempty"`
	Reason    structs.Reason   `json:"reason,omitempty"`
	Detail    string           `json:"detail,omitempty"`
	Members   []structs.Member `json:"members,omitempty"`
	SubmitMS  int64            `json:"submit_ms"`
	StartMS   int64            `json:"start_ms,omitempty"`
	EndMS     int64            `json:"end_ms,omitempty"`
}

// TargetsDocument is the current targets document, or a proposal to replace it.
type TargetsDocument struct {
	Version int64  `json:"version"` // current version, or the version that a proposal is based on
	Text    string `json:"text"`
}

// Status is the state that an instance reports about itself.
type Status struct {
	Name           string `json:"name"`
	Boot           int64  `json:"boot"`
	Ready          bool   `json:"ready"`
	Draining       bool   `json:"draining"`
	TargetsVersion int64  `json:"targets_version"`
	Term           int64  `json:"term"` // epoch of the current term
	TermLeader     string `json:"term_holder"`
	LogAvailable   bool   `json:"log_available"`
	// SnapshotAgeMS is the age of the peer's snapshot that this instance started from
	// while the log was unavailable; 0 otherwise.
	SnapshotAgeMS int64 `json:"snapshot_age_ms,omitempty"`
}

// Service is the API of an instance. All methods are safe for concurrent use.
type Service interface {
	// Request executes a request and returns its final result.
	Request(ctx context.Context, request Request) requests.Finish
	// KeyState returns the entry of a request key, or nil if there is none.
	KeyState(key structs.KeyID) *ledger.KeyEntry
	// SubmitJob returns once the job is durable or refused.
	SubmitJob(ctx context.Context, job JobRequest) structs.Reply
	// Job returns the state of a job, or nil if there is none.
	Job(id string) *JobState
	// CancelJob returns once the cancellation is durable or refused.
	CancelJob(ctx context.Context, id string) structs.Reply
	// Targets returns the current targets document.
	Targets() TargetsDocument
	// ProposeTargets returns once the proposal is accepted or refused, with the current version.
	ProposeTargets(ctx context.Context, proposal TargetsDocument) (structs.Reply, int64)
	// Refusals returns the recorded refusals of a workspace, oldest first.
	Refusals(ctx context.Context, workspace string) ([]structs.Refusal, error)
	// Events returns the events of this process that match filter, and how many older
	// events were overwritten.
	Events(filter timeline.Filter) ([]timeline.Event, int64)
	// Status returns the state of the instance.
	Status() Status
	// MaxBodyBytes returns the maximum size of a request body in bytes.
	MaxBodyBytes() int64
}
