// Package settings owns an instance's own settings file: its name, addresses,
// availability zone, limits and times. Operators' targets are not in it.
package settings

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"

	"github.com/teaselcleat/teaselcleat/targets"
)

// Settings is a checked settings file.
type Settings struct {
	Name             string        // instance name, unique among instances
	Region           string        // the cell this instance belongs to
	AvailabilityZone string        //
	HTTPAddress      string        // towards callers and operators
	PeerAddress      string        // towards the other instances
	PlatformAddress  string        // base URL of the platform
	Adapter          string        // name of the adapters towards the outside
	MaxInFlight      int           // requests held at once
	MaxBodyBytes     int64         // of a caller's request
	MaxAnswerBytes   int64         // of an upstream's answer
	PendingRecords   int           // records kept while the log is out
	TimelineEvents   int           // events kept for the time line
	ClaimWait        time.Duration // longest wait for a claim to be read back
	LeaseTTL         time.Duration // of a gang's leases on workers
	TermTimeout      time.Duration // silence after which the placing instance is replaced
	ReclaimWithin    time.Duration // longest checkpoint when capacity is reclaimed
	DrainWithin      time.Duration // longest planned stop
	SnapshotEvery    time.Duration // between snapshots in the log
	KeyWindow        time.Duration // how long a key is remembered
}

// FaultsError carries every fault of a file.
type FaultsError struct {
	File   string
	Faults []targets.Fault
}

// Error lists the faults one a line, each with its file.
func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, fault := range e.Faults {
		lines = append(lines, e.File+": "+fault.String())
	}
	return strings.Join(lines, "\n")
}

// field is one known key: where it stands, how it is read and what it may be.
type field struct {
	section string
	key     string
	initial string // empty means that the key is required
	allowed string
	set     func(*Settings, string) bool
}

func text(target func(*Settings) *string) func(*Settings, string) bool {
	return func(s *Settings, value string) bool {
		*target(s) = value
		return value != "" && len(value) <= 128 && !strings.ContainsAny(value, " \t/\"")
	}
}

func address(target func(*Settings) *string) func(*Settings, string) bool {
	return func(s *Settings, value string) bool {
		*target(s) = value
		host, _, err := net.SplitHostPort(value)
		return err == nil && net.ParseIP(host) != nil
	}
}

func baseURL(target func(*Settings) *string) func(*Settings, string) bool {
	return func(s *Settings, value string) bool {
		*target(s) = strings.TrimSuffix(value, "/")
		parsed, err := url.Parse(value)
		return err == nil && parsed.Scheme == "http" && net.ParseIP(parsed.Hostname()) != nil
	}
}

func count(target func(*Settings, int64), low, high int64) func(*Settings, string) bool {
	return func(s *Settings, value string) bool {
		number, err := strconv.ParseInt(value, 10, 64)
		target(s, number)
		return err == nil && number >= low && number <= high
	}
}

func duration(target func(*Settings) *time.Duration, low, high time.Duration) func(*Settings, string) bool {
	return func(s *Settings, value string) bool {
		span, err := time.ParseDuration(value)
		*target(s) = span
		return err == nil && span >= low && span <= high
	}
}

const allowedName = "1 to 128 characters without spaces, quotes or slashes"
const allowedAddress = "IP:PORT"

var fields = []field{
	{"instance", "name", "", allowedName, text(func(s *Settings) *string { return &s.Name })},
	{"instance", "region", "", allowedName, text(func(s *Settings) *string { return &s.Region })},
	{"instance", "availability_zone", "", allowedName, text(func(s *Settings) *string { return &s.AvailabilityZone })},
	{"instance", "http", "", allowedAddress, address(func(s *Settings) *string { return &s.HTTPAddress })},
	{"instance", "peer", "", allowedAddress, address(func(s *Settings) *string { return &s.PeerAddress })},
	{"platform", "address", "", "http://IP:PORT", baseURL(func(s *Settings) *string { return &s.PlatformAddress })},
	{"platform", "adapter", "http", "the name of a registered adapter", text(func(s *Settings) *string { return &s.Adapter })},
	{"limits", "in_flight", "1024", "1 to 100000", count(func(s *Settings, n int64) { s.MaxInFlight = int(n) }, 1, 100000)},
	{"limits", "body_bytes", "1048576", "1 to 67108864", count(func(s *Settings, n int64) { s.MaxBodyBytes = n }, 1, 64<<20)},
	{"limits", "answer_bytes", "4194304", "1 to 67108864", count(func(s *Settings, n int64) { s.MaxAnswerBytes = n }, 1, 64<<20)},
	{"limits", "pending_records", "20000", "100 to 1000000", count(func(s *Settings, n int64) { s.PendingRecords = int(n) }, 100, 1000000)},
	{"limits", "timeline_events", "20000", "100 to 1000000", count(func(s *Settings, n int64) { s.TimelineEvents = int(n) }, 100, 1000000)},
	{"timing", "claim_wait", "2s", "50ms to 1m", duration(func(s *Settings) *time.Duration { return &s.ClaimWait }, 50*time.Millisecond, time.Minute)},
	{"timing", "lease_ttl", "6s", "300ms to 5m", duration(func(s *Settings) *time.Duration { return &s.LeaseTTL }, 300*time.Millisecond, 5*time.Minute)},
	{"timing", "term_timeout", "3s", "200ms to 1m", duration(func(s *Settings) *time.Duration { return &s.TermTimeout }, 200*time.Millisecond, time.Minute)},
	{"timing", "reclaim_within", "30s", "100ms to 10m", duration(func(s *Settings) *time.Duration { return &s.ReclaimWithin }, 100*time.Millisecond, 10*time.Minute)},
	{"timing", "drain_within", "5m", "1s to 1h", duration(func(s *Settings) *time.Duration { return &s.DrainWithin }, time.Second, time.Hour)},
	{"timing", "snapshot_every", "1m", "100ms to 1h", duration(func(s *Settings) *time.Duration { return &s.SnapshotEvery }, 100*time.Millisecond, time.Hour)},
	{"timing", "key_window", "24h", "1m to 744h", duration(func(s *Settings) *time.Duration { return &s.KeyWindow }, time.Minute, 744*time.Hour)},
}

// Load reads and checks a settings file. A *FaultsError names every fault.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "settings file cannot be read")
	}
	return Parse(path, data)
}

// Parse checks the bytes of a settings file; name is used in faults.
func Parse(name string, data []byte) (*Settings, error) {
	file, err := ini.LoadSources(targets.LoadOptions(), data)
	if err != nil {
		return nil, eris.Wrapf(err, "%s is not INI", name)
	}
	faults := unknownKeys(file)
	loaded := &Settings{}
	for _, known := range fields {
		faults = append(faults, known.read(file, loaded)...)
	}
	if len(faults) > 0 {
		return nil, &FaultsError{File: name, Faults: faults}
	}
	return loaded, nil
}

func (f field) read(file *ini.File, loaded *Settings) []targets.Fault {
	value := f.initial
	if file.HasSection(f.section) && file.Section(f.section).HasKey(f.key) {
		value = file.Section(f.section).Key(f.key).String()
	}
	if value == "" {
		return []targets.Fault{{Section: f.section, Key: f.key, Problem: "is missing; allowed: " + f.allowed}}
	}
	if !f.set(loaded, value) {
		return []targets.Fault{{Section: f.section, Key: f.key, Problem: fmt.Sprintf("%q is not allowed; allowed: %s", value, f.allowed)}}
	}
	return nil
}

func unknownKeys(file *ini.File) []targets.Fault {
	var faults []targets.Fault
	seen := map[string]bool{}
	for _, section := range file.Sections() {
		known := knownKeys(section.Name())
		if seen[section.Name()] {
			faults = append(faults, targets.Fault{Section: section.Name(), Problem: "section stands twice"})
		}
		seen[section.Name()] = true
		if len(known) == 0 && section.Name() != ini.DefaultSection {
			faults = append(faults, targets.Fault{Section: section.Name(), Problem: "unknown section; allowed: instance, platform, limits, timing"})
			continue
		}
		for _, key := range section.Keys() {
			if !known[key.Name()] {
				faults = append(faults, targets.Fault{Section: section.Name(), Key: key.Name(), Problem: "unknown key"})
			}
		}
	}
	return faults
}

func knownKeys(section string) map[string]bool {
	known := map[string]bool{}
	for _, f := range fields {
		if f.section == section {
			known[f.key] = true
		}
	}
	return known
}
