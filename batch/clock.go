package batch

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock provides a monotonic time that includes time spent suspended. Its times are comparable
// only with each other.
type Clock struct {
	wallStart time.Time // time of day at the start; later clock jumps must not move due times
	start     time.Time
	readTime  func() time.Time
}

// NewClock returns a clock that takes its time of day from now.
func NewClock() *Clock {
	return &Clock{wallStart: time.Now().Round(0), start: bootTimeNow(), readTime: bootTimeNow}
}

// Now returns the monotonic time.
func (c *Clock) Now() time.Time { return c.readTime() }

// WallMS converts a monotonic time to the time of day, in milliseconds since 1970. It is based on
// the time of day at process start and ignores later jumps.
func (c *Clock) WallMS(at time.Time) int64 {
	return c.wallStart.Add(at.Sub(c.start)).UnixMilli()
}

// bootTimeNow reads CLOCK_BOOTTIME, which unlike Go's monotonic clock includes time spent
// suspended.
func bootTimeNow() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic("batch: CLOCK_BOOTTIME is unavailable: " + err.Error())
	}
	return time.Unix(now.Sec, now.Nsec)
}
