package command

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Checks that the lines of two processes about one job are printed in order of time, with
// the change of term between them and without lines about other jobs.
func TestExplainMergesLogs(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	firstLog := `time="2026-12-02T10:00:00.100Z" level=info msg=submit job=00000000000000a1
time="2026-12-02T10:00:03.000Z" level=info msg=job_ended job=00000000000000a1
time="2026-12-02T10:00:01.000Z" level=info msg=submit job=00000000000000b2
`
	secondLog := `time="2026-12-02T10:00:00.200Z" level=info msg=placed job=00000000000000a1
time="2026-12-02T10:00:02.000Z" level=warning msg=term_lost reason="a later term has written"
time="2026-12-02T10:00:09.000Z" level=info msg=term_won
`
	is.NoErr(os.WriteFile(filepath.Join(dir, "one.log"), []byte(firstLog), 0o600))
	is.NoErr(os.WriteFile(filepath.Join(dir, "two.log"), []byte(secondLog), 0o600))
	var out, errs bytes.Buffer
	is.Equal(Main([]string{"explain", "00000000000000a1", dir}, &out, &errs), ExitOK)
	var events []string
	for _, line := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		_, rest, _ := strings.Cut(line, "msg=")
		event, _, _ := strings.Cut(rest, " ")
		events = append(events, event)
	}
	is.Equal(events, []string{"submit", "placed", "term_lost", "job_ended"})
	is.Equal(Main([]string{"explain", "ffffffffffffffff", dir}, &out, &errs), ExitFailed)
}

// One line that is too long hid the logs of all processes.
func TestExplainReadsOnAfterALongLine(t *testing.T) {
	is := is.New(t)
	const first, last = `time="2026-12-02T10:00:00.100Z" level=info msg=submit job=00000000000000a1`, `time="2026-12-02T10:00:03.000Z" level=info msg=job_ended job=00000000000000a1`
	lines, err := scanLog(strings.NewReader(first+"\n"+strings.Repeat("x", 3*maxLineBytes)+"\n\n"+last), "one.log", "00000000000000a1")
	is.NoErr(err)
	is.Equal(len(lines), 2)
	is.Equal(lines[0].text, first)
	is.Equal(lines[1].text, last)
}

// The clock of the second process is five seconds slow. Checks that its line about an end
// that it read in the log is printed after the line of the process that wrote the end.
func TestExplainOrdersByLogPositionWhenClocksDiffer(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	firstLog := `time="2026-12-02T10:00:05.100Z" level=info msg=submit job=00000000000000a1 log_at=7
time="2026-12-02T10:00:08.000Z" level=info msg=job_ended job=00000000000000a1 log_at=9 verdict=x
`
	secondLog := `time="2026-12-02T10:00:00.200Z" level=info msg=submit job=00000000000000a1 log_at=8
time="2026-12-02T10:00:03.100Z" level=info msg=state_told job=00000000000000a1 log_at=10
`
	is.NoErr(os.WriteFile(filepath.Join(dir, "one.log"), []byte(firstLog), 0o600))
	is.NoErr(os.WriteFile(filepath.Join(dir, "two.log"), []byte(secondLog), 0o600))
	var out, errs bytes.Buffer
	is.Equal(Main([]string{"explain", "00000000000000a1", dir}, &out, &errs), ExitOK)
	text := out.String()
	is.True(strings.Index(text, "job_ended") < strings.Index(text, "state_told"))
	is.True(strings.HasPrefix(text, "one.log"))
}

func TestCheckReportsEveryErrorInPlatformSettings(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "boot.json")
	is.NoErr(os.WriteFile(path, []byte(`{"listen":{"front":"x","ready":"127.0.0.1:1"},"bounds":{"stop_ms":-1}}`), 0o600))
	var out, errs bytes.Buffer
	is.Equal(Main([]string{"check", "-platform", path}, &out, &errs), ExitUsage)
	for _, fault := range []string{"node", "listen.front", "platform.address", "bounds.stop_ms"} {
		is.True(strings.Contains(errs.String(), fault))
	}
}
