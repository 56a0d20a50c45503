package batch

import (
	"strings"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// Queue is a kind of jobs and where callers hand them in.
type Queue struct {
	jobs.Queue
	Host       string // name that the call must be addressed to
	PathPrefix string // longest match decides
	Public     bool   // calls need no key
}

// Config is one whole configuration by the operators. It is never changed once
// built, so that a request keeps one value from start to end.
type Config struct {
	Version       int64
	MaxBodyBytes  int64
	Queues        []Queue
	Pools         []string          // of workers that are named
	Unguarded     map[string]bool   // pools whose workers start what they are told, room or not
	WorkspaceKeys map[string]string // API key to workspace
	Guarantees    map[string]int64  // accelerators that belong to a workspace
}

// Route returns the queue that serves a path of a host, and what follows its
// prefix; ok is false if none does.
func (c *Config) Route(host, path string) (queue *Queue, rest string, ok bool) {
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

// Workspace returns the workspace of a key; ok is false if the queue needs a
// key and this is none.
func (c *Config) Workspace(queue *Queue, key string) (workspace string, ok bool) {
	workspace, known := c.WorkspaceKeys[key]
	return workspace, known || queue.Public
}
