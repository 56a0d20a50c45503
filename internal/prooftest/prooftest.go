// Package prooftest owns what property tests share: fixed seeds, and finding
// out whether a property notices a mechanism that was taken out.
package prooftest

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// defaults are set unless given on the command line, so that every run of the
// tests tries the same cases.
var defaults = map[string]string{
	"rapid.seed":       "20261202",
	"rapid.shrinktime": "3s",
	"rapid.nofailfile": "true",
}

// Main runs a package's tests with fixed seeds and properties of about so many
// steps. Flags given by hand win.
func Main(m *testing.M, steps string) {
	flag.Parse()
	setUnlessGiven("rapid.steps", steps)
	for name, value := range defaults {
		setUnlessGiven(name, value)
	}
	os.Exit(m.Run())
}

func setUnlessGiven(name, value string) {
	if known := flag.Lookup(name); known.Value.String() == known.DefValue {
		set(name, value)
	}
}

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}

// recorder stands in for testing.TB where a property is expected to fail.
type recorder struct {
	testing.TB
	failed bool
}

// The methods that rapid calls.

func (r *recorder) Helper()               {}
func (r *recorder) Name() string          { return "expected to fail" }
func (r *recorder) Logf(string, ...any)   {}
func (r *recorder) Errorf(string, ...any) { r.failed = true }
func (r *recorder) Fatalf(string, ...any) { r.failed = true; panic(r) }
func (r *recorder) FailNow()              { r.failed = true; panic(r) }
func (r *recorder) Fail()                 { r.failed = true }
func (r *recorder) Failed() bool          { return r.failed }

// violationChecks is how many cases are tried for a violation.
const violationChecks = "5000"

// Violates reports whether a property fails.
func Violates(property func(*rapid.T)) (failed bool) {
	defer restore("rapid.shrinktime", "0s")()
	defer restore("rapid.checks", violationChecks)()
	r := &recorder{}
	defer func() {
		if p := recover(); p != nil && p != any(r) {
			panic(p)
		}
		failed = r.failed
	}()
	rapid.Check(r, property)
	return r.failed
}

// restore sets a flag and returns what sets it back.
func restore(name, value string) func() {
	before := flag.Lookup(name).Value.String()
	set(name, value)
	return func() { set(name, before) }
}
