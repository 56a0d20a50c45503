package batch

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock gives a steady time that goes on while the machine is suspended. Times
// it returns compare with each other only.
type Clock struct {
	wallStart time.Time // time of day at the start, kept as jumps must not move due times
	start     time.Time
	steady    func() time.Time
}

// NewClock returns a clock that takes its time of day from now.
func NewClock() *Clock {
	return &Clock{wallStart: time.Now().Round(0), start: steadyNow(), steady: steadyNow}
}

// Now is the steady time.
func (c *Clock) Now() time.Time { return c.steady() }

// WallMS is the time of day, in milliseconds since 1970, at a steady time. It
// follows the time of day at the process's start, not later jumps of it.
func (c *Clock) WallMS(at time.Time) int64 {
	return c.wallStart.Add(at.Sub(c.start)).UnixMilli()
}

// steadyNow reads CLOCK_BOOTTIME, which unlike Go's monotonic clock counts the
// time of a suspension.
func steadyNow() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic("batch: no steady clock: " + err.Error())
	}
	return time.Unix(now.Sec, now.Nsec)
}
