package command

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/batch"
	"github.com/teaselcleat/teaselcleat/placing"
)

func TestFleetPrintsDelegates(t *testing.T) {
	is := is.New(t)
	status := batch.Status{Instance: "a", Leading: true, Sharding: batch.ShardingStatus{Sharded: true, OwnWorkers: 1, MovingWorkers: 2, Delegates: map[string]int{"c": 118, "b": 121}}}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.URL.Path, "/status")
		is.NoErr(json.NewEncoder(w).Encode(status))
	}))
	defer server.Close()
	var out, errs bytes.Buffer
	code := runFleet([]string{strings.TrimPrefix(server.URL, "http://"), "127.0.0.1:1"}, output{out: &out, err: &errs})
	is.Equal(code, ExitFailed) // the instance that does not answer is named
	is.True(strings.Contains(errs.String(), "127.0.0.1:1"))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 3)
	is.True(strings.HasSuffix(lines[0], "keeping=0 shared=true own=1 moving=2"))
	is.Equal(lines[1], "holder=a keeper=b workers=121")
	is.Equal(lines[2], "holder=a keeper=c workers=118")
}

// Operators see how much the leader knows of the speeds of workers.
func TestFleetPrintsSpeeds(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	printStatus(&out, &batch.Status{Instance: "a", Leading: true, Speeds: placing.SpeedsStatus{Significant: true, Known: 300, Unknown: 50}})
	is.True(strings.Contains(out.String(), " speeds_differ=true speeds_known=300 speeds_unknown=50"))
	out.Reset()
	printStatus(&out, &batch.Status{Instance: "b"})
	is.True(!strings.Contains(out.String(), "speeds")) // only the leader knows them
}
