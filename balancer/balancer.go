// Package balancer selects a runner for each request of the product's own interface and
// queues the requests that wait for a slot. A runner answers short requests, as many at
// once as it has slots; workers run the tasks of gangs and are not balanced here. It reads no clock and takes no lock: the caller passes the time
// and serializes the calls. Instances share no counters; each learns the load of a
// runner from the runner's own reports.
package balancer

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/teaselcleat/teaselcleat/membership"
	"github.com/teaselcleat/teaselcleat/structs"
)

// Limits, rates and intervals of the balancer. The limit of requests in flight at a runner
// grows by about one for each round of answers and is multiplied by decreaseFactor when the
// runner is busy (additive increase, multiplicative decrease).
const (
	// MaxQueued is the maximum number of requests that wait for a slot.
	MaxQueued          = 4096
	defaultSlots       = 8
	decreaseFactor     = 0.7
	minLimit           = 1.0
	minFailureBackoff  = 200 * time.Millisecond
	maxFailureBackoff  = 10 * time.Second
	busyReportTTL      = time.Second
	latencySmoothing   = 0.1
	defaultLatency     = 20 * time.Millisecond
	minRetryAfter      = time.Second
	noRunnerRetryAfter = 2 * time.Second
)

// Result is the result of an attempt at a runner, as far as it concerns load.
type Result int

// Results of attempts.
const (
	// ResultAnswered means that the runner answered.
	ResultAnswered Result = iota + 1
	// ResultBusy means that the runner refused because it had no free slot.
	ResultBusy
	// ResultLeaving means that the runner refused because it is leaving.
	ResultLeaving
	// ResultFailed means that the runner was unreachable or the connection broke.
	ResultFailed
	// ResultAbandoned means that this instance cancelled the attempt.
	ResultAbandoned
)

type runner struct {
	entry          membership.Member
	limit          float64 // of requests in flight, between minLimit and the slots; see Release
	inFlight       int
	busy           int // slots in use by all instances, as the runner last reported
	busyReportedAt time.Time
	failures       int
	backoffUntil   time.Time
	leaving        bool
}

// WaiterID identifies a queued request.
type WaiterID uint64

type queuedRequest struct {
	id       WaiterID
	class    string
	deadline time.Time
	exclude  []string
}

// AcquireResult assigns a slot to a request, or refuses the request.
type AcquireResult struct {
	Waiter  WaiterID
	Runner  string // empty if refused
	Refusal Refusal
}

// Refusal is the reason why no slot is available, and when to retry.
type Refusal struct {
	Reason     structs.Reason
	RetryAfter time.Duration
}

// Balancer is the load balancer of one instance. It is not safe for concurrent use.
type Balancer struct {
	runners      map[string]*runner
	order        []string                 // runner IDs, sorted
	queue        []queuedRequest          // by latest start as of the arrival; not sorted again when latencies change
	latency      map[string]time.Duration // moving average by class
	random       *rand.Rand
	leavingBoots map[string]int64 // by runner ID, the newest boot (start number of the process) that is leaving
}

// New returns a balancer without runners. The seed only affects how ties are broken.
func New(seed uint64) *Balancer {
	return &Balancer{
		runners:      map[string]*runner{},
		latency:      map[string]time.Duration{},
		random:       rand.New(rand.NewPCG(seed, seed)),
		leavingBoots: map[string]int64{},
	}
}

// UpdateRunners applies the runners of the platform's list of machines. A runner that was
// marked as leaving stays so until it is listed with a later boot, even if the list is
// stale or inconsistent. A runner that is no longer listed is leaving until its requests in
// flight have ended, and is then removed.
func (b *Balancer) UpdateRunners(list []membership.Member) {
	listed := map[string]bool{}
	for _, entry := range list {
		if entry.Role != membership.RoleRunner {
			continue
		}
		listed[entry.ID] = true
		b.updateRunner(entry)
	}
	for id, r := range b.runners {
		if !listed[id] && r.inFlight == 0 {
			delete(b.runners, id)
		} else if !listed[id] {
			r.leaving = true
		}
	}
	b.order = b.order[:0]
	for id := range b.runners {
		b.order = append(b.order, id)
	}
	sort.Strings(b.order)
}

func (b *Balancer) updateRunner(entry membership.Member) {
	if entry.Leaving {
		b.MarkLeaving(entry.ID, entry.Boot)
	}
	leavingBoot, marked := b.leavingBoots[entry.ID]
	leaving := marked && entry.Boot <= leavingBoot
	r := b.runners[entry.ID]
	if r == nil {
		slots := entry.Slots
		if slots <= 0 {
			slots = defaultSlots
		}
		entry.Slots = slots
		b.runners[entry.ID] = &runner{entry: entry, limit: float64(slots), leaving: leaving}
		return
	}
	if entry.Boot < r.entry.Boot {
		return
	}
	if entry.Boot > r.entry.Boot {
		r.failures = 0
		r.backoffUntil = time.Time{}
		r.limit = float64(r.entry.Slots)
	}
	entry.Slots = r.entry.Slots // those of the first listing, also for a later boot
	r.entry = entry
	r.leaving = leaving
}

// MarkLeaving permanently stops new work for a runner's boot. It reports whether the
// boot was not marked before.
func (b *Balancer) MarkLeaving(id string, boot int64) bool {
	if leavingBoot, marked := b.leavingBoots[id]; marked && leavingBoot >= boot {
		return false
	}
	b.leavingBoots[id] = boot
	if r := b.runners[id]; r != nil && r.entry.Boot <= boot {
		r.leaving = true
	}
	return true
}

// Runner returns the list entry of a runner.
func (b *Balancer) Runner(id string) (membership.Member, bool) {
	r := b.runners[id]
	if r == nil {
		return membership.Member{}, false
	}
	return r.entry, true
}

// Acquire requests a slot. It returns true with a runner or a refusal, or false if the
// request was queued under the given identifier.
func (b *Balancer) Acquire(id WaiterID, class string, deadline time.Time, exclude []string, now time.Time) (AcquireResult, bool) {
	if len(b.queue) == 0 {
		if r := b.pickRunner(exclude, now); r != nil {
			r.inFlight++
			return AcquireResult{Waiter: id, Runner: r.entry.ID}, true
		}
	}
	if refusal, refused := b.refusalFor(class, deadline, now); refused {
		return AcquireResult{Waiter: id, Refusal: refusal}, true
	}
	request := queuedRequest{id: id, class: class, deadline: deadline, exclude: exclude}
	at := sort.Search(len(b.queue), func(i int) bool { return b.latestStart(b.queue[i]).After(b.latestStart(request)) })
	b.queue = append(b.queue, queuedRequest{})
	copy(b.queue[at+1:], b.queue[at:])
	b.queue[at] = request
	return AcquireResult{}, false
}

func (b *Balancer) latestStart(request queuedRequest) time.Time {
	return request.deadline.Add(-b.classLatency(request.class))
}

func (b *Balancer) classLatency(class string) time.Duration {
	if latency, ok := b.latency[class]; ok {
		return latency
	}
	return defaultLatency
}

// refusalFor returns a refusal if there is no runner, the queue is full, or the request
// cannot be answered before its deadline.
func (b *Balancer) refusalFor(class string, deadline, now time.Time) (Refusal, bool) {
	capacity := b.capacity()
	if capacity == 0 {
		return Refusal{Reason: structs.ReasonNoUpstream, RetryAfter: noRunnerRetryAfter}, true
	}
	service := b.classLatency(class)
	ahead := b.countAhead(deadline.Add(-service))
	queueWait := time.Duration(float64(service) * float64(ahead+1) / capacity)
	retryAfter := max(queueWait, minRetryAfter)
	if len(b.queue) >= MaxQueued {
		return Refusal{Reason: structs.ReasonQueueFull, RetryAfter: retryAfter}, true
	}
	if now.Add(queueWait + service).After(deadline) {
		return Refusal{Reason: structs.ReasonCannotMeetTarget, RetryAfter: retryAfter}, true
	}
	return Refusal{}, false
}

func (b *Balancer) countAhead(latestStart time.Time) int {
	return sort.Search(len(b.queue), func(i int) bool { return b.latestStart(b.queue[i]).After(latestStart) })
}

func (b *Balancer) capacity() float64 {
	total := 0.0
	for _, id := range b.order {
		if r := b.runners[id]; !r.leaving {
			total += r.limit
		}
	}
	return total
}

// pickRunner returns the usable runner with the lowest fraction of slots in use, or nil.
// Ties are broken at random, so that instances do not all pick the same runner. If
// only excluded runners are usable, one of them is picked.
func (b *Balancer) pickRunner(exclude []string, now time.Time) *runner {
	if len(b.order) == 0 {
		return nil
	}
	offset := b.random.IntN(len(b.order))
	if r := b.leastLoaded(offset, exclude, now); r != nil || len(exclude) == 0 {
		return r
	}
	return b.leastLoaded(offset, nil, now)
}

func (b *Balancer) leastLoaded(offset int, exclude []string, now time.Time) *runner {
	var best *runner
	bestLoad := 0.0
	for i := range b.order {
		candidate := b.runners[b.order[(offset+i)%len(b.order)]]
		if !candidate.usable(now) || contains(exclude, candidate.entry.ID) {
			continue
		}
		load := candidate.load(now)
		if best == nil || load < bestLoad {
			best = candidate
			bestLoad = load
		}
	}
	return best
}

func (r *runner) usable(now time.Time) bool {
	if r.leaving || now.Before(r.backoffUntil) {
		return false
	}
	if r.failures > 0 {
		return r.inFlight == 0 // one probe at a time after a failure
	}
	return float64(r.inFlight) < r.limit
}

func (r *runner) load(now time.Time) float64 {
	inUse := r.inFlight
	if now.Sub(r.busyReportedAt) < busyReportTTL && r.busy > inUse {
		inUse = r.busy
	}
	return float64(inUse) / float64(r.entry.Slots)
}

func contains(list []string, name string) bool {
	for _, entry := range list {
		if entry == name {
			return true
		}
	}
	return false
}

// Release releases a slot. busy is the number of slots in use that the runner reported,
// or negative if unknown.
func (b *Balancer) Release(id, class string, result Result, latency time.Duration, busy int, now time.Time) {
	r := b.runners[id]
	if r == nil {
		return
	}
	r.inFlight--
	if busy >= 0 {
		r.busy = busy
		r.busyReportedAt = now
	}
	switch result {
	case ResultAnswered:
		r.failures = 0
		r.limit = min(float64(r.entry.Slots), r.limit+1/r.limit)
		b.recordLatency(class, latency)
	case ResultBusy:
		r.limit = max(minLimit, r.limit*decreaseFactor)
	case ResultLeaving:
		b.MarkLeaving(id, r.entry.Boot)
	case ResultFailed:
		r.failures++
		r.backoffUntil = now.Add(failureBackoff(r.failures))
	}
}

func failureBackoff(failures int) time.Duration {
	backoff := minFailureBackoff
	for range failures - 1 {
		backoff = min(2*backoff, maxFailureBackoff)
	}
	return backoff
}

func (b *Balancer) recordLatency(class string, latency time.Duration) {
	average, ok := b.latency[class]
	if !ok {
		b.latency[class] = latency
		return
	}
	b.latency[class] = average + time.Duration(latencySmoothing*float64(latency-average))
}

// Cancel removes a request from the queue and reports whether it was queued.
func (b *Balancer) Cancel(id WaiterID) bool {
	for i, request := range b.queue {
		if request.id == id {
			b.queue = append(b.queue[:i], b.queue[i+1:]...)
			return true
		}
	}
	return false
}

// Dispatch assigns free slots to waiting requests in order of their latest start, and
// refuses the requests that can no longer meet their deadline.
func (b *Balancer) Dispatch(now time.Time) []AcquireResult {
	var results []AcquireResult
	for len(b.queue) > 0 {
		first := b.queue[0]
		if now.After(b.latestStart(first)) {
			results = append(results, AcquireResult{Waiter: first.id, Refusal: Refusal{Reason: structs.ReasonCannotMeetTarget, RetryAfter: minRetryAfter}})
			b.queue = b.queue[1:]
			continue
		}
		r := b.pickRunner(first.exclude, now)
		if r == nil {
			return results
		}
		r.inFlight++
		results = append(results, AcquireResult{Waiter: first.id, Runner: r.entry.ID})
		b.queue = b.queue[1:]
	}
	return results
}

// QueueLength returns the number of waiting requests.
func (b *Balancer) QueueLength() int { return len(b.queue) }
