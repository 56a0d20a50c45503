// Package balancer owns the choice of a runner for each request and the queue
// of requests that wait for a slot. It is pure: the caller passes the time and
// holds the lock. Instances share no counter; each learns how busy a runner is
// from the runner's own words.
package balancer

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/teaselcleat/teaselcleat/membership"
	"github.com/teaselcleat/teaselcleat/structs"
)

// Limits and rates of the balancer.
const (
	// MaxWaiting is how many requests may wait for a slot.
	MaxWaiting        = 4096
	defaultSlots      = 8
	decreaseFactor    = 0.7
	minLimit          = 1.0
	firstAvoid        = 200 * time.Millisecond
	lastAvoid         = 10 * time.Second
	reportFresh       = time.Second
	latencyWeight     = 0.1
	initialLatency    = 20 * time.Millisecond
	minRetryAfter     = time.Second
	noUpstreamBackoff = 2 * time.Second
)

// Result is how an attempt at a runner ended, as far as load goes.
type Result int

// Results of attempts.
const (
	// ResultAnswered means the runner answered.
	ResultAnswered Result = iota + 1
	// ResultBusy means the runner refused for lack of slots.
	ResultBusy
	// ResultLeaving means the runner refused since it is leaving.
	ResultLeaving
	// ResultFailed means the runner could not be reached or broke off.
	ResultFailed
	// ResultAbandoned means this side gave up.
	ResultAbandoned
)

type runner struct {
	listed     membership.Listed
	limit      float64
	inFlight   int
	busy       int // slots in use by anyone, as the runner last said
	busyAt     time.Time
	failures   int
	avoidUntil time.Time
	leaving    bool
}

// Waiter identifies a waiting request.
type Waiter uint64

type waiting struct {
	id       Waiter
	class    string
	deadline time.Time
	exclude  []string
}

// Grant gives a waiting request its slot, or refuses it.
type Grant struct {
	Waiter  Waiter
	Runner  string // empty if refused
	Refusal Refusal
}

// Refusal says why no slot can be had and when to come back.
type Refusal struct {
	Reason     structs.Reason
	RetryAfter time.Duration
}

// Balancer is the state of one instance. It is not safe for concurrent use.
type Balancer struct {
	runners map[string]*runner
	order   []string
	queue   []waiting // by latest start
	latency map[string]time.Duration
	random  *rand.Rand
	gone    map[string]int64 // boots known to be leaving, by runner
}

// New returns a balancer without runners. The seed decides ties only.
func New(seed uint64) *Balancer {
	return &Balancer{
		runners: map[string]*runner{},
		latency: map[string]time.Duration{},
		random:  rand.New(rand.NewPCG(seed, seed)),
		gone:    map[string]int64{},
	}
}

// Update takes the platform's list. A runner known to be leaving stays so until
// it is listed with a later boot, however old or wavering the list is.
func (b *Balancer) Update(list []membership.Listed) {
	listed := map[string]bool{}
	for _, entry := range list {
		if entry.Role != membership.RoleRunner {
			continue
		}
		listed[entry.ID] = true
		b.updateRunner(entry)
	}
	for id, known := range b.runners {
		if !listed[id] && known.inFlight == 0 {
			delete(b.runners, id)
		} else if !listed[id] {
			known.leaving = true
		}
	}
	b.order = b.order[:0]
	for id := range b.runners {
		b.order = append(b.order, id)
	}
	sort.Strings(b.order)
}

func (b *Balancer) updateRunner(entry membership.Listed) {
	if entry.Leaving {
		b.MarkLeaving(entry.ID, entry.Boot)
	}
	goneBoot, marked := b.gone[entry.ID]
	leaving := marked && entry.Boot <= goneBoot
	known := b.runners[entry.ID]
	if known == nil {
		slots := entry.Slots
		if slots <= 0 {
			slots = defaultSlots
		}
		entry.Slots = slots
		b.runners[entry.ID] = &runner{listed: entry, limit: float64(slots), leaving: leaving}
		return
	}
	if entry.Boot < known.listed.Boot {
		return
	}
	if entry.Boot > known.listed.Boot {
		known.failures = 0
		known.avoidUntil = time.Time{}
		known.limit = float64(known.listed.Slots)
	}
	entry.Slots = known.listed.Slots
	known.listed = entry
	known.leaving = leaving
}

// MarkLeaving stops new work for a runner's boot for good. It reports whether
// this was news.
func (b *Balancer) MarkLeaving(id string, boot int64) bool {
	if known, marked := b.gone[id]; marked && known >= boot {
		return false
	}
	b.gone[id] = boot
	if known := b.runners[id]; known != nil && known.listed.Boot <= boot {
		known.leaving = true
	}
	return true
}

// Runner returns a runner's list entry.
func (b *Balancer) Runner(id string) (membership.Listed, bool) {
	known := b.runners[id]
	if known == nil {
		return membership.Listed{}, false
	}
	return known.listed, true
}

// Acquire asks for a slot. It returns a grant with a runner, a grant with a
// refusal, or false if the request now waits under the given identifier.
func (b *Balancer) Acquire(id Waiter, class string, deadline time.Time, exclude []string, now time.Time) (Grant, bool) {
	if len(b.queue) == 0 {
		if chosen := b.pick(exclude, now); chosen != nil {
			chosen.inFlight++
			return Grant{Waiter: id, Runner: chosen.listed.ID}, true
		}
	}
	if refusal, refused := b.refuse(class, deadline, now); refused {
		return Grant{Waiter: id, Refusal: refusal}, true
	}
	entry := waiting{id: id, class: class, deadline: deadline, exclude: exclude}
	at := sort.Search(len(b.queue), func(i int) bool { return b.latestStart(b.queue[i]).After(b.latestStart(entry)) })
	b.queue = append(b.queue, waiting{})
	copy(b.queue[at+1:], b.queue[at:])
	b.queue[at] = entry
	return Grant{}, false
}

func (b *Balancer) latestStart(entry waiting) time.Time {
	return entry.deadline.Add(-b.classLatency(entry.class))
}

func (b *Balancer) classLatency(class string) time.Duration {
	if known, ok := b.latency[class]; ok {
		return known
	}
	return initialLatency
}

// refuse decides whether waiting is hopeless.
func (b *Balancer) refuse(class string, deadline, now time.Time) (Refusal, bool) {
	capacity := b.capacity()
	if capacity == 0 {
		return Refusal{Reason: structs.ReasonNoUpstream, RetryAfter: noUpstreamBackoff}, true
	}
	service := b.classLatency(class)
	ahead := b.aheadOf(deadline.Add(-service))
	wait := time.Duration(float64(service) * float64(ahead+1) / capacity)
	retryAfter := max(wait, minRetryAfter)
	if len(b.queue) >= MaxWaiting {
		return Refusal{Reason: structs.ReasonQueueFull, RetryAfter: retryAfter}, true
	}
	if now.Add(wait + service).After(deadline) {
		return Refusal{Reason: structs.ReasonCannotMeetTarget, RetryAfter: retryAfter}, true
	}
	return Refusal{}, false
}

func (b *Balancer) aheadOf(latest time.Time) int {
	return sort.Search(len(b.queue), func(i int) bool { return b.latestStart(b.queue[i]).After(latest) })
}

func (b *Balancer) capacity() float64 {
	total := 0.0
	for _, id := range b.order {
		if known := b.runners[id]; !known.leaving {
			total += known.limit
		}
	}
	return total
}

// pick chooses the runner with the lowest share of slots in use. Ties fall to a
// random one, so that instances do not move in step.
func (b *Balancer) pick(exclude []string, now time.Time) *runner {
	if len(b.order) == 0 {
		return nil
	}
	offset := b.random.IntN(len(b.order))
	if best := b.lowest(offset, exclude, now); best != nil || len(exclude) == 0 {
		return best
	}
	return b.lowest(offset, nil, now)
}

func (b *Balancer) lowest(offset int, exclude []string, now time.Time) *runner {
	var best *runner
	bestLoad := 0.0
	for i := range b.order {
		candidate := b.runners[b.order[(offset+i)%len(b.order)]]
		if !candidate.usable(now) || contains(exclude, candidate.listed.ID) {
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
	if r.leaving || now.Before(r.avoidUntil) {
		return false
	}
	if r.failures > 0 {
		return r.inFlight == 0 // one probe at a time
	}
	return float64(r.inFlight) < r.limit
}

func (r *runner) load(now time.Time) float64 {
	used := r.inFlight
	if now.Sub(r.busyAt) < reportFresh && r.busy > used {
		used = r.busy
	}
	return float64(used) / float64(r.listed.Slots)
}

func contains(list []string, wanted string) bool {
	for _, entry := range list {
		if entry == wanted {
			return true
		}
	}
	return false
}

// Done returns a slot. busy is the runner's own count, or negative if unknown.
func (b *Balancer) Done(id, class string, result Result, took time.Duration, busy int, now time.Time) {
	known := b.runners[id]
	if known == nil {
		return
	}
	known.inFlight--
	if busy >= 0 {
		known.busy = busy
		known.busyAt = now
	}
	switch result {
	case ResultAnswered:
		known.failures = 0
		known.limit = min(float64(known.listed.Slots), known.limit+1/known.limit)
		b.learn(class, took)
	case ResultBusy:
		known.limit = max(minLimit, known.limit*decreaseFactor)
	case ResultLeaving:
		b.MarkLeaving(id, known.listed.Boot)
	case ResultFailed:
		known.failures++
		known.avoidUntil = now.Add(avoidFor(known.failures))
	}
}

func avoidFor(failures int) time.Duration {
	span := firstAvoid
	for range failures - 1 {
		span = min(2*span, lastAvoid)
	}
	return span
}

func (b *Balancer) learn(class string, took time.Duration) {
	known, ok := b.latency[class]
	if !ok {
		b.latency[class] = took
		return
	}
	b.latency[class] = known + time.Duration(latencyWeight*float64(took-known))
}

// Cancel removes a waiting request and reports whether it was still waiting.
func (b *Balancer) Cancel(id Waiter) bool {
	for i, entry := range b.queue {
		if entry.id == id {
			b.queue = append(b.queue[:i], b.queue[i+1:]...)
			return true
		}
	}
	return false
}

// Dispatch grants free slots to waiting requests, the most urgent first, and
// refuses at once those that can no longer be in time.
func (b *Balancer) Dispatch(now time.Time) []Grant {
	var grants []Grant
	for len(b.queue) > 0 {
		first := b.queue[0]
		if now.After(b.latestStart(first)) {
			grants = append(grants, Grant{Waiter: first.id, Refusal: Refusal{Reason: structs.ReasonCannotMeetTarget, RetryAfter: minRetryAfter}})
			b.queue = b.queue[1:]
			continue
		}
		chosen := b.pick(first.exclude, now)
		if chosen == nil {
			return grants
		}
		chosen.inFlight++
		grants = append(grants, Grant{Waiter: first.id, Runner: chosen.listed.ID})
		b.queue = b.queue[1:]
	}
	return grants
}

// Waiting is the number of waiting requests.
func (b *Balancer) Waiting() int { return len(b.queue) }
