package fronthttp

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/structs"
)

// An earlier request with the key may have run.
func TestOverloadIsNotReportedAsNotRunUnderAKey(t *testing.T) {
	for key, outcome := range map[string]structs.Outcome{"": structs.OutcomeNotRun, "k": structs.OutcomeUnknown} {
		is := is.New(t)
		request := httptest.NewRequest(http.MethodPost, "/v1/requests/surge", nil)
		request.Header.Set(HeaderKey, key)
		recorder := httptest.NewRecorder()
		refuseOverloaded(recorder, request)
		is.Equal(structs.Outcome(recorder.Header().Get(HeaderOutcome)), outcome)
		is.Equal(structs.Reason(recorder.Header().Get(HeaderReason)), structs.ReasonOverloaded)
	}
}
