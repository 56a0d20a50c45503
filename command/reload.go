package command

import (
	"bytes"
	"math"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"github.com/teaselcleat/teaselcleat/platform"
)

const (
	// settingsPollInterval is how often the settings file is checked for changes.
	settingsPollInterval = time.Second
	// softMemoryLimitRatio is the fraction of the process's memory limit at which the
	// garbage collector runs more often.
	softMemoryLimitRatio = 0.6
)

// settingsFile is the platform's settings file with the content of the last read.
type settingsFile struct {
	path        string
	lastContent []byte // nil before the first read
}

// readIfChanged returns the settings if the file has changed since the last read, else
// nil. An invalid file is reported once.
func (f *settingsFile) readIfChanged() (*platform.Settings, error) {
	content, err := os.ReadFile(f.path)
	if err != nil {
		content = []byte(err.Error())
	}
	if f.lastContent != nil && bytes.Equal(content, f.lastContent) {
		return nil, nil
	}
	f.lastContent = content
	if err != nil {
		return nil, err
	}
	return platform.ParseSettings(content)
}

// applySettings adopts the settings that may change at run time and logs the names of the
// others. An invalid file changes nothing.
func (p *frontProcess) applySettings(loaded *platform.Settings, err error) {
	if err != nil {
		p.log.WithField("error", err.Error()).Error("settings_refused")
		return
	}
	if loaded == nil {
		return
	}
	adopted, needRestart := p.settings.Adopt(loaded)
	if len(adopted) > 0 {
		p.instance.SetBounds(p.settings.Bounds)
		p.store.SetAddress(p.settings.StoreAddress)
		p.workers.SetAdviceAddress(p.settings.AdviceAddress)
		setMemoryLimit(p.settings.MemoryMB)
		p.gate.SetLimits(callerLimits(p.settings))
		p.logUnsupportedDuties()
	}
	if len(adopted)+len(needRestart) > 0 {
		p.log.WithField("adopted", strings.Join(adopted, ",")).WithField("kept", strings.Join(needRestart, ",")).Warn("settings_changed")
	}
}

// setMemoryLimit sets the soft memory limit of the Go runtime for a process that may use
// limitMB megabytes; 0 means no limit.
func setMemoryLimit(limitMB int64) {
	if limitMB <= 0 {
		debug.SetMemoryLimit(math.MaxInt64)
		return
	}
	debug.SetMemoryLimit(int64(softMemoryLimitRatio * float64(limitMB<<20)))
}
