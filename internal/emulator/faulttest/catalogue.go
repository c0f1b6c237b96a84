package faulttest

import (
	"fmt"
	"time"

	"mulleinrouter/internal/standalone/fleet/leaseservice"
)

// catalogueView is the state of the catalogue at the members at one moment.
type catalogueView struct {
	at         time.Time
	newest     uint64 // number of the newest revision written by then
	consistent bool   // all running members have it, and the same content of each revision
	text       string // why it is not consistent
}

// nextRevision returns the number of a revision that is about to be written.
func (p *player) nextRevision() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	return p.revision
}

// newestRevision returns the number of the revision that was written last.
func (p *player) newestRevision() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.revision
}

// observeCatalogue asks all members which revisions were announced to them.
func (p *player) observeCatalogue() {
	view := catalogueView{at: time.Now(), newest: p.newestRevision(), consistent: true}
	digests := map[uint64]string{}
	for _, n := range p.env.nodes {
		process := n.responsive()
		if process == nil {
			continue
		}
		status, err := query[leaseservice.AnnouncerStatus](process, callCatalogue)
		if err != nil {
			view.consistent, view.text = false, n.name+" does not answer"
			continue
		}
		view.add(n.name, status, digests)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.catalogueViews = append(p.catalogueViews, view)
}

// add compares a member's revisions with the newest one that was written, and with the digests that the members added
// earlier reported, by revision number.
func (c *catalogueView) add(member string, status leaseservice.AnnouncerStatus, digests map[uint64]string) {
	newest := uint64(0)
	for _, entry := range status.Entries {
		newest = entry.Number
		if known := digests[entry.Number]; known != "" && known != entry.Digest {
			c.consistent = false
			c.text = fmt.Sprintf("%s has different content for revision %d", member, entry.Number)
		}
		digests[entry.Number] = entry.Digest
	}
	if newest < c.newest {
		c.consistent = false
		c.text = fmt.Sprintf("%s has revision %d, but %d was written", member, newest, c.newest)
	}
}

// evaluateAnnounced looks for the first moment when all members had the same revisions.
func (e *evaluation) evaluateAnnounced() (f Finding) {
	for _, view := range e.player.catalogueViews {
		if view.at.Before(e.from) || view.at.After(e.deadline()) {
			continue
		}
		if view.consistent {
			text := fmt.Sprintf("revision %d at all members", view.newest)
			return Finding{Passed: true, Times: []time.Duration{view.at.Sub(e.from)}, Text: text}
		}
		f.Text = view.text
	}
	return f
}
