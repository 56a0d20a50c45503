package replica

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/ledger"
	"github.com/teaselcleat/teaselcleat/structs"
)

// Guards against waiters that are kept for every submission and proposal that was never read back.
func TestWaitersOfAbandonedCallsAreForgotten(t *testing.T) {
	is := is.New(t)
	r := New("a/1")
	_, unregisterFirst := r.RegisterSubmitWaiter("j")
	second, unregisterSecond := r.RegisterSubmitWaiter("j")
	_, unregisterProposal := r.RegisterProposalWaiter("p")
	unregisterFirst()
	unregisterProposal()
	is.Equal(len(r.submitWaiters["j"]), 1)
	is.Equal(len(r.proposalWaiters), 0)

	data, err := json.Marshal(structs.Record{Kind: structs.RecordSubmit, Submit: &structs.Job{ID: "j"}})
	is.NoErr(err)
	r.LedgerSink().Fold(0, [][]byte{data})
	is.Equal(<-second, ledger.VoidNone) // the other waiter of the same job still gets the result

	unregisterSecond()
	is.Equal(len(r.submitWaiters), 0)
}
