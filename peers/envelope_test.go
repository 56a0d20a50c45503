package peers

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"runtime"
	"testing"

	"github.com/matryer/is"
)

func TestDeclaredLengthReservesNoMemory(t *testing.T) {
	is := is.New(t)
	message := binary.BigEndian.AppendUint32(nil, maxEnvelopeBytes)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := readEnvelope(bufio.NewReader(bytes.NewReader(append(message, 1, 2, 3))))
	runtime.ReadMemStats(&after)
	is.True(err != nil)
	is.True(after.TotalAlloc-before.TotalAlloc < 1<<20)
}
