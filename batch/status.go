package batch

import "github.com/teaselcleat/teaselcleat/jobs"

// Status is what an instance believes, for operators.
type Status struct {
	Instance      string             `json:"instance"`
	Leading       bool               `json:"leading"`
	Term          jobs.Term          `json:"term"`
	ConfigVersion int64              `json:"config_version"`
	Evacuated     []string           `json:"evacuated,omitempty"` // availability zones that get nothing new
	Ready         bool               `json:"ready"`
	Draining      bool               `json:"draining"`
	LogAgeMS      int64              `json:"log_age_ms"` // since the last answered read of the log
	Jobs          map[jobs.State]int `json:"jobs"`
	Waiting       map[string]int     `json:"waiting"`           // by queue
	Keeping       int                `json:"keeping"`           // workers driven for the holder of the term
	Sharing       SharingStatus      `json:"sharing,omitempty"` // of the holder of the term
}

// SharingStatus is how the holder of the term reaches the workers.
type SharingStatus struct {
	Shared  bool           `json:"shared"`            // others keep shares of them
	Own     int            `json:"own"`               // workers that it drives itself
	Moving  int            `json:"moving"`            // workers that nobody drives now, or that are being handed over
	Keepers map[string]int `json:"keepers,omitempty"` // workers driven, by instance
}

// Status returns what this instance believes now.
func (i *Instance) Status() Status {
	status := Status{
		Instance:  i.settings.Name,
		Leading:   i.fold.watching.Load(),
		Evacuated: i.evacuations.list(),
		Ready:     i.Ready(),
		Draining:  i.Draining(),
		LogAgeMS:  sinceMS(i.clock.Now(), i.work.heardAt()),
		Waiting:   map[string]int{},
		Keeping:   i.keepings.count(),
	}
	if sharing := i.sharing.Load(); sharing != nil {
		status.Sharing = *sharing
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
