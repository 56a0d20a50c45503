package batch

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/teaselcleat/teaselcleat/logstream"
)

const (
	// initialLoads is how many full reads of partitions an instance begins with at a time.
	initialLoads = 2
	// crowdedLatency is the latency from which the store counts as crowded by the full reads of other
	// instances. A store that is slow for other reasons answers reads within 0.4 s.
	crowdedLatency = 500 * time.Millisecond
	// crowdSpread is the ratio of the longest pause to the latency of a crowded store. After a loss of
	// all instances the latency is that of the first reads of all of them, which fetch a tenth of the
	// state.
	crowdSpread = 3
	// minOverloadLatency and maxOverloadLatency bound the latency that is assumed for a read that the
	// store refused. It doubles with each refusal.
	minOverloadLatency = 250 * time.Millisecond
	maxOverloadLatency = 500 * time.Millisecond
)

// loadWindow decides how many full reads of partitions an instance may have in flight, and how long it
// pauses before the next one. A full read fetches up to a megabyte, so those of all instances after a
// common start exceed what the store transfers in seconds. The window grows by one with each timely
// answer and closes when the store is crowded.
type loadWindow struct {
	limit    int
	refusals int // since the last answer
}

func newLoadWindow() loadWindow { return loadWindow{limit: initialLoads} }

// answered takes note of an answer and returns the longest pause before the next read.
func (w *loadWindow) answered(latency time.Duration) (maxPause time.Duration) {
	w.refusals = 0
	if latency < crowdedLatency {
		w.limit++
		return 0
	}
	w.limit = 1
	return crowdSpread * latency
}

// refused takes note of a read that the store refused as overloaded, and returns the longest pause
// before the next read.
func (w *loadWindow) refused() (maxPause time.Duration) {
	latency := min(maxOverloadLatency, minOverloadLatency<<min(w.refusals, 8))
	w.refusals++
	w.limit = 1
	return crowdSpread * latency
}

// loadPacer applies the load window to the full reads of one instance.
type loadPacer struct {
	clock *Clock

	lock     sync.Mutex
	window   loadWindow
	inFlight int
	resumeAt time.Time     // end of the pause
	changed  chan struct{} // closed and replaced when a read has ended
}

func newLoadPacer(clock *Clock) *loadPacer {
	return &loadPacer{clock: clock, window: newLoadWindow(), changed: make(chan struct{})}
}

// run executes a full read as soon as the window allows it.
func (p *loadPacer) run(ctx context.Context, read func() error) error {
	if err := p.acquire(ctx); err != nil {
		return err
	}
	sent := p.clock.Now()
	err := read()
	p.release(p.clock.Now().Sub(sent), err)
	return err
}

func (p *loadPacer) acquire(ctx context.Context) error {
	for {
		pause, changed, ok := p.tryAcquire()
		if ok {
			return nil
		}
		if pause > 0 {
			logstream.Sleep(ctx, pause)
		} else {
			select {
			case <-changed:
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// tryAcquire takes a place in the window. If there is none it returns the rest of the pause, or a
// channel that is closed when a read has ended.
func (p *loadPacer) tryAcquire() (pause time.Duration, changed <-chan struct{}, ok bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if pause := p.resumeAt.Sub(p.clock.Now()); pause > 0 {
		return pause, nil, false
	}
	if p.inFlight >= p.window.limit {
		return 0, p.changed, false
	}
	p.inFlight++
	return 0, nil, true
}

func (p *loadPacer) release(latency time.Duration, err error) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.inFlight--
	maxPause := time.Duration(0)
	switch {
	case errors.Is(err, ErrOverloaded):
		maxPause = p.window.refused()
	case err == nil:
		maxPause = p.window.answered(latency)
	}
	if maxPause > 0 {
		p.resumeAt = p.clock.Now().Add(rand.N(maxPause))
	}
	close(p.changed)
	p.changed = make(chan struct{})
}
