// Package jobs owns the model of jobs made of steps of tasks: what was
// submitted, what became of it, the records in which both are kept, and the
// fold of those records. It knows no clock and does no input or output.
//
// A job's facts are split by writer, so that keeping only the newest record of
// each key loses none: the submission and the cancellation come from whichever
// instance the caller reached, the progress from the placing instance alone.
package jobs
