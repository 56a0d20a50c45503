package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
)

// Instances that do not lead read as rarely as the deployment's bounds allow, since their reads grow
// with their number.
func TestReadIntervalsFollowTheBoundsOfTheDeployment(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		bounds   Bounds
		wait     time.Duration
		interval time.Duration
	}{
		{Bounds{}, time.Second, 1800 * time.Millisecond},
		{Bounds{ConfigTimeout: 2 * time.Second, VisibilityTimeout: time.Second}, time.Second, 1800 * time.Millisecond},
		{Bounds{ConfigTimeout: 5 * time.Second, VisibilityTimeout: 3 * time.Second}, 2500 * time.Millisecond, 3 * time.Second},
	} {
		i := New(Settings{Name: "a", StoreParts: 8, Bounds: c.bounds}, nil, nil, nil, metrics.NewRegistry(), discardLog())
		is.Equal(i.operatorReadWait(), c.wait)
		is.Equal(i.workReadInterval(1), c.interval)
		i.leading.Store(true)
		is.Equal(i.operatorReadWait(), evacuationReadWait)
		is.Equal(i.workReadInterval(1), leaderCallReadInterval)
	}
}
