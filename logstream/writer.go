// Package logstream accesses the platform's log: group commit of the records of this
// process, retries until an append is acknowledged, and reading of streams into the
// folds. The acknowledgement of an append proves nothing; callers that need the
// result of a record read it from the fold. It serves the product's own interface; the log
// of the users' platform is reached through package platform.
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
	// ForegroundInterval is the minimum interval between appends of a writer whose
	// records callers wait for, BackgroundInterval that of a background writer. They allow
	// 50 and 10 appends per second, so seven instances with one of each make at most 420
	// appends per second.
	ForegroundInterval = 20 * time.Millisecond
	BackgroundInterval = 100 * time.Millisecond
	appendTimeout      = 5 * time.Second
	minBackoff         = 50 * time.Millisecond
	maxBackoff         = time.Second
)

// probeRecord is appended to detect the recovery of the log if the last append
// failed and nothing is queued. No fold defines its kind, so it is void.
const probeRecord = `{"kind":"probe"}`

// Entry is one record to append.
type Entry struct {
	Data []byte
	// Abandoned, if set, is called before each attempt; if true, the entry is dropped.
	Abandoned func() bool
}

// Writer appends entries to one stream in groups, in the order in which they were
// offered. Run is its background loop.
type Writer struct {
	log       Log
	stream    string
	interval  time.Duration // minimum time between two appends
	capacity  int
	queue     *ring.Ring[Entry]
	mu        sync.Mutex
	backlog   []Entry // taken from the queue, not yet acknowledged
	available atomic.Bool
	appends   metrics.Counter
	records   metrics.Counter
	failures  metrics.Counter
}

// NewWriter returns a writer that holds at most capacity entries in its queue and
// as many again in its backlog.
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

// OfferJSON queues a value encoded as JSON and reports false if the queue is full.
func (w *Writer) OfferJSON(value any, abandoned func() bool) bool {
	data, err := json.Marshal(value)
	if err != nil {
		panic("logstream: a record type cannot be encoded: " + err.Error())
	}
	return w.Offer(Entry{Data: data, Abandoned: abandoned})
}

// Available reports whether the last append was acknowledged.
func (w *Writer) Available() bool { return w.available.Load() }

// Unacknowledged returns the number of entries that are not yet acknowledged, in the
// queue and in the backlog.
func (w *Writer) Unacknowledged() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.queue.Len() + len(w.backlog)
}

// Pending returns the data of the oldest entries of the backlog, up to limit, without
// entries that may still be abandoned and without those in the queue.
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
	backoff := minBackoff
	for w.fillBacklog(ctx) {
		started := time.Now()
		pause := w.interval
		if w.appendGroup(ctx) {
			backoff = minBackoff
		} else {
			pause = backoff
			backoff = min(2*backoff, maxBackoff)
		}
		if !Sleep(ctx, pause-time.Since(started)) {
			return
		}
	}
}

// fillBacklog moves queued entries to the backlog, and waits for an entry if the
// backlog is empty. It reports false if ctx ended.
func (w *Writer) fillBacklog(ctx context.Context) bool {
	if w.backlogLen() == 0 && !w.Available() {
		w.pushBacklog(Entry{Data: []byte(probeRecord)}) // detects that the log is available again
	}
	if w.backlogLen() == 0 {
		first, ok := w.queue.Take(ctx)
		if !ok {
			return false
		}
		w.pushBacklog(first)
	}
	for w.backlogLen() < w.capacity {
		entry, ok := w.queue.TryTake()
		if !ok {
			break
		}
		w.pushBacklog(entry)
	}
	return ctx.Err() == nil
}

func (w *Writer) backlogLen() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.backlog)
}

func (w *Writer) pushBacklog(entry Entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.backlog = append(w.backlog, entry)
}

// nextGroup drops abandoned entries and returns the oldest ones that fit in one append.
func (w *Writer) nextGroup() []Entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	remaining := w.backlog[:0]
	for _, entry := range w.backlog {
		if entry.Abandoned == nil || !entry.Abandoned() {
			remaining = append(remaining, entry)
		}
	}
	w.backlog = remaining
	size := 0
	for i, entry := range remaining {
		size += len(entry.Data)
		if i > 0 && (i == maxGroupRecords || size > maxGroupBytes) {
			return remaining[:i:i]
		}
	}
	return remaining
}

func (w *Writer) appendGroup(ctx context.Context) bool {
	group := w.nextGroup()
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

// Flush waits until every entry is acknowledged or ctx ends.
func (w *Writer) Flush(ctx context.Context) error {
	for w.Unacknowledged() > 0 {
		if !Sleep(ctx, 5*time.Millisecond) {
			return ctx.Err()
		}
	}
	return nil
}
