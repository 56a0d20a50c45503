package jobs

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/rotisserie/eris"
)

// Unreached names workers that a leader has not reached in its term although runs are on record
// there. All leases on them were granted in terms before.
type Unreached struct {
	Epoch int64 `json:"e"` // of the term
	// LeadMS states, by worker name, by how many milliseconds the leases there expire earlier than the
	// last of those that were granted before the term, see Term.FormerLeasesMS.
	LeadMS map[string]int64 `json:"w,omitempty"`
}

const (
	// maxUnreachedBytes keeps the record, in base64 as it is transferred, below 262,144 bytes, the
	// limit for a record that the platform states.
	maxUnreachedBytes = 128 << 10
	// unreachedEntryBytes is an upper bound of the size of an entry beside its name.
	unreachedEntryBytes = 24
)

// NewUnreached returns the statement of a leader about workers. It leaves out those beyond the size
// of a record.
func NewUnreached(epoch int64, leadMS map[string]int64) (*Unreached, error) {
	u := &Unreached{Epoch: epoch, LeadMS: map[string]int64{}}
	size := unreachedEntryBytes
	for _, name := range slices.Sorted(maps.Keys(leadMS)) {
		encoded, err := json.Marshal(name)
		if err != nil {
			return nil, eris.Wrap(err, "encode the name of an unreached worker")
		}
		size += len(encoded) + unreachedEntryBytes
		if size > maxUnreachedBytes {
			break
		}
		u.LeadMS[name] = leadMS[name]
	}
	return u, nil
}

// UnreachedRecord returns the record of the workers that the leader has not reached.
func UnreachedRecord(u *Unreached) (Record, error) { return encode(unreachedKey, u) }

// validate reports why a statement that was read is not valid.
func (u *Unreached) validate() error {
	if u.Epoch < 1 {
		return eris.Errorf("unreached workers of invalid epoch %d", u.Epoch)
	}
	for name, lead := range u.LeadMS {
		if !inRange(lead, MaxTimeMS) {
			return eris.Errorf("the lead of %d ms of unreached worker %s is out of range", lead, name)
		}
	}
	return nil
}

// Unreached returns the newest statement about unreached workers, or nil if there is none or it
// could not be read.
func (t *Table) Unreached() *Unreached { return t.unreached }

// applyUnreached replaces the statement. One that cannot be read may withdraw the former one, so
// that is not kept either.
func (t *Table) applyUnreached(record Record, offset int64) error {
	if offset < t.unreachedNextOffset {
		return nil
	}
	t.unreachedNextOffset = offset + 1
	t.unreached = nil
	if len(record.Value) == 0 {
		return nil
	}
	unreached, err := decode[Unreached](record)
	if err != nil {
		return err
	}
	if err := unreached.validate(); err != nil {
		return err
	}
	t.unreached = unreached
	return nil
}
