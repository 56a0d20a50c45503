// Package hlc implements the hybrid logical clock that orders the events of all
// processes: wall-clock milliseconds and a counter, which never go backwards.
package hlc

import (
	"sync"
	"time"
)

// Stamp is a reading of a clock. Stamps compare first by WallMS, then by Counter.
type Stamp struct {
	WallMS  int64  `json:"wall_ms"`
	Counter uint32 `json:"counter"`
}

// Before reports whether s is earlier than other.
func (s Stamp) Before(other Stamp) bool {
	if s.WallMS != other.WallMS {
		return s.WallMS < other.WallMS
	}
	return s.Counter < other.Counter
}

// Clock issues stamps later than every stamp that it issued or observed before. It
// is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	last Stamp
	now  func() time.Time
}

// New returns a clock that reads wall time from now.
func New(now func() time.Time) *Clock {
	return &Clock{now: now}
}

// Now returns a stamp later than all earlier ones.
func (c *Clock) Now() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall := c.now().UnixMilli()
	if wall > c.last.WallMS {
		c.last = Stamp{WallMS: wall}
		return c.last
	}
	c.last.Counter++
	return c.last
}

// Observe merges a stamp of another process, so that later stamps exceed it.
func (c *Clock) Observe(stamp Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.Before(stamp) {
		c.last = stamp
	}
}
