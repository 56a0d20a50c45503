package e2e

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/teaselcleat/teaselcleat/standin"
	"github.com/teaselcleat/teaselcleat/structs"
)

const (
	// Limits of the platform's instance in these tests, and its crowd.
	crowdMemoryMB    = 64
	crowdMaxFDs      = 3075
	crowdSize        = 400
	platformBody     = 256 << 10 // max_body_bytes in fleetConfig
	platformHeader   = 16 << 10  // max_header_bytes in fleetConfig
	platformHead     = "POST /wear/%016x HTTP/1.1\r\nHost: wear.example\r\nX-Api-Key: key-a\r\n"
	connectionMaxFDs = 500
	connectionCrowd  = 700
	// The smallest machine of the product's own interface, and its crowd.
	productMemoryMB = 144
	productMaxFDs   = 3075
	productSize     = 300
	productBody     = 1_000_000
	productHead     = "POST /v1/requests/surge HTTP/1.1\r\nHost: wear.example\r\nX-Workspace: a\r\n"
)

// newLimitedFleet starts an instance with limits on its memory and descriptors.
func newLimitedFleet(t testing.TB, memoryMB, maxFDs int) *fleet {
	return startFleet(&fleet{t: t, store: standin.NewKeyedStore(), taskDuration: defaultTaskDuration,
		limits: fmt.Sprintf(`"memory_mb":%d,"max_fds":%d`, memoryMB, maxFDs)}, 1, 1)
}

// checkServesBeside checks that an instance answers an ordinary submission beside a crowd that
// stays open, and that it has kept its limits.
func (f *fleet) checkServesBeside(used *usage, memoryMB, maxFDs int64) {
	f.t.Helper()
	used.settle()
	f.waitUntil("an ordinary submission is accepted", func() bool {
		status, _ := f.call(f.instances[0], http.MethodPost, "00000000000000a1", "key-a", smallJob)
		return status == http.StatusOK
	})
	used.check(memoryMB, maxFDs)
}

func checkPlatformBodies(t *testing.T, form bodyForm) {
	f := newLimitedFleet(t, crowdMemoryMB, crowdMaxFDs)
	used := watchUsage(t, f.instances[0].cmd.Process.Pid)
	body := bytes.Repeat([]byte("a"), platformBody)
	openCrowd(t, f.instances[0].frontAddr, crowdSize, func(conn net.Conn) { form(conn, fmt.Sprintf(platformHead, 0xb1), body) })
	f.checkServesBeside(used, crowdMemoryMB, crowdMaxFDs)
}

func checkProductBodies(t *testing.T, form bodyForm) {
	s := newSystem(t, 1, 1, 1)
	instance := s.instances[0]
	used := watchUsage(t, instance.cmd.Process.Pid)
	body := bytes.Repeat([]byte("a"), productBody)
	openCrowd(t, instance.addr, productSize, func(conn net.Conn) { form(conn, productHead, body) })
	used.settle()
	eventually(t, "an ordinary request is answered", func() bool {
		return s.request(instance, "surge", "ordinary", "x").outcome == structs.OutcomeRan
	})
	used.check(productMemoryMB, productMaxFDs)
}

func TestPlatformUnfinishedWholeBodiesExhaustMemory(t *testing.T) { checkPlatformBodies(t, sendWhole) }

func TestPlatformUnfinishedPiecewiseBodiesExhaustMemory(t *testing.T) {
	checkPlatformBodies(t, sendPiecewise)
}

func TestPlatformUnfinishedLargeChunksExhaustMemory(t *testing.T) {
	checkPlatformBodies(t, sendLargeChunks)
}

func TestPlatformUnfinishedSmallChunksExhaustMemory(t *testing.T) {
	checkPlatformBodies(t, sendSmallChunks)
}

func TestUnfinishedWholeBodiesExhaustMemory(t *testing.T) { checkProductBodies(t, sendWhole) }

func TestUnfinishedPiecewiseBodiesExhaustMemory(t *testing.T) { checkProductBodies(t, sendPiecewise) }

func TestUnfinishedLargeChunksExhaustMemory(t *testing.T) { checkProductBodies(t, sendLargeChunks) }

func TestUnfinishedSmallChunksExhaustMemory(t *testing.T) { checkProductBodies(t, sendSmallChunks) }

func TestPlatformUnfinishedHeadersExhaustMemory(t *testing.T) {
	f := newLimitedFleet(t, crowdMemoryMB, crowdMaxFDs)
	used := watchUsage(t, f.instances[0].cmd.Process.Pid)
	head := fmt.Sprintf(platformHead, 0xb1)
	for line := 0; len(head) < platformHeader; line++ {
		head += fmt.Sprintf("%x:\r\n", line)
	}
	openCrowd(t, f.instances[0].frontAddr, crowdSize, func(conn net.Conn) { send(conn, []byte(head)) })
	f.checkServesBeside(used, crowdMemoryMB, crowdMaxFDs)
}

func TestPlatformIdleConnectionsExhaustDescriptors(t *testing.T) {
	f := newLimitedFleet(t, crowdMemoryMB, connectionMaxFDs)
	used := watchUsage(t, f.instances[0].cmd.Process.Pid)
	openCrowd(t, f.instances[0].frontAddr, connectionCrowd, func(conn net.Conn) { send(conn, []byte("POST /wear/")) })
	f.checkServesBeside(used, crowdMemoryMB, connectionMaxFDs)
}

// Small bodies may hold many parsed steps.
func TestPlatformManyStepsExhaustMemory(t *testing.T) {
	f := newLimitedFleet(t, crowdMemoryMB, crowdMaxFDs)
	used := watchUsage(t, f.instances[0].cmd.Process.Pid)
	body := `{"steps":[{}` + strings.Repeat(",{}", platformBody/len(",{}")-8) + `]}`
	head := lengthHead(fmt.Sprintf(platformHead, 0xb1), []byte(body))
	openCrowd(t, f.instances[0].frontAddr, crowdSize/10, func(conn net.Conn) {
		send(conn, head, []byte(body))
		awaitAnswer(conn)
	})
	f.checkServesBeside(used, crowdMemoryMB, crowdMaxFDs)
}

// Accepted jobs may keep as much as their bodies hold.
func TestPlatformLongNamesExhaustMemory(t *testing.T) {
	f := newLimitedFleet(t, crowdMemoryMB, crowdMaxFDs)
	used := watchUsage(t, f.instances[0].cmd.Process.Pid)
	body := fmt.Sprintf(`{"spec":"s","steps":[{"count":1,"cpu":1000,"required_label":%q}]}`, strings.Repeat("a", platformBody-1<<12))
	for number := range crowdSize {
		f.call(f.instances[0], http.MethodPost, fmt.Sprintf("%016x", 0xc000+number), "key-a", body)
	}
	f.checkServesBeside(used, crowdMemoryMB, crowdMaxFDs)
}
