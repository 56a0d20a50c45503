package targets_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/teaselcleat/teaselcleat/internal/prooftest"
	"github.com/teaselcleat/teaselcleat/structs"
	"github.com/teaselcleat/teaselcleat/targets"
)

func TestMain(m *testing.M) { prooftest.Main(m, "60") }

const valid = `[class "surge-check"]
finish_within = 2s
idempotent = true
[workspace "manchester"]
guarantee = 4x8, 2x4 ; two shapes
`

func TestParse(t *testing.T) {
	is := is.New(t)
	parsed, err := targets.Parse(valid)
	is.NoErr(err)
	is.Equal(parsed.Classes["surge-check"].FinishWithin, 2*time.Second)
	is.Equal(parsed.Workspaces["manchester"].Guarantee[1], structs.Shape{Members: 2, Accelerators: 4, Adjacent: true})
}

func TestParseRejectsInvalidDocuments(t *testing.T) {
	for _, c := range []struct{ name, text, says string }{
		{"a weight", strings.Replace(valid, "idempotent", "weight = 3\nidempotent", 1), "weight: unknown key"},
		{"a priority", valid + "priority = 1\n", "priority: unknown key"},
		{"an address", "[instance]\naddress = 10.0.0.1\n", "unknown section"},
		{"no target", "[class \"x\"]\nidempotent = true\n", "finish_within: is missing"},
		{"a shape", strings.Replace(valid, "4x8", "4by8", 1), "not MEMBERSxACCELERATORS"},
		{"a huge shape", strings.Replace(valid, "4x8", "129x8", 1), "members 129 is outside"},
		{"not a boolean", strings.Replace(valid, "true", "yes", 1), "must be true or false"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := targets.Parse(c.text)
			if err == nil || !strings.Contains(err.Error(), c.says) {
				t.Fatalf("error %v does not say %q", err, c.says)
			}
		})
	}
}

func TestRepeatedProposalIsAcceptedOnce(t *testing.T) {
	is := is.New(t)
	fold := targets.NewFold()
	proposal := &structs.Proposal{ID: "p", Document: valid}
	is.Equal(fold.Apply(proposal), targets.Decision{Accepted: true, Version: 1})
	is.Equal(fold.Apply(proposal), targets.Decision{Accepted: true, Version: 1}) // a repeated proposal gets the same decision
	is.Equal(fold.Apply(&structs.Proposal{ID: "q", Document: valid}).Reason, structs.ReasonVersionConflict)
}

// Operators race, appends are repeated, and instances restart from snapshots of any age, their
// own or a peer's. Versions must never go back, and instances at the same offset must agree.
func TestTargetsNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log []structs.Proposal
		folds := []*targets.Fold{targets.NewFold(), targets.NewFold(), targets.NewFold()}
		snapshots := []targets.Fold{*targets.NewFold()}
		draw := func() *targets.Fold { return rapid.SampledFrom(folds).Draw(t, "instance") }
		id := 0
		t.Repeat(map[string]func(*rapid.T){
			"propose": func(t *rapid.T) {
				id++
				document := valid
				if rapid.IntRange(0, 4).Draw(t, "invalid") == 0 {
					document = "[class]\n"
				}
				log = append(log, structs.Proposal{ID: string(rune('a' + id)), Base: draw().Version, Document: document})
			},
			"append twice": func(t *rapid.T) {
				if len(log) > 0 {
					log = append(log, log[len(log)-1])
				}
			},
			"fold": func(t *rapid.T) {
				fold := draw()
				if int(fold.NextOffset) == len(log) {
					return
				}
				before := fold.Version
				proposal := log[fold.NextOffset]
				repeated := fold.NextOffset > 0 && proposal.ID == log[fold.NextOffset-1].ID
				decision := fold.Apply(&proposal)
				if decision.Accepted && proposal.Base != before && !repeated {
					t.Fatalf("a proposal based on version %d was accepted at version %d", proposal.Base, before)
				}
				if fold.Version < before || fold.Version > before+1 {
					t.Fatalf("version went from %d to %d", before, fold.Version)
				}
			},
			"snapshot": func(t *rapid.T) { snapshots = append(snapshots, *draw()) },
			"restore": func(t *rapid.T) {
				fold := draw()
				before := fold.Version
				from := rapid.SampledFrom(snapshots).Draw(t, "snapshot")
				if err := fold.Restore(from.NextOffset, from.Version, from.Document, from.LastID); err != nil {
					t.Fatal(err)
				}
				if fold.Version < before {
					t.Fatalf("restoring went from version %d back to %d", before, fold.Version)
				}
			},
			"restart": func(t *rapid.T) {
				fold := draw()
				from := rapid.SampledFrom(snapshots).Draw(t, "snapshot")
				*fold = *targets.NewFold()
				if err := fold.Restore(from.NextOffset, from.Version, from.Document, from.LastID); err != nil {
					t.Fatal(err)
				}
			},
			"": func(t *rapid.T) {
				for _, a := range folds {
					for _, b := range folds {
						if a.NextOffset == b.NextOffset && (a.Version != b.Version || a.Document != b.Document) {
							t.Fatalf("instances at offset %d have versions %d and %d", a.NextOffset, a.Version, b.Version)
						}
					}
				}
			},
		})
	})
}

// SetEvacuated must change the evacuation of one zone and keep the rest of the document.
func TestEvacuatedZones(t *testing.T) {
	is := is.New(t)
	text, err := targets.SetEvacuated(valid, "lowell-hall", true)
	is.NoErr(err)
	text, err = targets.SetEvacuated(text, "nashua-hall", true)
	is.NoErr(err)
	parsed, err := targets.Parse(text)
	is.NoErr(err)
	is.Equal(parsed.EvacuatedZones(), []string{"lowell-hall", "nashua-hall"})
	is.Equal(len(parsed.Workspaces["manchester"].Guarantee), 2)
	text, err = targets.SetEvacuated(text, "lowell-hall", false)
	is.NoErr(err)
	parsed, err = targets.Parse(text)
	is.NoErr(err)
	is.Equal(parsed.EvacuatedZones(), []string{"nashua-hall"})
	_, err = targets.Parse(valid + "[zone \"x\"]\nevacuated = perhaps\n")
	is.True(err != nil && strings.Contains(err.Error(), "true or false"))
	parsed, err = targets.Parse(valid + "[zone \"x\"]\nevacuated = false\n")
	is.NoErr(err)
	is.Equal(len(parsed.Evacuated), 0)
}
