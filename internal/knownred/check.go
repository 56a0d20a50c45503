package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/rotisserie/eris"
)

// goTool runs the go command with the arguments. ok reports whether it succeeded.
type goTool func(args ...string) (output string, ok bool)

// checker runs all tests and compares their results with the list of known failures.
type checker struct {
	run goTool
	out io.Writer
}

// check runs every test. Tests that are not listed must pass. Listed tests must exist
// and fail, so that a test leaves the list once its fault is fixed.
func (c *checker) check(list []entry) error {
	packages, err := c.packages("./...")
	if err != nil {
		return err
	}
	listedByPackage := map[string][]entry{}
	for _, e := range list {
		found, err := c.packages(e.pkg)
		if err != nil || len(found) != 1 {
			return eris.Errorf("%s is listed in %s, which is not a package", e.test, e.pkg)
		}
		listedByPackage[found[0]] = append(listedByPackage[found[0]], e)
	}
	failed := !c.runUnlisted(packages, listedByPackage)
	for _, pkg := range packages {
		for _, e := range listedByPackage[pkg] {
			if problem := c.runListed(pkg, e); problem != "" {
				fmt.Fprintf(c.out, "%s %s: %s\n", e.pkg, e.test, problem)
				failed = true
			}
		}
	}
	if failed {
		return eris.New("tests failed")
	}
	return nil
}

func (c *checker) packages(pattern string) ([]string, error) {
	output, ok := c.run("list", pattern)
	if !ok {
		return nil, eris.Errorf("go list %s: %s", pattern, output)
	}
	return strings.Fields(output), nil
}

// runUnlisted runs all tests that are not listed. Packages with listed tests run
// separately, since an entry skips a test in its own package only.
func (c *checker) runUnlisted(packages []string, listedByPackage map[string][]entry) bool {
	args := []string{"test", "-count=1"}
	for _, pkg := range packages {
		if len(listedByPackage[pkg]) == 0 {
			args = append(args, pkg)
		}
	}
	passed := c.test(args...)
	for _, pkg := range packages {
		if len(listedByPackage[pkg]) == 0 {
			continue
		}
		var names []string
		for _, e := range listedByPackage[pkg] {
			names = append(names, e.test)
		}
		passed = c.test("test", "-count=1", "-skip", "^("+strings.Join(names, "|")+")$", pkg) && passed
	}
	return passed
}

func (c *checker) test(args ...string) bool {
	output, ok := c.run(args...)
	fmt.Fprint(c.out, output)
	return ok
}

// runListed runs a listed test. It returns why the test should not be listed, or an
// empty string if it exists and fails.
func (c *checker) runListed(pkg string, e entry) string {
	pattern := "^" + e.test + "$"
	output, ok := c.run("test", "-list", pattern, pkg)
	if !ok || !strings.Contains("\n"+output, "\n"+e.test+"\n") {
		return "is listed but does not exist"
	}
	output, ok = c.run("test", "-count=1", "-run", pattern, pkg)
	if ok {
		return "is listed but passes: remove it from the list"
	}
	if !strings.Contains("\n"+output, "\n--- FAIL: "+e.test+" ") {
		fmt.Fprint(c.out, output)
		return "is listed but its run reported no test failure"
	}
	fmt.Fprintf(c.out, "known red: %s %s: %s (%s; %s)\n", e.pkg, e.test, e.cause, e.issue, e.observed)
	return ""
}
