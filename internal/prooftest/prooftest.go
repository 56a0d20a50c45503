// Package prooftest provides shared helpers of property tests: fixed seeds, and a
// check that a property fails when a mechanism that it depends on is disabled.
package prooftest

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// defaultFlags apply unless given on the command line, so that every run of the
// tests tries the same cases.
var defaultFlags = map[string]string{
	"rapid.seed":       "20261202",
	"rapid.shrinktime": "3s",
	"rapid.nofailfile": "true",
}

// Main runs a package's tests with fixed seeds and about the given number of steps
// in each property. Flags on the command line take precedence.
func Main(m *testing.M, steps string) {
	flag.Parse()
	setDefault("rapid.steps", steps)
	for name, value := range defaultFlags {
		setDefault(name, value)
	}
	os.Exit(m.Run())
}

func setDefault(name, value string) {
	if f := flag.Lookup(name); f.Value.String() == f.DefValue {
		setFlag(name, value)
	}
}

func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}

// failureRecorder replaces testing.TB for a property that is expected to fail.
type failureRecorder struct {
	testing.TB
	failed bool
}

// Methods of testing.TB that rapid calls.

func (r *failureRecorder) Helper()               {}
func (r *failureRecorder) Name() string          { return "expected to fail" }
func (r *failureRecorder) Logf(string, ...any)   {}
func (r *failureRecorder) Errorf(string, ...any) { r.failed = true }
func (r *failureRecorder) Fatalf(string, ...any) { r.failed = true; panic(r) }
func (r *failureRecorder) FailNow()              { r.failed = true; panic(r) }
func (r *failureRecorder) Fail()                 { r.failed = true }
func (r *failureRecorder) Failed() bool          { return r.failed }

// caseCount is the number of cases that Fails tries.
const caseCount = "5000"

// Fails reports whether a property fails in any of the cases tried.
func Fails(property func(*rapid.T)) (failed bool) {
	defer overrideFlag("rapid.shrinktime", "0s")()
	defer overrideFlag("rapid.checks", caseCount)()
	r := &failureRecorder{}
	defer func() {
		if p := recover(); p != nil && p != any(r) {
			panic(p)
		}
		failed = r.failed
	}()
	rapid.Check(r, property)
	return r.failed
}

// overrideFlag sets a flag and returns a function that restores it.
func overrideFlag(name, value string) func() {
	previous := flag.Lookup(name).Value.String()
	setFlag(name, value)
	return func() { setFlag(name, previous) }
}
