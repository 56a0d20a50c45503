// Package fronthttp is the plug-in that serves the HTTP API of callers and operators.
package fronthttp

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"

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

// ReplyBody is the JSON body of every answer but those relayed from a runner.
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

// front serves one instance.
type front struct {
	service  service.Service
	registry metrics.Registry
}

// Handler returns the HTTP handler of an instance.
func Handler(s service.Service, registry metrics.Registry) http.Handler {
	f := &front{service: s, registry: registry}
	router := mux.NewRouter()
	router.HandleFunc("/v1/requests/{class}", f.serveRequest).Methods(http.MethodPost)
	router.HandleFunc("/v1/keys/{workspace}/{key}", f.serveKey).Methods(http.MethodGet)
	router.HandleFunc("/v1/jobs", f.serveSubmitJob).Methods(http.MethodPost)
	router.HandleFunc("/v1/jobs/{id}", f.serveJob).Methods(http.MethodGet)
	router.HandleFunc("/v1/jobs/{id}", f.serveCancelJob).Methods(http.MethodDelete)
	router.HandleFunc("/v1/targets", f.serveTargets).Methods(http.MethodGet)
	router.HandleFunc("/v1/targets", f.servePropose).Methods(http.MethodPost)
	router.HandleFunc("/v1/refusals", f.serveRefusals).Methods(http.MethodGet)
	router.HandleFunc("/v1/timeline", f.serveTimeline).Methods(http.MethodGet)
	router.HandleFunc("/v1/status", f.serveStatus).Methods(http.MethodGet)
	router.HandleFunc("/healthz", f.serveHealth).Methods(http.MethodGet)
	router.HandleFunc("/readyz", f.serveReady).Methods(http.MethodGet)
	router.HandleFunc("/metrics", f.serveMetrics).Methods(http.MethodGet)
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

// refuse answers that a request was not run.
func refuse(w http.ResponseWriter, reason structs.Reason, detail string) {
	writeReply(w, httpStatus(structs.OutcomeNotRun, reason), ReplyBody{Outcome: structs.OutcomeNotRun, Reason: reason, Detail: detail})
}

// readBody reads a body up to the limit and requires UTF-8. If it returns false, it has
// answered the request.
func (f *front) readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, f.service.MaxBodyBytes()))
	var tooLarge *http.MaxBytesError
	switch {
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

// readJSON decodes a body strictly. If it returns false, it has answered the request.
func (f *front) readJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	body, ok := f.readBody(w, r)
	if !ok {
		return false
	}
	if err := decodeStrict(body, target); err != nil {
		refuse(w, structs.ReasonBadRequest, err.Error())
		return false
	}
	return true
}

func (f *front) serveRequest(w http.ResponseWriter, r *http.Request) {
	body, ok := f.readBody(w, r)
	if !ok {
		return
	}
	issued, ok := parseIssued(r)
	if !ok {
		refuse(w, structs.ReasonBadRequest, HeaderIssued+" is not a whole number of milliseconds")
		return
	}
	result := f.service.Request(r.Context(), service.Request{
		Workspace: r.Header.Get(HeaderWorkspace),
		Class:     mux.Vars(r)["class"],
		Key:       r.Header.Get(HeaderKey),
		IssuedAt:  issued,
		Body:      body,
	})
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

func (f *front) serveKey(w http.ResponseWriter, r *http.Request) {
	entry := f.service.KeyState(structs.KeyID{Workspace: mux.Vars(r)["workspace"], Key: mux.Vars(r)["key"]})
	if entry == nil {
		refuse(w, structs.ReasonNotFound, "no such key is remembered")
		return
	}
	writeJSON(w, http.StatusOK, KeyBody{Phase: entry.Phase, Reason: entry.Reason, Class: entry.Claim.Class, Holder: entry.Claim.Holder})
}

func (f *front) serveSubmitJob(w http.ResponseWriter, r *http.Request) {
	var job service.JobRequest
	if !f.readJSON(w, r, &job) {
		return
	}
	reply := f.service.SubmitJob(r.Context(), job)
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

func (f *front) serveJob(w http.ResponseWriter, r *http.Request) {
	state := f.service.Job(mux.Vars(r)["id"])
	if state == nil {
		refuse(w, structs.ReasonNotFound, "no such job is remembered")
		return
	}
	writeJSON(w, http.StatusOK, state)
}

func (f *front) serveCancelJob(w http.ResponseWriter, r *http.Request) {
	reply := f.service.CancelJob(r.Context(), mux.Vars(r)["id"])
	writeReply(w, httpStatus(reply.Outcome, reply.Reason), replyBody(reply))
}

func (f *front) serveTargets(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, f.service.Targets())
}

func (f *front) servePropose(w http.ResponseWriter, r *http.Request) {
	var proposal service.TargetsDocument
	if !f.readJSON(w, r, &proposal) {
		return
	}
	reply, version := f.service.ProposeTargets(r.Context(), proposal)
	body := replyBody(reply)
	body.Version = version
	writeReply(w, httpStatus(reply.Outcome, reply.Reason), body)
}

func (f *front) serveRefusals(w http.ResponseWriter, r *http.Request) {
	list, err := f.service.Refusals(r.Context(), r.URL.Query().Get("workspace"))
	if err != nil {
		refuse(w, structs.ReasonLogUnavailable, "recorded refusals cannot be read now")
		return
	}
	writeJSON(w, http.StatusOK, list)
}

func (f *front) serveTimeline(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	events, overwritten := f.service.Events(timeline.Filter{Subject: query.Get("job"), Workspace: query.Get("workspace")})
	writeJSON(w, http.StatusOK, EventsBody{Events: events, Overwritten: overwritten})
}

func (f *front) serveStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, f.service.Status())
}

func (f *front) serveHealth(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, f.service.Status())
}

func (f *front) serveReady(w http.ResponseWriter, _ *http.Request) {
	status := f.service.Status()
	code := http.StatusOK
	if !status.Ready || status.Draining {
		code = http.StatusServiceUnavailable
	}
	writeJSON(w, code, status)
}

func (f *front) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(f.registry, w)
}
