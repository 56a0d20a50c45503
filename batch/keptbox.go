package batch

import (
	"sync"
	"time"
)

const (
	// boxReports and boxAnswers bound one message of a session; the rest goes with
	// the next. A report has up to 500 ends of a hundred bytes.
	boxReports = 64
	boxAnswers = 512
	// quietAfter is how long after an order a worker's empty reports are passed on.
	// Later ones say nothing new: the holder has seen one that it asked for after
	// the order was answered.
	quietAfter = time.Second
)

// keptBox holds what an instance that keeps workers has to tell the holder of the
// term. Of each worker it holds the newest report only, as ends are reported until
// they are acknowledged; so it is bounded by the workers and the orders under way.
type keptBox struct {
	signal chan struct{} // there is something to tell

	lock    sync.Mutex
	answers []event
	newest  map[string]event // a report or a silence, by worker
	pending []string         // workers in newest, oldest first
	quiet   map[string]quiet
}

// quiet is what was last told of a worker.
type quiet struct {
	orderedAt time.Time // of the newest order or answer to one
	emptyAt   time.Time // when the newest report without runs or ends that was told had been asked for; zero after another word
}

func newKeptBox() *keptBox {
	return &keptBox{signal: make(chan struct{}, 1), newest: map[string]event{}, quiet: map[string]quiet{}}
}

// rouse has the sender look.
func (b *keptBox) rouse() {
	select {
	case b.signal <- struct{}{}:
	default:
	}
}

// ordered notes an order to a worker, or the answer to one.
func (b *keptBox) ordered(worker string, now time.Time) {
	b.lock.Lock()
	defer b.lock.Unlock()
	state := b.quiet[worker]
	state.orderedAt = now
	b.quiet[worker] = state
}

func (b *keptBox) forget(worker string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	delete(b.quiet, worker)
}

// put takes an answer, or a report that says something new.
func (b *keptBox) put(answer event) {
	b.lock.Lock()
	defer b.lock.Unlock()
	switch answer := answer.(type) {
	case holdAnswered:
		if !b.news(answer) {
			return
		}
		b.replace(answer.worker, answer)
	case unreachable:
		delete(b.quiet, answer.worker)
		b.replace(answer.worker, answer)
	default:
		b.answers = append(b.answers, answer)
	}
	b.rouse()
}

func (b *keptBox) replace(worker string, word event) {
	if b.newest[worker] == nil {
		b.pending = append(b.pending, worker)
	}
	b.newest[worker] = word
}

// news reports whether a report says what the holder does not know.
func (b *keptBox) news(report holdAnswered) bool {
	state := b.quiet[report.worker]
	empty := len(report.report.Running) == 0 && len(report.report.Ended) == 0
	if !empty {
		state.emptyAt = time.Time{}
		b.quiet[report.worker] = state
		return true
	}
	if !state.emptyAt.IsZero() && state.emptyAt.After(state.orderedAt.Add(quietAfter)) {
		return false
	}
	state.emptyAt = report.sent
	b.quiet[report.worker] = state
	return true
}

// take returns what is to be told next, answers first, and signals if there is
// more.
func (b *keptBox) take() []event {
	b.lock.Lock()
	defer b.lock.Unlock()
	count := min(boxAnswers, len(b.answers))
	list := b.answers[:count:count]
	b.answers = b.answers[count:]
	reports := min(boxReports, len(b.pending))
	for _, worker := range b.pending[:reports] {
		list = append(list, b.newest[worker])
		delete(b.newest, worker)
	}
	b.pending = append([]string(nil), b.pending[reports:]...)
	if len(b.answers) > 0 || len(b.pending) > 0 {
		b.rouse()
	}
	return list
}
