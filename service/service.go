// Package service owns what an instance offers to callers and operators, as
// types and one interface. Front adapters translate their dialect to it.
package service

import (
	"context"
	"time"

	"github.com/teaselcleat/teaselcleat/ledger"
	"github.com/teaselcleat/teaselcleat/requests"
	"github.com/teaselcleat/teaselcleat/structs"
	"github.com/teaselcleat/teaselcleat/timeline"
)

// Limits on what callers send.
const (
	// MaxNameBytes bounds keys, workspaces and class names.
	MaxNameBytes = 128
	// MaxPayloadBytes bounds a job's payload.
	MaxPayloadBytes = 4096
)

// Request is a request that one runner executes.
type Request struct {
	Workspace string
	Class     string
	Key       string    // required for classes that are not idempotent
	Issued    time.Time // when the caller made the key; zero means now
	Body      []byte
}

// JobRequest is a gang job as a caller submits it.
type JobRequest struct {
	Workspace string        `json:"workspace"`
	Class     string        `json:"class"`
	Key       string        `json:"key"`
	Shape     structs.Shape `json:"shape"`
	DeclaredS int64         `json:"declared_s,omitempty"`
	Payload   string        `json:"payload,omitempty"`
}

// JobState is a job as callers see it.
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

// Document is the targets document in force, or a proposal for it.
type Document struct {
	Version int64  `json:"version"` // in force, or the one a proposal was made from
	Text    string `json:"text"`
}

// Status is what an instance says of itself.
type Status struct {
	Name           string `json:"name"`
	Boot           int64  `json:"boot"`
	Ready          bool   `json:"ready"`
	Draining       bool   `json:"draining"`
	TargetsVersion int64  `json:"targets_version"`
	Term           int64  `json:"term"`
	TermHolder     string `json:"term_holder"`
	LogAvailable   bool   `json:"log_available"`
	// SnapshotAgeMS is the age of the peer's snapshot this instance started
	// from while the log was out; 0 otherwise.
	SnapshotAgeMS int64 `json:"snapshot_age_ms,omitempty"`
}

// Service is an instance. All methods are safe for concurrent use.
type Service interface {
	// Request serves a request to its final answer.
	Request(ctx context.Context, request Request) requests.Finish
	// KeyState returns what is known of a request's key, or nil.
	KeyState(key structs.KeyID) *ledger.KeyEntry
	// SubmitJob answers once the job is durable, or with a refusal.
	SubmitJob(ctx context.Context, job JobRequest) structs.Reply
	// Job returns a job's state, or nil.
	Job(id string) *JobState
	// CancelJob answers once the cancellation is durable, or with a refusal.
	CancelJob(ctx context.Context, id string) structs.Reply
	// Targets returns the document in force.
	Targets() Document
	// Propose answers once the proposal was accepted or refused.
	Propose(ctx context.Context, proposal Document) (structs.Reply, int64)
	// Refusals returns the recorded refusals of a workspace, oldest first.
	Refusals(ctx context.Context, workspace string) ([]structs.Refusal, error)
	// Events returns this process's events and how many older ones were forgotten.
	Events(filter timeline.Filter) ([]timeline.Event, int64)
	// Status returns what the instance says of itself.
	Status() Status
	// MaxBody returns the largest request body, in bytes.
	MaxBody() int64
}
