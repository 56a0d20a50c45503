package jobs

import (
	"cmp"
	"unicode"
	"unicode/utf8"
)

// Bounds of what records and entries of other writers may state. Within them no sum or product that
// placing forms over the tasks of a job, the workers of a rack or the jobs of a workspace overflows.
const (
	MaxMilliCores   int64 = 1 << 30 // a million cores
	MaxMemoryMB     int64 = 1 << 30 // a petabyte
	MaxAccelerators int64 = 1 << 20
	// MaxEstimateMS bounds the estimates of all steps of a job together, and a target: 90 days.
	MaxEstimateMS int64 = 90 * 24 * 3600 * 1000
	// MaxTimeMS bounds times of day in Unix milliseconds, and workers' clocks: the year 2100.
	MaxTimeMS int64 = 4_102_444_800_000
	// MaxPriority bounds the numbers of priorities.
	MaxPriority = 1000
	// MaxStretch bounds the stretch of a queue.
	MaxStretch = 100.0
	// MaxLeaseMS bounds what is left of leases: a day.
	MaxLeaseMS int64 = 24 * 3600 * 1000
	// MaxRun bounds the numbers of runs.
	MaxRun = 1 << 31
	// MaxCPUShare bounds the cores of an instance's machine.
	MaxCPUShare = 1024.0
	// MaxEpoch bounds the numbers of terms.
	MaxEpoch int64 = 1 << 53
	// MaxCheckpointBytes bounds a checkpoint, as all of a job's go into one record.
	MaxCheckpointBytes = 512
	// MaxNameBytes bounds IDs and names that other writers choose.
	MaxNameBytes = 128
)

// Valid reports whether no resource is negative or above its bound.
func (r Resources) Valid() bool {
	return inRange(r.MilliCores, MaxMilliCores) && inRange(r.MemoryMB, MaxMemoryMB) && inRange(r.Accelerators, MaxAccelerators)
}

// limitedNeed returns the need of a task with numbers above every capacity moved to just above.
func (r Resources) limitedNeed() Resources {
	return Resources{min(r.MilliCores, MaxMilliCores+1), min(r.MemoryMB, MaxMemoryMB+1), min(r.Accelerators, MaxAccelerators+1)}
}

// clamp returns the nearest number between two bounds.
func clamp[T cmp.Ordered](number, lowest, highest T) T { return min(max(number, lowest), highest) }

// inRange reports whether a number is between 0 and a bound.
func inRange(number, bound int64) bool { return number >= 0 && number <= bound }

// ValidName reports whether a name can be sent in headers and messages: it is not empty, has at most
// MaxNameBytes and consists of printable characters without spaces.
func ValidName(name string) bool {
	if name == "" || len(name) > MaxNameBytes {
		return false
	}
	for _, char := range name { // bytes that are not UTF-8 are read as utf8.RuneError
		if char == utf8.RuneError || !unicode.IsGraphic(char) || unicode.IsSpace(char) {
			return false
		}
	}
	return true
}
