// Package targets reads and edits the operators' targets document: classes of work and the
// target of each, workspaces and the capacity guaranteed to each, and evacuated availability
// zones. By design, operators state nothing else: weights, priorities and addresses have no
// keys and are refused like any unknown key.
package targets

import (
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"

	"github.com/teaselcleat/teaselcleat/structs"
)

// Limits of a targets document.
const (
	// MaxDocumentBytes is the size limit of a document.
	MaxDocumentBytes = 256 << 10
	// MaxFinishWithin is the longest target of a class.
	MaxFinishWithin = 31 * 24 * time.Hour
	// MinFinishWithin is the shortest target of a class.
	MinFinishWithin = 10 * time.Millisecond
)

// Section and key names of the document.
const (
	sectionClass     = "class"
	sectionWorkspace = "workspace"
	sectionZone      = "zone"
	keyFinishWithin  = "finish_within"
	keyIdempotent    = "idempotent"
	keyGuarantee     = "guarantee"
	keyEvacuated     = "evacuated"
)

// Class is a kind of work and its target.
type Class struct {
	Name         string
	FinishWithin time.Duration // from submission to complete answer
	Idempotent   bool          // running twice is harmless
}

// Workspace is a customer and its guaranteed shapes, each within one rack.
type Workspace struct {
	Name      string
	Guarantee []structs.Shape
}

// Targets is a valid document. The zero value has no class and no workspace.
type Targets struct {
	Classes    map[string]Class
	Workspaces map[string]Workspace
	Evacuated  map[string]bool // availability zones whose workers take no new work
}

// Fault is one error in a document.
type Fault struct {
	Section string
	Key     string
	Problem string // the error and the allowed values
}

// String returns the section, the key and the problem.
func (f Fault) String() string {
	return "[" + f.Section + "] " + f.Key + ": " + f.Problem
}

// FaultsError holds all faults of a document.
type FaultsError struct {
	Faults []Fault
}

// Error lists all faults.
func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, fault := range e.Faults {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "; ")
}

// Parse reads a document of [class "name"], [workspace "name"] and [zone "name"] sections. It
// returns a *FaultsError with every fault if the document is not valid.
func Parse(document string) (*Targets, error) {
	if len(document) > MaxDocumentBytes {
		return nil, eris.Errorf("targets document has %d bytes, at most %d are allowed", len(document), MaxDocumentBytes)
	}
	file, err := ini.LoadSources(LoadOptions(), []byte(document))
	if err != nil {
		return nil, eris.Wrap(err, "targets document is not INI")
	}
	parsed, faults := ParseFile(file, nil)
	if len(faults) > 0 {
		return nil, &FaultsError{Faults: faults}
	}
	return parsed, nil
}

// LoadOptions are the INI options of all files of the project.
func LoadOptions() ini.LoadOptions {
	return ini.LoadOptions{AllowNonUniqueSections: true, KeyValueDelimiters: "="}
}

// ParseFile reads the class, workspace and zone sections of a file. It ignores the sections in
// skip, which belong to other readers.
func ParseFile(file *ini.File, skip map[string]bool) (*Targets, []Fault) {
	r := &reader{targets: &Targets{Classes: map[string]Class{}, Workspaces: map[string]Workspace{}, Evacuated: map[string]bool{}}}
	for _, section := range file.Sections() {
		if skip[section.Name()] {
			continue
		}
		r.readSection(section)
	}
	return r.targets, r.faults
}

type reader struct {
	targets *Targets
	faults  []Fault
}

func (r *reader) addFault(section *ini.Section, key, problem string) {
	r.faults = append(r.faults, Fault{Section: section.Name(), Key: key, Problem: problem})
}

func (r *reader) readSection(section *ini.Section) {
	if section.Name() == ini.DefaultSection {
		for _, key := range section.Keys() {
			r.addFault(section, key.Name(), "key stands before any section")
		}
		return
	}
	kind, name, ok := splitSection(section.Name())
	switch {
	case ok && kind == sectionClass:
		r.readClass(section, name)
	case ok && kind == sectionWorkspace:
		r.readWorkspace(section, name)
	case ok && kind == sectionZone:
		r.readZone(section, name)
	default:
		r.addFault(section, "", `unknown section; allowed are [class "NAME"], [workspace "NAME"] and [zone "NAME"]`)
	}
}

func splitSection(text string) (kind, name string, ok bool) {
	kind, quoted, found := strings.Cut(text, " ")
	if !found {
		return "", "", false
	}
	name, err := strconv.Unquote(strings.TrimSpace(quoted))
	return kind, name, err == nil && name != ""
}

func (r *reader) readClass(section *ini.Section, name string) {
	if _, exists := r.targets.Classes[name]; exists {
		r.addFault(section, "", "class stands twice")
	}
	class := Class{Name: name}
	seen := map[string]bool{}
	for _, key := range section.Keys() {
		seen[key.Name()] = true
		switch key.Name() {
		case keyFinishWithin:
			class.FinishWithin = r.parseDuration(section, key)
		case keyIdempotent:
			class.Idempotent = r.parseBool(section, key)
		default:
			r.addFault(section, key.Name(), "unknown key; allowed are finish_within and idempotent")
		}
	}
	for _, required := range []string{keyFinishWithin, keyIdempotent} {
		if !seen[required] {
			r.addFault(section, required, "is missing")
		}
	}
	r.targets.Classes[name] = class
}

func (r *reader) parseDuration(section *ini.Section, key *ini.Key) time.Duration {
	value, err := time.ParseDuration(key.String())
	if err != nil || value < MinFinishWithin || value > MaxFinishWithin {
		r.addFault(section, key.Name(), "must be a duration from 10ms to 744h, such as 90s or 8h")
	}
	return value
}

func (r *reader) parseBool(section *ini.Section, key *ini.Key) bool {
	switch key.String() {
	case "true":
		return true
	case "false":
		return false
	}
	r.addFault(section, key.Name(), "must be true or false")
	return false
}

func (r *reader) readWorkspace(section *ini.Section, name string) {
	if _, exists := r.targets.Workspaces[name]; exists {
		r.addFault(section, "", "workspace stands twice")
	}
	workspace := Workspace{Name: name}
	for _, key := range section.Keys() {
		if key.Name() != keyGuarantee {
			r.addFault(section, key.Name(), "unknown key; allowed is guarantee")
			continue
		}
		workspace.Guarantee = r.parseGuarantee(section, key)
	}
	r.targets.Workspaces[name] = workspace
}

func (r *reader) readZone(section *ini.Section, name string) {
	for _, key := range section.Keys() {
		if key.Name() != keyEvacuated {
			r.addFault(section, key.Name(), "unknown key; allowed is evacuated")
			continue
		}
		if r.parseBool(section, key) {
			r.targets.Evacuated[name] = true
		}
	}
}

func (r *reader) parseGuarantee(section *ini.Section, key *ini.Key) []structs.Shape {
	var shapes []structs.Shape
	for _, text := range strings.Split(key.String(), ",") {
		if strings.TrimSpace(text) == "" {
			continue
		}
		shape, err := structs.ParseShape(text)
		if err != nil {
			r.addFault(section, key.Name(), err.Error()+"; a shape is MEMBERSxACCELERATORS, such as 4x8")
			continue
		}
		shapes = append(shapes, shape)
	}
	return shapes
}

// SetEvacuated returns the document with an availability zone marked as evacuated or not.
func SetEvacuated(document, zone string, evacuated bool) (string, error) {
	file, err := ini.LoadSources(LoadOptions(), []byte(document))
	if err != nil {
		return "", eris.Wrap(err, "targets document is not INI")
	}
	name := sectionZone + " " + strconv.Quote(zone)
	file.DeleteSection(name)
	if evacuated {
		file.Section(name).Key(keyEvacuated).SetValue("true")
	}
	var text strings.Builder
	if _, err := file.WriteTo(&text); err != nil {
		return "", eris.Wrap(err, "targets document")
	}
	return text.String(), nil
}

// EvacuatedZones lists the evacuated availability zones in alphabetical order.
func (t *Targets) EvacuatedZones() []string { return sortedKeys(t.Evacuated) }

// ClassNames lists the classes in alphabetical order.
func (t *Targets) ClassNames() []string { return sortedKeys(t.Classes) }

// WorkspaceNames lists the workspaces in alphabetical order.
func (t *Targets) WorkspaceNames() []string { return sortedKeys(t.Workspaces) }

func sortedKeys[V any](values map[string]V) []string {
	names := make([]string, 0, len(values))
	for name := range values {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
