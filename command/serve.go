package command

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/sirupsen/logrus"

	"github.com/teaselcleat/teaselcleat/instance"
	"github.com/teaselcleat/teaselcleat/platform"
	"github.com/teaselcleat/teaselcleat/settings"
)

// loadSettings reads a settings file. On failure it prints every error and returns an exit
// code.
func loadSettings(path string, to output) (*settings.Settings, int) {
	loaded, err := settings.Load(path)
	var faults *settings.FaultsError
	if errors.As(err, &faults) {
		fmt.Fprintln(to.err, faults.Error())
		return nil, ExitUsage
	}
	if err != nil {
		fmt.Fprintf(to.err, "%s: %s\n", path, err.Error())
		return nil, ExitUsage
	}
	return loaded, ExitOK
}

func runCheck(args []string, to output) int {
	flags := newFlags("check", to)
	path := flags.String("config", "", "settings file of an entry instance, in INI")
	platformPath := flags.String("platform", "", "settings file of the users' platform")
	if code, ok := parse(flags, args, 0, 0, to); !ok {
		return code
	}
	if *platformPath != "" {
		return checkPlatform(*platformPath, to)
	}
	if _, code := loadSettings(*path, to); code != ExitOK {
		return code
	}
	fmt.Fprintln(to.out, "settings are valid")
	return ExitOK
}

func checkPlatform(path string, to output) int {
	loaded, err := platform.ReadSettings(path)
	if err != nil {
		fmt.Fprintln(to.err, err.Error())
		return ExitUsage
	}
	if loaded.NotServedReason != "" {
		fmt.Fprintln(to.err, "no job can be run: "+loaded.NotServedReason)
		return ExitUsage
	}
	if len(loaded.Duties) > 0 {
		fmt.Fprintln(to.err, "duties that are not carried out: "+strings.Join(loaded.Duties, ", "))
	}
	fmt.Fprintln(to.out, "settings are valid")
	return ExitOK
}

// newLog returns a logger that writes one line of key=value pairs per event.
func newLog(to output, verbose bool) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(to.err)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true})
	if verbose {
		log.SetLevel(logrus.DebugLevel)
	}
	return log
}

func runServe(args []string, to output) int {
	flags := newFlags("serve", to)
	path := flags.String("config", "", "settings file")
	verbose := flags.Bool("verbose", false, "log debugging events as well")
	if code, ok := parse(flags, args, 0, 0, to); !ok {
		return code
	}
	loaded, code := loadSettings(*path, to)
	if code != ExitOK {
		return code
	}
	setMemoryLimit(loaded.MemoryMB)
	inst, err := instance.New(loaded, newLog(to, *verbose))
	if err != nil {
		return fail(to, "serve", err)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	inst.Start()
	fmt.Fprintf(to.out, "http=%s peer=%s\n", inst.HTTPAddress(), inst.PeerAddress())
	<-signals
	if !inst.Stop() {
		return ExitFailed
	}
	return ExitOK
}
