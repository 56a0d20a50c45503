// Package results reads the results that are committed beside the cases of the review. Its
// tests check them against the rules; they play nothing.
package results

import (
	"encoding/json"
	"os"
	"regexp"
	"strconv"
	"strings"
)

// Line is a line of a record: the seconds since the start of the case, and what happened.
type Line struct {
	At   float64
	Text string
}

// Run is a run of a task as a record shows it. End is 0 and How is empty if it went on.
type Run struct {
	Task       string
	Number     int
	Start, End float64
	How        string
}

var (
	startLine = regexp.MustCompile(`^(\S+) starts (\S+) run (\d+) `)
	endLine   = regexp.MustCompile(`^(\S+) (\S+) run (\d+) ends (\w+) `)
)

// ReadRecord reads a record.
func ReadRecord(path string) ([]Line, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var lines []Line
	for _, text := range strings.Split(string(content), "\n") {
		seconds, rest, ok := strings.Cut(strings.TrimSpace(text), "  ")
		if !ok {
			continue
		}
		at, err := strconv.ParseFloat(seconds, 64)
		if err != nil {
			return nil, err
		}
		lines = append(lines, Line{At: at, Text: rest})
	}
	return lines, nil
}

// Runs lists the runs of a record in the order of their starts.
func Runs(lines []Line) []*Run {
	var runs []*Run
	open := map[string]*Run{} // by worker, task and number
	for _, line := range lines {
		if match := startLine.FindStringSubmatch(line.Text); match != nil {
			number, _ := strconv.Atoi(match[3]) // digits alone match
			run := &Run{Task: match[2], Number: number, Start: line.At}
			runs = append(runs, run)
			open[strings.Join(match[1:4], " ")] = run
		}
		if match := endLine.FindStringSubmatch(line.Text); match != nil {
			if run := open[strings.Join(match[1:4], " ")]; run != nil {
				run.End, run.How = line.At, match[4]
			}
		}
	}
	return runs
}

// Broken reads a report of the bench and returns how often each rule was broken.
func Broken(path string) (map[string]int, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var report struct {
		Breaks map[string]int `json:"breaks"`
	}
	err = json.Unmarshal(content, &report)
	return report.Breaks, err
}

// Find returns the first line that contains all of some texts; ok is false if there is none.
func Find(lines []Line, texts ...string) (found Line, ok bool) {
	for _, line := range lines {
		matches := true
		for _, text := range texts {
			matches = matches && strings.Contains(line.Text, text)
		}
		if matches {
			return line, true
		}
	}
	return Line{}, false
}
