package instance

import (
	"strconv"
	"strings"
	"time"

	"github.com/teaselcleat/teaselcleat/structs"
)

const (
	claimTermInterval = time.Second
	// firstInLineTimeouts is the number of term timeouts for which other instances
	// leave the claim of the term to the first instance in line.
	firstInLineTimeouts = 3
)

// termState holds the conditions under which an instance claims the term.
type termState struct {
	eligible    bool // ready, not draining, and the log is available
	leaderGone  bool
	firstInLine bool // no live instance precedes this one by name
}

// termClaimer decides when an instance claims the next term. The first instance in
// line claims alone at first, which avoids void records. If it cannot claim, for
// example because it does not reach the log, the others claim after a delay.
type termClaimer struct {
	leaderGoneSince time.Time
	claimedAt       time.Time
}

// shouldClaim reports whether to claim the term now, and records the time of the claim.
func (c *termClaimer) shouldClaim(state termState, now time.Time, timeout time.Duration) bool {
	if !state.leaderGone {
		c.leaderGoneSince = time.Time{}
		return false
	}
	if c.leaderGoneSince.IsZero() {
		c.leaderGoneSince = now
	}
	overdue := now.Sub(c.leaderGoneSince) > firstInLineTimeouts*timeout
	if !state.eligible || now.Sub(c.claimedAt) < claimTermInterval || !(state.firstInLine || overdue) {
		return false
	}
	c.claimedAt = now
	return true
}

func (p *placer) observeTerm(term structs.Term) termState {
	i := p.instance
	_, listed := i.listPoller.Workers()
	return termState{
		eligible:    listed && i.ready() && !i.draining.Load() && i.logAvailable(),
		leaderGone:  p.leaderGone(term),
		firstInLine: p.firstInLine(),
	}
}

// leaderGone reports whether there is no term yet, or its leader is draining, was silent
// for the term timeout, or has restarted. If the leader has this instance's name, it is an
// earlier boot of this instance.
func (p *placer) leaderGone(term structs.Term) bool {
	i := p.instance
	if term.Number == 0 {
		return true
	}
	name, bootText, _ := strings.Cut(term.Leader, "/")
	boot, err := strconv.ParseInt(bootText, 10, 64)
	if err != nil || name == i.settings.Name {
		return true
	}
	seen, ok := i.link.PeerState(name)
	if !ok {
		return i.now().Sub(i.startedAt) > i.settings.TermTimeout
	}
	return seen.Boot > boot || seen.Draining || i.now().Sub(seen.LastMessageAt) > i.settings.TermTimeout
}

// firstInLine reports whether no other live instance precedes this one by name.
func (p *placer) firstInLine() bool {
	i := p.instance
	for name, seen := range i.link.PeerStates() {
		live := i.now().Sub(seen.LastMessageAt) < i.settings.TermTimeout && !seen.Draining
		if live && name < i.settings.Name {
			return false
		}
	}
	return true
}
