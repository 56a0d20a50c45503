// Package sharing owns the decisions about which instance drives the links to
// which workers. They are pure: the same instances and workers give the same
// division everywhere, so that a change of the holder of the term moves little.
package sharing
