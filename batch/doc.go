// Package batch owns the duties of an instance that serves jobs of steps: it
// follows the configuration and the work stream, accepts and answers, and,
// while it holds the term, places tasks on workers. Links to workers are driven by
// the holder or, where there are many, by instances that each keep a share of them
// for it (drivers.go, division.go and session.go on its side, keeper.go on theirs).
// What it decides is decided
// in package placing; what it speaks to is behind the interfaces of this file's
// package, which an adapter implements.
package batch
