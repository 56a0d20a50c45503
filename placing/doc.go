// Package placing decides which task runs where and when. An Engine holds the
// scheduling state of the leader: it is fed events from the log, the workers
// and the clock, and returns plans of orders and records. It reads no clock,
// does no input or output and starts no goroutine, so a recorded sequence of
// calls always gives the same plans.
//
// A placement is written to the log before the start is ordered, so a later
// leader knows every run that may exist, and where.
//
// The package serves the users' platform; the counterpart for the product's own interface
// is package scheduler. A job consists of steps, a step of equal tasks. A worker runs the
// tasks; a node is the engine's record of one incarnation of a worker. A unit is what is
// placed together: the tasks of a gang, of which all start or none, or the waiting tasks of
// another step, each of which may start alone. A placement assigns a task to a node. A
// reservation is capacity set aside for a unit while the runs that it preempts are stopped.
// Headroom is capacity that is withheld from work with time to spare (deferrable work), for
// gangs and urgent work that may arrive soon. Some queues need advice: an external service
// says which workers may run a step, and gives a ticket for each, which the start carries
// and which expires.
package placing
