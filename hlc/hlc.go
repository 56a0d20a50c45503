// Package hlc owns the hybrid logical clock that orders events of all
// processes: wall milliseconds and a counter that never run backwards.
package hlc

import (
	"sync"
	"time"
)

// Stamp is one reading. Stamps compare first by WallMS, then by Counter.
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

// Clock gives stamps that exceed every stamp it gave or saw. It is safe for
// concurrent use.
type Clock struct {
	mu   sync.Mutex
	last Stamp
	now  func() time.Time
}

// New returns a clock over the given wall clock.
func New(now func() time.Time) *Clock {
	return &Clock{now: now}
}

// Now returns a stamp later than all before it.
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

// Observe takes in a stamp from another process, so that later readings exceed it.
func (c *Clock) Observe(seen Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.Before(seen) {
		c.last = seen
	}
}
