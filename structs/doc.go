// Package structs owns the types that several packages share: shapes, classes,
// workspaces, jobs, outcomes and the records kept in the platform's log. It
// holds data and small pure helpers, no input, output or locking.
package structs
