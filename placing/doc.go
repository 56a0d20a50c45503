// Package placing decides which task runs where and when. An Engine holds the
// scheduling state of the leader: it is fed events from the log, the workers
// and the clock, and returns plans of orders and records. It reads no clock,
// does no input or output and starts no goroutine, so a recorded sequence of
// calls always gives the same plans.
//
// A placement is written to the log before the start is ordered, so a later
// leader knows every run that may exist, and where.
package placing
