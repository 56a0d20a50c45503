// Package logsink buffers log lines in a bounded ring before the output, so that a
// blocked reader never stops the process. A budget limits the lines of each kind of
// event, so that frequent events under load do not hide important ones.
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

// MaxLines bounds the lines that wait for the output: two seconds of output of a busy
// leader.
const MaxLines = 2048

// Sink is an io.Writer that never blocks. Lines that do not fit in the ring are
// dropped and counted; the count is written after the next line that is output.
type Sink struct {
	ring    *ring.Ring[[]byte]
	dropped atomic.Int64
}

// New returns a sink without an output; Run and Flush take one.
func New() *Sink { return &Sink{ring: ring.New[[]byte](MaxLines)} }

// Write implements io.Writer; each call takes one line.
func (s *Sink) Write(line []byte) (int, error) {
	if !s.ring.Offer(append([]byte(nil), line...)) {
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes lines to out until ctx ends, and then flushes the remaining ones.
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

// Flush writes the buffered lines to out.
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
	// A write error of the log output cannot be logged.
	_, _ = out.Write(line)
	if dropped := s.dropped.Swap(0); dropped > 0 {
		_, _ = fmt.Fprintf(out, "level=warning msg=lines_lost count=%d reason=\"output too slow\"\n", dropped)
	}
}

// Budget limits the lines of each kind of event per second.
type Budget struct {
	limit int

	mu          sync.Mutex
	windowStart time.Time
	used        map[string]int
	skipped     map[string]int
}

// NewBudget returns a budget of limit lines of each kind per second.
func NewBudget(limit int) *Budget {
	return &Budget{limit: limit, used: map[string]int{}, skipped: map[string]int{}}
}

// SkippedLines counts the lines of a kind that were left out in the previous second.
type SkippedLines struct {
	Kind  string
	Count int
}

// Allow reports whether a line of a kind may be written at now. The first call of a
// new second also returns the counts of lines left out in the previous one.
func (b *Budget) Allow(kind string, now time.Time) (ok bool, skipped []SkippedLines) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.windowStart) >= time.Second {
		for skippedKind, count := range b.skipped {
			skipped = append(skipped, SkippedLines{Kind: skippedKind, Count: count})
		}
		clear(b.used)
		clear(b.skipped)
		b.windowStart = now
	}
	if b.used[kind] >= b.limit {
		b.skipped[kind]++
		return false, skipped
	}
	b.used[kind]++
	return true, skipped
}
