package replica

import (
	"slices"

	"github.com/teaselcleat/teaselcleat/ledger"
	"github.com/teaselcleat/teaselcleat/targets"
)

// RegisterClaimWaiter registers a waiter for a claim before it is appended. The returned
// channel receives one result; unregister removes the waiter.
func (r *Replica) RegisterClaimWaiter(claimID string) (result <-chan ClaimResult, unregister func()) {
	waiter := make(chan ClaimResult, 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.claimWaiters[claimID] = waiter
	return waiter, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.claimWaiters, claimID)
	}
}

// RegisterSubmitWaiter registers a waiter for a job's submission before it is appended. The
// returned channel receives one result; unregister removes the waiter.
func (r *Replica) RegisterSubmitWaiter(job string) (result <-chan ledger.VoidReason, unregister func()) {
	waiter := make(chan ledger.VoidReason, 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.submitWaiters[job] = append(r.submitWaiters[job], waiter)
	return waiter, func() { r.unregisterSubmitWaiter(job, waiter) }
}

func (r *Replica) unregisterSubmitWaiter(job string, waiter chan ledger.VoidReason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	remaining := slices.DeleteFunc(r.submitWaiters[job], func(other chan ledger.VoidReason) bool { return other == waiter })
	if len(remaining) == 0 {
		delete(r.submitWaiters, job)
		return
	}
	r.submitWaiters[job] = remaining
}

// RegisterProposalWaiter registers a waiter for a proposal before it is appended. The returned
// channel receives one result; unregister removes the waiter.
func (r *Replica) RegisterProposalWaiter(id string) (result <-chan targets.Decision, unregister func()) {
	waiter := make(chan targets.Decision, 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.proposalWaiters[id] = waiter
	return waiter, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.proposalWaiters, id)
	}
}
