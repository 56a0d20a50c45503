package batch

// Settings holds the properties of an instance and the bounds of the deployment. All but the
// bounds are fixed for the lifetime of the process.
type Settings struct {
	Name         string
	Zone         string   // availability zone; empty if unknown
	Zones        []string // all availability zones of the deployment; empty if unknown
	CPUShare     float64  // share of a core that the machine provides; 0 if unknown
	RelayAddress string   // IP:PORT for calls of other instances; empty for none
	StoreParts   int      // number of parts of a stream of the store
	// NotServedReason is the reason why no job can run on this deployment; empty if jobs can. If set, all
	// jobs are refused for good, and the instance is not ready and claims no term.
	NotServedReason string
	Bounds
}
