// Package all registers every adapter that the shipped binary knows.
package all

import (
	// The adapters register themselves.
	_ "github.com/teaselcleat/teaselcleat/adapters/platformhttp"
	_ "github.com/teaselcleat/teaselcleat/adapters/runnerhttp"
	_ "github.com/teaselcleat/teaselcleat/adapters/workerhttp"
)
