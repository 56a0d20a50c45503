package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the store, as the settings file of the platform states them.
const (
	recordBytes = 262144
	callBytes   = 2097152
	appendTime  = 4 * time.Millisecond
	maxReadWait = 30 * time.Second
	pageItems   = 500
	pageBytes   = 1 << 20
	keptReplies = 5 // appends of a producer whose repeats get the first response
)

// store is a stand-in of the platform's store: a log of topics with partitions.
type store struct {
	mu         sync.Mutex
	partitions map[string]*partition
	events     *events
	largest    int // bytes of the largest record that was refused for its size
	refusals   int // appends refused for the size of a record
}

type storedRecord struct {
	key   string
	value []byte
	raw   []byte
}

type partition struct {
	appending sync.Mutex // one append at a time
	records   []storedRecord
	newest    map[string]int // offset by key
	changed   chan struct{}
	epoch     int64
	sequence  int64
	replies   map[int64]appendReply
}

type appendReply struct {
	Offset int `json:"offset"`
	End    int `json:"end"`
}

func newStore(log *events) *store {
	return &store{partitions: map[string]*partition{}, events: log}
}

func (s *store) partition(topic, part string) *partition {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := topic + "/" + part
	p := s.partitions[name]
	if p == nil {
		p = &partition{newest: map[string]int{}, changed: make(chan struct{}), replies: map[int64]appendReply{}}
		s.partitions[name] = p
	}
	return p
}

// put writes a record as the operator or a runner does; an empty value removes the key.
func (s *store) put(topic, key string, value []byte) {
	p := s.partition(topic, "0")
	s.mu.Lock()
	defer s.mu.Unlock()
	raw := append([]byte{byte(len(key))}, key...)
	p.add(storedRecord{key: key, value: value, raw: append(raw, value...)})
}

// add appends a record; the caller holds the lock of the store.
func (p *partition) add(record storedRecord) {
	if record.key != "" {
		p.newest[record.key] = len(p.records)
		if len(record.value) == 0 {
			delete(p.newest, record.key)
		}
	}
	p.records = append(p.records, record)
	close(p.changed)
	p.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	switch r.Method + " " + r.URL.Path {
	case "POST /api/log-append":
		s.append(w, r, query)
	case "GET /api/log-read":
		s.read(w, r, query)
	case "GET /api/log-newest":
		s.newest(w, query)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may have gone
}

func (s *store) append(w http.ResponseWriter, r *http.Request, query url.Values) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 4*callBytes))
	if err != nil {
		return
	}
	topic := query.Get("topic")
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	records, largest, ok := splitRecords(body)
	if !ok {
		reply(w, http.StatusBadRequest, map[string]string{"reason": "records"})
		return
	}
	if largest > recordBytes || len(body) > callBytes {
		s.mu.Lock()
		s.refusals++
		first := s.refusals == 1
		s.largest = max(s.largest, largest)
		s.mu.Unlock()
		if first {
			s.events.add("store: append to %s part %s refused: a record of %d bytes, at most %d are allowed", topic, query.Get("part"), largest, recordBytes)
		}
		reply(w, http.StatusBadRequest, map[string]string{"reason": "size"})
		return
	}
	p := s.partition(topic, query.Get("part"))
	p.appending.Lock()
	defer p.appending.Unlock()
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	sequence := number(query.Get("sequence"))
	if query.Get("producer") != "" {
		epoch := number(query.Get("epoch"))
		if epoch < p.epoch {
			reply(w, http.StatusConflict, map[string]string{"reason": "fenced"})
			return
		}
		if epoch == p.epoch {
			if first, repeated := p.replies[sequence]; repeated {
				reply(w, http.StatusOK, first)
				return
			}
			if sequence != p.sequence+1 {
				reply(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": p.sequence + 1})
				return
			}
		}
		if epoch > p.epoch {
			p.replies = map[int64]appendReply{}
		}
		p.epoch, p.sequence = epoch, sequence
	}
	answer := appendReply{Offset: len(p.records)}
	for _, record := range records {
		p.add(record)
	}
	answer.End = len(p.records)
	if query.Get("producer") != "" {
		p.replies[sequence] = answer
		delete(p.replies, sequence-keptReplies)
	}
	reply(w, http.StatusOK, answer)
}

// splitRecords decodes the records of an append and returns the size of the largest.
func splitRecords(body []byte) (records []storedRecord, largest int, ok bool) {
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, 0, false
		}
		size := int(binary.BigEndian.Uint32(body))
		body = body[4:]
		if size > len(body) {
			return nil, 0, false
		}
		raw := body[:size]
		body = body[size:]
		if size == 0 || 1+int(raw[0]) > size {
			return nil, 0, false
		}
		keyEnd := 1 + int(raw[0])
		records = append(records, storedRecord{key: string(raw[1:keyEnd]), value: raw[keyEnd:], raw: raw})
		largest = max(largest, size)
	}
	return records, largest, true
}

func (s *store) read(w http.ResponseWriter, r *http.Request, query url.Values) {
	p := s.partition(query.Get("topic"), query.Get("part"))
	from := int(number(query.Get("from")))
	maxBytes := int(number(query.Get("max_kb"))) << 10
	if maxBytes <= 0 {
		maxBytes = 1 << 20
	}
	timer := time.NewTimer(min(maxReadWait, time.Duration(number(query.Get("wait_ms")))*time.Millisecond))
	defer timer.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		if from < len(p.records) || !waiting {
			body := binary.BigEndian.AppendUint64(nil, uint64(len(p.records)))
			body = binary.BigEndian.AppendUint64(body, 0)
			for at := from; at < len(p.records) && (at == from || len(body)+4+len(p.records[at].raw) <= maxBytes); at++ {
				body = binary.BigEndian.AppendUint32(body, uint32(len(p.records[at].raw)))
				body = append(body, p.records[at].raw...)
			}
			s.mu.Unlock()
			_, _ = w.Write(body) // the caller may have gone
			return
		}
		changed := p.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) newest(w http.ResponseWriter, query url.Values) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	p := s.partition(query.Get("topic"), query.Get("part"))
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range p.newest {
		if key > query.Get("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, bytes, more := []item{}, 0, false
	for _, key := range keys {
		value := p.records[p.newest[key]].value
		if len(items) == pageItems || len(items) > 0 && bytes+len(value) > pageBytes {
			more = true
			break
		}
		bytes += len(value)
		items = append(items, item{Key: key, Value: base64.StdEncoding.EncodeToString(value), Offset: p.newest[key]})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end": len(p.records)})
}

func number(text string) int64 {
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return value
}
