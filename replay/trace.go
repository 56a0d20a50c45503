// Package replay replays recorded traces in virtual time and reports metrics of a
// scheduling policy. It drives the same decision code that runs in production; it
// does not simulate the cluster. A run takes its recorded time, a failing worker
// fails every task that it starts, and a preemption takes a fixed time.
package replay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"

	"github.com/teaselcleat/teaselcleat/structs"
)

// EventName names a kind of trace event.
type EventName string

// Kinds of trace events.
const (
	EventSubmit     EventName = "submit"
	EventCancel     EventName = "cancel"
	EventWorkerDown EventName = "worker_down"
	EventWorkerUp   EventName = "worker_up"
	EventWorkerBad  EventName = "worker_bad"
	EventWorkerGood EventName = "worker_good"
	EventAppendDown EventName = "append_down"
	EventAppendUp   EventName = "append_up"
)

// maxLineBytes bounds one line of a trace.
const maxLineBytes = 1 << 20

// Event is one line of a trace.
type Event struct {
	AtMS         int64     `json:"at_ms"`
	Event        EventName `json:"event"`
	Job          string    `json:"job,omitempty"`
	Workspace    string    `json:"workspace,omitempty"`
	Class        string    `json:"class,omitempty"`
	Members      int       `json:"members,omitempty"`
	Accelerators int       `json:"accelerators,omitempty"`
	Adjacent     bool      `json:"adjacent,omitempty"`
	DeclaredS    float64   `json:"declared_s,omitempty"`
	ActualS      float64   `json:"actual_s,omitempty"` // 0 if the job never ends by itself
	Worker       string    `json:"worker,omitempty"`
}

// Shape returns the gang shape of a submit event.
func (e Event) Shape() structs.Shape {
	return structs.Shape{Members: e.Members, Accelerators: e.Accelerators, Adjacent: e.Adjacent}
}

// allowedFields lists the permitted fields of each kind of event, besides at_ms and event.
var allowedFields = map[EventName][]string{
	EventSubmit:     {"job", "workspace", "class", "members", "accelerators", "adjacent", "declared_s", "actual_s"},
	EventCancel:     {"job"},
	EventWorkerDown: {"worker"},
	EventWorkerUp:   {"worker"},
	EventWorkerBad:  {"worker"},
	EventWorkerGood: {"worker"},
	EventAppendDown: {},
	EventAppendUp:   {},
}

// ReadTrace reads a whole trace of JSON lines, which must be in order of time. Errors
// name the line.
func ReadTrace(source io.Reader) ([]Event, error) {
	scanner := bufio.NewScanner(source)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	var events []Event
	last := int64(0)
	for line := 1; scanner.Scan(); line++ {
		if len(bytes.TrimSpace(scanner.Bytes())) == 0 {
			continue
		}
		event, err := readLine(scanner.Bytes())
		if err != nil {
			return nil, eris.Errorf("line %d: %s", line, err.Error())
		}
		if event.AtMS < last {
			return nil, eris.Errorf("line %d: at_ms %d is before the line above", line, event.AtMS)
		}
		last = event.AtMS
		events = append(events, event)
	}
	return events, eris.Wrap(scanner.Err(), "trace")
}

func readLine(line []byte) (Event, error) {
	var event Event
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&event); err != nil {
		return event, err
	}
	fields, ok := allowedFields[event.Event]
	if !ok {
		return event, eris.Errorf("unknown event %q", event.Event)
	}
	if err := checkFields(line, fields); err != nil {
		return event, err
	}
	return event, event.validate()
}

// checkFields returns an error if a line has no at_ms or has a field that is not permitted.
func checkFields(line []byte, fields []string) error {
	var present map[string]json.RawMessage
	if err := json.Unmarshal(line, &present); err != nil {
		return err
	}
	if _, ok := present["at_ms"]; !ok {
		return eris.New("at_ms is missing")
	}
	delete(present, "at_ms")
	delete(present, "event")
	for _, field := range fields {
		delete(present, field)
	}
	for field := range present {
		return eris.Errorf("field %q does not belong to this event", field)
	}
	return nil
}

func (e Event) validate() error {
	if e.AtMS < 0 {
		return eris.New("at_ms must not be negative")
	}
	switch e.Event {
	case EventSubmit:
		if e.Job == "" || e.Workspace == "" || e.Class == "" {
			return eris.New("job, workspace and class are required")
		}
		if e.DeclaredS < 0 || e.ActualS < 0 {
			return eris.New("declared_s and actual_s must not be negative")
		}
		if e.Members < 1 || e.Accelerators < 1 {
			return eris.New("members and accelerators must be at least 1")
		}
	case EventCancel:
		if e.Job == "" {
			return eris.New("job is required")
		}
	case EventWorkerDown, EventWorkerUp, EventWorkerBad, EventWorkerGood:
		if e.Worker == "" {
			return eris.New("worker is required")
		}
	}
	return nil
}

// WriteTrace writes events as JSON lines.
func WriteTrace(to io.Writer, events []Event) error {
	encoder := json.NewEncoder(to)
	for _, event := range events {
		if err := encoder.Encode(event); err != nil {
			return eris.Wrap(err, "trace")
		}
	}
	return nil
}
