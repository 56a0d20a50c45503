// Package membership owns the interface to the list of live and leaving machines:
// instances, runners and workers. Adapters implement it; nothing here does
// input or output.
package membership

import "context"

// Role says what an entry of the instance list is.
type Role string

// Roles of listed machines.
const (
	RoleInstance Role = "instance"
	RoleRunner   Role = "runner"
	RoleWorker   Role = "worker"
)

// Listed is one machine of the instance list, which may lag behind the truth.
type Listed struct {
	ID               string `json:"id"`
	Role             Role   `json:"role"`
	Boot             int64  `json:"boot"` // grows with each start of the same ID
	Leaving          bool   `json:"leaving"`
	Address          string `json:"address"`                // IP:PORT of HTTP
	PeerAddress      string `json:"peer_address,omitempty"` // IP:PORT between instances
	Region           string `json:"region,omitempty"`
	AvailabilityZone string `json:"availability_zone,omitempty"`
	Rack             string `json:"rack,omitempty"`
	Accelerators     int    `json:"accelerators,omitempty"`
	Slots            int    `json:"slots,omitempty"`
}

// InstanceList reads the platform's list.
type InstanceList interface {
	// List returns the machines as the platform now knows them.
	List(ctx context.Context) ([]Listed, error)
	// Announce adds or refreshes this process in the list.
	Announce(ctx context.Context, self Listed) error
}
