package instance

import (
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/teaselcleat/teaselcleat/logstream"
	"github.com/teaselcleat/teaselcleat/structs"
)

// refusalBook hands every refusal to the refusals stream. When its bound is
// reached the number of refusals that could not be kept is itself recorded.
type refusalBook struct {
	writer  *logstream.Writer
	holder  string
	seq     atomic.Int64
	mu      sync.Mutex
	dropped int64
}

func newRefusalBook(writer *logstream.Writer, holder string) *refusalBook {
	return &refusalBook{writer: writer, holder: holder}
}

func (b *refusalBook) add(refusal structs.Refusal) {
	refusal.ID = b.holder + "/" + strconv.FormatInt(b.seq.Add(1), 10)
	refusal.Instance = b.holder
	b.mu.Lock()
	defer b.mu.Unlock()
	refusal.Dropped = b.dropped
	if b.writer.OfferJSON(refusal, nil) {
		b.dropped = 0
		return
	}
	b.dropped++
}
