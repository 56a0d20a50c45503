package command

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/teaselcleat/teaselcleat/batch"
)

// statusTimeout bounds the status call to one instance.
const statusTimeout = 3 * time.Second

// runFleet prints the status that each instance on the platform reports.
func runFleet(args []string, to output) int {
	flags := newFlags("fleet", to)
	if code, ok := parse(flags, args, 1, 1000, to); !ok {
		return code
	}
	client := &http.Client{Timeout: statusTimeout}
	code := ExitOK
	for _, address := range flags.Args() {
		status, err := fetchStatus(client, address)
		if err != nil {
			fmt.Fprintf(to.err, "fleet: %s: %s\n", address, err.Error())
			code = ExitFailed
			continue
		}
		printStatus(to.out, status)
	}
	return code
}

// printStatus prints a line for the instance and, if it is the leader, one for each of its
// delegates. In the output holder is the leader, keeper a delegate, and keeping the number
// of workers that are delegated to the instance.
func printStatus(out io.Writer, status *batch.Status) {
	fmt.Fprintf(out, "instance=%s leading=%t epoch=%d holder=%s config=%d ready=%t draining=%t log_age_ms=%d jobs=%v waiting=%v keeping=%d",
		status.Instance, status.Leading, status.Term.Epoch, status.Term.Leader, status.ConfigVersion, status.Ready,
		status.Draining, status.LogAgeMS, status.Jobs, status.Waiting, status.DelegatedWorkers)
	if len(status.Evacuated) > 0 {
		fmt.Fprintf(out, " evacuated=%s", strings.Join(status.Evacuated, ","))
	}
	if status.Leading {
		fmt.Fprintf(out, " shared=%t own=%d moving=%d", status.Sharding.Sharded, status.Sharding.OwnWorkers, status.Sharding.MovingWorkers)
	}
	if speeds := status.Speeds; speeds.Known+speeds.Unknown > 0 {
		fmt.Fprintf(out, " speeds_differ=%t speeds_known=%d speeds_unknown=%d", speeds.Significant, speeds.Known, speeds.Unknown)
	}
	fmt.Fprintln(out)
	for _, delegate := range slices.Sorted(maps.Keys(status.Sharding.Delegates)) {
		fmt.Fprintf(out, "holder=%s keeper=%s workers=%d\n", status.Instance, delegate, status.Sharding.Delegates[delegate])
	}
}

func fetchStatus(client *http.Client, address string) (*batch.Status, error) {
	response, err := client.Get("http://" + address + "/status")
	if err != nil {
		return nil, eris.Wrap(err, "status")
	}
	defer response.Body.Close()
	status := &batch.Status{}
	if err := json.NewDecoder(response.Body).Decode(status); err != nil {
		return nil, eris.Wrap(err, "status")
	}
	return status, nil
}
