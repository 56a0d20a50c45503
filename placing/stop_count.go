package placing

import "fmt"

// stopCount counts the runs of a job that this leader has stopped, for the log.
type stopCount struct {
	runs        int
	coreSeconds float64 // work of these runs that was not saved
}

func (c *stopCount) add(lostCoreSeconds float64) {
	c.runs++
	c.coreSeconds += lostCoreSeconds
}

// String describes the count for the log.
func (c *stopCount) String() string {
	return fmt.Sprintf("job_stops %d job_lost_core_s %.0f", c.runs, c.coreSeconds)
}
