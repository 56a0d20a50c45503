// Package batch implements the duties of an instance that serves multi-step jobs of the users'
// platform; requests and gangs of the product's own interface are served by package instance. It
// follows the configuration and the work stream, accepts and answers calls and, while it is the
// leader, places tasks on workers. Package placing makes the scheduling decisions. The interfaces
// to the outside are in interfaces.go; package platform implements them.
//
// The leader dispatches orders to workers over its own links or, in large deployments, through
// delegates: instances that each dispatch to a shard of the workers on its behalf (dispatchers.go,
// shards.go and session.go on the leader's side, delegation.go on theirs). Messages, logs and
// metrics have other names for this: a delegate is a keeper, a delegation is a keeping, the messages
// of one are Keep and Kept, and the leader is the holder of the term.
//
// The store is the service of the platform that keeps the log. The log is the content of its
// streams; the work stream is divided into parts (partitions).
package batch
