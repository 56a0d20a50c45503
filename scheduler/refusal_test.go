package scheduler_test

import (
	"testing"

	"github.com/teaselcleat/teaselcleat/scheduler"
)

// A try takes longer than a worker without an answer is avoided.
func TestGangTriesAllRacksBeforeOneThatDidNotAnswer(t *testing.T) {
	i := newIdler(t, 12, 4)
	gang := jobOf("gang", "b", 4, 8)
	gang.Shape.Adjacent = true
	i.submit(gang)
	silent := map[string]string{"r000": "w001", "r001": "w005"}
	for range 10 {
		worker, unanswered := silent[rackOf(i.runs["gang"].Members[0].Worker)]
		if !unanswered {
			return
		}
		i.now += 4500 * scheduler.Millisecond // at a lease of 6 s: the round, and the release without an answer
		i.end("gang", scheduler.RunNotStarted, worker)
		i.is.True(i.starts("gang", 5*scheduler.Second))
	}
	t.Fatal("it was not tried in the third rack")
}

func rackOf(worker string) string {
	for _, spec := range workersOf(12, 4) {
		if spec.ID == worker {
			return spec.Rack
		}
	}
	return ""
}

// Where nothing else holds the job, a worker that refused it is tried again soon.
func TestOnlyWorkerIsTriedAgainSoonAfterARefusal(t *testing.T) {
	i := newIdler(t, 1, 1)
	i.submit(jobOf("j", "b", 1, 8))
	for range 5 {
		i.end("j", scheduler.RunNotStarted, "w000")
		i.is.True(i.starts("j", 5*scheduler.Second))
	}
}

// While all others are in use, a worker that refused a run is tried again within a minute.
func TestIdleWorkerIsTriedAgainAfterARefusalWhileOthersAreInUse(t *testing.T) {
	i := newIdler(t, 2, 1)
	i.submit(jobOf("j", "b", 1, 8))
	refusing := i.runs["j"].Members[0].Worker
	i.submit(jobOf("long", "c", 1, 8))
	i.end("j", scheduler.RunNotStarted, refusing)
	i.is.True(i.starts("j", scheduler.Minute))
	i.is.Equal(i.runs["j"].Members[0].Worker, refusing)
}
