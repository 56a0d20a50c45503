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

// Point names a place where an adapter is plugged in.
type Point string

// The points an instance opens at its start.
const (
	PointLog          Point = "log"
	PointInstanceList Point = "instance_list"
	PointRunner       Point = "runner"
	PointWorker       Point = "worker"
	PointPeers        Point = "peers"
)

// Env is what a plug-in's factory may use.
type Env struct {
	Settings *settings.Settings
	Log      *logrus.Entry
	Timeline *timeline.Recorder
	Metrics  metrics.Registry
	Now      func() time.Time
}

// factories is filled by init functions only and read after them.
var factories = map[Point]map[string]any{}

// Register adds a factory under a point and a name. It is called from a
// plug-in's init function; a name taken twice is a broken invariant.
func Register[T any](point Point, name string, factory func(*Env) (T, error)) {
	named := factories[point]
	if named == nil {
		named = map[string]any{}
		factories[point] = named
	}
	if _, taken := named[name]; taken {
		panic("kernel: plug-in registered twice: " + string(point) + "/" + name)
	}
	named[name] = factory
}

// Open builds the plug-in of a point by its name.
func Open[T any](env *Env, point Point, name string) (T, error) {
	var none T
	found, ok := factories[point][name]
	if !ok {
		return none, eris.Errorf("no plug-in %q at %s; registered are: %s", name, point, strings.Join(names(point), ", "))
	}
	factory, ok := found.(func(*Env) (T, error))
	if !ok {
		return none, eris.Errorf("plug-in %q at %s has another type", name, point)
	}
	return factory(env)
}

func names(point Point) []string {
	var list []string
	for name := range factories[point] {
		list = append(list, name)
	}
	sort.Strings(list)
	return list
}
