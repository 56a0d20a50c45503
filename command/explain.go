package command

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// logTimeFormat is the format of the time of a log line.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

// contextEvents match log lines without a job ID that explain what happens to jobs:
// changes of the leader and the configuration, outages, restarts and evacuations.
var contextEvents = []string{"msg=term_", "msg=store_lost", "msg=store_regained", "msg=instance_started", "msg=instance_stopped", "msg=draining", "msg=configuration_taken",
	"msg=zone_", "msg=evacuations_"}

// logLine is a line of a process's log.
type logLine struct {
	at          time.Time
	logPosition int64 // position up to which the instance had read the platform's log
	source      string
	text        string
	namesID     bool // contains the requested ID
}

// runExplain merges the lines about one job from the logs of several processes.
func runExplain(args []string, to output) int {
	flags := newFlags("explain", to)
	showContext := flags.Bool("context", true, "also show terms, outages and restarts during the job")
	if code, ok := parse(flags, args, 2, 1000, to); !ok {
		return code
	}
	id := flags.Arg(0)
	var lines []logLine
	for _, path := range flags.Args()[1:] {
		fileLines, err := readLogs(path, id)
		if err != nil {
			return fail(to, "explain", err)
		}
		lines = append(lines, fileLines...)
	}
	found := printHistory(to.out, lines, *showContext)
	if found == 0 {
		fmt.Fprintf(to.err, "explain: no line names %s\n", id)
		return ExitFailed
	}
	return ExitOK
}

// readLogs reads a log file or every file of a directory.
func readLogs(path, id string) ([]logLine, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, eris.Wrap(err, "log")
	}
	paths := []string{path}
	if info.IsDir() {
		if paths, err = filepath.Glob(filepath.Join(path, "*")); err != nil {
			return nil, eris.Wrap(err, "log folder")
		}
	}
	var lines []logLine
	for _, name := range paths {
		file, err := os.Open(name)
		if err != nil {
			return nil, eris.Wrap(err, "log")
		}
		fileLines, err := scanLog(file, filepath.Base(name), id)
		file.Close()
		if err != nil {
			return nil, err
		}
		lines = append(lines, fileLines...)
	}
	return lines, nil
}

// maxLineBytes is how much of a log line is read.
const maxLineBytes = 1 << 20

// scanLog returns the lines of a log that contain id or are context events.
func scanLog(reader io.Reader, source, id string) ([]logLine, error) {
	buffered := bufio.NewReaderSize(reader, maxLineBytes)
	var lines []logLine
	position := int64(0)
	for {
		text, err := nextLine(buffered)
		if errors.Is(err, io.EOF) {
			return lines, nil
		}
		if err != nil {
			return lines, eris.Wrap(err, "log "+source)
		}
		position = parsePosition(text, position)
		namesID := strings.Contains(text, id)
		if !namesID && !isContextEvent(text) {
			continue
		}
		if at, ok := parseTime(text); ok {
			lines = append(lines, logLine{at: at, logPosition: position, source: source, text: text, namesID: namesID})
		}
	}
}

// nextLine returns the next line, cut to maxLineBytes.
func nextLine(reader *bufio.Reader) (string, error) {
	line, more, err := reader.ReadLine()
	text := string(line)
	for more && err == nil {
		_, more, err = reader.ReadLine()
	}
	if text != "" {
		return text, nil
	}
	return text, err
}

func isContextEvent(text string) bool {
	for _, event := range contextEvents {
		if strings.Contains(text, event) {
			return true
		}
	}
	return false
}

func parseTime(text string) (time.Time, bool) {
	_, rest, found := strings.Cut(text, `time="`)
	if !found {
		return time.Time{}, false
	}
	stamp, _, _ := strings.Cut(rest, `"`)
	at, err := time.Parse(logTimeFormat, stamp)
	return at, err == nil
}

// parsePosition returns the log position of a line, or previous if the line has none.
func parsePosition(text string, previous int64) int64 {
	_, rest, found := strings.Cut(text, " "+logPositionField+"=")
	if !found {
		return previous
	}
	digits, _, _ := strings.Cut(rest, " ")
	position, err := strconv.ParseInt(digits, 10, 64)
	if err != nil {
		return previous
	}
	return position
}

// lineBefore orders lines by the log positions of their instances: an instance logs the
// append of a record before it has read the record, and others log the record after they
// have read it. Clocks decide only between equal positions.
func lineBefore(a, b logLine) bool {
	if a.logPosition != b.logPosition {
		return a.logPosition < b.logPosition
	}
	return a.at.Before(b.at)
}

// printHistory prints the lines in causal order and returns how many contain the ID.
// Context events are printed between the first and the last of these.
func printHistory(out io.Writer, lines []logLine, showContext bool) int {
	sort.SliceStable(lines, func(a, b int) bool { return lineBefore(lines[a], lines[b]) })
	first, last, found := -1, -1, 0
	for index := range lines {
		if lines[index].namesID {
			if first < 0 {
				first = index
			}
			last = index
			found++
		}
	}
	for index := range lines {
		if lines[index].namesID || showContext && index > first && index < last {
			fmt.Fprintf(out, "%s %s\n", lines[index].source, lines[index].text)
		}
	}
	return found
}
