package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/rotisserie/eris"
)

// goTool runs the go command with some arguments. ok tells whether it succeeded.
type goTool func(args ...string) (output string, ok bool)

// checker runs all tests and holds the list against what they do.
type checker struct {
	run goTool
	out io.Writer
}

// check runs every test. Those that are not listed must pass; those that are must
// exist and fail, so that none stays on the list once its fault is mended.
func (c *checker) check(list []entry) error {
	packages, err := c.packages("./...")
	if err != nil {
		return err
	}
	listedByPackage := map[string][]entry{}
	for _, e := range list {
		found, err := c.packages(e.pkg)
		if err != nil || len(found) != 1 {
			return eris.Errorf("%s is listed in %s, which is no package", e.test, e.pkg)
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

// runUnlisted runs all tests that are not listed. Packages with listed tests are run
// apart, since a name on the list stands for one test of one package.
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

// runListed runs a listed test and returns what is wrong with its place on the
// list; empty if nothing is.
func (c *checker) runListed(pkg string, e entry) string {
	pattern := "^" + e.test + "$"
	output, ok := c.run("test", "-list", pattern, pkg)
	if !ok || !strings.Contains("\n"+output, "\n"+e.test+"\n") {
		return "is listed and does not exist"
	}
	output, ok = c.run("test", "-count=1", "-run", pattern, pkg)
	if ok {
		return "is listed and passes: take it off the list"
	}
	if !strings.Contains("\n"+output, "\n--- FAIL: "+e.test+" ") {
		fmt.Fprint(c.out, output)
		return "is listed and did not fail as a test does"
	}
	fmt.Fprintf(c.out, "known red: %s %s: %s (%s; %s)\n", e.pkg, e.test, e.cause, e.issue, e.seen)
	return ""
}
