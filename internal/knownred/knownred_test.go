package main

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const goodLine = "./a TestOne | a cause | go test ./a, seed 1, lost one | issue 7"

func TestParseList(t *testing.T) {
	is := is.New(t)
	list, err := parseList(goodLine + "\n\n")
	is.NoErr(err)
	is.Equal(list, []entry{{pkg: "./a", test: "TestOne", cause: "a cause", observed: "go test ./a, seed 1, lost one", issue: "issue 7"}})
}

func TestParseListRejectsInvalidLists(t *testing.T) {
	for name, text := range map[string]string{
		"no cause":      "./a TestOne | | seen | issue 7",
		"no issue":      "./a TestOne | cause | seen | later",
		"fields":        "./a TestOne | cause | issue 7",
		"a pattern":     "./a Test.* | cause | seen | issue 7",
		"a subtest":     "./a TestOne/part | cause | seen | issue 7",
		"no package":    "TestOne | cause | seen | issue 7",
		"twice":         goodLine + "\n" + goodLine,
		"more than few": strings.Join([]string{goodLine, "./b TestOne | c | s | issue 1", "./c TestOne | c | s | issue 1", "./d TestOne | c | s | issue 1"}, "\n"),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := parseList(text)
			is.True(err != nil)
		})
	}
}

func TestOnlyTheUncappedIssueExceedsTheCap(t *testing.T) {
	is := is.New(t)
	capped := []string{goodLine, "./b TestOne | c | s | issue 1", "./c TestOne | c | s | issue 6"}
	uncapped := []string{"./d TestOne | c | s | issue 61", "./e TestOne | c | s | issue 61"}
	list, err := parseList(strings.Join(append(capped, uncapped...), "\n"))
	is.NoErr(err)
	is.Equal(len(list), 5)
	_, err = parseList(strings.Join(append(capped, "./d TestOne | c | s | issue 61", "./e TestOne | c | s | issue 610"), "\n"))
	is.True(err != nil) // another issue's fourth entry
	_, err = parseList(uncapped[0] + "\n" + uncapped[0])
	is.True(err != nil) // listed twice
}

// fakeModule is a fake of the go command on a module with the given tests.
type fakeModule struct {
	tests map[string]map[string]bool // whether each test passes, by package
	ran   map[string]bool            // by "package test"
}

func (m *fakeModule) run(args ...string) (string, bool) {
	switch {
	case args[0] == "list" && args[1] == "./...":
		return "m/a\nm/b\n", true
	case args[0] == "list":
		pkg := "m/" + strings.TrimPrefix(args[1], "./")
		return pkg + "\n", m.tests[pkg] != nil
	case args[1] == "-list":
		test := strings.Trim(args[2], "^$")
		if _, exists := m.tests[args[3]][test]; exists {
			return test + "\nok m 0.1s\n", true
		}
		return "ok m 0.1s\n", true
	}
	return m.test(args[2:])
}

func (m *fakeModule) test(args []string) (string, bool) {
	skip, only := "", ""
	if args[0] == "-skip" {
		skip, args = args[1], args[2:]
	} else if args[0] == "-run" {
		only, args = args[1], args[2:]
	}
	var output strings.Builder
	passed := true
	for _, pkg := range args {
		for test, passes := range m.tests[pkg] {
			if only != "" && only != "^"+test+"$" || strings.Contains(skip, test) {
				continue
			}
			m.ran[pkg+" "+test] = true
			if !passes {
				passed = false
				output.WriteString("--- FAIL: " + test + " (0.00s)\n")
			}
		}
	}
	return output.String(), passed
}

func checkFake(tests map[string]map[string]bool, lines string) (*fakeModule, string, error) {
	list, err := parseList(lines)
	if err != nil {
		return nil, "", err
	}
	module := &fakeModule{tests: tests, ran: map[string]bool{}}
	var out bytes.Buffer
	err = (&checker{run: module.run, out: &out}).check(list)
	return module, out.String(), err
}

func TestListedTestMayFailAndIsReported(t *testing.T) {
	is := is.New(t)
	module, out, err := checkFake(map[string]map[string]bool{
		"m/a": {"TestOne": false, "TestTwo": true}, "m/b": {"TestOne": true}}, goodLine)
	is.NoErr(err)
	is.True(strings.Contains(out, "known red: ./a TestOne: a cause (issue 7"))
	is.Equal(len(module.ran), 3) // the test of the same name in another package runs
}

func TestCheckFailsUnlessExactlyListedTestsFail(t *testing.T) {
	for name, tests := range map[string]map[string]map[string]bool{
		"another package":             {"m/a": {"TestOne": false}, "m/b": {"TestTwo": false}},
		"the same name elsewhere":     {"m/a": {"TestOne": false}, "m/b": {"TestOne": false}},
		"the listed test's package":   {"m/a": {"TestOne": false, "TestTwo": false}, "m/b": {}},
		"the listed test passes":      {"m/a": {"TestOne": true}, "m/b": {}},
		"the listed test is not here": {"m/a": {"TestTwo": true}, "m/b": {}},
		"the package is not here":     {"m/b": {}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, _, err := checkFake(tests, goodLine)
			is.True(err != nil)
		})
	}
}

func TestEmptyListRunsAllTests(t *testing.T) {
	is := is.New(t)
	module, _, err := checkFake(map[string]map[string]bool{"m/a": {"TestOne": true}, "m/b": {"TestOne": true}}, "")
	is.NoErr(err)
	is.Equal(len(module.ran), 2)
	_, _, err = checkFake(map[string]map[string]bool{"m/a": {"TestOne": false}, "m/b": {}}, "")
	is.True(err != nil)
}
