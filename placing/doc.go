// Package placing decides which task runs where and when. An Engine is the
// whole memory of the instance that holds the term: it is told what the log,
// the workers and the clock say, and returns plans of orders and records. It
// reads no clock, does no input or output and starts no goroutine, so a
// recorded sequence of calls always gives the same plans.
//
// A placement is written to the log before the start is ordered. A later holder
// of the term therefore knows every run that may exist, and where.
package placing
