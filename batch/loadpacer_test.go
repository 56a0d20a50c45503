package batch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestLoadWindowClosesWhenTheStoreIsCrowded(t *testing.T) {
	is := is.New(t)
	w := newLoadWindow()
	for range 6 {
		is.Equal(w.answered(400*time.Millisecond), time.Duration(0)) // slow, but not crowded
	}
	is.Equal(w.limit, initialLoads+6)
	is.Equal(w.answered(time.Second), crowdSpread*time.Second)
	is.Equal(w.limit, 1)
	first, second, third := w.refused(), w.refused(), w.refused()
	is.Equal(first, crowdSpread*minOverloadLatency)
	is.Equal(second, 2*first)
	is.Equal(third, crowdSpread*maxOverloadLatency)
	is.Equal(w.answered(time.Millisecond), time.Duration(0))
	is.Equal(w.limit, 2)
	is.Equal(w.refused(), first)
}

// silentStore answers no read.
type silentStore struct {
	downStore
	gaveUp []time.Duration // how long each read was waited for
}

func (s *silentStore) Read(ctx context.Context, _ Stream, _ int, _ int64, _ time.Duration) (Batch, error) {
	begin := time.Now()
	<-ctx.Done()
	s.gaveUp = append(s.gaveUp, time.Since(begin))
	return Batch{}, ctx.Err()
}

// A read on a silent connection is given up in the time in which a configuration takes effect. Later
// ones are waited for longer, as the store may be crowded.
func TestFirstReadOnASilentConnectionIsGivenUpEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &silentStore{}
		instance := newLoadedInstance(t, store, "none")
		instance.operator.loaded = true
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			instance.operator.run(ctx)
		}()
		time.Sleep(20 * time.Second)
		cancel()
		<-done
		is.Equal(store.gaveUp[0], operatorStreamReadWait+minReadMargin)
		is.Equal(store.gaveUp[1], operatorStreamReadWait+2*minReadMargin)
		is.Equal(store.gaveUp[2], operatorStreamReadWait+maxCallTimeout)
	})
}
