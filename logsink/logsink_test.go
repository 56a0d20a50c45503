package logsink

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A blocked output must cost lines but never time, and the loss must be reported.
func TestFullSinkReportsDroppedLines(t *testing.T) {
	is := is.New(t)
	sink := New()
	for range MaxLines + 3 {
		written, err := sink.Write([]byte("line\n"))
		is.NoErr(err)
		is.Equal(written, 5)
	}
	var out bytes.Buffer
	sink.Flush(&out)
	is.Equal(strings.Count(out.String(), "line\n"), MaxLines)
	is.True(strings.Contains(out.String(), "count=3"))
}

func TestRunWritesRemainingLinesAtEnd(t *testing.T) {
	is := is.New(t)
	sink := New()
	_, err := sink.Write([]byte("last\n"))
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	var out bytes.Buffer
	sink.Run(ctx, &out)
	is.Equal(out.String(), "last\n")
}

func TestBudgetIsPerKind(t *testing.T) {
	is := is.New(t)
	budget := NewBudget(2)
	now := time.Unix(100, 0)
	allowed := 0
	for range 5 {
		if ok, _ := budget.Allow("placed", now); ok {
			allowed++
		}
	}
	is.Equal(allowed, 2)
	ok, _ := budget.Allow("submit", now)
	is.True(ok) // another kind has its own budget
	ok, skipped := budget.Allow("placed", now.Add(time.Second))
	is.True(ok)
	is.Equal(skipped, []SkippedLines{{Kind: "placed", Count: 3}})
}
