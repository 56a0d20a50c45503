// Package scheduler decides about gang jobs: their order, their placement, which runs are
// preempted, and how the guarantee of every workspace stays reclaimable. It is a pure,
// deterministic state machine: Step takes an event and the time and returns actions. It has no
// clock, no input or output, no goroutine and no random source, so the same events give the
// same actions in a daemon, a replay and a test.
//
// The order of jobs follows from targets alone: the slack of a job is its deadline less a
// learned run time. Guarantees are protected by a witness, a concrete packing in which every
// guaranteed shape has its workers at the same time. Any other run on those workers can be
// stopped and run again.
package scheduler
