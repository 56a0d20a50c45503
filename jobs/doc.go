// Package jobs defines jobs that consist of steps of tasks, the stream records
// that hold their submissions and their progress, and the fold of these records.
// It reads no clock and does no I/O. The jobs are those of the users' platform, which
// package batch serves; the Job of the product's own interface is in package structs.
//
// The records of a job are split by writer, so that a stream compacted to the
// newest record of each key loses nothing: any instance that a caller reaches
// writes submissions and cancellations, and only the leader writes progress.
package jobs
