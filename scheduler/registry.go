package scheduler

import (
	"sort"
	"strings"

	"github.com/rotisserie/eris"
)

// Names of the policies of this package.
const (
	// PolicyTargets is the policy that serves.
	PolicyTargets = "targets"
	// PolicyBaseline is first-come first-fit, for comparison.
	PolicyBaseline = "baseline"
)

// policies is filled by init functions only and read after them.
var policies = map[string]func(Config) Policy{}

// Register adds a policy under a name; a name taken twice is a broken invariant.
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

// PolicyNames lists the registered policies in order.
func PolicyNames() []string {
	var names []string
	for name := range policies {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
