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

// PlatformFaults are the faults that a Platform injects. The zero value is a
// healthy platform.
type PlatformFaults struct {
	LogDown     bool          `json:"log_down"`     // appends and reads are refused
	AppendDown  bool          `json:"append_down"`  // appends are refused, reads are not
	LoseAnswers int           `json:"lose_answers"` // number of appends that take effect and get no answer
	Slow        time.Duration `json:"slow"`         // delay of every log call
	ListFrozen  bool          `json:"list_frozen"`  // the list stops changing
	Retain      int           `json:"retain"`       // records retained in each stream; 0 retains all
}

type stream struct {
	firstOffset int64
	records     [][]byte
	changed     chan struct{}
}

type listing struct {
	entry       membership.Member
	refreshedAt time.Time
	fixed       bool // listed until removed, without refreshes
}

// Platform is an in-memory log service and instance list. It implements
// http.Handler, logstream.Log and membership.InstanceList.
type Platform struct {
	mu         sync.Mutex
	faults     PlatformFaults
	streams    map[string]*stream
	listed     map[string]listing
	frozenList []membership.Member
	appends    int64
	router     *mux.Router
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
		p.frozenList = p.currentList()
	}
	p.faults = faults
	for _, s := range p.streams {
		p.dropOldest(s)
	}
}

// Appends returns the number of appends that took effect.
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

func (p *Platform) dropOldest(s *stream) {
	excess := len(s.records) - p.faults.Retain
	if p.faults.Retain <= 0 || excess <= 0 {
		return
	}
	s.records = append([][]byte(nil), s.records[excess:]...)
	s.firstOffset += int64(excess)
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
	first := s.firstOffset + int64(len(s.records))
	s.records = append(s.records, records...)
	p.appends++
	p.dropOldest(s)
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

// maxReadRecords bounds the records in one answer.
const maxReadRecords = 2000

// Read implements logstream.Log.
func (p *Platform) Read(ctx context.Context, name string, from int64, wait time.Duration) (logstream.Batch, error) {
	p.delay(ctx)
	deadline := time.After(wait)
	for {
		batch, changed, err := p.readAvailable(name, from)
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

func (p *Platform) readAvailable(name string, from int64) (logstream.Batch, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.LogDown {
		return logstream.Batch{}, nil, logstream.ErrUnavailable
	}
	s := p.stream(name)
	if from < s.firstOffset {
		return logstream.Batch{}, nil, &logstream.RetentionError{First: s.firstOffset}
	}
	batch := logstream.Batch{First: from, End: s.firstOffset + int64(len(s.records))}
	if from < batch.End {
		available := s.records[from-s.firstOffset:]
		batch.Records = available[:min(len(available), maxReadRecords)]
	}
	return batch, s.changed, nil
}

// Announce implements membership.InstanceList.
func (p *Platform) Announce(_ context.Context, self membership.Member) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listed[self.ID] = listing{entry: self, refreshedAt: time.Now()}
	return nil
}

// AddFixed lists a machine until it is removed; it needs no refreshes.
func (p *Platform) AddFixed(entry membership.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listed[entry.ID] = listing{entry: entry, fixed: true}
}

// Remove removes a machine from the list.
func (p *Platform) Remove(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.listed, id)
}

// List implements membership.InstanceList.
func (p *Platform) List(context.Context) ([]membership.Member, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.ListFrozen {
		return p.frozenList, nil
	}
	return p.currentList(), nil
}

func (p *Platform) currentList() []membership.Member {
	var list []membership.Member
	for _, l := range p.listed {
		if l.fixed || time.Since(l.refreshedAt) < DefaultListTTL {
			list = append(list, l.entry)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

func (p *Platform) serveAppend(w http.ResponseWriter, r *http.Request) {
	var request platformhttp.AppendRequest
	if !readJSON(w, r, &request) {
		return
	}
	first, err := p.Append(r.Context(), mux.Vars(r)["name"], request.Records)
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, http.StatusOK, platformhttp.AppendReply{First: first})
}

func (p *Platform) serveRead(w http.ResponseWriter, r *http.Request) {
	from, errFrom := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	waitMS, errWait := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	if errFrom != nil || errWait != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	batch, err := p.Read(r.Context(), mux.Vars(r)["name"], from, time.Duration(waitMS)*time.Millisecond)
	if retention, ok := err.(*logstream.RetentionError); ok {
		writeJSON(w, http.StatusGone, platformhttp.ReadReply{First: retention.First})
		return
	}
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, http.StatusOK, platformhttp.ReadReply{First: batch.First, Records: batch.Records, End: batch.End})
}

func (p *Platform) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	var entry membership.Member
	if readJSON(w, r, &entry) {
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
	_, _ = w.Write(data) // fails only if the client has disconnected
}

func (p *Platform) serveFixed(w http.ResponseWriter, r *http.Request) {
	var entry membership.Member
	if readJSON(w, r, &entry) {
		p.AddFixed(entry)
	}
}

func (p *Platform) serveControl(w http.ResponseWriter, r *http.Request) {
	var faults PlatformFaults
	if readJSON(w, r, &faults) {
		p.SetFaults(faults)
	}
}

func readJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	if err := json.NewDecoder(r.Body).Decode(target); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // fails only if the client has disconnected
}
