package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"github.com/teaselcleat/teaselcleat/adapters/platformhttp"
	"github.com/teaselcleat/teaselcleat/logstream"
	"github.com/teaselcleat/teaselcleat/membership"
)

// DefaultListTTL is how long an announced machine stays listed without a refresh.
const DefaultListTTL = 5 * time.Second

// PlatformFaults are the ways in which the platform misbehaves. The zero value
// is a healthy platform.
type PlatformFaults struct {
	LogDown     bool          `json:"log_down"`     // appends and reads are refused
	AppendDown  bool          `json:"append_down"`  // appends alone are refused
	LoseAnswers int           `json:"lose_answers"` // so many appends take effect unanswered
	Slow        time.Duration `json:"slow"`         // added to every log call
	ListFrozen  bool          `json:"list_frozen"`  // the list stops changing
	Retain      int           `json:"retain"`       // records kept in each stream; 0 keeps all
}

type stream struct {
	first   int64
	records [][]byte
	changed chan struct{}
}

type listing struct {
	entry membership.Listed
	at    time.Time
	fixed bool // listed until removed
}

// Platform is an in-memory log service and instance list. It is an
// http.Handler and implements logstream.Log and membership.InstanceList as well.
type Platform struct {
	mu      sync.Mutex
	faults  PlatformFaults
	streams map[string]*stream
	listed  map[string]listing
	frozen  []membership.Listed
	appends int64
	router  *mux.Router
}

// NewPlatform returns a healthy platform with empty streams.
func NewPlatform() *Platform {
	p := &Platform{streams: map[string]*stream{}, listed: map[string]listing{}}
	p.router = mux.NewRouter()
	p.router.HandleFunc("/streams/{name}", p.serveAppend).Methods(http.MethodPost)
	p.router.HandleFunc("/streams/{name}", p.serveRead).Methods(http.MethodGet)
	p.router.HandleFunc("/instances", p.serveAnnounce).Methods(http.MethodPost)
	p.router.HandleFunc("/instances", p.serveList).Methods(http.MethodGet)
	p.router.HandleFunc("/control", p.serveControl).Methods(http.MethodPost)
	p.router.HandleFunc("/fixed", p.serveFixed).Methods(http.MethodPost)
	return p
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.router.ServeHTTP(w, r) }

// SetFaults replaces the faults.
func (p *Platform) SetFaults(faults PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if faults.ListFrozen && !p.faults.ListFrozen {
		p.frozen = p.current()
	}
	p.faults = faults
	for _, s := range p.streams {
		p.trim(s)
	}
}

// Appends is the number of appends that took effect.
func (p *Platform) Appends() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.appends
}

func (p *Platform) stream(name string) *stream {
	s := p.streams[name]
	if s == nil {
		s = &stream{changed: make(chan struct{})}
		p.streams[name] = s
	}
	return s
}

func (p *Platform) trim(s *stream) {
	excess := len(s.records) - p.faults.Retain
	if p.faults.Retain <= 0 || excess <= 0 {
		return
	}
	s.records = append([][]byte(nil), s.records[excess:]...)
	s.first += int64(excess)
}

// Append implements logstream.Log.
func (p *Platform) Append(ctx context.Context, name string, records [][]byte) (int64, error) {
	p.delay(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.LogDown || p.faults.AppendDown {
		return 0, logstream.ErrUnavailable
	}
	s := p.stream(name)
	first := s.first + int64(len(s.records))
	s.records = append(s.records, records...)
	p.appends++
	p.trim(s)
	close(s.changed)
	s.changed = make(chan struct{})
	if p.faults.LoseAnswers > 0 {
		p.faults.LoseAnswers--
		return 0, logstream.ErrUnavailable
	}
	return first, nil
}

func (p *Platform) delay(ctx context.Context) {
	p.mu.Lock()
	slow := p.faults.Slow
	p.mu.Unlock()
	if slow <= 0 {
		return
	}
	select {
	case <-time.After(slow):
	case <-ctx.Done():
	}
}

// maxRead is the most records of one answer.
const maxRead = 2000

// Read implements logstream.Log.
func (p *Platform) Read(ctx context.Context, name string, from int64, wait time.Duration) (logstream.Batch, error) {
	p.delay(ctx)
	deadline := time.After(wait)
	for {
		batch, changed, err := p.readNow(name, from)
		if err != nil || len(batch.Records) > 0 || wait <= 0 {
			return batch, err
		}
		select {
		case <-changed:
		case <-deadline:
			return batch, nil
		case <-ctx.Done():
			return logstream.Batch{}, logstream.ErrUnavailable
		}
	}
}

func (p *Platform) readNow(name string, from int64) (logstream.Batch, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.LogDown {
		return logstream.Batch{}, nil, logstream.ErrUnavailable
	}
	s := p.stream(name)
	if from < s.first {
		return logstream.Batch{}, nil, &logstream.RetentionError{First: s.first}
	}
	batch := logstream.Batch{First: from, End: s.first + int64(len(s.records))}
	if from < batch.End {
		waiting := s.records[from-s.first:]
		batch.Records = waiting[:min(len(waiting), maxRead)]
	}
	return batch, s.changed, nil
}

// Announce implements membership.InstanceList.
func (p *Platform) Announce(_ context.Context, self membership.Listed) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listed[self.ID] = listing{entry: self, at: time.Now()}
	return nil
}

// Fix lists a machine until Remove.
func (p *Platform) Fix(entry membership.Listed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listed[entry.ID] = listing{entry: entry, fixed: true}
}

// Remove takes a machine off the list.
func (p *Platform) Remove(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.listed, id)
}

// List implements membership.InstanceList.
func (p *Platform) List(context.Context) ([]membership.Listed, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.ListFrozen {
		return p.frozen, nil
	}
	return p.current(), nil
}

func (p *Platform) current() []membership.Listed {
	var list []membership.Listed
	for _, known := range p.listed {
		if known.fixed || time.Since(known.at) < DefaultListTTL {
			list = append(list, known.entry)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

func (p *Platform) serveAppend(w http.ResponseWriter, r *http.Request) {
	var request platformhttp.AppendRequest
	if !decode(w, r, &request) {
		return
	}
	first, err := p.Append(r.Context(), mux.Vars(r)["name"], request.Records)
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	encode(w, http.StatusOK, platformhttp.AppendReply{First: first})
}

func (p *Platform) serveRead(w http.ResponseWriter, r *http.Request) {
	from, errFrom := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	waitMS, errWait := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	if errFrom != nil || errWait != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	batch, err := p.Read(r.Context(), mux.Vars(r)["name"], from, time.Duration(waitMS)*time.Millisecond)
	if gone, ok := err.(*logstream.RetentionError); ok {
		encode(w, http.StatusGone, platformhttp.ReadReply{First: gone.First})
		return
	}
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	encode(w, http.StatusOK, platformhttp.ReadReply{First: batch.First, Records: batch.Records, End: batch.End})
}

func (p *Platform) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	var entry membership.Listed
	if decode(w, r, &entry) {
		_ = p.Announce(r.Context(), entry) // the stand-in's list never fails
	}
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	list, _ := p.List(r.Context()) // the stand-in's list never fails
	data, err := json.Marshal(list)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	tag := `"` + strconv.FormatUint(xxhash.Sum64(data), 36) + `"`
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	_, _ = w.Write(data) // the client is gone if this fails
}

func (p *Platform) serveFixed(w http.ResponseWriter, r *http.Request) {
	var entry membership.Listed
	if decode(w, r, &entry) {
		p.Fix(entry)
	}
}

func (p *Platform) serveControl(w http.ResponseWriter, r *http.Request) {
	var faults PlatformFaults
	if decode(w, r, &faults) {
		p.SetFaults(faults)
	}
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	return true
}

func encode(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // the client is gone if this fails
}
