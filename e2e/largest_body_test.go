package e2e

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"testing"
)

func TestPlatformLargestBodyIsRefusedInCalm(t *testing.T) {
	f := newLimitedFleet(t, crowdMemoryMB, crowdMaxFDs)
	body := []byte(smallJob + strings.Repeat(" ", platformBody-len(smallJob)))
	for number, request := range [][]byte{
		append(lengthHead(fmt.Sprintf(platformHead, 0xe0), body), body...),
		append(chunkedHead(fmt.Sprintf(platformHead, 0xe1)), finishedChunks(body, 1)...),
	} {
		conn, err := net.Dial("tcp4", f.instances[0].frontAddr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		send(conn, request)
		answer := make([]byte, len("HTTP/1.1 200"))
		if _, err := conn.Read(answer); err != nil || !bytes.HasSuffix(answer, []byte("200")) {
			t.Errorf("request %d: %s %v", number, answer, err)
		}
	}
}
