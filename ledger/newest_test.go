package ledger_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/ledger"
	"github.com/teaselcleat/teaselcleat/structs"
)

// Guards against targets that go back because the instance with the newest ledger has older ones.
func TestNewestSnapshotTakesEachStreamFromWhereItIsNewest(t *testing.T) {
	is := is.New(t)
	newerLedger := &ledger.Snapshot{AtMS: 20, LedgerNext: 9, Term: structs.Term{Number: 3}, TargetsNext: 1, TargetsVersion: 1}
	newerTargets := &ledger.Snapshot{AtMS: 10, LedgerNext: 8, Term: structs.Term{Number: 2}, TargetsNext: 4, TargetsVersion: 3,
		TargetsDocument: "document", TargetsLastID: "id"}
	want := &ledger.Snapshot{AtMS: 10, LedgerNext: 9, Term: structs.Term{Number: 3}, TargetsNext: 4, TargetsVersion: 3,
		TargetsDocument: "document", TargetsLastID: "id"}
	is.Equal(ledger.Newest(newerLedger, newerTargets), want)
	is.Equal(ledger.Newest(newerTargets, newerLedger), want)
	is.Equal(ledger.Newest(nil, newerLedger), newerLedger)
	is.Equal(ledger.Newest(newerLedger, nil), newerLedger)
	is.Equal(ledger.Newest(nil, nil), nil)
}
