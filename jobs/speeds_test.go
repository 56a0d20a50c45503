package jobs

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

// maxRecordBytes is the limit for one record that the platform states.
const maxRecordBytes = 262144

func testSpeeds(workers int) *Speeds {
	speeds := &Speeds{Variance: 0.12}
	for index := range workers {
		speeds.Workers = append(speeds.Workers, WorkerSpeed{Incarnation: uint64(index + 1), LogSpeed: float64(index%100-50) / 100, Samples: 1 + index%8})
	}
	return speeds
}

func TestSpeedsSurviveTheirRecord(t *testing.T) {
	is := is.New(t)
	decoded, err := DecodeSpeeds(SpeedsRecord(testSpeeds(350)).Value)
	is.NoErr(err)
	is.True(math.Abs(decoded.Variance-0.12) < varianceUnit)
	is.Equal(len(decoded.Workers), 350)
	for index, worker := range testSpeeds(350).Workers {
		is.Equal(decoded.Workers[index].Incarnation, worker.Incarnation)
		is.Equal(decoded.Workers[index].Samples, worker.Samples)
		is.True(math.Abs(decoded.Workers[index].LogSpeed-worker.LogSpeed) < speedUnit)
	}
}

// Guards against an estimate beyond the recorded range that comes back as the opposite one.
func TestRecordedSpeedsAreBounded(t *testing.T) {
	is := is.New(t)
	speeds := &Speeds{Variance: 100, Workers: []WorkerSpeed{{1, 9, 1000}, {2, -9, 1}}}
	decoded, err := DecodeSpeeds(SpeedsRecord(speeds).Value)
	is.NoErr(err)
	is.True(decoded.Workers[0].LogSpeed > 1 && decoded.Workers[1].LogSpeed < -1)
	is.Equal(decoded.Workers[0].Samples, math.MaxUint8)
}

// Guards against a record that the store refuses, and all progress of its group with it.
func TestSpeedsOfManyWorkersFitIntoOneRecord(t *testing.T) {
	is := is.New(t)
	record := SpeedsRecord(testSpeeds(40000))
	is.True((len(record.Value)+2)/3*4+len(record.Key) < maxRecordBytes)
	decoded, err := DecodeSpeeds(record.Value)
	is.NoErr(err)
	is.Equal(len(decoded.Workers), maxSpeedEntries)
	for _, worker := range decoded.Workers {
		is.True(worker.Samples >= 5) // those with fewer are left out
	}
}

// A record that cannot be read leaves the speeds that are known.
func TestUnreadableSpeedsAreIgnored(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	_, err := table.Apply(SpeedsRecord(testSpeeds(3)), 7, 5)
	is.NoErr(err)
	valid := SpeedsRecord(testSpeeds(4)).Value
	tooLarge := make([]byte, speedsHeaderSize+(maxSpeedEntries+1)*speedEntrySize)
	otherFormat := append([]byte{speedsFormat + 1}, valid[1:]...)
	flipped := append([]byte(nil), valid...)
	flipped[len(flipped)-3] ^= 4
	for index, value := range [][]byte{{1}, valid[:len(valid)-1], valid[:len(valid)-speedEntrySize], otherFormat, flipped, tooLarge, []byte(`{"speeds":1}`)} {
		_, err := table.Apply(Record{Key: speedsKey, Value: value}, 7, int64(6+index))
		is.True(err != nil)
		is.Equal(len(table.Speeds().Workers), 3)
	}
}

// Guards against older speeds replacing newer ones when the tail is read after a page of newest
// records, and against a fold that stops at the record's deletion.
func TestNewestSpeedsCount(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	is.Equal(table.Speeds(), nil)
	for _, read := range []struct {
		workers int
		offset  int64
	}{{2, 9}, {1, 4}, {0, 10}} {
		record := SpeedsRecord(testSpeeds(read.workers))
		if read.workers == 0 {
			record.Value = nil
		}
		_, err := table.Apply(record, 7, read.offset)
		is.NoErr(err)
		is.Equal(len(table.Speeds().Workers), 2)
	}
}

// A former version knows no record of speeds: the fold passes over keys that it does not know.
func TestUnknownKeysAreIgnored(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	mustApply(t, table, StateRecord("a", StateRunning), 0, 1)
	for _, key := range []string{"speedy", "z/a", "s", ""} {
		change, err := table.Apply(Record{Key: key, Value: []byte{1, 2, 3}}, 7, 2)
		is.NoErr(err)
		is.Equal(change, Change{})
	}
	is.Equal(table.Len(), 1)
}
