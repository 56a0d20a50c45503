// Package timeline records the events of a process and merges the events of several
// processes into one causal order.
package timeline

import (
	"sort"
	"sync"

	"github.com/teaselcleat/teaselcleat/hlc"
)

// Event is a recorded action of a process. Subject is a request key, job or worker.
type Event struct {
	Stamp     hlc.Stamp `json:"stamp"`
	Process   string    `json:"process"`
	Name      string    `json:"name"`
	Subject   string    `json:"subject,omitempty"`
	Workspace string    `json:"workspace,omitempty"`
	Detail    string    `json:"detail,omitempty"`
}

// Filter selects events; an empty field matches all.
type Filter struct {
	Subject   string
	Workspace string
}

// Match reports whether the filter selects the event.
func (f Filter) Match(event Event) bool {
	if f.Subject != "" && event.Subject != f.Subject {
		return false
	}
	return f.Workspace == "" || event.Workspace == f.Workspace
}

// Recorder retains the newest events of one process, up to a capacity, and counts the
// older ones that it overwrote. It is safe for concurrent use.
type Recorder struct {
	mu          sync.Mutex
	clock       *hlc.Clock
	process     string
	events      []Event
	oldest      int
	overwritten int64
}

// NewRecorder returns a recorder that retains at most capacity events.
func NewRecorder(process string, clock *hlc.Clock, capacity int) *Recorder {
	return &Recorder{clock: clock, process: process, events: make([]Event, 0, capacity)}
}

// Add records an event with the current stamp.
func (r *Recorder) Add(name, subject, workspace, detail string) {
	event := Event{Stamp: r.clock.Now(), Process: r.process, Name: name, Subject: subject, Workspace: workspace, Detail: detail}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, event)
		return
	}
	r.events[r.oldest] = event
	r.oldest = (r.oldest + 1) % len(r.events)
	r.overwritten++
}

// Clock returns the clock that stamps this recorder's events.
func (r *Recorder) Clock() *hlc.Clock { return r.clock }

// Events returns the matching events in order, and the number of older events that
// were overwritten.
func (r *Recorder) Events(filter Filter) ([]Event, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var matching []Event
	for i := range r.events {
		event := r.events[(r.oldest+i)%len(r.events)]
		if filter.Match(event) {
			matching = append(matching, event)
		}
	}
	return matching, r.overwritten
}

// Merge merges the events of several processes into one causal order. Equal stamps
// are ordered by process, so that the result is deterministic.
func Merge(lists ...[]Event) []Event {
	var all []Event
	for _, list := range lists {
		all = append(all, list...)
	}
	sort.SliceStable(all, func(i, j int) bool {
		if all[i].Stamp != all[j].Stamp {
			return all[i].Stamp.Before(all[j].Stamp)
		}
		return all[i].Process < all[j].Process
	})
	return all
}
