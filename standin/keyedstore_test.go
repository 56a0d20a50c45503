package standin

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// A malformed append is answered, and appends nothing.
func TestMalformedAppendIsRefused(t *testing.T) {
	is := is.New(t)
	store := NewKeyedStore()
	for _, body := range [][]byte{{1}, {0, 0, 0, 0}, {0, 0, 0, 9, 1, 'k'}, {0, 0, 0, 2, 7, 'k'}, {255, 255, 255, 255, 1, 'k'}} {
		request := httptest.NewRequest(http.MethodPost, "/api/log-append?topic=keyed.work&part=0", bytes.NewReader(body))
		answer := httptest.NewRecorder()
		store.serveAppend(answer, request)
		is.Equal(answer.Code, http.StatusBadRequest)
	}
	is.Equal(store.partition("keyed.work", "0").end(), int64(0))
}
