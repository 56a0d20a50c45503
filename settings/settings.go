// Package settings reads the settings file of an instance that serves the product's own
// interface: its name, addresses, availability zone, limits and times. The operators'
// targets are not part of it. On the users' platform platform.Settings takes its place.
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

// Settings is the validated content of a settings file.
type Settings struct {
	Name              string        // instance name, unique among instances
	Region            string        // region of the instance and of the workers that it uses
	AvailabilityZone  string        // zone of the instance
	HTTPAddress       string        // serves callers and operators
	PeerAddress       string        // serves the other instances
	PlatformAddress   string        // base URL of the platform
	Adapter           string        // name under which the adapters for all external systems are registered
	MaxInFlight       int           // requests in flight
	MaxBodyBytes      int64         // of a request
	MaxAnswerBytes    int64         // of a runner's answer
	MemoryMB          int64         // memory of the process; callers' connections and requests have a share of it
	MaxFDs            int           // descriptors of the process; callers' connections have a share of them
	PendingRecords    int           // records buffered while the log is unavailable
	MaxTimelineEvents int           // events kept in the timeline
	ClaimTimeout      time.Duration // maximum wait until a claim is read back from the log
	LeaseTTL          time.Duration // of a gang's leases on workers
	TermTimeout       time.Duration // silence after which the leader is replaced
	ReclaimTimeout    time.Duration // maximum time for a checkpoint when capacity is reclaimed
	DrainTimeout      time.Duration // maximum time for a graceful stop
	BodyTimeout       time.Duration // maximum time for the body of a request to arrive, after its header
	AnswerTimeout     time.Duration // maximum time for a caller to take a part of an answer
	IdleTimeout       time.Duration // of a caller's connection between two requests
	SnapshotInterval  time.Duration // interval between snapshots in the log
	KeyRetention      time.Duration // retention of request keys
}

// FaultsError lists every invalid key of a settings file.
type FaultsError struct {
	File   string
	Faults []targets.Fault
}

// Error returns one fault per line, each with the file name.
func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, fault := range e.Faults {
		lines = append(lines, e.File+": "+fault.String())
	}
	return strings.Join(lines, "\n")
}

// field describes a known key: its location, default, allowed values and setter.
type field struct {
	section      string
	key          string
	defaultValue string // empty if the key is required
	allowed      string
	set          func(*Settings, string) bool
}

// nameSetter returns a setter for names; setters report whether the value is allowed.
func nameSetter(target func(*Settings) *string) func(*Settings, string) bool {
	return func(s *Settings, value string) bool {
		*target(s) = value
		return value != "" && len(value) <= 128 && !strings.ContainsAny(value, " \t/\"")
	}
}

// addressSetter returns a setter for IP:PORT addresses.
func addressSetter(target func(*Settings) *string) func(*Settings, string) bool {
	return func(s *Settings, value string) bool {
		*target(s) = value
		host, _, err := net.SplitHostPort(value)
		return err == nil && net.ParseIP(host) != nil
	}
}

// urlSetter returns a setter for http URLs whose host is an IP address.
func urlSetter(target func(*Settings) *string) func(*Settings, string) bool {
	return func(s *Settings, value string) bool {
		*target(s) = strings.TrimSuffix(value, "/")
		parsed, err := url.Parse(value)
		return err == nil && parsed.Scheme == "http" && net.ParseIP(parsed.Hostname()) != nil
	}
}

// countSetter returns a setter for integers in [minimum, maximum].
func countSetter(target func(*Settings, int64), minimum, maximum int64) func(*Settings, string) bool {
	return func(s *Settings, value string) bool {
		number, err := strconv.ParseInt(value, 10, 64)
		target(s, number)
		return err == nil && number >= minimum && number <= maximum
	}
}

// durationSetter returns a setter for durations in [minimum, maximum].
func durationSetter(target func(*Settings) *time.Duration, minimum, maximum time.Duration) func(*Settings, string) bool {
	return func(s *Settings, value string) bool {
		span, err := time.ParseDuration(value)
		*target(s) = span
		return err == nil && span >= minimum && span <= maximum
	}
}

const allowedName = "1 to 128 characters without spaces, quotes or slashes"
const allowedAddress = "IP:PORT"

// fields lists every known key. The keys claim_wait, reclaim_within, drain_within,
// body_within, answer_within, idle_within, snapshot_every and key_window set fields that have
// other names.
var fields = []field{
	{"instance", "name", "", allowedName, nameSetter(func(s *Settings) *string { return &s.Name })},
	{"instance", "region", "", allowedName, nameSetter(func(s *Settings) *string { return &s.Region })},
	{"instance", "availability_zone", "", allowedName, nameSetter(func(s *Settings) *string { return &s.AvailabilityZone })},
	{"instance", "http", "", allowedAddress, addressSetter(func(s *Settings) *string { return &s.HTTPAddress })},
	{"instance", "peer", "", allowedAddress, addressSetter(func(s *Settings) *string { return &s.PeerAddress })},
	{"platform", "address", "", "http://IP:PORT", urlSetter(func(s *Settings) *string { return &s.PlatformAddress })},
	{"platform", "adapter", "http", "the name of a registered adapter", nameSetter(func(s *Settings) *string { return &s.Adapter })},
	{"limits", "in_flight", "1024", "1 to 100000", countSetter(func(s *Settings, n int64) { s.MaxInFlight = int(n) }, 1, 100000)},
	{"limits", "body_bytes", "1048576", "1 to 67108864", countSetter(func(s *Settings, n int64) { s.MaxBodyBytes = n }, 1, 64<<20)},
	{"limits", "answer_bytes", "4194304", "1 to 67108864", countSetter(func(s *Settings, n int64) { s.MaxAnswerBytes = n }, 1, 64<<20)},
	{"limits", "memory_mb", "144", "16 to 1048576", countSetter(func(s *Settings, n int64) { s.MemoryMB = n }, 16, 1<<20)},
	{"limits", "max_fds", "3075", "256 to 1048576", countSetter(func(s *Settings, n int64) { s.MaxFDs = int(n) }, 256, 1<<20)},
	{"limits", "pending_records", "20000", "100 to 1000000", countSetter(func(s *Settings, n int64) { s.PendingRecords = int(n) }, 100, 1000000)},
	{"limits", "timeline_events", "20000", "100 to 1000000", countSetter(func(s *Settings, n int64) { s.MaxTimelineEvents = int(n) }, 100, 1000000)},
	{"timing", "claim_wait", "2s", "50ms to 1m", durationSetter(func(s *Settings) *time.Duration { return &s.ClaimTimeout }, 50*time.Millisecond, time.Minute)},
	{"timing", "lease_ttl", "6s", "300ms to 5m", durationSetter(func(s *Settings) *time.Duration { return &s.LeaseTTL }, 300*time.Millisecond, 5*time.Minute)},
	{"timing", "term_timeout", "3s", "200ms to 1m", durationSetter(func(s *Settings) *time.Duration { return &s.TermTimeout }, 200*time.Millisecond, time.Minute)},
	{"timing", "reclaim_within", "30s", "100ms to 10m", durationSetter(func(s *Settings) *time.Duration { return &s.ReclaimTimeout }, 100*time.Millisecond, 10*time.Minute)},
	{"timing", "drain_within", "5m", "1s to 1h", durationSetter(func(s *Settings) *time.Duration { return &s.DrainTimeout }, time.Second, time.Hour)},
	{"timing", "body_within", "30s", "1s to 10m", durationSetter(func(s *Settings) *time.Duration { return &s.BodyTimeout }, time.Second, 10*time.Minute)},
	{"timing", "answer_within", "30s", "1s to 10m", durationSetter(func(s *Settings) *time.Duration { return &s.AnswerTimeout }, time.Second, 10*time.Minute)},
	{"timing", "idle_within", "2m", "1s to 1h", durationSetter(func(s *Settings) *time.Duration { return &s.IdleTimeout }, time.Second, time.Hour)},
	{"timing", "snapshot_every", "1m", "100ms to 1h", durationSetter(func(s *Settings) *time.Duration { return &s.SnapshotInterval }, 100*time.Millisecond, time.Hour)},
	{"timing", "key_window", "24h", "1m to 744h", durationSetter(func(s *Settings) *time.Duration { return &s.KeyRetention }, time.Minute, 744*time.Hour)},
}

// Load reads and validates a settings file. A *FaultsError lists all invalid keys.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "settings file cannot be read")
	}
	return Parse(path, data)
}

// Parse validates the content of a settings file; name is the file name in errors.
func Parse(name string, data []byte) (*Settings, error) {
	file, err := ini.LoadSources(targets.LoadOptions(), data)
	if err != nil {
		return nil, eris.Wrapf(err, "%s is not INI", name)
	}
	faults := unknownKeys(file)
	loaded := &Settings{}
	for _, f := range fields {
		faults = append(faults, f.read(file, loaded)...)
	}
	if len(faults) > 0 {
		return nil, &FaultsError{File: name, Faults: faults}
	}
	return loaded, nil
}

// read sets the field in loaded from the file or the default.
func (f field) read(file *ini.File, loaded *Settings) []targets.Fault {
	value := f.defaultValue
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

// unknownKeys reports unknown keys, unknown sections and sections that occur twice.
func unknownKeys(file *ini.File) []targets.Fault {
	var faults []targets.Fault
	seen := map[string]bool{}
	for _, section := range file.Sections() {
		keys := knownKeys(section.Name())
		if seen[section.Name()] {
			faults = append(faults, targets.Fault{Section: section.Name(), Problem: "section stands twice"})
		}
		seen[section.Name()] = true
		if len(keys) == 0 && section.Name() != ini.DefaultSection {
			faults = append(faults, targets.Fault{Section: section.Name(), Problem: "unknown section; allowed: instance, platform, limits, timing"})
			continue
		}
		for _, key := range section.Keys() {
			if !keys[key.Name()] {
				faults = append(faults, targets.Fault{Section: section.Name(), Key: key.Name(), Problem: "unknown key"})
			}
		}
	}
	return faults
}

// knownKeys returns the keys of a section.
func knownKeys(section string) map[string]bool {
	keys := map[string]bool{}
	for _, f := range fields {
		if f.section == section {
			keys[f.key] = true
		}
	}
	return keys
}
