package batch

import "github.com/teaselcleat/teaselcleat/jobs"

// Status is what an instance believes, for operators.
type Status struct {
	Instance      string             `json:"instance"`
	Leading       bool               `json:"leading"`
	Term          jobs.Term          `json:"term"`
	ConfigVersion int64              `json:"config_version"`
	Ready         bool               `json:"ready"`
	Draining      bool               `json:"draining"`
	LogAgeMS      int64              `json:"log_age_ms"` // since the last answered read of the log
	Jobs          map[jobs.State]int `json:"jobs"`
	Waiting       map[string]int     `json:"waiting"` // by queue
}

// Status returns what this instance believes now.
func (i *Instance) Status() Status {
	status := Status{
		Instance: i.settings.Name,
		Leading:  i.fold.watching.Load(),
		Ready:    i.Ready(),
		Draining: i.Draining(),
		LogAgeMS: sinceMS(i.clock.Now(), i.work.heardAt()),
		Waiting:  map[string]int{},
	}
	config := i.Config()
	i.foldLock.Lock()
	defer i.foldLock.Unlock()
	status.Term = i.fold.table.Term()
	status.Jobs = i.fold.table.Counts()
	if config != nil {
		status.ConfigVersion = config.Version
		for index := range config.Queues {
			name := config.Queues[index].Name
			status.Waiting[name] = i.fold.table.Waiting(name)
		}
	}
	return status
}
