// Package standin provides small stand-ins of the outside systems: the platform's
// log and instance list, runners and workers. They are used by tests and the dev
// command, never by the serve command. Each can inject the failures of the real
// system.
package standin
