package ledger

import (
	"bytes"
	"cmp"
	"compress/flate"
	"encoding/json"
	"hash/crc32"
	"io"
	"sort"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/teaselcleat/teaselcleat/structs"
)

// MaxPartBytes is the maximum size of the snapshot data in one record.
const MaxPartBytes = 192 << 10

// Snapshot is the folded state of the ledger and targets streams with the offsets
// that it covers.
type Snapshot struct {
	AtMS            int64 // time of writing in Unix milliseconds, on the writer's clock
	LedgerNext      int64
	TargetsNext     int64
	TargetsVersion  int64
	TargetsDocument string
	TargetsLastID   string
	Term            structs.Term
	PrunedBefore    int64
	Keys            []*KeyEntry
	Jobs            []*JobEntry
}

// Part is one record of the snapshot stream. A snapshot is valid only if all of its
// parts are read and their checksum matches.
type Part struct {
	ID       string `json:"id"`
	Index    int    `json:"index"`
	Count    int    `json:"count"`
	Checksum uint32 `json:"checksum"` // CRC-32 (IEEE) of the whole encoded snapshot
	Data     []byte `json:"data"`
}

// CopyTo copies the state into a snapshot, with entries sorted by key. The entries are
// copies, so that the state may change while the snapshot is encoded.
func (s *State) CopyTo(snapshot *Snapshot) {
	snapshot.LedgerNext = s.NextOffset
	snapshot.Term = s.Term
	snapshot.PrunedBefore = s.PrunedBefore
	for _, entry := range s.Keys {
		copied := *entry
		snapshot.Keys = append(snapshot.Keys, &copied)
	}
	sort.Slice(snapshot.Keys, func(i, j int) bool {
		return lessKey(snapshot.Keys[i].Claim.Key, snapshot.Keys[j].Claim.Key)
	})
	for _, entry := range s.Jobs {
		copied := *entry
		copied.FailedWorkers = append([]string(nil), entry.FailedWorkers...)
		snapshot.Jobs = append(snapshot.Jobs, &copied)
	}
	sort.Slice(snapshot.Jobs, func(i, j int) bool { return snapshot.Jobs[i].Job.ID < snapshot.Jobs[j].Job.ID })
}

func lessKey(a, b structs.KeyID) bool {
	if a.Workspace != b.Workspace {
		return a.Workspace < b.Workspace
	}
	return a.Key < b.Key
}

// Restore replaces the state with that of the snapshot.
func (s *State) Restore(snapshot *Snapshot) {
	*s = *New()
	s.NextOffset = snapshot.LedgerNext
	s.Term = snapshot.Term
	s.PrunedBefore = snapshot.PrunedBefore
	for _, entry := range snapshot.Keys {
		s.Keys[entry.Claim.Key] = entry
	}
	for _, entry := range snapshot.Jobs {
		s.Jobs[entry.Job.ID] = entry
	}
}

// Newest returns the newer ledger and the newer targets of two snapshots, which may be nil. The
// streams advance on their own, so neither snapshot has to be the newer one in both. The time is
// that of the older snapshot that is used.
func Newest(a, b *Snapshot) *Snapshot {
	if a == nil || b == nil {
		return cmp.Or(a, b)
	}
	ledger, targets := a, a
	if b.LedgerNext > a.LedgerNext {
		ledger = b
	}
	if b.TargetsNext > a.TargetsNext {
		targets = b
	}
	newest := *ledger
	newest.AtMS = min(ledger.AtMS, targets.AtMS)
	newest.TargetsNext = targets.TargetsNext
	newest.TargetsVersion = targets.TargetsVersion
	newest.TargetsDocument = targets.TargetsDocument
	newest.TargetsLastID = targets.TargetsLastID
	return &newest
}

// Encode encodes a snapshot as compressed JSON.
func Encode(snapshot *Snapshot) ([]byte, error) {
	var buffer bytes.Buffer
	writer, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "create snapshot compressor")
	}
	if err := json.NewEncoder(writer).Encode(snapshot); err != nil {
		return nil, eris.Wrap(err, "encode snapshot")
	}
	if err := writer.Close(); err != nil {
		return nil, eris.Wrap(err, "compress snapshot")
	}
	return buffer.Bytes(), nil
}

// Decode decodes the output of Encode.
func Decode(data []byte) (*Snapshot, error) {
	plain, err := io.ReadAll(flate.NewReader(bytes.NewReader(data)))
	if err != nil {
		return nil, eris.Wrap(err, "decompress snapshot")
	}
	snapshot := &Snapshot{}
	if err := json.Unmarshal(plain, snapshot); err != nil {
		return nil, eris.Wrap(err, "decode snapshot")
	}
	return snapshot, nil
}

// Split splits an encoded snapshot into parts for the snapshot stream.
func Split(id string, data []byte) []Part {
	count := (len(data) + MaxPartBytes - 1) / MaxPartBytes
	parts := make([]Part, 0, count)
	for index := range count {
		start := index * MaxPartBytes
		end := min(start+MaxPartBytes, len(data))
		parts = append(parts, Part{ID: id, Index: index, Count: count, Checksum: crc32.ChecksumIEEE(data), Data: data[start:end]})
	}
	return parts
}

// Assembler collects parts in stream order and retains the newest complete snapshot.
type Assembler struct {
	incomplete map[string]map[int][]byte // parts by snapshot ID and checksum, then by index
	newest     *Snapshot
}

// NewAssembler returns an assembler without parts.
func NewAssembler() *Assembler {
	return &Assembler{incomplete: map[string]map[int][]byte{}}
}

// Add adds one part. Invalid parts and corrupt snapshots are ignored.
func (a *Assembler) Add(part Part) {
	if part.Count < 1 || part.Index < 0 || part.Index >= part.Count {
		return
	}
	id := part.ID + "/" + strconv.FormatUint(uint64(part.Checksum), 16)
	pieces := a.incomplete[id]
	if pieces == nil {
		pieces = map[int][]byte{}
		a.incomplete[id] = pieces
	}
	pieces[part.Index] = part.Data
	if len(pieces) < part.Count {
		return
	}
	delete(a.incomplete, id)
	a.assemble(pieces, part)
}

func (a *Assembler) assemble(pieces map[int][]byte, last Part) {
	var data []byte
	for index := range last.Count {
		data = append(data, pieces[index]...)
	}
	if crc32.ChecksumIEEE(data) != last.Checksum {
		return
	}
	snapshot, err := Decode(data)
	if err != nil {
		return
	}
	if a.newest == nil || snapshot.LedgerNext >= a.newest.LedgerNext {
		a.newest = snapshot
	}
}

// Newest returns the newest complete snapshot, or nil.
func (a *Assembler) Newest() *Snapshot { return a.newest }
