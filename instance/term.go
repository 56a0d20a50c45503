package instance

import (
	"strconv"
	"strings"
	"time"

	"github.com/teaselcleat/teaselcleat/structs"
)

const (
	claimTermAgain = time.Second
	// patienceShare is how many term timeouts the first instance in line is
	// given before any other claims the term in its place.
	patienceShare = 3
)

// termView is what an instance sees when it asks whether to claim the term.
type termView struct {
	able       bool // ready, not draining, and the log answers
	holderGone bool
	first      bool // no live instance comes before this one by name
}

// claimant decides when an instance claims the next term. Letting the first in
// line claim alone saves void records; should it not be able to, for instance as
// the log does not answer to it, the others claim after some time.
type claimant struct {
	goneSince time.Time
	claimedAt time.Time
}

func (c *claimant) decide(view termView, now time.Time, timeout time.Duration) bool {
	if !view.holderGone {
		c.goneSince = time.Time{}
		return false
	}
	if c.goneSince.IsZero() {
		c.goneSince = now
	}
	overdue := now.Sub(c.goneSince) > patienceShare*timeout
	if !view.able || now.Sub(c.claimedAt) < claimTermAgain || !(view.first || overdue) {
		return false
	}
	c.claimedAt = now
	return true
}

func (p *placer) view(term structs.Term) termView {
	i := p.instance
	_, listed := i.roster.Workers()
	return termView{
		able:       listed && i.ready() && !i.draining.Load() && i.logAvailable(),
		holderGone: p.holderGone(term),
		first:      p.firstInLine(),
	}
}

func (p *placer) holderGone(term structs.Term) bool {
	i := p.instance
	if term.Number == 0 {
		return true
	}
	name, bootText, _ := strings.Cut(term.Holder, "/")
	boot, err := strconv.ParseInt(bootText, 10, 64)
	if err != nil || name == i.settings.Name {
		return true
	}
	seen, ok := i.link.Seen(name)
	if !ok {
		return i.now().Sub(i.started) > i.settings.TermTimeout
	}
	return seen.Boot > boot || seen.Draining || i.now().Sub(seen.At) > i.settings.TermTimeout
}

// firstInLine reports whether no other live instance comes first by name.
func (p *placer) firstInLine() bool {
	i := p.instance
	for name, seen := range i.link.SeenAll() {
		live := i.now().Sub(seen.At) < i.settings.TermTimeout && !seen.Draining
		if live && name < i.settings.Name {
			return false
		}
	}
	return true
}
