package jobs

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// Speeds is what a leader has learned of the speeds of workers, for the next leader.
type Speeds struct {
	Variance float64       // of the logarithms of the speeds
	Workers  []WorkerSpeed // of those with an estimate, in the order of their incarnations
}

// WorkerSpeed is the estimated speed of one incarnation of a worker.
type WorkerSpeed struct {
	Incarnation uint64  // see IncarnationHash
	LogSpeed    float64 // logarithm of the speed relative to the usual one
	Samples     int     // runs that the estimate is based on
}

const (
	speedsFormat     = 1
	speedsHeaderSize = 7  // format, variance, checksum
	speedEntrySize   = 10 // incarnation, speed, samples
	// speedUnit and varianceUnit are the precision that is recorded: a percent of the speed is finer
	// than any estimate is.
	speedUnit    = 0.01
	varianceUnit = 0.0001
	// maxSpeedEntries keeps the record, in base64 as it is transferred, below 262,144 bytes, the
	// limit for a record that the platform states.
	maxSpeedEntries = 16384
	// maxLogSpeed bounds what counts as a speed: 0.3 or 3.3 times the usual one.
	maxLogSpeed = 1.2
	// speedOffset makes the recorded speed positive.
	speedOffset = 128
)

// IncarnationHash returns the hash by which the record of speeds names an incarnation of a worker.
// Of 16,384 incarnations two have the same hash once in 10^11 records.
func IncarnationHash(id string) uint64 { return xxhash.Sum64String(id) }

// SpeedsRecord returns the record of the workers' speeds. Beyond maxSpeedEntries it keeps those with
// the most samples.
func SpeedsRecord(s *Speeds) Record {
	workers := slices.Clone(s.Workers)
	if len(workers) > maxSpeedEntries {
		slices.SortFunc(workers, func(a, b WorkerSpeed) int { return b.Samples - a.Samples })
		workers = workers[:maxSpeedEntries]
	}
	value := make([]byte, speedsHeaderSize, speedsHeaderSize+speedEntrySize*len(workers))
	value[0] = speedsFormat
	variance := min(math.MaxUint16, max(0, math.Round(s.Variance/varianceUnit)))
	binary.BigEndian.PutUint16(value[1:], uint16(variance))
	for _, worker := range workers {
		value = binary.BigEndian.AppendUint64(value, worker.Incarnation)
		logSpeed := math.Round(min(maxLogSpeed, max(-maxLogSpeed, worker.LogSpeed)) / speedUnit)
		value = append(value, byte(int(logSpeed)+speedOffset), byte(min(math.MaxUint8, worker.Samples)))
	}
	binary.BigEndian.PutUint32(value[3:], speedsChecksum(value))
	return Record{Key: speedsKey, Value: value}
}

// speedsChecksum returns the checksum of a record of speeds, over all but the checksum itself.
func speedsChecksum(value []byte) uint32 {
	digest := xxhash.New()
	digest.Write(value[:3])
	digest.Write(value[speedsHeaderSize:])
	return uint32(digest.Sum64())
}

// DecodeSpeeds returns the speeds in the value of a record.
func DecodeSpeeds(value []byte) (*Speeds, error) {
	switch {
	case len(value) < speedsHeaderSize || (len(value)-speedsHeaderSize)%speedEntrySize != 0:
		return nil, eris.Errorf("record of speeds has %d bytes", len(value))
	case len(value) > speedsHeaderSize+maxSpeedEntries*speedEntrySize:
		return nil, eris.Errorf("record of speeds is too large: %d bytes", len(value))
	case value[0] != speedsFormat:
		return nil, eris.Errorf("record of speeds has format %d", value[0])
	case binary.BigEndian.Uint32(value[3:]) != speedsChecksum(value):
		return nil, eris.New("record of speeds has another checksum")
	}
	speeds := &Speeds{Variance: float64(binary.BigEndian.Uint16(value[1:])) * varianceUnit}
	for entry := range slices.Chunk(value[speedsHeaderSize:], speedEntrySize) {
		speeds.Workers = append(speeds.Workers, WorkerSpeed{
			Incarnation: binary.BigEndian.Uint64(entry),
			LogSpeed:    float64(int(entry[8])-speedOffset) * speedUnit,
			Samples:     int(entry[9]),
		})
	}
	return speeds, nil
}
