package scheduler

import (
	"sort"
	"strings"

	"github.com/rotisserie/eris"
)

// Names of the policies of this package.
const (
	// PolicyTargets schedules by targets and guarantees; it is the policy used in production.
	PolicyTargets = "targets"
	// PolicyBaseline is first-come first-fit, for comparison.
	PolicyBaseline = "baseline"
)

// policies is written by init functions only.
var policies = map[string]func(Config) Policy{}

// Register adds a policy. It panics if the name is registered already.
func Register(name string, factory func(Config) Policy) {
	if _, taken := policies[name]; taken {
		panic("scheduler: policy registered twice: " + name)
	}
	policies[name] = factory
}

// Open returns a new instance of a policy.
func Open(name string, config Config) (Policy, error) {
	factory, ok := policies[name]
	if !ok {
		return nil, eris.Errorf("no policy %q; registered are: %s", name, strings.Join(PolicyNames(), ", "))
	}
	return factory(config), nil
}

// PolicyNames lists the registered policies in alphabetical order.
func PolicyNames() []string {
	var names []string
	for name := range policies {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
