// Package batch implements the duties of an instance that serves multi-step jobs. It follows the
// configuration and the work stream, accepts and answers calls and, while it is the leader, places
// tasks on workers. Links to workers are driven by the leader or, in large deployments, by
// delegates that each drive a shard of the workers for it (dispatchers.go, shards.go and
// session.go on the leader's side, delegation.go on theirs). Package placing makes the scheduling
// decisions. The interfaces to the outside are in interfaces.go; an adapter implements them.
package batch
