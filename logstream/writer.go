// Package logstream owns the traffic with the platform's log: group commit of
// what this process appends, retries until an append is answered, and reading
// streams into the folds. An append's answer is never taken as proof; whoever
// needs to know reads the fold.
package logstream

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/teaselcleat/teaselcleat/ring"
)

// Group commit and retry limits.
const (
	maxGroupRecords = 256
	maxGroupBytes   = 512 << 10
	// PromptInterval spaces the appends of a writer that callers wait for, and
	// PatientInterval those of one that nobody waits for. Seven instances with one
	// of each come to at most 420 appends a second.
	PromptInterval  = 20 * time.Millisecond
	PatientInterval = 100 * time.Millisecond
	appendTimeout   = 5 * time.Second
	firstBackoff    = 50 * time.Millisecond
	lastBackoff     = time.Second
)

// probeRecord is appended when an append failed and nothing is left to append.
// Its kind is unknown to every fold, so it is void.
const probeRecord = `{"kind":"probe"}`

// Entry is one record to append.
type Entry struct {
	Data []byte
	// Abandoned, if set, is asked before each try; an abandoned entry is dropped.
	Abandoned func() bool
}

// Writer appends entries to one stream in groups, in the order they were
// offered. Run is its duty.
type Writer struct {
	log       Log
	stream    string
	interval  time.Duration // least time between two appends
	capacity  int
	queue     *ring.Ring[Entry]
	mu        sync.Mutex
	backlog   []Entry // taken from the queue, not yet answered
	available atomic.Bool
	appends   metrics.Counter
	records   metrics.Counter
	failures  metrics.Counter
}

// NewWriter returns a writer that holds at most capacity entries in its queue
// and as many again that are being retried.
func NewWriter(log Log, stream string, interval time.Duration, capacity int, registry metrics.Registry) *Writer {
	w := &Writer{log: log, stream: stream, interval: interval, capacity: capacity, queue: ring.New[Entry](capacity)}
	w.available.Store(true)
	w.appends = metrics.GetOrRegisterCounter("log."+stream+".appends", registry)
	w.records = metrics.GetOrRegisterCounter("log."+stream+".records", registry)
	w.failures = metrics.GetOrRegisterCounter("log."+stream+".append_failures", registry)
	return w
}

// Offer queues an entry and reports false if the queue is full.
func (w *Writer) Offer(entry Entry) bool { return w.queue.Offer(entry) }

// OfferJSON queues a value in its JSON form and reports false if the queue is full.
func (w *Writer) OfferJSON(value any, abandoned func() bool) bool {
	data, err := json.Marshal(value)
	if err != nil {
		panic("logstream: a record type cannot be encoded: " + err.Error())
	}
	return w.Offer(Entry{Data: data, Abandoned: abandoned})
}

// Available reports whether the last append was answered.
func (w *Writer) Available() bool { return w.available.Load() }

// Waiting is the number of entries not yet answered.
func (w *Writer) Waiting() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.queue.Len() + len(w.backlog)
}

// Pending copies the oldest entries that are being retried, up to limit, less
// those that may still be abandoned.
func (w *Writer) Pending(limit int) [][]byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	var copied [][]byte
	for _, entry := range w.backlog {
		if len(copied) < limit && entry.Abandoned == nil {
			copied = append(copied, entry.Data)
		}
	}
	return copied
}

// Run appends until ctx ends.
func (w *Writer) Run(ctx context.Context) {
	backoff := firstBackoff
	for w.fill(ctx) {
		started := time.Now()
		pause := w.interval
		if w.appendGroup(ctx) {
			backoff = firstBackoff
		} else {
			pause = backoff
			backoff = min(2*backoff, lastBackoff)
		}
		if !Sleep(ctx, pause-time.Since(started)) {
			return
		}
	}
}

// fill moves queued entries to the backlog, waiting for the first if there is
// none. It reports false when ctx ended.
func (w *Writer) fill(ctx context.Context) bool {
	if w.backlogLen() == 0 && !w.Available() {
		w.push(Entry{Data: []byte(probeRecord)}) // to notice that the log is back
	}
	if w.backlogLen() == 0 {
		first, ok := w.queue.Take(ctx)
		if !ok {
			return false
		}
		w.push(first)
	}
	for w.backlogLen() < w.capacity {
		entry, ok := w.queue.TryTake()
		if !ok {
			break
		}
		w.push(entry)
	}
	return ctx.Err() == nil
}

func (w *Writer) backlogLen() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.backlog)
}

func (w *Writer) push(entry Entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.backlog = append(w.backlog, entry)
}

// group drops abandoned entries and returns the oldest that fit one append.
func (w *Writer) group() []Entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	kept := w.backlog[:0]
	for _, entry := range w.backlog {
		if entry.Abandoned == nil || !entry.Abandoned() {
			kept = append(kept, entry)
		}
	}
	w.backlog = kept
	size := 0
	for i, entry := range kept {
		size += len(entry.Data)
		if i > 0 && (i == maxGroupRecords || size > maxGroupBytes) {
			return kept[:i:i]
		}
	}
	return kept
}

func (w *Writer) appendGroup(ctx context.Context) bool {
	group := w.group()
	if len(group) == 0 {
		return true
	}
	if !w.tryAppend(ctx, group) {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.backlog = append([]Entry(nil), w.backlog[len(group):]...)
	return true
}

func (w *Writer) tryAppend(ctx context.Context, group []Entry) bool {
	data := make([][]byte, 0, len(group))
	for _, entry := range group {
		data = append(data, entry.Data)
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := w.log.Append(ctx, w.stream, data)
	w.available.Store(err == nil)
	if err != nil {
		w.failures.Inc(1)
		return false
	}
	w.appends.Inc(1)
	w.records.Inc(int64(len(group)))
	return true
}

// Flush waits until every entry was answered or ctx ends.
func (w *Writer) Flush(ctx context.Context) error {
	for w.Waiting() > 0 {
		if !Sleep(ctx, 5*time.Millisecond) {
			return ctx.Err()
		}
	}
	return nil
}
