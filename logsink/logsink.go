// Package logsink owns where log lines go: a bounded ring before the output, so
// that a reader that stands still never stops the process, and a budget of
// lines for each kind of event, so that load does not drown what matters.
package logsink

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/teaselcleat/teaselcleat/ring"
)

// Lines bounds the lines that wait for the output: two seconds' worth of a busy
// placing instance.
const Lines = 2048

// Sink is an io.Writer that never blocks. Lines that find the ring full are
// counted, and the count is written once there is room again.
type Sink struct {
	ring *ring.Ring[[]byte]
	lost atomic.Int64
}

// New returns a sink without an output; Run gives it one.
func New() *Sink { return &Sink{ring: ring.New[[]byte](Lines)} }

// Write implements io.Writer; it takes one line a call.
func (s *Sink) Write(line []byte) (int, error) {
	if !s.ring.Offer(append([]byte(nil), line...)) {
		s.lost.Add(1)
	}
	return len(line), nil
}

// Run writes lines to out until ctx ends, and then what is left.
func (s *Sink) Run(ctx context.Context, out io.Writer) {
	for {
		line, ok := s.ring.Take(ctx)
		if !ok {
			s.Flush(out)
			return
		}
		s.write(out, line)
	}
}

// Flush writes what waits.
func (s *Sink) Flush(out io.Writer) {
	for {
		line, waiting := s.ring.TryTake()
		if !waiting {
			return
		}
		s.write(out, line)
	}
}

func (s *Sink) write(out io.Writer, line []byte) {
	// A log that cannot be written has nobody to be told.
	_, _ = out.Write(line)
	if lost := s.lost.Swap(0); lost > 0 {
		_, _ = fmt.Fprintf(out, "level=warning msg=lines_lost count=%d reason=\"output too slow\"\n", lost)
	}
}

// Budget limits the lines of each kind of event in a second.
type Budget struct {
	each int

	lock    sync.Mutex
	begin   time.Time
	used    map[string]int
	skipped map[string]int
}

// NewBudget allows so many lines of each kind in a second.
func NewBudget(each int) *Budget {
	return &Budget{each: each, used: map[string]int{}, skipped: map[string]int{}}
}

// Skipped is how many lines of a kind were left out in the second before.
type Skipped struct {
	Kind  string
	Count int
}

// Allow reports whether a line of a kind may be written at now, and what was
// left out in a second that has just ended.
func (b *Budget) Allow(kind string, now time.Time) (ok bool, skipped []Skipped) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if now.Sub(b.begin) >= time.Second {
		for left, count := range b.skipped {
			skipped = append(skipped, Skipped{Kind: left, Count: count})
		}
		clear(b.used)
		clear(b.skipped)
		b.begin = now
	}
	if b.used[kind] >= b.each {
		b.skipped[kind]++
		return false, skipped
	}
	b.used[kind]++
	return true, skipped
}
