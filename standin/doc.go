// Package standin owns small stand-ins of the outside systems: the platform's
// log and instance list, runners and workers. Tests and the dev command use
// them; the serve command does not. Each can be told to fail in the ways the
// real one does.
package standin
