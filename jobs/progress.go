package jobs

import (
	"encoding/hex"
	"encoding/json"
	"strings"

	"github.com/rotisserie/eris"
)

// TaskProgress is what lasts of a task that is not done, beyond the placing
// instance's memory.
type TaskProgress struct {
	Flat       int    // number of the task: by occurrence, then step, then index
	Run        int    // highest run that was placed
	Failed     int    // runs ended as failed
	Judged     int    // highest run whose end was taken in
	Worker     string // where Run may be; empty once it is over
	BornMS     int64  // of the life of Worker, in Unix milliseconds; 0 if not said
	Checkpoint string // newest saved state
	Losses     int    // runs that were over as their worker was lost
	// EarlyLosses are those of Losses that point at the task, as the worker was lost
	// soon after the start.
	EarlyLosses int
}

// MarshalJSON writes a list, as records are written at every change of a job
// and read by every instance. Losses are left out where there are none, as of nearly
// all tasks.
func (t TaskProgress) MarshalJSON() ([]byte, error) {
	if t.Losses == 0 {
		return json.Marshal([...]any{t.Flat, t.Run, t.Failed, t.Judged, t.Worker, t.Checkpoint})
	}
	return json.Marshal([...]any{t.Flat, t.Run, t.Failed, t.Judged, t.Worker, t.Checkpoint, t.Losses, t.EarlyLosses})
}

// UnmarshalJSON reads that list.
func (t *TaskProgress) UnmarshalJSON(encoded []byte) error {
	fields := [...]any{&t.Flat, &t.Run, &t.Failed, &t.Judged, &t.Worker, &t.Checkpoint, &t.Losses, &t.EarlyLosses}
	list := fields[:]
	if err := json.Unmarshal(encoded, &list); err != nil {
		return err
	}
	if len(list) != len(fields) && len(list) != fieldsWithoutLosses {
		return eris.New("progress of a task has a wrong number of fields")
	}
	return nil
}

// fieldsWithoutLosses is the length of the list of a task that lost no worker.
const fieldsWithoutLosses = 6

// Progress is what became of a job. Of a job with a final state neither Done
// nor Tasks is kept.
type Progress struct {
	State   State  `json:"-"`
	Reason  string `json:"y,omitempty"` // why it failed
	EndedMS int64  `json:"e,omitempty"` // since 1970, of the final state
	// TurnedMS is when the turn of a step came that waits for others, since 1970; of
	// several steps the latest. 0 if no such step's turn has come.
	TurnedMS int64          `json:"u,omitempty"`
	Done     Bits           `json:"d,omitempty"` // tasks that ended as done
	Tasks    []TaskProgress `json:"t,omitempty"` // the others, of which a run was placed
}

// progressRecord is progress as it is written. When the lives of the tasks' workers began
// stands apart from the tasks: instances of a version that knows of no lives read the rest
// and refuse lists of tasks of another length.
type progressRecord struct {
	*Progress
	Born []int64 `json:"b,omitempty"` // by position in Tasks; left out if none is said
}

func newProgressRecord(p *Progress) progressRecord {
	record := progressRecord{Progress: p}
	for index := range p.Tasks {
		if p.Tasks[index].BornMS != 0 && record.Born == nil {
			record.Born = make([]int64, len(p.Tasks))
		}
		if record.Born != nil {
			record.Born[index] = p.Tasks[index].BornMS
		}
	}
	return record
}

// restoreBorn gives the tasks what stands apart of them. A list that does not fit is none
// of ours: the lives are taken as unknown.
func (r progressRecord) restoreBorn() {
	if len(r.Born) != len(r.Tasks) {
		return
	}
	for index := range r.Tasks {
		r.Tasks[index].BornMS = r.Born[index]
	}
}

// Bits is a set of task numbers.
type Bits []byte

// Set adds a number.
func (b *Bits) Set(number int) {
	for len(*b) <= number/8 {
		*b = append(*b, 0)
	}
	(*b)[number/8] |= 1 << (number % 8)
}

// Has reports whether a number is in the set.
func (b Bits) Has(number int) bool {
	return number/8 < len(b) && b[number/8]&(1<<(number%8)) != 0
}

// MarshalText writes the set in hexadecimal.
func (b Bits) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(b)), nil }

// UnmarshalText reads it.
func (b *Bits) UnmarshalText(text []byte) error {
	decoded, err := hex.DecodeString(string(text))
	*b = decoded
	return err
}

// stateLetters stand before the rest of a progress record, so that instances
// which do not place need not read the rest.
const stateLetters = "qrdfc"

var statesByLetter = [...]State{StateQueued, StateRunning, StateDone, StateFailed, StateCancelled}

func encodeProgress(p *Progress) ([]byte, error) {
	encoded, err := json.Marshal(newProgressRecord(p))
	if err != nil {
		return nil, err
	}
	return append([]byte{stateLetter(p.State)}, encoded...), nil
}

// stateLetter is how a state is written. One that does not exist is a broken
// invariant.
func stateLetter(state State) byte {
	for index, s := range statesByLetter {
		if s == state {
			return stateLetters[index]
		}
	}
	panic("jobs: unknown state " + string(state))
}

func decodeState(value []byte) (State, error) {
	if len(value) > 0 {
		if index := strings.IndexByte(stateLetters, value[0]); index >= 0 {
			return statesByLetter[index], nil
		}
	}
	return "", eris.New("progress record without a state")
}

// DecodeProgress reads the value of a progress record.
func DecodeProgress(value []byte) (*Progress, error) {
	state, err := decodeState(value)
	if err != nil {
		return nil, err
	}
	record := progressRecord{Progress: &Progress{State: state}}
	if err := json.Unmarshal(value[1:], &record); err != nil {
		return nil, eris.Wrap(err, "decode progress")
	}
	record.restoreBorn()
	return record.Progress, nil
}
