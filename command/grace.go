package command

import "time"

// callTimeout returns how long a stopping instance waits for the calls in progress: the second
// half of the grace period without shutdownReserve, of which a short grace period leaves no more
// than half of that half.
func callTimeout(gracePeriod time.Duration) time.Duration {
	half := gracePeriod / 2
	return half - min(shutdownReserve, half/2)
}
