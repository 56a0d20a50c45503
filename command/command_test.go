package command

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func run(args ...string) (code int, out, errs string) {
	var o, e bytes.Buffer
	code = Main(args, &o, &e)
	return code, o.String(), e.String()
}

func TestExitCodes(t *testing.T) {
	faulty := filepath.Join(t.TempDir(), "faulty.ini")
	if err := os.WriteFile(faulty, []byte("[instance]\ncolour = red\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	byHeartbeat := filepath.Join(t.TempDir(), "boot.json")
	boot := `{"node":"a","listen":{"front":"1.2.3.4:5","ready":"1.2.3.4:6"},"platform":{"address":"1.2.3.4:7"},"orders":"heartbeat"}`
	if err := os.WriteFile(byHeartbeat, []byte(boot), 0o600); err != nil {
		t.Fatal(err)
	}
	withDuties := filepath.Join(t.TempDir(), "boot.json")
	boot = `{"node":"a","listen":{"front":"1.2.3.4:5","ready":"1.2.3.4:6"},"platform":{"address":"1.2.3.4:7"},"cloud":{"duties":["upkeep"]}}`
	if err := os.WriteFile(withDuties, []byte(boot), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name string
		args []string
		code int
		says string
	}{
		{"duties that nobody carries out", []string{"check", "-platform", withDuties}, ExitOK, "duties that are not carried out: upkeep"},
		{"deployment that is not served", []string{"check", "-platform", byHeartbeat}, ExitUsage, "heartbeat"},
		{"none", nil, ExitUsage, "usage:"},
		{"unknown command", []string{"fly"}, ExitUsage, "unknown command"},
		{"unknown flag", []string{"version", "-loud"}, ExitUsage, "flag provided but not defined"},
		{"too many arguments", []string{"version", "x"}, ExitUsage, "wrong number of arguments"},
		{"faulty settings", []string{"check", "-config", faulty}, ExitUsage, "colour: unknown key"},
		{"serve with faulty settings", []string{"serve", "-config", faulty}, ExitUsage, "colour: unknown key"},
		{"no settings", []string{"check", "-config", faulty + "x"}, ExitUsage, "cannot be read"},
		{"no instance there", []string{"status", "-addr", "127.0.0.1:1", "j"}, ExitFailed, "status:"},
		{"unknown policy", []string{"replay", "-settings", "../replay/testdata/merrimack.ini", "-policy", "x", "../replay/testdata/merrimack.jsonl"}, ExitUsage, "no policy"},
		{"propose without base", []string{"targets", "propose", "-addr", "127.0.0.1:1", faulty}, ExitUsage, "-base is required"},
	} {
		t.Run(c.name, func(t *testing.T) {
			code, _, errs := run(c.args...)
			if code != c.code || !strings.Contains(errs, c.says) {
				t.Fatalf("exit %d with %q, not %d with %q", code, errs, c.code, c.says)
			}
		})
	}
}

func TestReplayPrintsSummaryLast(t *testing.T) {
	is := is.New(t)
	code, out, _ := run("replay", "-settings", "../replay/testdata/merrimack.ini", "../replay/testdata/merrimack.jsonl")
	is.Equal(code, ExitOK)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	is.True(strings.HasPrefix(lines[len(lines)-1], "jobs=811 finished="))
}

func TestDemoServesEachClassAndAGang(t *testing.T) {
	is := is.New(t)
	code, out, _ := run("dev", "-demo")
	is.Equal(code, ExitOK)
	for _, want := range []string{"class=surge-check outcome=ran", "class=flow-reconciliation outcome=ran", "event=gang_placed", "event=run_finished"} {
		is.True(strings.Contains(out, want))
	}
}
