package fronthttp

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"
)

// decodeStrict decodes one JSON value and rejects unknown fields and trailing data.
func decodeStrict(data []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return eris.Errorf("body is not the expected JSON: %s", err.Error())
	}
	if _, err := decoder.Token(); err != io.EOF {
		return eris.New("body has data after its JSON value")
	}
	return nil
}
