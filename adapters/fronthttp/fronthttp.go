// Package fronthttp is the adapter that serves the HTTP API of callers and operators, the
// product's own interface. The API on the users' platform is platform.FrontHandler.
package fronthttp

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"

	"github.com/teaselcleat/teaselcleat/ingress"
	"github.com/teaselcleat/teaselcleat/ledger"
	"github.com/teaselcleat/teaselcleat/requests"
	"github.com/teaselcleat/teaselcleat/service"
	"github.com/teaselcleat/teaselcleat/structs"
	"github.com/teaselcleat/teaselcleat/timeline"
)

// Headers of requests and answers.
const (
	HeaderWorkspace = "X-Workspace"
	HeaderKey       = "Idempotency-Key"
	HeaderIssued    = "X-Key-Issued-Ms" // Unix milliseconds at which the caller created the key
	HeaderOutcome   = "X-Outcome"
	HeaderReason    = "X-Reason"
	HeaderReplayed  = "X-Replayed"
)

// ReplyBody is the JSON body of a reply of the instance itself. Answers of runners are
// relayed unchanged and have no such body.
type ReplyBody struct {
	Outcome       structs.Outcome `json:"outcome"`
	Reason        structs.Reason  `json:"reason,omitempty"`
	Detail        string          `json:"detail,omitempty"`
	ID            string          `json:"id,omitempty"`
	Version       int64           `json:"version,omitempty"`
	RetryAfterSec int64           `json:"retry_after_s,omitempty"`
}

// KeyBody is the JSON body of the state of a request key.
type KeyBody struct {
	Phase  ledger.KeyPhase `json:"phase"`
	Reason structs.Reason  `json:"reason,omitempty"`
	Class  string          `json:"class"`
	Holder string          `json:"holder"`
}

// EventsBody is the JSON body of the timeline of one process. Overwritten counts older
// events that the process no longer has.
type EventsBody struct {
	Events      []timeline.Event `json:"events"`
	Overwritten int64            `json:"forgotten"`
}

// apiHandler serves the API of one instance.
type apiHandler struct {
	service  service.Service
	registry metrics.Registry
}

// Handler returns the HTTP handler of an instance.
func Handler(s service.Service, registry metrics.Registry) http.Handler {
	h := &apiHandler{service: s, registry: registry}
	router := mux.NewRouter()
	router.HandleFunc("/v1/requests/{class}", h.serveRequest).Methods(http.MethodPost)
	router.HandleFunc("/v1/keys/{workspace}/{key}", h.serveKey).Methods(http.MethodGet)
	router.HandleFunc("/v1/jobs", h.serveSubmitJob).Methods(http.MethodPost)
	router.HandleFunc("/v1/jobs/{id}", h.serveJob).Methods(http.MethodGet)
	router.HandleFunc("/v1/jobs/{id}", h.serveCancelJob).Methods(http.MethodDelete)
	router.HandleFunc("/v1/targets", h.serveTargets).Methods(http.MethodGet)
	router.HandleFunc("/v1/targets", h.servePropose).Methods(http.MethodPost)
	router.HandleFunc("/v1/refusals", h.serveRefusals).Methods(http.MethodGet)
	router.HandleFunc("/v1/timeline", h.serveTimeline).Methods(http.MethodGet)
	router.HandleFunc("/v1/status", h.serveStatus).Methods(http.MethodGet)
	router.HandleFunc("/healthz", h.serveHealth).Methods(http.MethodGet)
	router.HandleFunc("/readyz", h.serveReady).Methods(http.MethodGet)
	router.HandleFunc("/metrics", h.serveMetrics).Methods(http.MethodGet)
	router.NotFoundHandler = http.HandlerFunc(notFound)
	return router
}

func notFound(w http.ResponseWriter, _ *http.Request) {
	writeReply(w, http.StatusNotFound, ReplyBody{Outcome: structs.OutcomeNotRun, Reason: structs.ReasonNotFound})
}

// httpStatus maps an outcome and its reason to an HTTP status.
func httpStatus(outcome structs.Outcome, reason structs.Reason) int {
	switch outcome {
	case structs.OutcomeRan, structs.OutcomeAccepted:
		return http.StatusOK
	case structs.OutcomeInProgress:
		return http.StatusConflict
	case structs.OutcomeUnknown:
		if reason == structs.ReasonDeadlineExceeded {
			return http.StatusGatewayTimeout
		}
		return http.StatusBadGateway
	}
	switch reason {
	case structs.ReasonBadRequest, structs.ReasonInvalidTargets:
		return http.StatusBadRequest
	case structs.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case structs.ReasonUnknownClass, structs.ReasonUnknownWorkspace, structs.ReasonNotFound:
		return http.StatusNotFound
	case structs.ReasonKeyConflict, structs.ReasonVersionConflict:
		return http.StatusConflict
	case structs.ReasonKeyExpired:
		return http.StatusGone
	case structs.ReasonImpossibleShape, structs.ReasonGuaranteeUnfit:
		return http.StatusUnprocessableEntity
	case structs.ReasonQueueFull, structs.ReasonCannotMeetTarget:
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// ceilSeconds rounds up to whole seconds.
func ceilSeconds(after time.Duration) int64 {
	return int64((after + time.Second - 1) / time.Second)
}

func writeReply(w http.ResponseWriter, status int, body ReplyBody) {
	w.Header().Set(HeaderOutcome, string(body.Outcome))
	if body.Reason != structs.ReasonNone {
		w.Header().Set(HeaderReason, string(body.Reason))
	}
	if body.RetryAfterSec > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt(body.RetryAfterSec, 10))
	}
	writeJSON(w, status, body)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // an error means that the caller has gone
}

// refuse replies that a request was not run, or that the object of a query does not exist.
func refuse(w http.ResponseWriter, reason structs.Reason, detail string) {
	writeReply(w, httpStatus(structs.OutcomeNotRun, reason), ReplyBody{Outcome: structs.OutcomeNotRun, Reason: reason, Detail: detail})
}

// readBody reads a body up to the limit and requires UTF-8. If it returns false, it has
// answered the request.
func (h *apiHandler) readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := ingress.ReadBody(w, r, h.service.MaxBodyBytes())
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, ingress.ErrNoMemory):
		refuseOverloaded(w, r)
		return nil, false
	case errors.Is(err, ingress.ErrBodyTimeout):
		refuse(w, structs.ReasonBadRequest, err.Error())
		return nil, false
	case errors.As(err, &tooLarge):
		refuse(w, structs.ReasonTooLarge, "body is over the limit of "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes")
		return nil, false
	case err != nil:
		refuse(w, structs.ReasonBadRequest, "body is shorter than stated")
		return nil, false
	case !utf8.Valid(body):
		refuse(w, structs.ReasonBadRequest, "body is not UTF-8")
		return nil, false
	}
	return body, true
}

// overloadRetryAfter is returned to callers whose body found no memory.
const overloadRetryAfter = time.Second

// refuseOverloaded replies to a request whose body found no memory. An earlier request with the
// same key may have run.
func refuseOverloaded(w http.ResponseWriter, r *http.Request) {
	outcome := structs.OutcomeNotRun
	if r.Header.Get(HeaderKey) != "" {
		outcome = structs.OutcomeUnknown
	}
	writeReply(w, httpStatus(outcome, structs.ReasonOverloaded), ReplyBody{Outcome: outcome, Reason: structs.ReasonOverloaded,
		RetryAfterSec: ceilSeconds(overloadRetryAfter)})
}

// readJSON decodes a body strictly. If it returns false, it has answered the request.
func (h *apiHandler) readJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	body, ok := h.readBody(w, r)
	if !ok {
		return false
	}
	if err := decodeStrict(body, target); err != nil {
		refuse(w, structs.ReasonBadRequest, err.Error())
		return false
	}
	return true
}

func (h *apiHandler) serveRequest(w http.ResponseWriter, r *http.Request) {
	body, ok := h.readBody(w, r)
	if !ok {
		return
	}
	issued, ok := parseIssued(r)
	if !ok {
		refuse(w, structs.ReasonBadRequest, HeaderIssued+" is not a whole number of milliseconds")
		return
	}
	result := h.service.Request(r.Context(), service.Request{
		Workspace: r.Header.Get(HeaderWorkspace),
		Class:     mux.Vars(r)["class"],
		Key:       r.Header.Get(HeaderKey),
		IssuedAt:  issued,
		Body:      body,
	})
	// A replay whose answer was not stored gets a reply without the answer.
	if result.Outcome == structs.OutcomeRan && (result.Answer != nil || !result.Replayed) {
		writeAnswer(w, result)
		return
	}
	writeReply(w, httpStatus(result.Outcome, result.Reason), ReplyBody{Outcome: result.Outcome, Reason: result.Reason,
		RetryAfterSec: ceilSeconds(result.RetryAfter)})
}

// parseIssued parses the time at which the caller created the key; no header means the
// zero time.
func parseIssued(r *http.Request) (time.Time, bool) {
	text := r.Header.Get(HeaderIssued)
	if text == "" {
		return time.Time{}, true
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	return time.UnixMilli(ms), err == nil
}

// writeAnswer relays a runner's answer.
func writeAnswer(w http.ResponseWriter, result requests.Finish) {
	w.Header().Set(HeaderOutcome, string(structs.OutcomeRan))
	if result.Replayed {
		w.Header().Set(HeaderReplayed, "true")
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(result.Answer)))
	w.WriteHeader(result.Status)
	_, _ = w.Write(result.Answer) // an error means that the caller has gone
}

func (h *apiHandler) serveKey(w http.ResponseWriter, r *http.Request) {
	entry := h.service.KeyState(structs.KeyID{Workspace: mux.Vars(r)["workspace"], Key: mux.Vars(r)["key"]})
	if entry == nil {
		refuse(w, structs.ReasonNotFound, "no such key is remembered")
		return
	}
	writeJSON(w, http.StatusOK, KeyBody{Phase: entry.Phase, Reason: entry.Reason, Class: entry.Claim.Class, Holder: entry.Claim.Holder})
}

func (h *apiHandler) serveSubmitJob(w http.ResponseWriter, r *http.Request) {
	var job service.JobRequest
	if !h.readJSON(w, r, &job) {
		return
	}
	reply := h.service.SubmitJob(r.Context(), job)
	status := httpStatus(reply.Outcome, reply.Reason)
	if reply.Outcome == structs.OutcomeAccepted {
		status = http.StatusAccepted
	}
	writeReply(w, status, replyBody(reply))
}

// replyBody converts a reply to its JSON body.
func replyBody(reply structs.Reply) ReplyBody {
	return ReplyBody{Outcome: reply.Outcome, Reason: reply.Reason, Detail: reply.Detail, ID: reply.ID, RetryAfterSec: ceilSeconds(reply.RetryAfter)}
}

func (h *apiHandler) serveJob(w http.ResponseWriter, r *http.Request) {
	state := h.service.Job(mux.Vars(r)["id"])
	if state == nil {
		refuse(w, structs.ReasonNotFound, "no such job is remembered")
		return
	}
	writeJSON(w, http.StatusOK, state)
}

func (h *apiHandler) serveCancelJob(w http.ResponseWriter, r *http.Request) {
	reply := h.service.CancelJob(r.Context(), mux.Vars(r)["id"])
	writeReply(w, httpStatus(reply.Outcome, reply.Reason), replyBody(reply))
}

func (h *apiHandler) serveTargets(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, h.service.Targets())
}

func (h *apiHandler) servePropose(w http.ResponseWriter, r *http.Request) {
	var proposal service.TargetsDocument
	if !h.readJSON(w, r, &proposal) {
		return
	}
	reply, version := h.service.ProposeTargets(r.Context(), proposal)
	body := replyBody(reply)
	body.Version = version
	writeReply(w, httpStatus(reply.Outcome, reply.Reason), body)
}

func (h *apiHandler) serveRefusals(w http.ResponseWriter, r *http.Request) {
	list, err := h.service.Refusals(r.Context(), r.URL.Query().Get("workspace"))
	if err != nil {
		refuse(w, structs.ReasonLogUnavailable, "recorded refusals cannot be read now")
		return
	}
	writeJSON(w, http.StatusOK, list)
}

// serveTimeline serves the events of this process. The query parameter job selects the
// subject of events, which may also be a request key or a worker.
func (h *apiHandler) serveTimeline(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	events, overwritten := h.service.Events(timeline.Filter{Subject: query.Get("job"), Workspace: query.Get("workspace")})
	writeJSON(w, http.StatusOK, EventsBody{Events: events, Overwritten: overwritten})
}

func (h *apiHandler) serveStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, h.service.Status())
}

// serveHealth always replies 200: a process that replies is alive. For readiness see
// serveReady.
func (h *apiHandler) serveHealth(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, h.service.Status())
}

func (h *apiHandler) serveReady(w http.ResponseWriter, _ *http.Request) {
	status := h.service.Status()
	code := http.StatusOK
	if !status.Ready || status.Draining {
		code = http.StatusServiceUnavailable
	}
	writeJSON(w, code, status)
}

func (h *apiHandler) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(h.registry, w)
}
