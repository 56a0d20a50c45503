package scheduler_test

import (
	"testing"

	"github.com/teaselcleat/teaselcleat/scheduler"
)

// One attempt takes longer than refusalBackoff, so an unresponsive worker is out of backoff
// again when the gang is placed anew.
func TestGangTriesEveryRackBeforeAnUnresponsiveWorker(t *testing.T) {
	h := newHarness(t, 12, 4)
	gang := newJobSpec("gang", "b", 4, 8)
	gang.Shape.Adjacent = true
	h.submit(gang)
	silent := map[string]string{"r000": "w001", "r001": "w005"}
	for range 10 {
		worker, unanswered := silent[rackOf(h.runs["gang"].Members[0].Worker)]
		if !unanswered {
			return
		}
		h.now += 4500 * scheduler.Millisecond // with a lease of 6 s: the reservation round and the unanswered release
		h.endRun("gang", scheduler.RunNotStarted, worker)
		h.is.True(h.startsOrEnds("gang", 5*scheduler.Second))
	}
	t.Fatal("the gang was not tried in the third rack")
}

func rackOf(worker string) string {
	for _, spec := range newWorkers(12, 4) {
		if spec.ID == worker {
			return spec.Rack
		}
	}
	return ""
}

// If the job fits no other worker, the one that refused it is retried soon.
func TestOnlyWorkerIsRetriedSoonAfterARefusal(t *testing.T) {
	h := newHarness(t, 1, 1)
	h.submit(newJobSpec("j", "b", 1, 8))
	for range 5 {
		h.endRun("j", scheduler.RunNotStarted, "w000")
		h.is.True(h.startsOrEnds("j", 5*scheduler.Second))
	}
}

// While all other workers are in use, a worker that refused a run is retried within a minute.
func TestRefusingWorkerIsRetriedWhileOthersAreBusy(t *testing.T) {
	h := newHarness(t, 2, 1)
	h.submit(newJobSpec("j", "b", 1, 8))
	refusing := h.runs["j"].Members[0].Worker
	h.submit(newJobSpec("long", "c", 1, 8))
	h.endRun("j", scheduler.RunNotStarted, refusing)
	h.is.True(h.startsOrEnds("j", scheduler.Minute))
	h.is.Equal(h.runs["j"].Members[0].Worker, refusing)
}
