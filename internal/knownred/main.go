// Command knownred runs all tests of the module and tolerates failures of exactly the
// tests that a file lists with a known fault (known red tests). It prints these with their
// causes, and fails if one of them passes or does not exist. It is for CI and is not
// shipped.
package main

import (
	"errors"
	"flag"
	"io/fs"
	"os"
	"os/exec"

	"github.com/sirupsen/logrus"
)

func main() {
	path := flag.String("list", "KNOWN-RED.txt", "file of the tests that are known to fail")
	flag.Parse()
	text, err := os.ReadFile(*path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		logrus.WithError(err).Fatal("list_unreadable")
	}
	list, err := parseList(string(text))
	if err != nil {
		logrus.WithError(err).Fatal("list_faulty")
	}
	c := &checker{run: runGo, out: os.Stdout}
	if err := c.check(list); err != nil {
		logrus.WithError(err).Fatal("check_failed")
	}
}

func runGo(args ...string) (string, bool) {
	output, err := exec.Command("go", args...).CombinedOutput()
	return string(output), err == nil
}
