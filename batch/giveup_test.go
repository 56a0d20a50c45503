package batch

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/teaselcleat/teaselcleat/jobs"
	"github.com/teaselcleat/teaselcleat/placing"
)

// placesWithin is how long the term may be with an instance that cannot place while
// another can.
const placesWithin = 30 * time.Second

// sharedLog is the work stream as all instances have it, and the workers' list.
type sharedLog struct {
	fleet  *simWorkers
	lock   sync.Mutex
	parts  map[int][]jobs.Record
	fences map[int]Fence // the newest of each part
}

// wayToLog is one instance's way to it.
type wayToLog struct {
	*sharedLog
	lock  sync.Mutex
	stuck bool          // appends of progress are not answered and not carried out
	slow  time.Duration // of a read of all progress
}

func (w *wayToLog) setStuck(stuck bool) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.stuck = stuck
}

func (w *wayToLog) isStuck() bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.stuck
}

func (w *wayToLog) Append(ctx context.Context, part int, records []jobs.Record, fence *Fence) error {
	if part == detailPart(8) && w.isStuck() {
		<-ctx.Done()
		return ErrUnknown
	}
	time.Sleep(4 * time.Millisecond)
	l := w.sharedLog
	l.lock.Lock()
	defer l.lock.Unlock()
	if fence != nil {
		newest := l.fences[part]
		if fence.Epoch == newest.Epoch && fence.Sequence == newest.Sequence {
			return nil
		}
		if fence.Epoch < newest.Epoch || fence.Epoch == newest.Epoch && fence.Sequence != newest.Sequence+1 {
			return ErrFenced
		}
		l.fences[part] = *fence
	}
	l.parts[part] = append(l.parts[part], records...)
	return nil
}

func (w *wayToLog) Read(ctx context.Context, stream Stream, part int, from int64, wait time.Duration) (Batch, error) {
	for until := time.Now().Add(wait); ; time.Sleep(5 * time.Millisecond) {
		batch := w.from(stream, part, from)
		if len(batch.Records) > 0 || !time.Now().Before(until) || ctx.Err() != nil {
			time.Sleep(time.Millisecond)
			return batch, ctx.Err()
		}
	}
}

func (w *wayToLog) Newest(ctx context.Context, stream Stream, part int) (Batch, error) {
	if stream == StreamWork && part == detailPart(8) {
		select {
		case <-ctx.Done():
			return Batch{}, ctx.Err()
		case <-time.After(w.slow):
		}
	}
	time.Sleep(time.Millisecond)
	return w.from(stream, part, 0), ctx.Err()
}

func (l *sharedLog) from(stream Stream, part int, from int64) Batch {
	l.lock.Lock()
	defer l.lock.Unlock()
	batch := Batch{Next: from}
	if stream == StreamWorkers && from == 0 {
		for id := range l.fleet.entries() {
			batch.Records = append(batch.Records, jobs.Record{Key: id})
			batch.Offsets = append(batch.Offsets, batch.Next)
			batch.Next++
		}
	}
	if stream != StreamWork {
		return batch
	}
	for offset := from; offset < int64(len(l.parts[part])); offset++ {
		batch.Records = append(batch.Records, l.parts[part][offset])
		batch.Offsets = append(batch.Offsets, offset)
		batch.Next = offset + 1
	}
	return batch
}

// fleetDecoder reads the entries of simulated workers.
type fleetDecoder struct {
	Decoder
	fleet *simWorkers
}

func (d fleetDecoder) Worker(record jobs.Record) (placing.WorkerEntry, bool, error) {
	entry, known := d.fleet.entries()[record.Key]
	return entry, !known, nil
}

// holders is instances on one log, of which those that can place do.
type holders struct {
	fleet *simWorkers
	ways  map[string]*wayToLog
	all   map[string]*Instance
}

// inHolders runs a test with the instances a and b.
func inHolders(t *testing.T, prepare func(h *holders), test func(h *holders, is *is.I)) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newSimWorkers(4, time.Second)
		log := &sharedLog{fleet: fleet, parts: map[int][]jobs.Record{}, fences: map[int]Fence{}}
		h := &holders{fleet: fleet, ways: map[string]*wayToLog{}, all: map[string]*Instance{}}
		for _, name := range []string{"a", "b"} {
			h.ways[name] = &wayToLog{sharedLog: log}
			record, err := jobs.InstanceRecord(name, jobs.Instance{Address: "127.0.0.1:1", CPUShare: 1})
			if err != nil {
				t.Fatal(err)
			}
			part := partOf(record.Subject(), 8)
			log.parts[part] = append(log.parts[part], record)
		}
		prepare(h)
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		defer running.Wait()
		defer cancel()
		for _, name := range []string{"a", "b"} {
			made := New(Settings{Name: name, StoreParts: 8, CPUShare: 1}, h.ways[name], fleetDecoder{fleet: fleet}, &simPort{fleet: fleet, instance: name}, metrics.NewRegistry(), quietLog())
			made.bounds = newBounds(simBounds)
			virtual(made.clock)
			made.config.Store(&Config{Version: 1, Pools: []string{"pool"}})
			h.all[name] = made
			for _, duty := range append([]*follower{made.operator, made.work, made.detail}, made.calls...) {
				running.Go(func() { duty.run(ctx) })
			}
			running.Go(func() { made.placingDuty(ctx) })
		}
		time.Sleep(5 * time.Second)
		test(h, is.New(t))
	})
}

// placing is the instance that has come to place; empty if none has.
func (h *holders) placing() string {
	for name, instance := range h.all {
		if instance.leading.Load() && instance.metrics.leading.Value() == 1 {
			return name
		}
	}
	return ""
}

// roles are the instance that places, and the one that does not.
func (h *holders) roles(is *is.I) (first, other string) {
	first = h.placing()
	is.True(first != "")
	if first == "a" {
		return "a", "b"
	}
	return "b", "a"
}

func (h *holders) placingIs(name string, within time.Duration) bool {
	for begin := time.Now(); time.Since(begin) < within; time.Sleep(50 * time.Millisecond) {
		if h.placing() == name {
			return true
		}
	}
	return false
}

// submit hands in a job of one task by way of an instance.
func (h *holders) submit(by, id string, is *is.I) {
	submission := &jobs.Submission{ID: id, Queue: jobs.Queue{Name: "q", Pool: "pool", MaxAttempts: 4, Stretch: 3, TargetMS: 1000}}
	submission.Steps = []jobs.Step{{Tasks: 1, EstimateMS: 1000, Need: jobs.Resources{MilliCores: 1000, MemoryMB: 100, Accelerators: 8}}}
	record, err := jobs.SubmissionRecord(submission)
	is.NoErr(err)
	is.NoErr(h.ways[by].Append(context.Background(), partOf(id, 8), []jobs.Record{record}, nil))
}

// startsWithin reports whether the task of a job is started within a time.
func (h *holders) startsWithin(id string, within time.Duration) bool {
	for begin := time.Now(); time.Since(begin) < within; time.Sleep(50 * time.Millisecond) {
		h.fleet.lock.Lock()
		started := h.fleet.newest[jobs.TaskKey{Job: id}] > 0
		h.fleet.lock.Unlock()
		if started {
			return true
		}
	}
	return false
}

// An instance that wins the term and cannot begin does not keep it from others that can.
func TestTermOfAnInstanceThatCannotBeginGoesToAnother(t *testing.T) {
	inHolders(t, func(h *holders) { h.ways["a"].setStuck(true) }, func(h *holders, is *is.I) {
		is.True(h.placingIs("b", placesWithin))
		h.submit("a", "a1", is)
		is.True(h.startsWithin("a1", turnWithin))
	})
}

// A holder whose way to the progress alone is cut keeps the term and starts nothing.
func TestJobIsStartedThoughItsHolderCannotWriteProgress(t *testing.T) {
	inHolders(t, func(*holders) {}, func(h *holders, is *is.I) {
		first, other := h.roles(is)
		h.submit(other, "a1", is)
		is.True(h.startsWithin("a1", turnWithin))
		h.ways[first].setStuck(true)
		h.submit(other, "a2", is)
		is.True(h.startsWithin("a2", placesWithin))
	})
}

// It takes longer to read than a holder may take to begin.
func TestTermIsTakenUpThoughReadingAllProgressTakesLong(t *testing.T) {
	slow := func(h *holders) {
		for _, way := range h.ways {
			way.slow = 2 * prepareTimeout
		}
	}
	inHolders(t, slow, func(h *holders, is *is.I) {
		for begin := time.Now(); h.placing() == ""; time.Sleep(50 * time.Millisecond) {
			is.True(time.Since(begin) < placesWithin)
		}
	})
}
