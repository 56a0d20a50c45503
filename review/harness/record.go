package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file, each line with the seconds since
// the start of the case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

// seconds returns a moment as seconds since the start of the case.
func (r *record) seconds(at time.Time) float64 { return at.Sub(r.start).Seconds() }

// add writes one line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", r.seconds(time.Now()), strings.TrimSpace(fmt.Sprintf(format, args...)))
	_, _ = r.file.WriteString(line)
	fmt.Print(line)
}
