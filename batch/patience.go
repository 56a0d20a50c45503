package batch

import (
	"sync"
	"time"
)

const (
	// patienceLeast is the shortest time that a call to the store is given. It
	// takes 4 ms as a rule, but a store that has just become slow takes 0.3 s for
	// each append of a part, and repeats would only add to what waits there.
	patienceLeast = 600 * time.Millisecond
	// patienceMost bounds it; the store refuses when 2 s of work are waiting.
	patienceMost = 2 * time.Second
	// patienceFactor times the usual time of an answer is waited for, so that a
	// slow store is not sent the same work again and again.
	patienceFactor = 4
	// patienceShare is the weight of the newest answer in the usual time.
	patienceShare = 0.3
)

// patience is how long to wait for the store, learned from its answers. A lost
// answer doubles it, as the store may have become slow.
type patience struct {
	least   time.Duration // of a call; 0 for patienceLeast
	lock    sync.Mutex
	usual   time.Duration
	doubled int // answers lost in a row
}

// limit is the time that the next call is given.
func (p *patience) limit() time.Duration {
	p.lock.Lock()
	defer p.lock.Unlock()
	least := p.least
	if least == 0 {
		least = patienceLeast
	}
	limit := max(least, patienceFactor*p.usual)
	for range p.doubled {
		limit = min(patienceMost, 2*limit)
	}
	return min(patienceMost, limit)
}

// answered takes the time that an answer took.
func (p *patience) answered(took time.Duration) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.usual += time.Duration(patienceShare * float64(took-p.usual))
	p.doubled = 0
}

// usualLimit is the same without regard to lost answers, for calls to many, of
// which some answer nothing.
func (p *patience) usualLimit() time.Duration {
	p.lock.Lock()
	defer p.lock.Unlock()
	return min(patienceMost, max(p.least, patienceFactor*p.usual))
}

// lost says that no answer came in time.
func (p *patience) lost() {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.doubled++
}
