package main

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// lateStore stands between the instances and the store. While it is armed, it leaves one
// append that has a text in its records without an answer and carries it out late, as a store
// does that loses answers; it counts all appends of that time.
type lateStore struct {
	next   http.Handler
	record *record

	mu      sync.Mutex
	text    string        // of the append that is to be late; empty while not armed
	delay   time.Duration // until it is carried out
	lost    int
	appends int
}

// arm lets the next append with a text be late by a delay.
func (s *lateStore) arm(text string, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.text, s.delay, s.lost, s.appends = text, delay, 0, 0
}

// disarm ends the disruption and returns how many of the appends meanwhile got no answer.
func (s *lateStore) disarm() (lost, appends int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.text = ""
	return s.lost, s.appends
}

// ServeHTTP implements http.Handler.
func (s *lateStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/api/log-append" {
		s.next.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	forwarded := r.Clone(r.Context())
	forwarded.Body = io.NopCloser(bytes.NewReader(body))
	delay, late := s.choose(body)
	if !late {
		s.next.ServeHTTP(w, forwarded)
		return
	}
	s.record.add("store: an append gets no answer and is carried out %s later", delay)
	target := r.URL.String()
	time.AfterFunc(delay, func() {
		request := httptest.NewRequest(http.MethodPost, target, bytes.NewReader(body))
		answer := httptest.NewRecorder()
		s.next.ServeHTTP(answer, request)
		s.record.add("store: the late append is carried out: %d", answer.Code)
	})
	<-r.Context().Done() // the connection returns nothing further
	panic(http.ErrAbortHandler)
}

// choose counts an append while the disruption lasts and reports whether it is to be late.
func (s *lateStore) choose(body []byte) (delay time.Duration, late bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.text == "" {
		return 0, false
	}
	s.appends++
	if s.lost > 0 || !bytes.Contains(body, []byte(s.text)) {
		return 0, false
	}
	s.lost++
	return s.delay, true
}
