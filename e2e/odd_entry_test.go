package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// Odd entries and an odd job of another writer ended instances, or made them stop following.
func TestOddEntriesOfAnotherWriterStopNoInstance(t *testing.T) {
	f := newFleet(t, 2, 2)
	const entry = `{"service":%q,"address":%q,"zone":"z","state":"ready","capacity":{"cpu":%s,"mem_mb":1000,"gpu":%s},"labels":["a","r1-1"],"x":%s}`
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	const largest = "9223372036854775807"
	for key, value := range map[string]string{
		"deep":      fmt.Sprintf(entry, "pool", "127.0.0.1:1", "1000", "8", deep),
		"large":     fmt.Sprintf(entry, "pool", "127.0.0.1:1", largest, largest, "0"),
		"larger":    fmt.Sprintf(entry, "pool", "127.0.0.1:1", largest+"0", "8", "0"),
		"no-port":   fmt.Sprintf(entry, "pool", "127.0.0.1:99999", "1000", "8", "0"),
		"odd\xff":   fmt.Sprintf(entry, "pool", "127.0.0.1:1", "1000", "8", "0"),
		"no-answer": fmt.Sprintf(entry, "pool", "127.0.0.1:1", "1000", "8", "0"),
	} {
		f.store.Put("keyed.servers", key, []byte(value))
	}
	const oddJob = "00000000000000ff"
	f.store.Put("keyed.work", "s/"+oddJob, fmt.Appendf(nil,
		`{"id":%q,"q":{"n":"odd","s":%q,"p":%s,"a":1,"x":1e300,"l":%s},"t":[{"n":2,"r":{"a":%s},"e":%s}]}`, oddJob, "pool", largest, largest, largest, largest))
	const id = "00000000000000a1"
	if status, body := f.call(f.instances[0], http.MethodPost, id, "key-a", gangJob); status != http.StatusOK {
		t.Fatalf("submission: %d %s", status, body)
	}
	f.waitUntil("done", func() bool { return f.jobState(f.instances[1], id) == "done" })
	for _, instance := range f.instances {
		if state := f.jobState(instance, oddJob); state != "queued" {
			t.Errorf("the odd job is %s", state)
		}
	}
}
