package e2e

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	crowdDialTimeout  = 5 * time.Second
	crowdWriteTimeout = 10 * time.Second
	settleTime        = 500 * time.Millisecond
	settledGrowthKB   = 1 << 10
	pieceBytes        = 8 << 10
	largeChunkBytes   = 64 << 10
	smallChunkBytes   = 8
)

// bodyForm writes a request whose body lacks its last byte. The head is the request without
// the header lines that describe the body.
type bodyForm func(conn net.Conn, head string, body []byte)

// sendWhole sends a body with its length.
func sendWhole(conn net.Conn, head string, body []byte) {
	send(conn, lengthHead(head, body), body[:len(body)-1])
}

// sendPiecewise sends a body with its length in pieces.
func sendPiecewise(conn net.Conn, head string, body []byte) {
	parts := [][]byte{lengthHead(head, body)}
	for rest := body[:len(body)-1]; len(rest) > 0; {
		size := min(pieceBytes, len(rest))
		parts = append(parts, rest[:size])
		rest = rest[size:]
	}
	for _, part := range parts {
		if !send(conn, part) {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// sendLargeChunks and sendSmallChunks send a chunked body without its last byte and the end of
// its last chunk.
func sendLargeChunks(conn net.Conn, head string, body []byte) {
	send(conn, chunkedHead(head), unfinishedChunks(body, largeChunkBytes))
}

func sendSmallChunks(conn net.Conn, head string, body []byte) {
	send(conn, chunkedHead(head), unfinishedChunks(body, smallChunkBytes))
}

func lengthHead(head string, body []byte) []byte {
	return fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", head, len(body))
}

func chunkedHead(head string) []byte { return []byte(head + "Transfer-Encoding: chunked\r\n\r\n") }

func unfinishedChunks(body []byte, size int) []byte {
	encoded := encodeChunks(body, size)
	return encoded[:len(encoded)-len("\r\n")-1]
}

func finishedChunks(body []byte, size int) []byte {
	return append(encodeChunks(body, size), "0\r\n\r\n"...)
}

func encodeChunks(body []byte, size int) []byte {
	var encoded bytes.Buffer
	for start := 0; start < len(body); start += size {
		chunk := body[start:min(start+size, len(body))]
		fmt.Fprintf(&encoded, "%x\r\n%s\r\n", len(chunk), chunk)
	}
	return encoded.Bytes()
}

// send writes parts and reports whether the connection still takes data.
func send(conn net.Conn, parts ...[]byte) bool {
	for _, part := range parts {
		if _, err := conn.Write(part); err != nil {
			return false
		}
	}
	return true
}

// awaitAnswer waits for the first bytes of an answer or the end of the connection.
func awaitAnswer(conn net.Conn) {
	if err := conn.SetReadDeadline(time.Now().Add(waitTimeout)); err == nil {
		_, _ = conn.Read(make([]byte, 1)) // the test checks the process, not the answer
	}
}

// openCrowd opens connections and lets each write at the same time. It returns once all have
// written; the connections stay open until the end of the test.
func openCrowd(t testing.TB, address string, size int, write func(net.Conn)) {
	var writers sync.WaitGroup
	for range size {
		writers.Add(1)
		go func() {
			defer writers.Done()
			conn, err := net.DialTimeout("tcp4", address, crowdDialTimeout)
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			if err := conn.SetWriteDeadline(time.Now().Add(crowdWriteTimeout)); err == nil {
				write(conn)
			}
		}()
	}
	writers.Wait()
}

// usage watches the memory and the open descriptors of a process.
type usage struct {
	t       testing.TB
	pid     int
	peakFDs atomic.Int64
	stop    chan struct{}
	stopped chan struct{}
}

func watchUsage(t testing.TB, pid int) *usage {
	u := &usage{t: t, pid: pid, stop: make(chan struct{}), stopped: make(chan struct{})}
	go func() {
		defer close(u.stopped)
		for {
			select {
			case <-u.stop:
				return
			case <-time.After(pollInterval):
				u.sampleFDs()
			}
		}
	}()
	return u
}

func (u *usage) sampleFDs() {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", u.pid))
	if err == nil {
		u.peakFDs.Store(max(u.peakFDs.Load(), int64(len(entries))))
	}
}

// settle waits until the process has read what was sent to it: until its peak memory hardly grows.
func (u *usage) settle() {
	u.t.Helper()
	last, _ := u.peakMemoryKB()
	eventually(u.t, "the peak memory hardly grows", func() bool {
		time.Sleep(settleTime)
		now, _ := u.peakMemoryKB()
		grown := now - last
		last = now
		return grown < settledGrowthKB
	})
}

// check checks that the process lives and that its peaks are under the limits.
func (u *usage) check(maxMemoryMB, maxFDs int64) {
	u.t.Helper()
	close(u.stop)
	<-u.stopped
	u.sampleFDs()
	memoryKB, ok := u.peakMemoryKB()
	if !ok {
		u.t.Fatal("the process has ended")
	}
	u.t.Logf("peak memory %d MB, descriptors %d", memoryKB>>10, u.peakFDs.Load())
	if memoryKB > maxMemoryMB<<10 {
		u.t.Errorf("peak memory %d MB, the limit is %d", memoryKB>>10, maxMemoryMB)
	}
	if u.peakFDs.Load() > maxFDs {
		u.t.Errorf("%d descriptors, the limit is %d", u.peakFDs.Load(), maxFDs)
	}
}

// peakMemoryKB returns the peak resident memory; ok is false if the process has ended.
func (u *usage) peakMemoryKB() (kilobytes int64, ok bool) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", u.pid))
	if err != nil {
		return 0, false
	}
	for _, line := range strings.Split(string(status), "\n") {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, err = strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kilobytes, err == nil
		}
	}
	return 0, false // a process that has ended and is not waited for yet has no such line
}
