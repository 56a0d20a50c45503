package batch

import (
	"context"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"pgregory.net/rapid"

	"github.com/teaselcleat/teaselcleat/internal/prooftest"
	"github.com/teaselcleat/teaselcleat/jobs"
)

// propertySteps is rapid's default number of steps; the property uses few.
const propertySteps = "30"

func TestMain(m *testing.M) { prooftest.Main(m, propertySteps) }

// versionDecoder decodes configurations that consist of a version only.
type versionDecoder struct{ Decoder }

func (versionDecoder) Config(record jobs.Record) (*Config, bool, error) {
	version, err := strconv.ParseInt(string(record.Value), 10, 64)
	return &Config{Version: version}, true, err
}

// The version in force never decreases, whatever the order in which configurations are read, from
// pages or the tail, with duplicates or unreadable records.
func TestConfigurationNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instance := New(Settings{Name: "a", StoreParts: 8}, downStore{}, versionDecoder{}, nil, metrics.NewRegistry(), discardLog())
		highest := int64(0)
		for _, version := range rapid.SliceOfN(rapid.Int64Range(-1, 9), 1, 20).Draw(t, "versions") {
			value := strconv.FormatInt(version, 10)
			if version < 0 {
				value = "unreadable"
			}
			instance.applyConfig(Batch{Records: []jobs.Record{{Key: "config", Value: []byte(value)}}})
			highest = max(highest, version)
			if config := instance.Config(); config != nil && config.Version != highest {
				t.Fatalf("version %d in force, %d was read", config.Version, highest)
			}
		}
	})
}

// pausingStore returns one record per read, except that the second read blocks until its context
// ends.
type pausingStore struct {
	Store
	reads   atomic.Int64
	waiting chan struct{}
}

func (s *pausingStore) Read(ctx context.Context, _ Stream, _ int, from int64, _ time.Duration) (Batch, error) {
	if s.reads.Add(1) == 2 {
		close(s.waiting)
		<-ctx.Done()
		return Batch{}, ctx.Err()
	}
	return Batch{Records: []jobs.Record{{Key: "x"}}, Offsets: []int64{from}, NextOffset: from + 1}, nil
}

// An instance that is not the leader reads at long intervals. When it becomes the leader, neither
// the pause nor the long read in progress may delay new submissions.
func TestRousedFollowerReadsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &pausingStore{waiting: make(chan struct{})}
		instance := New(Settings{Name: "a", StoreParts: 8}, store, nil, nil, metrics.NewRegistry(), discardLog())
		f := instance.calls[0]
		f.loaded = true
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go f.run(ctx)
		synctest.Wait()
		is.Equal(store.reads.Load(), int64(1)) // in the pause after a record was read
		begin := time.Now()
		f.wake()
		<-store.waiting // the long read has begun
		is.Equal(time.Since(begin), time.Duration(0))
		f.wake()
		synctest.Wait()
		is.True(store.reads.Load() >= 3)
		is.Equal(f.failures, 0)
	})
}
