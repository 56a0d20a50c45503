package jobs

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/rotisserie/eris"
)

// Record is one keyed record of the work stream. An empty value deletes the key.
type Record struct {
	Key   string
	Value []byte
}

// Prefixes of keys, which precede a job ID or an instance name. The term, the mark of the newest
// progress group, the check record, the speeds of workers and the unreached workers have a single key each. Keys of any
// other form are ignored, so that instances of a former version read a log with new ones.
const (
	submissionPrefix = "s/"
	cancelPrefix     = "c/"
	progressPrefix   = "p/"
	statePrefix      = "e/"
	termKey          = "term"
	markKey          = "mark"
	checkKey         = "check"
	speedsKey        = "speeds"
	unreachedKey     = "unreached"
	instancePrefix   = "i/"
)

// Term names the leader. Its epoch, the number of the term, is sent with the leader's
// orders and appends, which workers and the store refuse once they have seen a higher one.
type Term struct {
	Epoch    int64  `json:"e"`
	Leader   string `json:"h"`           // instance name and boot; empty after the term was handed over
	Renewals int64  `json:"n,omitempty"` // incremented by each renewal
	Stalled  bool   `json:"s,omitempty"` // the leader cannot write progress
	// FormerLeasesMS is how long leases that were granted before this term may last from the
	// renewal on, plus 1; 0 if that is not stated, as in claims and by former versions.
	FormerLeasesMS int64 `json:"f,omitempty"`
	// LeaseLimitMS is how long after the leader sent its newest renewal leases may be requested for it; 0 if
	// that is not stated, as by former versions.
	LeaseLimitMS int64 `json:"l,omitempty"`
	AgeMS        int64 `json:"g,omitempty"` // how long the term had lasted at this renewal
	ShortTerms   int   `json:"t,omitempty"` // number of consecutive short terms directly before this one
}

// SubmissionRecord returns the record by which a job is accepted.
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

// Instance is the announcement of an instance to the other instances.
type Instance struct {
	Address  string  `json:"a"`           // IP:PORT for calls of other instances
	Zone     string  `json:"z,omitempty"` // availability zone
	CPUShare float64 `json:"c,omitempty"` // share of a core that its machine provides; 0 if unknown
	MemoryMB int64   `json:"m,omitempty"` // memory limit of its process; 0 if unknown
}

// InstanceRecord returns the record by which an instance announces itself.
func InstanceRecord(name string, instance Instance) (Record, error) {
	return encode(instancePrefix+name, instance)
}

// StateRecord returns the record of a job's state alone. Every instance reads it,
// while progress is read only by instances that may become leader.
func StateRecord(id string, state State) Record {
	return Record{Key: statePrefix + id, Value: []byte{stateLetter(state)}}
}

// GroupMarkRecord returns the record that identifies a progress group by the epoch of the
// term and the group's number in it. A new leader writes it alone, so that the store
// rejects the progress of previous leaders.
func GroupMarkRecord(epoch, number int64) Record {
	return Record{Key: markKey, Value: fmt.Appendf(nil, "%d.%d", epoch, number)}
}

// ProbeRecord returns a record without content, which an instance appends to check
// whether a part accepts appends.
func ProbeRecord() Record { return Record{Key: checkKey} }

// CancelRecord returns the record that cancels a job.
func CancelRecord(id string) Record { return Record{Key: cancelPrefix + id, Value: []byte{'1'}} }

// DeleteCallerRecords returns the records that delete the submission and the
// cancellation of a job. They are appended to every part that holds such records,
// before DeleteProgressRecord and DeleteStateRecord.
func DeleteCallerRecords(id string) []Record {
	return []Record{{Key: submissionPrefix + id}, {Key: cancelPrefix + id}}
}

// DeleteProgressRecord returns the record that deletes a job's progress.
func DeleteProgressRecord(id string) Record { return Record{Key: progressPrefix + id} }

// DeleteStateRecord returns the record that deletes a job's state. It is appended
// last, so that a duplicate of the submission finds the final state until then.
func DeleteStateRecord(id string) Record { return Record{Key: statePrefix + id} }

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

// Subject returns the job ID or instance name in the record's key. It is empty for
// the term and other keys without a prefix.
func (r Record) Subject() string {
	_, name, _ := strings.Cut(r.Key, "/")
	return name
}

func cutKeyPrefix(key, prefix string) (string, bool) { return strings.CutPrefix(key, prefix) }
