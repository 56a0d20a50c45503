// Package sharing decides which instances are delegates and which delegate dispatches to which
// worker; package batch, which serves the users' platform, uses it. The workers of a delegate are
// its shard. The decisions are pure functions: the same instances and workers give the same shard
// assignment on every instance, so a change of leader moves few workers.
package sharing
