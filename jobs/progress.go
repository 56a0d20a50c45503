package jobs

import (
	"encoding/hex"
	"encoding/json"
	"strings"

	"github.com/rotisserie/eris"
)

// TaskProgress is the stored progress of a task that is not done. It outlives the
// leader that wrote it.
type TaskProgress struct {
	Flat       int    // number of the task, ordered by occurrence, step and index
	Run        int    // highest run that was placed
	Failed     int    // number of failed runs
	Judged     int    // highest run whose end was processed
	Worker     string // worker that may execute Run; empty after the run has ended
	BornMS     int64  // start of the worker's incarnation in Unix milliseconds; 0 if unknown
	Checkpoint string // newest checkpoint
	Losses     int    // number of runs that ended because their worker was lost
	// EarlyLosses is the part of Losses in which the worker was lost soon after the
	// start, so that the task itself may be the cause.
	EarlyLosses int
}

// MarshalJSON encodes the progress as a list to keep records short: they are written
// at every change of a job and read by every instance. Losses are omitted if there
// are none, which is the case for nearly all tasks.
func (t TaskProgress) MarshalJSON() ([]byte, error) {
	if t.Losses == 0 {
		return json.Marshal([...]any{t.Flat, t.Run, t.Failed, t.Judged, t.Worker, t.Checkpoint})
	}
	return json.Marshal([...]any{t.Flat, t.Run, t.Failed, t.Judged, t.Worker, t.Checkpoint, t.Losses, t.EarlyLosses})
}

// UnmarshalJSON decodes the list that MarshalJSON writes.
func (t *TaskProgress) UnmarshalJSON(encoded []byte) error {
	fields := [...]any{&t.Flat, &t.Run, &t.Failed, &t.Judged, &t.Worker, &t.Checkpoint, &t.Losses, &t.EarlyLosses}
	list := fields[:]
	if err := json.Unmarshal(encoded, &list); err != nil {
		return err
	}
	if len(list) != len(fields) && len(list) != fieldsWithoutLosses {
		return eris.New("progress of a task has a wrong number of fields")
	}
	for _, count := range [...]int{t.Run, t.Failed, t.Judged, t.Losses, t.EarlyLosses} {
		if !inRange(int64(count), MaxRun) {
			return eris.Errorf("progress of a task has the count %d", count)
		}
	}
	return nil
}

// fieldsWithoutLosses is the length of the list if losses are omitted.
const fieldsWithoutLosses = 6

// Progress is the progress of a job. Done and Tasks are omitted for a job in a
// final state.
type Progress struct {
	State   State  `json:"-"`
	Reason  string `json:"y,omitempty"` // reason of the failure
	EndedMS int64  `json:"e,omitempty"` // Unix milliseconds of the final state
	// ReadyMS is when a step with dependencies became ready, in Unix milliseconds; the
	// latest such time if there are several steps. 0 if no such step is ready yet.
	ReadyMS int64          `json:"u,omitempty"`
	Done    Bits           `json:"d,omitempty"` // tasks that are done
	Tasks   []TaskProgress `json:"t,omitempty"` // tasks that are not done and had a run placed
}

// progressRecord is the stored form of Progress. The incarnations of the tasks' workers
// are stored outside of the tasks' lists: instances of a version without incarnations
// read the other fields and reject lists of another length.
type progressRecord struct {
	*Progress
	Born []int64 `json:"b,omitempty"` // incarnations by position in Tasks; omitted if none is known
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

// restoreBorn copies the incarnations into the tasks. If the list does not match the
// tasks, another writer wrote it and the incarnations stay unknown.
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

// Set adds a number to the set.
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

// MarshalText encodes the set in hexadecimal.
func (b Bits) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(b)), nil }

// UnmarshalText decodes the text that MarshalText writes.
func (b *Bits) UnmarshalText(text []byte) error {
	decoded, err := hex.DecodeString(string(text))
	*b = decoded
	return err
}

// stateLetters are the first bytes of progress records, one for each state. They let
// instances that are not the leader skip decoding the remainder.
const stateLetters = "qrdfc"

var statesByLetter = [...]State{StateQueued, StateRunning, StateDone, StateFailed, StateCancelled}

func encodeProgress(p *Progress) ([]byte, error) {
	encoded, err := json.Marshal(newProgressRecord(p))
	if err != nil {
		return nil, err
	}
	return append([]byte{stateLetter(p.State)}, encoded...), nil
}

// stateLetter returns the letter of a state. It panics if the state does not exist,
// since that is a violated invariant.
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
	return "", eris.New("progress record does not begin with a state letter")
}

// DecodeProgress decodes the value of a progress record.
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
	record.EndedMS = clamp(record.EndedMS, 0, MaxTimeMS)
	record.ReadyMS = clamp(record.ReadyMS, 0, MaxTimeMS)
	return record.Progress, nil
}
