package instance

import (
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/teaselcleat/teaselcleat/logstream"
	"github.com/teaselcleat/teaselcleat/structs"
)

// refusalLog passes every refusal to the writer of the refusals stream. If the queue of
// the writer is full, refusals are dropped; the next one that fits records their number.
type refusalLog struct {
	writer   *logstream.Writer
	identity string
	seq      atomic.Int64
	mu       sync.Mutex
	dropped  int64
}

func newRefusalLog(writer *logstream.Writer, identity string) *refusalLog {
	return &refusalLog{writer: writer, identity: identity}
}

func (l *refusalLog) add(refusal structs.Refusal) {
	refusal.ID = l.identity + "/" + strconv.FormatInt(l.seq.Add(1), 10)
	refusal.Instance = l.identity
	l.mu.Lock()
	defer l.mu.Unlock()
	refusal.Dropped = l.dropped
	if l.writer.OfferJSON(refusal, nil) {
		l.dropped = 0
		return
	}
	l.dropped++
}
