package batch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// outageStore answers no read that is sent during an outage, also after its end.
type outageStore struct {
	downStore
	until      time.Time
	nextReadAt time.Time // when the first read after the outage was sent
}

func (s *outageStore) Read(ctx context.Context, _ Stream, _ int, from int64, wait time.Duration) (Batch, error) {
	if time.Now().Before(s.until) {
		<-ctx.Done()
		return Batch{}, ctx.Err()
	}
	if s.nextReadAt.IsZero() {
		s.nextReadAt = time.Now()
	}
	time.Sleep(wait)
	return Batch{NextOffset: from}, nil
}

// Guards against a configuration that takes effect too late after a silent outage of the store: of reads on
// connections that fell silent, each was waited for longer than the one before.
func TestOperatorsAreReadInTimeAfterASilentOutage(t *testing.T) {
	const configTimeout = 2 * time.Second
	for length := 3 * time.Second; length < 8*time.Second; length += 100 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			store := &outageStore{until: time.Now().Add(length)}
			instance := newLoadedInstance(t, store, "none")
			useTestClock(instance.clock)
			instance.SetBounds(Bounds{ConfigTimeout: configTimeout})
			instance.operator.loaded = true
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				defer close(done)
				instance.operator.run(ctx)
			}()
			time.Sleep(length + 5*time.Second)
			cancel()
			<-done
			is.True(!store.nextReadAt.IsZero())
			is.True(store.nextReadAt.Sub(store.until) <= configTimeout+maxRetryBackoff)
		})
	}
}
