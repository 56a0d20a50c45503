package replay

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"sort"
	"testing"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "rewrite the checked-in traces")

// Seeds of the checked-in traces.
const (
	merrimackSeed = 18
	authoritySeed = 77
)

const (
	minute = 60.0
	hour   = 3600.0
)

// jobKind describes a kind of job in a generated trace.
type jobKind struct {
	class        string
	members      int
	accelerators int
	adjacent     bool
	median       float64 // seconds
	sigma        float64 // standard deviation of the run time's logarithm
	weight       int
}

// generator generates one trace from a seed.
type generator struct {
	rng        *rand.Rand
	workspaces []string
	events     []Event
	jobs       int
}

func newGenerator(seed uint64, workspaces ...string) *generator {
	return &generator{rng: rand.New(rand.NewPCG(seed, seed)), workspaces: workspaces}
}

func (g *generator) lognormal(median, sigma float64) float64 {
	return median * math.Exp(sigma*g.rng.NormFloat64())
}

// submit adds a job at a time in seconds. One in 40 of the jobs with a median over
// 10 minutes never ends by itself and is cancelled 3 to 4 hours after its
// submission. Declared times are often far off.
func (g *generator) submit(at float64, k jobKind, workspace string) string {
	g.jobs++
	name := fmt.Sprintf("job-%04d", g.jobs)
	actual := math.Round(g.lognormal(k.median, k.sigma)*10) / 10
	declared := math.Round(g.lognormal(actual, 0.9))
	if g.rng.IntN(6) == 0 {
		declared = math.Round(k.median * 4)
	}
	if k.median > 10*minute && g.rng.IntN(40) == 0 {
		actual = 0
		g.add(Event{AtMS: toMS(at + 3*hour + g.rng.Float64()*hour), Event: EventCancel, Job: name})
	}
	g.add(Event{AtMS: toMS(at), Event: EventSubmit, Job: name, Workspace: workspace, Class: k.class, Members: k.members,
		Accelerators: k.accelerators, Adjacent: k.adjacent, DeclaredS: max(declared, 1), ActualS: actual})
	return name
}

func toMS(seconds float64) int64 { return int64(seconds * 1000) }

func (g *generator) add(event Event) { g.events = append(g.events, event) }

func (g *generator) workspace() string { return g.workspaces[g.rng.IntN(len(g.workspaces))] }

func (g *generator) pickKind(kinds []jobKind) jobKind {
	total := 0
	for _, k := range kinds {
		total += k.weight
	}
	drawn := g.rng.IntN(total)
	for _, k := range kinds {
		if drawn -= k.weight; drawn < 0 {
			return k
		}
	}
	return kinds[0]
}

// submitRandomly submits a number of jobs at random times in an interval.
func (g *generator) submitRandomly(from, to float64, count int, kinds []jobKind) []string {
	var names []string
	for range count {
		names = append(names, g.submit(from+g.rng.Float64()*(to-from), g.pickKind(kinds), g.workspace()))
	}
	return names
}

// addWorkerEvents adds a pair of events of one random worker.
func (g *generator) addWorkerEvents(from, to float64, down, up EventName) {
	name := fmt.Sprintf("w%d", g.rng.IntN(50))
	g.add(Event{AtMS: toMS(from), Event: down, Worker: name})
	g.add(Event{AtMS: toMS(to), Event: up, Worker: name})
}

func (g *generator) sorted() []Event {
	sort.SliceStable(g.events, func(i, j int) bool { return g.events[i].AtMS < g.events[j].AtMS })
	return g.events
}

// merrimack generates 16 hours from 18:00: bursts of wear models for a meeting at
// 06:00, surge checks with a peak at 02:00, reconciliations, two workers that fail
// every task, the loss of a rack, a wave of cancellations and a log outage.
func merrimack(seed uint64) []Event {
	g := newGenerator(seed, "manchester", "lawrence", "lowell", "nashua")
	wear := []jobKind{
		{"impeller-wear", 1, 4, false, 50 * minute, 0.5, 5},
		{"impeller-wear", 1, 8, false, 60 * minute, 0.5, 4},
		{"impeller-wear", 2, 8, true, 70 * minute, 0.4, 4},
		{"impeller-wear", 4, 8, true, 80 * minute, 0.4, 3},
		{"impeller-wear", 6, 8, true, 60 * minute, 0.3, 1},
	}
	flow := []jobKind{{"flow-reconciliation", 1, 2, false, 20 * minute, 0.6, 3}, {"flow-reconciliation", 2, 4, true, 30 * minute, 0.5, 1}}
	surge := []jobKind{{"surge-check", 1, 1, false, 25, 0.5, 4}, {"surge-check", 1, 4, false, 35, 0.5, 2}, {"surge-check", 2, 4, true, 40, 0.4, 1}}
	g.submitRandomly(0, 20*minute, 50, wear)
	g.submitRandomly(1*hour, 1.2*hour, 35, wear)
	cancelled := g.submitRandomly(2*hour, 2.1*hour, 40, wear)
	for _, name := range cancelled[:30] {
		g.add(Event{AtMS: toMS(2.4*hour + g.rng.Float64()*minute), Event: EventCancel, Job: name})
	}
	g.submitRandomly(3*hour, 4*hour, 25, wear)
	g.submitRandomly(5*hour, 6.5*hour, 20, wear)
	g.submitRandomly(0, 15*hour, 60, flow)
	g.submitRandomly(0, 16*hour, 250, surge)
	g.submitRandomly(8*hour, 8.4*hour, 300, surge) // the peak at 02:00
	g.submitRandomly(12*hour, 15*hour, 30, wear)
	g.submit(4*hour, jobKind{"impeller-wear", 9, 8, true, hour, 0.3, 1}, "lowell") // fits in no rack
	g.addWorkerEvents(1*hour, 9*hour, EventWorkerBad, EventWorkerGood)
	g.addWorkerEvents(4*hour, 12*hour, EventWorkerBad, EventWorkerGood)
	for n := 16; n < 24; n++ { // all workers of a rack
		g.add(Event{AtMS: toMS(6 * hour), Event: EventWorkerDown, Worker: fmt.Sprintf("w%d", n)})
		g.add(Event{AtMS: toMS(6.7 * hour), Event: EventWorkerUp, Worker: fmt.Sprintf("w%d", n)})
	}
	g.addWorkerEvents(10*hour, 11*hour, EventWorkerDown, EventWorkerUp)
	g.add(Event{AtMS: toMS(9 * hour), Event: EventAppendDown})
	g.add(Event{AtMS: toMS(9*hour + 4*minute), Event: EventAppendUp})
	return g.sorted()
}

// authority generates 24 hours from 06:00: large surveys through the morning, title
// searches in office hours, royalty reassessments, a worker that fails every task,
// two lost workers, a wave of cancellations and a log outage.
func authority(seed uint64) []Event {
	g := newGenerator(seed, "western", "ashanti", "eastern", "districts")
	survey := []jobKind{
		{"boundary-survey", 4, 8, true, 90 * minute, 0.5, 4},
		{"boundary-survey", 6, 8, true, 80 * minute, 0.4, 2},
		{"boundary-survey", 2, 8, true, 60 * minute, 0.5, 4},
		{"boundary-survey", 1, 8, false, 50 * minute, 0.5, 4},
		{"boundary-survey", 1, 3, false, 40 * minute, 0.6, 6},
	}
	royalty := []jobKind{{"royalty-reassessment", 1, 2, false, 25 * minute, 0.6, 4}, {"royalty-reassessment", 2, 4, true, 35 * minute, 0.5, 1}}
	search := []jobKind{{"title-search", 1, 1, false, 30, 0.5, 4}, {"title-search", 1, 2, false, 45, 0.5, 2}}
	g.submitRandomly(0, 3*hour, 70, survey)
	g.submitRandomly(3*hour, 8*hour, 90, survey)
	cancelled := g.submitRandomly(9*hour, 9.2*hour, 30, survey)
	for _, name := range cancelled[:20] {
		g.add(Event{AtMS: toMS(9.5*hour + g.rng.Float64()*minute), Event: EventCancel, Job: name})
	}
	g.submitRandomly(10*hour, 20*hour, 60, survey)
	g.submitRandomly(0, 22*hour, 120, royalty)
	g.submitRandomly(2*hour, 11*hour, 700, search)
	g.submitRandomly(4*hour, 4.3*hour, 150, search) // peak of a market day
	g.submit(5*hour, jobKind{"boundary-survey", 7, 8, true, hour, 0.3, 1}, "western")
	g.addWorkerEvents(2*hour, 14*hour, EventWorkerBad, EventWorkerGood)
	g.addWorkerEvents(6*hour, 8*hour, EventWorkerDown, EventWorkerUp)
	g.addWorkerEvents(12*hour, 13*hour, EventWorkerDown, EventWorkerUp)
	g.add(Event{AtMS: toMS(7 * hour), Event: EventAppendDown})
	g.add(Event{AtMS: toMS(7*hour + 5*minute), Event: EventAppendUp})
	return g.sorted()
}

// The checked-in traces equal the output of the generators; -update rewrites them.
func TestCheckedInTracesMatchGenerators(t *testing.T) {
	is := is.New(t)
	for name, events := range map[string][]Event{"merrimack": merrimack(merrimackSeed), "authority": authority(authoritySeed)} {
		path := "testdata/" + name + ".jsonl"
		if *update {
			file, err := os.Create(path)
			is.NoErr(err)
			is.NoErr(WriteTrace(file, events))
			is.NoErr(file.Close())
		}
		file, err := os.Open(path)
		is.NoErr(err)
		read, err := ReadTrace(file)
		is.NoErr(err)
		is.NoErr(file.Close())
		is.Equal(len(read), len(events))
		for i := range read {
			is.Equal(read[i], events[i])
		}
	}
}
