// Package membership defines the interface to the platform's list of live and
// leaving machines: instances, runners and workers. Adapters implement it; the
// package itself does no I/O.
package membership

import "context"

// Role is the kind of a listed machine.
type Role string

// Roles of listed machines.
const (
	RoleInstance Role = "instance"
	RoleRunner   Role = "runner" // answers short requests
	RoleWorker   Role = "worker" // runs tasks of gangs
)

// Member is a machine as shown in the instance list, which may be out of date.
type Member struct {
	ID               string `json:"id"`
	Role             Role   `json:"role"`
	Boot             int64  `json:"boot"` // increases with each start under the same ID
	Leaving          bool   `json:"leaving"`
	Address          string `json:"address"`                // IP:PORT for HTTP
	PeerAddress      string `json:"peer_address,omitempty"` // IP:PORT for other instances
	Region           string `json:"region,omitempty"`
	AvailabilityZone string `json:"availability_zone,omitempty"`
	Rack             string `json:"rack,omitempty"`
	Accelerators     int    `json:"accelerators,omitempty"`
	Slots            int    `json:"slots,omitempty"`
}

// InstanceList gives access to the platform's list.
type InstanceList interface {
	// List returns the machines that the platform currently lists.
	List(ctx context.Context) ([]Member, error)
	// Announce adds this process to the list or refreshes its entry.
	Announce(ctx context.Context, self Member) error
}
