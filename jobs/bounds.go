package jobs

// Bounds of what records and entries of other writers may state. Within them no sum or product that
// placing forms over the tasks of a job, the workers of a rack or the jobs of a workspace overflows.
const (
	MaxMilliCores   int64 = 1 << 30 // a million cores
	MaxMemoryMB     int64 = 1 << 30 // a petabyte
	MaxAccelerators int64 = 1 << 20
	// MaxTimeMS bounds times of day in Unix milliseconds, and workers' clocks: the year 2100.
	MaxTimeMS int64 = 4_102_444_800_000
)

// Valid reports whether no resource is negative or above its bound.
func (r Resources) Valid() bool {
	return inRange(r.MilliCores, MaxMilliCores) && inRange(r.MemoryMB, MaxMemoryMB) && inRange(r.Accelerators, MaxAccelerators)
}

// inRange reports whether a number is between 0 and a bound.
func inRange(number, bound int64) bool { return number >= 0 && number <= bound }
