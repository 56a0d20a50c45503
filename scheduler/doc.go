// Package scheduler owns the decisions about gang jobs: their order, where they
// run, what gives way for them, and how every workspace's guarantee stays
// reclaimable. It is a pure, deterministic state machine: Step takes an event
// and the time and returns actions. It has no clock, no input or output, no
// goroutine and no random source, so the same events give the same actions in
// a daemon, a replay and a test.
//
// The order of work comes from targets alone: a job's slack is its deadline
// less a learned run time. The guarantees are kept by a witness, a concrete
// packing in which every guaranteed shape has its workers at the same time;
// whatever else runs on those workers can be stopped and run again.
package scheduler
