package batch

import (
	"strconv"
	"testing"

	"github.com/rcrowley/go-metrics"
	"pgregory.net/rapid"

	"github.com/teaselcleat/teaselcleat/internal/prooftest"
	"github.com/teaselcleat/teaselcleat/jobs"
)

// propertySteps is rapid's usual number of steps; the property draws few.
const propertySteps = "30"

func TestMain(m *testing.M) { prooftest.Main(m, propertySteps) }

// versions decodes configurations that are their version alone.
type versions struct{ Decoder }

func (versions) Config(record jobs.Record) (*Config, bool, error) {
	version, err := strconv.ParseInt(string(record.Value), 10, 64)
	return &Config{Version: version}, true, err
}

// Whatever the order in which configurations are read, from pages or from the
// tail, doubled or unreadable, the version in force never falls.
func TestConfigurationNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instance := New(Settings{Name: "a", StoreParts: 8}, outStore{}, versions{}, nil, metrics.NewRegistry(), quietLog())
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
