// Package all links the adapters of the shipped binary, which serve the product's own
// interface; package platform holds those for the users' platform.
package all

import (
	// Adapters register themselves on import.
	_ "github.com/teaselcleat/teaselcleat/adapters/platformhttp"
	_ "github.com/teaselcleat/teaselcleat/adapters/runnerhttp"
	_ "github.com/teaselcleat/teaselcleat/adapters/workerhttp"
)
