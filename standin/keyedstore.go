package standin

import (
	"bytes"
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

	"github.com/gorilla/mux"
)

// StoreFaults are the faults that a KeyedStore injects.
type StoreFaults struct {
	Down        bool // every call is refused without effect
	LoseAnswers int  // number of appends that take effect and get no answer
	Retain      int  // newest records retained for reading in each partition; 0 retains all
	// Slow delays each call before it is processed.
	Slow time.Duration
	// LateAppends is the number of appends that get no answer and are applied after
	// LateDelay, if the producer's epoch and sequence still permit.
	LateAppends int
	LateDelay   time.Duration
	// ResetParts are the numbers of the partitions, in topics with several, whose calls end with a
	// reset connection.
	ResetParts map[string]bool
}

// KeyedStore is an in-memory stand-in of the users' store, the service that keeps the
// platform's log. Its topics consist of partitions (part on the wire), which hold keyed
// records. The newest record of each key is retained, and appends are fenced by a
// producer's epoch and sequence.
type KeyedStore struct {
	mu         sync.Mutex
	partitions map[string]*storePartition // by "topic/partition"
	faults     StoreFaults
	addresses  map[string]string // quoted replacements of quoted addresses; see TranslateAddress
	router     *mux.Router
}

type storeRecord struct {
	key   string
	value []byte
}

type storePartition struct {
	firstOffset   int64
	records       []storeRecord
	newestOffsets map[string]int64 // by key
	newestValues  map[string][]byte
	epoch         int64
	lastSequence  int64
	changed       chan struct{}
}

// NewKeyedStore returns an empty store.
func NewKeyedStore() *KeyedStore {
	s := &KeyedStore{partitions: map[string]*storePartition{}, addresses: map[string]string{}, router: mux.NewRouter()}
	s.router.HandleFunc("/api/log-append", s.serveAppend).Methods(http.MethodPost)
	s.router.HandleFunc("/api/log-read", s.serveRead).Methods(http.MethodGet)
	s.router.HandleFunc("/api/log-newest", s.serveNewest).Methods(http.MethodGet)
	return s
}

// ServeHTTP implements http.Handler.
func (s *KeyedStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down, slow := s.faults.Down, s.faults.Slow
	reset := s.faults.resets(r.URL.Query())
	s.mu.Unlock()
	if reset {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(slow)
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.router.ServeHTTP(w, r)
}

// SetFaults replaces the faults.
func (s *KeyedStore) SetFaults(faults StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	for _, p := range s.partitions {
		p.dropOldest(faults.Retain)
		p.wakeReaders()
	}
}

// resets reports whether a call with a query ends with a reset connection. Partition 0 is the only one
// of some topics.
func (f *StoreFaults) resets(query url.Values) bool {
	part := query.Get("part")
	return part != "0" && f.ResetParts[part]
}

// TranslateAddress replaces an address in all records that are appended from now on. It
// models a network in which a process is reached at another address than the one it
// listens on.
func (s *KeyedStore) TranslateAddress(address, replacement string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addresses[strconv.Quote(address)] = strconv.Quote(replacement)
}

// translateAddresses applies the replacements of TranslateAddress. The caller holds s.mu.
func (s *KeyedStore) translateAddresses(records []storeRecord) []storeRecord {
	for i := range records {
		for address, replacement := range s.addresses {
			records[i].value = bytes.ReplaceAll(records[i].value, []byte(address), []byte(replacement))
		}
	}
	return records
}

// Put writes a record to partition 0 without a producer, as the operator or a worker
// does. A nil value deletes the key.
func (s *KeyedStore) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, "0")
	p.add([]storeRecord{{key, value}})
	p.dropOldest(s.faults.Retain)
}

func (s *KeyedStore) partition(topic, number string) *storePartition {
	name := topic + "/" + number
	p := s.partitions[name]
	if p == nil {
		p = &storePartition{newestOffsets: map[string]int64{}, newestValues: map[string][]byte{}, changed: make(chan struct{})}
		s.partitions[name] = p
	}
	return p
}

func (p *storePartition) end() int64 { return p.firstOffset + int64(len(p.records)) }

func (p *storePartition) add(records []storeRecord) {
	for _, record := range records {
		if len(record.value) == 0 {
			delete(p.newestOffsets, record.key)
			delete(p.newestValues, record.key)
		} else {
			p.newestOffsets[record.key] = p.end()
			p.newestValues[record.key] = record.value
		}
		p.records = append(p.records, record)
	}
	p.wakeReaders()
}

// wakeReaders has the reads that wait look at the partition again.
func (p *storePartition) wakeReaders() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *storePartition) dropOldest(retain int) {
	if excess := len(p.records) - retain; retain > 0 && excess > 0 {
		p.records = append([]storeRecord(nil), p.records[excess:]...)
		p.firstOffset += int64(excess)
	}
}

func (s *KeyedStore) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LateAppends > 0 {
		s.faults.LateAppends--
		time.AfterFunc(s.faults.LateDelay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.append(r.URL.Query(), body)
		})
		panic(http.ErrAbortHandler)
	}
	status, reply := s.append(r.URL.Query(), body)
	if status == http.StatusOK && s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		panic(http.ErrAbortHandler)
	}
	writeReply(w, status, reply)
}

// append applies an append request and returns its reply. The caller holds s.mu.
func (s *KeyedStore) append(query url.Values, body []byte) (status int, reply map[string]any) {
	records, ok := splitRecords(body)
	if !ok {
		return http.StatusBadRequest, map[string]any{"error": "the records of the append cannot be read"}
	}
	p := s.partition(query.Get("topic"), query.Get("part"))
	if query.Get("producer") != "" {
		repeat, refused := p.checkProducer(parseNumber(query.Get("epoch")), parseNumber(query.Get("sequence")))
		if refused != "" {
			return http.StatusConflict, map[string]any{"reason": refused, "sequence": p.lastSequence + 1}
		}
		if repeat {
			return http.StatusOK, map[string]any{"offset": p.end(), "end": p.end()}
		}
	}
	offset := p.end()
	p.add(s.translateAddresses(records))
	p.dropOldest(s.faults.Retain)
	return http.StatusOK, map[string]any{"offset": offset, "end": p.end()}
}

// checkProducer checks and records a producer's epoch and sequence. It reports whether
// the append repeats the last one, or the reason of a refusal.
func (p *storePartition) checkProducer(epoch, sequence int64) (repeat bool, refused string) {
	switch {
	case epoch < p.epoch:
		return false, "fenced"
	case epoch > p.epoch:
		p.epoch = epoch
	case sequence == p.lastSequence:
		return true, ""
	case sequence != p.lastSequence+1:
		return false, "seq"
	}
	p.lastSequence = sequence
	return false, ""
}

func parseNumber(text string) int64 {
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return value
}

// splitRecords decodes the body of an append; ok is false if it is malformed.
func splitRecords(body []byte) (records []storeRecord, ok bool) {
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		size := int64(binary.BigEndian.Uint32(body))
		body = body[4:]
		if size < 1 || size > int64(len(body)) || int64(body[0]) >= size {
			return nil, false
		}
		content := body[:size]
		keyEnd := 1 + int(content[0])
		records = append(records, storeRecord{key: string(content[1:keyEnd]), value: content[keyEnd:]})
		body = body[size:]
	}
	return records, true
}

func (s *KeyedStore) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from := parseNumber(query.Get("from"))
	timeout := time.NewTimer(time.Duration(parseNumber(query.Get("wait_ms"))) * time.Millisecond)
	defer timeout.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		if s.faults.resets(query) {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		p := s.partition(query.Get("topic"), query.Get("part"))
		changed := p.changed
		if from < p.firstOffset {
			firstOffset := p.firstOffset
			s.mu.Unlock()
			writeReply(w, http.StatusGone, map[string]any{"first": firstOffset})
			return
		}
		if from < p.end() || !waiting {
			body := p.read(from)
			s.mu.Unlock()
			// The write fails only if the reader has disconnected.
			_, _ = w.Write(body)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (p *storePartition) read(from int64) []byte {
	body := binary.BigEndian.AppendUint64(nil, uint64(p.end()))
	body = binary.BigEndian.AppendUint64(body, uint64(p.firstOffset))
	for _, record := range p.records[from-p.firstOffset:] {
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(record.key)+len(record.value)))
		body = append(body, byte(len(record.key)))
		body = append(body, record.key...)
		body = append(body, record.value...)
	}
	return body
}

// newestItem is one record in a page of newest records.
type newestItem struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int64  `json:"offset"`
}

const newestPageSize = 3 // small, so that tests read several pages

func (s *KeyedStore) serveNewest(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(query.Get("topic"), query.Get("part"))
	items := []newestItem{}
	for key, offset := range p.newestOffsets {
		if key > query.Get("after") {
			items = append(items, newestItem{key, base64.StdEncoding.EncodeToString(p.newestValues[key]), offset})
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	hasMore := len(items) > newestPageSize
	items = items[:min(len(items), newestPageSize)]
	writeReply(w, http.StatusOK, map[string]any{"items": items, "has_more": hasMore, "end": p.end()})
}

func writeReply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The write fails only if the caller has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}
