package main

import (
	"regexp"
	"strings"

	"github.com/rotisserie/eris"
)

const (
	// maxEntries bounds the list: with more than three known faults, fixing them
	// takes precedence over any other work.
	maxEntries = 3
	// uncappedIssue is the issue whose entries do not count against maxEntries.
	uncappedIssue = "issue 61"
	// fieldSeparator separates the fields of a line.
	fieldSeparator = " | "
)

// entry is a test that fails because of a known fault that is not fixed yet.
type entry struct {
	pkg      string // import path, or relative path that begins with ./
	test     string // name of a top-level test
	cause    string
	observed string // command, seed and observed failure
	issue    string
}

var (
	testName  = regexp.MustCompile(`^Test[A-Z0-9_]\w*$`)
	issueName = regexp.MustCompile(`^issue \d+$`)
)

// parseList parses lines of the form "PACKAGE TEST | cause | command, seed, observed
// failure | issue N". Empty lines are ignored.
func parseList(text string) ([]entry, error) {
	var list []entry
	seen := map[string]bool{}
	for i, line := range strings.Split(text, "\n") {
		if strings.TrimSpace(line) == "" {
			continue
		}
		e, err := parseEntry(line)
		if err != nil {
			return nil, eris.Wrapf(err, "line %d", i+1)
		}
		if seen[e.pkg+" "+e.test] {
			return nil, eris.Errorf("line %d: %s is listed twice", i+1, e.test)
		}
		seen[e.pkg+" "+e.test] = true
		list = append(list, e)
	}
	if counted := countCapped(list); counted > maxEntries {
		return nil, eris.Errorf("%d tests are listed, %d are allowed", counted, maxEntries)
	}
	return list, nil
}

// countCapped returns the number of entries that count against maxEntries.
func countCapped(list []entry) int {
	counted := 0
	for _, e := range list {
		if e.issue != uncappedIssue {
			counted++
		}
	}
	return counted
}

func parseEntry(line string) (entry, error) {
	fields := strings.Split(line, fieldSeparator)
	if len(fields) != 4 {
		return entry{}, eris.Errorf("%d fields where four are expected", len(fields))
	}
	for i := range fields {
		fields[i] = strings.TrimSpace(fields[i])
		if fields[i] == "" {
			return entry{}, eris.Errorf("field %d is empty", i+1)
		}
	}
	names := strings.Fields(fields[0])
	if len(names) != 2 || !testName.MatchString(names[1]) {
		return entry{}, eris.Errorf("%q does not name a package and a test", fields[0])
	}
	if !issueName.MatchString(fields[3]) {
		return entry{}, eris.Errorf("%q does not name an issue", fields[3])
	}
	return entry{pkg: names[0], test: names[1], cause: fields[1], observed: fields[2], issue: fields[3]}, nil
}
