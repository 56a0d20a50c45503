// Package structs defines the types that several packages share: shapes, classes,
// workspaces, jobs, outcomes and the records of the platform's log. It contains
// data and small pure helpers, and does no I/O or locking.
package structs
