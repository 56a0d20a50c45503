package jobs

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/rotisserie/eris"
)

// Record is one keyed record of the work stream. An empty value drops the key.
type Record struct {
	Key   string
	Value []byte
}

// Prefixes of keys. What follows is the job's ID, or the instance's name; the
// term and the mark of the newest group of progress have one key each.
const (
	submissionPrefix = "s/"
	cancelPrefix     = "c/"
	progressPrefix   = "p/"
	statePrefix      = "e/"
	termKey          = "term"
	markKey          = "mark"
	checkKey         = "check"
	instancePrefix   = "i/"
)

// Term names the placing instance. Epoch fences its orders and its appends.
type Term struct {
	Epoch    int64  `json:"e"`
	Holder   string `json:"h"`           // instance name and boot; empty once handed over
	Renewals int64  `json:"n,omitempty"` // grows with each renewal
	Stalled  bool   `json:"s,omitempty"` // the holder cannot write progress
}

// SubmissionRecord returns the record that accepts a job.
func SubmissionRecord(s *Submission) (Record, error) { return encode(submissionPrefix+s.ID, s) }

// ProgressRecord returns the record of a job's progress.
func ProgressRecord(id string, p *Progress) (Record, error) {
	value, err := encodeProgress(p)
	if err != nil {
		return Record{}, eris.Wrap(err, "encode progress of "+id)
	}
	return Record{Key: progressPrefix + id, Value: value}, nil
}

// TermRecord returns the record that claims, renews or hands over the term.
func TermRecord(t Term) (Record, error) { return encode(termKey, t) }

// Instance is what an instance says of itself to the others.
type Instance struct {
	Address  string  `json:"a"`           // IP:PORT at which it answers their calls
	Zone     string  `json:"z,omitempty"` // its availability zone
	CPUShare float64 `json:"c,omitempty"` // of a core
}

// InstanceRecord returns the record by which an instance makes itself known.
func InstanceRecord(name string, instance Instance) (Record, error) {
	return encode(instancePrefix+name, instance)
}

// StateRecord returns the record of a job's state alone, which every instance
// reads; progress is for those that may place.
func StateRecord(id string, state State) Record {
	return Record{Key: statePrefix + id, Value: []byte{stateLetter(state)}}
}

// MarkRecord returns the record that names a group of progress, by the epoch of
// the term and the group's number in it. Alone, it is what a new placing
// instance writes so that the store refuses the progress of former ones.
func MarkRecord(epoch, number int64) Record {
	return Record{Key: markKey, Value: fmt.Appendf(nil, "%d.%d", epoch, number)}
}

// CheckRecord returns a record that says nothing: an instance appends it to learn whether
// a part takes any.
func CheckRecord() Record { return Record{Key: checkKey} }

// CancelRecord returns the record that cancels a job.
func CancelRecord(id string) Record { return Record{Key: cancelPrefix + id, Value: []byte{'1'}} }

// ForgetCallRecords returns the records that drop what callers wrote of a job.
// They go to every part in which such records lie, before ForgetProgressRecord
// and ForgetStateRecord.
func ForgetCallRecords(id string) []Record {
	return []Record{{Key: submissionPrefix + id}, {Key: cancelPrefix + id}}
}

// ForgetProgressRecord returns the record that drops a job's progress.
func ForgetProgressRecord(id string) Record { return Record{Key: progressPrefix + id} }

// ForgetStateRecord returns the record that drops a job's state. It comes last,
// so that a second copy of the submission meets the state until then.
func ForgetStateRecord(id string) Record { return Record{Key: statePrefix + id} }

func encode(key string, value any) (Record, error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return Record{}, eris.Wrap(err, "encode record "+key)
	}
	return Record{Key: key, Value: encoded}, nil
}

func decode[T any](record Record) (*T, error) {
	value := new(T)
	if err := json.Unmarshal(record.Value, value); err != nil {
		return nil, eris.Wrap(err, "decode record "+record.Key)
	}
	return value, nil
}

// Subject is what a record is about: a job's ID or an instance's name. The term
// has none.
func (r Record) Subject() string {
	_, name, _ := strings.Cut(r.Key, "/")
	return name
}

func cutKeyPrefix(key, prefix string) (string, bool) { return strings.CutPrefix(key, prefix) }
