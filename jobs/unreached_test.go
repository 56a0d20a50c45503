package jobs

import (
	"encoding/base64"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func unreachedRecord(t *testing.T, epoch int64, leadMS map[string]int64) Record {
	t.Helper()
	unreached, err := NewUnreached(epoch, leadMS)
	if err != nil {
		t.Fatal(err)
	}
	record, err := UnreachedRecord(unreached)
	if err != nil {
		t.Fatal(err)
	}
	return record
}

func TestNewestStatementAboutUnreachedWorkersCounts(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	is.Equal(table.Unreached(), nil)
	newer := unreachedRecord(t, 4, map[string]int64{"w2": 0})
	older := unreachedRecord(t, 3, map[string]int64{"w1": 250})
	for offset, record := range map[int64]Record{9: newer, 8: older} {
		_, err := table.Apply(record, 0, offset)
		is.NoErr(err)
	}
	is.Equal(table.Unreached(), &Unreached{Epoch: 4, LeadMS: map[string]int64{"w2": 0}})
}

// A statement that was withdrawn must not count again because its withdrawal cannot be read.
func TestUnreadableStatementAboutUnreachedWorkersWithdrawsTheFormerOne(t *testing.T) {
	valid := unreachedRecord(t, 3, map[string]int64{"w1": 250})
	for _, value := range []string{``, `{`, `[]`, `{"e":0}`, `{"e":3,"w":{"w1":-1}}`, `{"e":"3"}`} {
		t.Run(value, func(t *testing.T) {
			is := is.New(t)
			table := NewTable()
			_, err := table.Apply(valid, 0, 1)
			is.NoErr(err)
			_, err = table.Apply(Record{Key: unreachedKey, Value: []byte(value)}, 0, 2)
			is.Equal(err == nil, value == "")
			is.Equal(table.Unreached(), nil)
		})
	}
}

func TestStatementAboutUnreachedWorkersFitsIntoARecord(t *testing.T) {
	is := is.New(t)
	leadMS := map[string]int64{}
	for number := range 2000 {
		leadMS[fmt.Sprintf("worker-%04d%s", number, strings.Repeat("\"", 40))] = 1 << 40
	}
	record := unreachedRecord(t, 1<<40, leadMS)
	is.True(base64.StdEncoding.EncodedLen(len(record.Value)) < 262144)
	table := NewTable()
	_, err := table.Apply(record, 0, 1)
	is.NoErr(err)
	stated := len(table.Unreached().LeadMS)
	is.True(stated > 1000 && stated < len(leadMS))
}
