package command

import (
	"bufio"
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

// logTimes is the format of a log line's time.
const logTimes = "2006-01-02T15:04:05.000Z07:00"

// contextEvents are lines without a request's id that explain what happens to
// requests: who placed, and what was lost.
var contextEvents = []string{"msg=term_", "msg=store_lost", "msg=store_regained", "msg=instance_started", "msg=instance_stopped", "msg=draining", "msg=configuration_taken",
	"msg=zone_", "msg=evacuations_"}

// logLine is one line of one process.
type logLine struct {
	at     time.Time
	log    int64 // position that its instance had read of the platform's log
	source string
	text   string
	about  bool // names the id
}

// runExplain merges what several processes' logs say of one job.
func runExplain(args []string, to output) int {
	flags := newFlags("explain", to)
	around := flags.Bool("context", true, "show terms, outages and restarts in the time of the job as well")
	if code, ok := parse(flags, args, 2, 1000, to); !ok {
		return code
	}
	id := flags.Arg(0)
	var lines []logLine
	for _, path := range flags.Args()[1:] {
		read, err := readLogs(path, id)
		if err != nil {
			return fail(to, "explain", err)
		}
		lines = append(lines, read...)
	}
	found := printStory(to.out, lines, *around)
	if found == 0 {
		fmt.Fprintf(to.err, "explain: no line names %s\n", id)
		return ExitFailed
	}
	return ExitDone
}

// readLogs reads a log file, or every file of a folder.
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
	for _, each := range paths {
		file, err := os.Open(each)
		if err != nil {
			return nil, eris.Wrap(err, "log")
		}
		read, err := scanLog(file, filepath.Base(each), id)
		file.Close()
		if err != nil {
			return nil, err
		}
		lines = append(lines, read...)
	}
	return lines, nil
}

// maxLine bounds a log line.
const maxLine = 1 << 20

func scanLog(reader io.Reader, source, id string) ([]logLine, error) {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLine)
	var lines []logLine
	position := int64(0)
	for scanner.Scan() {
		text := scanner.Text()
		position = positionOf(text, position)
		about := strings.Contains(text, id)
		if !about && !isContext(text) {
			continue
		}
		if at, ok := timeOf(text); ok {
			lines = append(lines, logLine{at: at, log: position, source: source, text: text, about: about})
		}
	}
	return lines, eris.Wrap(scanner.Err(), "log "+source)
}

func isContext(text string) bool {
	for _, event := range contextEvents {
		if strings.Contains(text, event) {
			return true
		}
	}
	return false
}

func timeOf(text string) (time.Time, bool) {
	_, rest, found := strings.Cut(text, `time="`)
	if !found {
		return time.Time{}, false
	}
	stamp, _, _ := strings.Cut(rest, `"`)
	at, err := time.Parse(logTimes, stamp)
	return at, err == nil
}

// positionOf reads a line's position; a line without one has that of the line
// before.
func positionOf(text string, before int64) int64 {
	_, rest, found := strings.Cut(text, " "+positionField+"=")
	if !found {
		return before
	}
	digits, _, _ := strings.Cut(rest, " ")
	position, err := strconv.ParseInt(digits, 10, 64)
	if err != nil {
		return before
	}
	return position
}

// earlier orders lines by what their instances had read of the platform's log:
// who tells of a record has read it, and who wrote it had not. Their clocks
// decide only where that is the same.
func earlier(a, b logLine) bool {
	if a.log != b.log {
		return a.log < b.log
	}
	return a.at.Before(b.at)
}

// printStory prints the lines in causal order and returns how many name the id.
// Context is shown from the first such line to the last.
func printStory(out io.Writer, lines []logLine, around bool) int {
	sort.SliceStable(lines, func(a, b int) bool { return earlier(lines[a], lines[b]) })
	first, last, found := -1, -1, 0
	for index := range lines {
		if lines[index].about {
			if first < 0 {
				first = index
			}
			last = index
			found++
		}
	}
	for index := range lines {
		if lines[index].about || around && index > first && index < last {
			fmt.Fprintf(out, "%s %s\n", lines[index].source, lines[index].text)
		}
	}
	return found
}
