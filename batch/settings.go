package batch

// Settings is what an instance is told about itself and the deployment's
// bounds. All but these bounds hold for the life of the process.
type Settings struct {
	Name         string
	Zone         string   // availability zone; empty if unknown
	Zones        []string // all availability zones of the deployment; empty if unknown
	CPUShare     float64  // of a core that the machine gives; 0 if unknown
	RelayAddress string   // IP:PORT for the calls of other instances; empty for none
	StoreParts   int      // parts that a stream of the store has
	// NotServed says why no job can be run on this deployment; empty if jobs can. All are
	// then refused as never to run, and the instance is not ready and claims no term.
	NotServed string
	Bounds
}
