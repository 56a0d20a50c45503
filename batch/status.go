package batch

import (
	"github.com/teaselcleat/teaselcleat/jobs"
	"github.com/teaselcleat/teaselcleat/placing"
)

// Status is the state of an instance as it sees it, for operators.
type Status struct {
	Instance         string             `json:"instance"`
	Leading          bool               `json:"leading"`
	Term             jobs.Term          `json:"term"`
	ConfigVersion    int64              `json:"config_version"`
	Evacuated        []string           `json:"evacuated,omitempty"` // availability zones that are evacuated
	Ready            bool               `json:"ready"`
	Draining         bool               `json:"draining"`
	LogAgeMS         int64              `json:"log_age_ms"` // since the last answered read of the log
	Jobs             map[jobs.State]int `json:"jobs"`
	Waiting          map[string]int     `json:"waiting"`           // by queue
	DelegatedWorkers int                `json:"keeping"`           // workers that this instance dispatches to for the leader
	Sharding         ShardingStatus     `json:"sharing,omitempty"` // set on the leader only

	Speeds placing.SpeedsStatus `json:"speeds,omitempty"` // set on the leader only
}

// ShardingStatus describes how the leader reaches the workers.
type ShardingStatus struct {
	Sharded       bool           `json:"shared"`            // workers are assigned to delegates
	OwnWorkers    int            `json:"own"`               // workers that the leader dispatches to itself
	MovingWorkers int            `json:"moving"`            // workers without a dispatcher, or in transfer
	Delegates     map[string]int `json:"keepers,omitempty"` // number of workers by delegate
}

// Status returns the current status of this instance.
func (i *Instance) Status() Status {
	status := Status{
		Instance:         i.settings.Name,
		Leading:          i.fold.trackDirty.Load(),
		Evacuated:        i.evacuations.list(),
		Ready:            i.Ready(),
		Draining:         i.Draining(),
		LogAgeMS:         ageMS(i.clock.Now(), i.work.lastAnswer()),
		Waiting:          map[string]int{},
		DelegatedWorkers: i.delegations.workerCount(),
	}
	if sharding := i.shardingStatus.Load(); sharding != nil {
		status.Sharding = *sharding
	}
	if speeds := i.speedsStatus.Load(); speeds != nil {
		status.Speeds = *speeds
	}
	config := i.Config()
	i.foldLock.Lock()
	defer i.foldLock.Unlock()
	status.Term = i.fold.table.Term()
	status.Jobs = i.fold.table.CountByState()
	if config != nil {
		status.ConfigVersion = config.Version
		for index := range config.Queues {
			name := config.Queues[index].Name
			status.Waiting[name] = i.fold.table.QueuedCount(name)
		}
	}
	return status
}
