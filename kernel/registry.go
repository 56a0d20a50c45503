package kernel

import (
	"sort"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/teaselcleat/teaselcleat/settings"
	"github.com/teaselcleat/teaselcleat/timeline"
)

// ExtensionPoint names an extension point, at which an adapter is plugged in.
type ExtensionPoint string

// Extension points that an instance opens at start.
const (
	PointLog          ExtensionPoint = "log"
	PointInstanceList ExtensionPoint = "instance_list"
	PointRunner       ExtensionPoint = "runner"
	PointWorker       ExtensionPoint = "worker"
	PointPeers        ExtensionPoint = "peers"
)

// Env holds the dependencies that factories of adapters may use.
type Env struct {
	Settings *settings.Settings
	Log      *logrus.Entry
	Timeline *timeline.Recorder
	Metrics  metrics.Registry
	Now      func() time.Time
}

// factories holds the registered factories by point and name. Only init functions
// write to it and all reads come later, so that it needs no lock.
var factories = map[ExtensionPoint]map[string]any{}

// Register adds a factory under a point and a name. It is called from an adapter's
// init function and panics if the name is already registered.
func Register[T any](point ExtensionPoint, name string, factory func(*Env) (T, error)) {
	byName := factories[point]
	if byName == nil {
		byName = map[string]any{}
		factories[point] = byName
	}
	if _, taken := byName[name]; taken {
		panic("kernel: adapter registered twice: " + string(point) + "/" + name)
	}
	byName[name] = factory
}

// Open builds the adapter registered under a point and a name.
func Open[T any](env *Env, point ExtensionPoint, name string) (T, error) {
	var none T
	registered, ok := factories[point][name]
	if !ok {
		return none, eris.Errorf("no adapter %q at %s; registered are: %s", name, point, strings.Join(factoryNames(point), ", "))
	}
	factory, ok := registered.(func(*Env) (T, error))
	if !ok {
		return none, eris.Errorf("adapter %q at %s has another type", name, point)
	}
	return factory(env)
}

func factoryNames(point ExtensionPoint) []string {
	var list []string
	for name := range factories[point] {
		list = append(list, name)
	}
	sort.Strings(list)
	return list
}
