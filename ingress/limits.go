// Package ingress bounds what the connections of callers hold in one process: their number, and
// the memory of the requests that are being received, served and answered. When a bound is
// reached it ends the request that has occupied the most memory for the longest time and has not
// arrived completely yet.
package ingress

import "time"

const (
	// reservedFDs is the number of descriptors that the platform reserves for files.
	reservedFDs = 200
	// minConnections applies to processes whose limits leave hardly any.
	minConnections = 16
	// connectionBytes is the memory of a connection without a request: its goroutine and buffers.
	connectionBytes = 32 << 10
	// headerCost is the memory of a received header as a multiple of its size on the wire. Short
	// lines cost the most.
	headerCost = 16
	// headerLineBytes is the memory of a parsed header line beside its text.
	headerLineBytes = 128
	// smallRequestBytes is the memory up to which a request may use the reserve of small requests.
	smallRequestBytes = 64 << 10
	// reserveShare divides the memory for requests; one part is reserved for small ones.
	reserveShare = 4
	// minBodies is the number of bodies of the maximum size for which there is always memory.
	minBodies = 4
	// Shares of the process's memory, as divisors.
	connectionShare = 4
	requestShare    = 8
	// Limits of a process that are not stated.
	defaultMemory = 256 << 20
	defaultFDs    = 4096
)

// Limits bound what the connections of a server hold.
type Limits struct {
	Connections int   // open at once
	Bytes       int64 // memory of requests and of answers that are being sent
}

// LimitsFor divides the limits of a process, in bytes and descriptors: half of the descriptors that
// are not reserved and a quarter of the memory for connections, an eighth of the memory for
// requests. Limits that are not positive are not stated. maxBody is the maximum size of a body.
func LimitsFor(memory int64, maxFDs int, maxBody int64) Limits {
	if memory <= 0 {
		memory = defaultMemory
	}
	if maxFDs <= 0 {
		maxFDs = defaultFDs
	}
	connections := min(int64(maxFDs-reservedFDs)/2, memory/connectionShare/connectionBytes)
	return Limits{
		Connections: int(max(minConnections, connections)),
		Bytes:       max(memory/requestShare, minBodies*maxBody),
	}
}

// available returns the memory that a request of a size may see used at most.
func (l Limits) available(size int64) int64 {
	if size <= smallRequestBytes {
		return l.Bytes
	}
	return l.Bytes - l.Bytes/reserveShare
}

// minAge makes requests of the same moment differ by their memory.
const minAge = time.Millisecond

// occupancy returns the memory that is held times how long it has been held.
func occupancy(held int64, since time.Duration) float64 {
	return float64(held) * (since + minAge).Seconds()
}
