// Package all links the adapters of the shipped binary.
package all

import (
	// Adapters register themselves on import.
	_ "github.com/teaselcleat/teaselcleat/adapters/platformhttp"
	_ "github.com/teaselcleat/teaselcleat/adapters/runnerhttp"
	_ "github.com/teaselcleat/teaselcleat/adapters/workerhttp"
)
