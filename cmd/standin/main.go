// Command standin runs one stand-in (the platform, a runner or a worker) as a separate
// process for tests. It is not part of the product.
package main

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/teaselcleat/teaselcleat/standin"
)

func main() {
	kind := flag.String("kind", "", "platform, runner or worker")
	accelerators := flag.Int("accelerators", 8, "accelerators of a worker")
	flag.Parse()
	handler := newHandler(*kind, *accelerators)
	if handler == nil {
		fmt.Fprintln(os.Stderr, "standin: -kind must be platform, runner or worker")
		os.Exit(2)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin: "+err.Error())
		os.Exit(1)
	}
	fmt.Printf("http=%s\n", listener.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	fmt.Fprintln(os.Stderr, "standin: "+server.Serve(listener).Error())
	os.Exit(1)
}

func newHandler(kind string, accelerators int) http.Handler {
	switch kind {
	case "platform":
		return standin.NewPlatform()
	case "runner":
		return standin.NewRunner("runner")
	case "worker":
		return standin.NewWorker(accelerators)
	}
	return nil
}
