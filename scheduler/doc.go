// Package scheduler decides about gang jobs: their order, their placement, which runs are
// preempted, and how the guarantee of every workspace stays reclaimable. It is a pure,
// deterministic state machine: Step takes an event and the time and returns actions. It has no
// clock, no input or output, no goroutine and no random source, so the same events give the
// same actions in a daemon, a replay and a test.
//
// The order of jobs follows from targets alone: the slack of a job is its deadline less a
// learned run time. Guarantees are protected by a witness: an assignment of workers to every
// guaranteed shape at the same time, which shows that all guarantees can be met together. A
// slot is one guaranteed shape in the witness. Runs of its workspace that use its
// accelerators are inside the slot; any other run on those accelerators can be stopped and
// run again. A run that may not be stopped for others, as its job cannot be repeated, is
// pinned; outside the slots it takes up capacity that no guarantee can use.
//
// A worker on which several jobs in a row fail is quarantined and gets no work for a while.
// Then it is on probation: it gets one small job at a time until one finishes. A worker is
// trusted if it is up, neither quarantined nor on probation, and not in an evacuated zone.
// Only trusted workers are assigned to slots. A node is the scheduler's record of a worker.
//
// The package serves the product's own interface; the counterpart for the users' platform is
// package placing.
package scheduler
