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
	red := map[string][]entry{}
	for _, listed := range list {
		found, err := c.packages(listed.pkg)
		if err != nil || len(found) != 1 {
			return eris.Errorf("%s is listed in %s, which is no package", listed.test, listed.pkg)
		}
		red[found[0]] = append(red[found[0]], listed)
	}
	failed := !c.runOthers(packages, red)
	for _, name := range packages {
		for _, listed := range red[name] {
			if fault := c.runListed(name, listed); fault != "" {
				fmt.Fprintf(c.out, "%s %s: %s\n", listed.pkg, listed.test, fault)
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

// runOthers runs all tests that are not listed. Packages with listed tests are run
// apart, since a name on the list stands for one test of one package.
func (c *checker) runOthers(packages []string, red map[string][]entry) bool {
	clean := []string{"test", "-count=1"}
	for _, name := range packages {
		if len(red[name]) == 0 {
			clean = append(clean, name)
		}
	}
	passed := c.test(clean...)
	for _, name := range packages {
		if len(red[name]) == 0 {
			continue
		}
		var names []string
		for _, listed := range red[name] {
			names = append(names, listed.test)
		}
		passed = c.test("test", "-count=1", "-skip", "^("+strings.Join(names, "|")+")$", name) && passed
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
func (c *checker) runListed(name string, listed entry) string {
	only := "^" + listed.test + "$"
	output, ok := c.run("test", "-list", only, name)
	if !ok || !strings.Contains("\n"+output, "\n"+listed.test+"\n") {
		return "is listed and does not exist"
	}
	output, ok = c.run("test", "-count=1", "-run", only, name)
	if ok {
		return "is listed and passes: take it off the list"
	}
	if !strings.Contains("\n"+output, "\n--- FAIL: "+listed.test+" ") {
		fmt.Fprint(c.out, output)
		return "is listed and did not fail as a test does"
	}
	fmt.Fprintf(c.out, "known red: %s %s: %s (%s; %s)\n", listed.pkg, listed.test, listed.cause, listed.issue, listed.seen)
	return ""
}
