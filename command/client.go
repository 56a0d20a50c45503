package command

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/teaselcleat/teaselcleat/adapters/fronthttp"
	"github.com/teaselcleat/teaselcleat/service"
	"github.com/teaselcleat/teaselcleat/structs"
	"github.com/teaselcleat/teaselcleat/timeline"
)

// clientTimeout bounds a call; requests may run for minutes.
const clientTimeout = 10 * time.Minute

const addressHelp = "address of an instance, IP:PORT"

// call sends an HTTP request and returns the status and the body.
func call(method, address, path string, headers map[string]string, body []byte) (int, []byte, error) {
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, eris.Wrap(err, "request")
	}
	for name, value := range headers {
		if value != "" {
			request.Header.Set(name, value)
		}
	}
	client := &http.Client{Timeout: clientTimeout}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, eris.Wrap(err, "call")
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, answer, eris.Wrap(err, "answer")
}

// printAnswer prints an answer and returns the exit code for its status.
func printAnswer(to output, name string, status int, answer []byte, err error) int {
	if err != nil {
		return fail(to, name, err)
	}
	fmt.Fprintln(to.out, string(bytes.TrimSpace(answer)))
	if status >= http.StatusMultipleChoices {
		return ExitFailed
	}
	return ExitOK
}

// submitOptions holds the flags of the submit command.
type submitOptions struct {
	address   string
	workspace string
	class     string
	key       string
	body      string
	shape     string
	scattered bool
	declared  int64
	payload   string
}

func (s *submitOptions) register(flags *flag.FlagSet) {
	flags.StringVar(&s.address, "addr", "", addressHelp)
	flags.StringVar(&s.workspace, "workspace", "", "workspace of the work")
	flags.StringVar(&s.class, "class", "", "class of the work")
	flags.StringVar(&s.key, "key", "", "idempotency key")
	flags.StringVar(&s.body, "body", "", "body of a request")
	flags.StringVar(&s.shape, "gang", "", "MEMBERSxACCELERATORS; makes the submission a gang job")
	flags.BoolVar(&s.scattered, "scattered", false, "the gang's workers need not be in one rack")
	flags.Int64Var(&s.declared, "declared", 0, "declared run time of a gang job, in seconds")
	flags.StringVar(&s.payload, "payload", "", "payload passed to a gang job's tasks")
}

func runSubmit(args []string, to output) int {
	flags := newFlags("submit", to)
	var s submitOptions
	s.register(flags)
	if code, ok := parse(flags, args, 0, 0, to); !ok {
		return code
	}
	if s.address == "" || s.class == "" || s.workspace == "" {
		fmt.Fprintln(to.err, "submit: -addr, -workspace and -class are required")
		return ExitUsage
	}
	if s.shape == "" {
		status, answer, err := call(http.MethodPost, s.address, "/v1/requests/"+url.PathEscape(s.class),
			map[string]string{fronthttp.HeaderWorkspace: s.workspace, fronthttp.HeaderKey: s.key}, []byte(s.body))
		return printAnswer(to, "submit", status, answer, err)
	}
	return s.submitGang(to)
}

func (s *submitOptions) submitGang(to output) int {
	shape, err := structs.ParseShape(s.shape)
	if err != nil {
		fmt.Fprintln(to.err, "submit: "+err.Error())
		return ExitUsage
	}
	shape.Adjacent = !s.scattered
	body, err := json.Marshal(service.JobRequest{Workspace: s.workspace, Class: s.class, Key: s.key, Shape: shape,
		DeclaredS: s.declared, Payload: s.payload})
	if err != nil {
		return fail(to, "submit", err)
	}
	status, answer, err := call(http.MethodPost, s.address, "/v1/jobs", nil, body)
	return printAnswer(to, "submit", status, answer, err)
}

func runStatus(args []string, to output) int { return callJob("status", http.MethodGet, args, to) }

func runCancel(args []string, to output) int { return callJob("cancel", http.MethodDelete, args, to) }

func callJob(name, method string, args []string, to output) int {
	flags := newFlags(name, to)
	address := flags.String("addr", "", addressHelp)
	if code, ok := parse(flags, args, 1, 1, to); !ok {
		return code
	}
	status, answer, err := call(method, *address, "/v1/jobs/"+url.PathEscape(flags.Arg(0)), nil, nil)
	return printAnswer(to, name, status, answer, err)
}

func runTargets(args []string, to output) int {
	if len(args) == 0 || (args[0] != "get" && args[0] != "propose") {
		fmt.Fprintln(to.err, "usage: teaselcleat targets get -addr ADDR | targets propose -addr ADDR -base VERSION FILE")
		return ExitUsage
	}
	flags := newFlags("targets "+args[0], to)
	address := flags.String("addr", "", addressHelp)
	if args[0] == "get" {
		if code, ok := parse(flags, args[1:], 0, 0, to); !ok {
			return code
		}
		return getTargets(*address, to)
	}
	base := flags.Int64("base", -1, "version that the proposal is based on")
	if code, ok := parse(flags, args[1:], 1, 1, to); !ok {
		return code
	}
	return proposeTargets(*address, *base, flags.Arg(0), to)
}

func getTargets(address string, to output) int {
	status, answer, err := call(http.MethodGet, address, "/v1/targets", nil, nil)
	var document service.TargetsDocument
	if err != nil || status != http.StatusOK || json.Unmarshal(answer, &document) != nil {
		return printAnswer(to, "targets", status, answer, err)
	}
	fmt.Fprintf(to.out, "; version = %d\n%s", document.Version, document.Text)
	return ExitOK
}

func proposeTargets(address string, base int64, path string, to output) int {
	if base < 0 {
		fmt.Fprintln(to.err, "targets propose: -base is required")
		return ExitUsage
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return fail(to, "targets", err)
	}
	return postTargets(address, "targets", service.TargetsDocument{Version: base, Text: string(text)}, to)
}

func postTargets(address, name string, document service.TargetsDocument, to output) int {
	body, err := json.Marshal(document)
	if err != nil {
		return fail(to, name, err)
	}
	status, answer, err := call(http.MethodPost, address, "/v1/targets", nil, body)
	return printAnswer(to, name, status, answer, err)
}

func runRefusals(args []string, to output) int {
	flags := newFlags("refusals", to)
	address := flags.String("addr", "", addressHelp)
	workspace := flags.String("workspace", "", "only this workspace")
	if code, ok := parse(flags, args, 0, 0, to); !ok {
		return code
	}
	status, answer, err := call(http.MethodGet, *address, "/v1/refusals?workspace="+url.QueryEscape(*workspace), nil, nil)
	var list []structs.Refusal
	if err != nil || status != http.StatusOK || json.Unmarshal(answer, &list) != nil {
		return printAnswer(to, "refusals", status, answer, err)
	}
	for _, refusal := range list {
		fmt.Fprintf(to.out, "at_ms=%d workspace=%s class=%s subject=%s outcome=%s reason=%s retry_after_s=%d instance=%s dropped_before=%d\n",
			refusal.AtMS, refusal.Workspace, refusal.Class, refusal.Subject, refusal.Outcome, refusal.Reason, refusal.RetryAfter, refusal.Instance, refusal.Dropped)
	}
	return ExitOK
}

func runTimeline(args []string, to output) int {
	flags := newFlags("timeline", to)
	job := flags.String("job", "", "only events of this job, request key or worker")
	workspace := flags.String("workspace", "", "only events of this workspace")
	if code, ok := parse(flags, args, 1, 1000, to); !ok {
		return code
	}
	query := "/v1/timeline?job=" + url.QueryEscape(*job) + "&workspace=" + url.QueryEscape(*workspace)
	var lists [][]timeline.Event
	code := ExitOK
	for _, address := range flags.Args() {
		events, overwritten, err := fetchEvents(address, query)
		if err != nil {
			code = fail(to, "timeline "+address, err)
			continue
		}
		if overwritten > 0 {
			fmt.Fprintf(to.err, "timeline: %s has overwritten %d older events\n", address, overwritten)
		}
		lists = append(lists, events)
	}
	printEvents(to, timeline.Merge(lists...))
	return code
}

func fetchEvents(address, query string) ([]timeline.Event, int64, error) {
	status, answer, err := call(http.MethodGet, address, query, nil, nil)
	if err != nil {
		return nil, 0, err
	}
	var body fronthttp.EventsBody
	if status != http.StatusOK {
		return nil, 0, eris.Errorf("status %d", status)
	}
	err = json.Unmarshal(answer, &body)
	return body.Events, body.Overwritten, eris.Wrap(err, "events")
}

func printEvents(to output, events []timeline.Event) {
	for _, event := range events {
		fmt.Fprintf(to.out, "at_ms=%d.%d process=%s event=%s subject=%s workspace=%s detail=%s\n", event.Stamp.WallMS, event.Stamp.Counter,
			event.Process, event.Name, event.Subject, event.Workspace, strconv.Quote(event.Detail))
	}
}
