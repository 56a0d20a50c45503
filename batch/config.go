package batch

import (
	"strings"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// Queue is a class of jobs and the address at which callers submit them.
type Queue struct {
	jobs.Queue
	Host       string // host name that the call must be addressed to
	PathPrefix string // the longest match wins
	Public     bool   // calls need no API key
}

// Config is one complete operator configuration. It is immutable, so that a request sees one
// version from start to end.
type Config struct {
	Version        int64
	MaxBodyBytes   int64
	Queues         []Queue
	Pools          []string          // names of the worker pools
	UncheckedPools map[string]bool   // pools whose workers start tasks without checking capacity
	WorkspaceKeys  map[string]string // workspace by API key
	Guarantees     map[string]int64  // guaranteed accelerators by workspace
}

// Route returns the queue that serves a path of a host and the rest of the path after the queue's
// prefix; ok is false if no queue matches.
func (c *Config) Route(host, path string) (queue *Queue, suffix string, ok bool) {
	for index := range c.Queues {
		candidate := &c.Queues[index]
		if candidate.Host != host || !strings.HasPrefix(path, candidate.PathPrefix) {
			continue
		}
		if queue == nil || len(candidate.PathPrefix) > len(queue.PathPrefix) {
			queue = candidate
		}
	}
	if queue == nil {
		return nil, "", false
	}
	return queue, path[len(queue.PathPrefix):], true
}

// Workspace returns the workspace of an API key; ok is false if the queue requires a key and this
// one is not valid.
func (c *Config) Workspace(queue *Queue, key string) (workspace string, ok bool) {
	workspace, found := c.WorkspaceKeys[key]
	return workspace, found || queue.Public
}
